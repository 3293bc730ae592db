/**
 * Recent failures of targets, from all instances. In a large fleet one instance sends
 * each target too few requests to tell a faulty target from bad luck, or to find out
 * soon that it has ended; together the instances can tell within a second or two.
 *
 * Lost responses are not reported: an engine that loses a few still holds its prompts,
 * and to read these elsewhere costs more than the responses.
 */
import {failureKind, type FailureKind} from './failure-kind.js';
import {evictOldest} from '../evict-oldest.js';
import type {SharedFailure} from '../members/peer-message.js';
import {eject} from './target-health.js';
import type {Target, TargetState} from './target-state.js';

/** Time for which failures are counted and passed on, in milliseconds. */
const windowMs = 3000;
/** Smallest number of error responses, and multiple of the mean of the pool's other targets, above which a target counts as faulty. */
const minErrorResponses = 6;
const poolMeanMultiplier = 3;
/** Number of error responses above that multiple which are taken for chance. */
const chanceErrorResponses = 2;
/** Number of instances that have to find no process at a target's address: a single one may be cut off from it. */
const minInstancesWithoutProcess = 2;
/** Number of reports that a target has no process which are kept; further ones add nothing. */
const maxReportsWithoutProcess = 3;
/** Number of latest failures in one message. */
const reportsPerMessage = 32;
/** Number of failures that are kept. */
const reportLimit = 1024;

/** A failure; `instance` identifies the process that sent the request. */
export type FailureReport = {readonly target: Target; readonly kind: FailureKind; readonly instance: string; readonly at: number};

export class FailureReports {
	/** Failures by their identifier, in the order in which they became known. */
	readonly #reports = new Map<string, FailureReport>();

	/** Records a failure; `id` is unique in the fleet. Returns false if it is known, or adds nothing to known ones. */
	record(id: string, report: FailureReport, now: number): boolean {
		this.#expire(now);
		const {target, kind} = report;
		const addsNothing = kind === failureKind.noProcess && this.#listRecent(target, kind).length >= maxReportsWithoutProcess;
		if (addsNothing || this.#reports.has(id)) {
			return false;
		}

		this.#reports.set(id, report);
		evictOldest(this.#reports, reportLimit);
		return true;
	}

	/** Applies the failures of a peer's message, whose ages are subtracted from `messageCreatedAt`; returns the targets with new failures. */
	applyShared(failures: readonly SharedFailure[], {byId}: TargetState, messageCreatedAt: number, now: number): Set<Target> {
		const changed = new Set<Target>();
		for (const {
			id, kind, instance, targetId, bornAt, ageMs,
		} of failures) {
			const target = byId.get(targetId);
			const at = messageCreatedAt - ageMs;
			if (target?.record.bornAt === bornAt && now - at < windowMs && this.record(id, {
				target, kind, instance, at,
			}, now)) {
				changed.add(target);
			}
		}

		return changed;
	}

	/** Describes the latest failures for peers. */
	describe(now: number): SharedFailure[] {
		this.#expire(now);
		return [...this.#reports].slice(-reportsPerMessage).map(([id, {
			target, kind, instance, at,
		}]) => ({
			id, kind, instance, targetId: target.record.id, bornAt: target.record.bornAt, ageMs: Math.round(now - at),
		}));
	}

	/**
	 * Ejects a target that failed far more often than the other targets of its pool, or
	 * has no process, by failures since its last ejection; returns the number of these
	 * failures if the target was ejected.
	 */
	ejectIfFaulty(target: Target, targets: TargetState, now: number): number | undefined {
		this.#expire(now);
		if (now < target.health.ejectedUntil) {
			return undefined;
		}

		const errorResponses = this.#listRecent(target, failureKind.errorResponse);
		const withoutProcess = this.#listRecent(target, failureKind.noProcess);
		const instances = new Set(withoutProcess.map(({instance}) => instance));
		if (instances.size < minInstancesWithoutProcess && !this.#isOutlier(target, targets, errorResponses.length)) {
			return undefined;
		}

		eject(target.health, now);
		return errorResponses.length + withoutProcess.length;
	}

	/** True if the target sent far more error responses than the other targets of its pool. */
	#isOutlier(target: Target, {byPool}: TargetState, count: number): boolean {
		if (count < minErrorResponses) {
			return false;
		}

		const others = (byPool.get(target.record.pool) ?? []).filter(other => other !== target);
		let sum = 0;
		for (const report of this.#reports.values()) {
			sum += report.kind === failureKind.errorResponse && others.includes(report.target) ? 1 : 0;
		}

		const meanOfOthers = others.length === 0 ? 0 : sum / others.length;
		return count > (meanOfOthers * poolMeanMultiplier) + chanceErrorResponses;
	}

	/** Lists the failures of a target since its last ejection. */
	#listRecent(target: Target, kind: FailureKind): FailureReport[] {
		// An instance that hears from a target knows that its process runs: those that report another finding may be cut off from it.
		const since = kind === failureKind.noProcess ? Math.max(target.health.ejectedUntil, target.heardAt) : target.health.ejectedUntil;
		return [...this.#reports.values()].filter(report => report.target === target && report.kind === kind && report.at > since);
	}

	#expire(now: number): void {
		for (const [id, {at}] of this.#reports) {
			if (now - at >= windowMs) {
				this.#reports.delete(id);
			}
		}
	}
}
