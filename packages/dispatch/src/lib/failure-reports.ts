/**
 * Recent error responses of targets, from all instances. In a large fleet one instance
 * sends each target too few requests to tell a faulty target from bad luck before many
 * callers were affected; together the instances can tell within a second or two.
 *
 * Lost responses do not count: an engine that loses a few still holds its prompts, and
 * to read these elsewhere costs more than the responses.
 */
import type {SharedFailure} from './peer-message.js';
import {eject} from './target-health.js';
import type {Target, TargetState} from './target-state.js';

/** Time for which failures are counted and passed on, in milliseconds. */
const windowMs = 3000;
/** Smallest number of failures, and multiple of the mean of the pool's other targets, above which a target counts as faulty. */
const minFailures = 6;
const poolMeanMultiplier = 3;
/** Number of failures above that multiple which are taken for chance. */
const chanceFailures = 2;
/** Number of latest failures in one message. */
const reportsPerMessage = 32;
/** Number of failures that are kept. */
const reportLimit = 1024;

type Report = {readonly target: Target; readonly at: number};

export class FailureReports {
	/** Failures by their identifier, in the order in which they became known. */
	readonly #reports = new Map<string, Report>();

	/** Records a failure; `id` is unique in the fleet. Returns false if it is known. */
	record(id: string, target: Target, at: number): boolean {
		if (this.#reports.has(id)) {
			return false;
		}

		this.#reports.set(id, {target, at});
		for (const [oldestId] of this.#reports) {
			if (this.#reports.size <= reportLimit) {
				break;
			}

			this.#reports.delete(oldestId);
		}

		return true;
	}

	/** Applies the failures of a peer's message, whose ages are subtracted from `messageCreatedAt`; returns the targets with new failures. */
	applyShared(failures: readonly SharedFailure[], {byId}: TargetState, messageCreatedAt: number, now: number): Set<Target> {
		const changed = new Set<Target>();
		for (const {
			id, targetId, bornAt, ageMs,
		} of failures) {
			const target = byId.get(targetId);
			const at = messageCreatedAt - ageMs;
			if (target?.record.bornAt === bornAt && now - at < windowMs && this.record(id, target, at)) {
				changed.add(target);
			}
		}

		return changed;
	}

	/** Describes the latest failures for peers. */
	describe(now: number): SharedFailure[] {
		this.#expire(now);
		return [...this.#reports].slice(-reportsPerMessage).map(([id, {target, at}]) => ({
			id, targetId: target.record.id, bornAt: target.record.bornAt, ageMs: Math.round(now - at),
		}));
	}

	/**
	 * Ejects a target that failed far more often than the other targets of its pool,
	 * because of failures since its last ejection; returns the number of these failures
	 * if the target was ejected.
	 */
	ejectIfFaulty(target: Target, {byPool}: TargetState, now: number): number | undefined {
		this.#expire(now);
		if (now < target.health.ejectedUntil) {
			return undefined;
		}

		const counts = new Map<Target, number>();
		for (const {target: other, at} of this.#reports.values()) {
			if (other !== target || at > target.health.ejectedUntil) {
				counts.set(other, (counts.get(other) ?? 0) + 1);
			}
		}

		const failures = counts.get(target) ?? 0;
		const others = (byPool.get(target.record.pool) ?? []).filter(other => other !== target);
		let sum = 0;
		for (const other of others) {
			sum += counts.get(other) ?? 0;
		}

		const meanOfOthers = others.length === 0 ? 0 : sum / others.length;
		if (failures < minFailures || failures <= (meanOfOthers * poolMeanMultiplier) + chanceFailures) {
			return undefined;
		}

		eject(target.health, now);
		return failures;
	}

	#expire(now: number): void {
		for (const [id, {at}] of this.#reports) {
			if (now - at >= windowMs) {
				this.#reports.delete(id);
			}
		}
	}
}
