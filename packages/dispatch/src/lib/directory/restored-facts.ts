/**
 * Decides which facts stay in force when the platform was restored from an older copy.
 * The copy lacks what was written since it was made, and contains what was removed since;
 * operators and targets write theirs again, each at another time. Until then, the error
 * that harms callers less is chosen for each kind of fact:
 *
 * - A target that the copy lacks stays in use: without it, a pool might lose most of its
 *   targets at once, and a target that has ended only refuses connections.
 * - A target that was leaving does not return; what is sent to it may be lost.
 * - A target that was removed returns when its registration outlives the time in which
 *   a registration without a target expires.
 * - A zone that was closed stays closed: its targets may be about to end.
 *
 * Each retention ends with the next change of its subject in the new history.
 */
import {
	factKind, type Fact, type FactChange, type TargetProcess,
} from './directory-facts.js';

/** How long facts of an earlier epoch stay in force, in milliseconds. */
export type RestoreTiming = {
	/** Time within which the platform's users write again what a copy lacks. */
	readonly rewriteMs: number;
	/** Time after which the registration of a target that has ended is removed. */
	readonly registrationExpiryMs: number;
};

/** A fact of an earlier epoch that is in force although the platform contradicts it. */
export type RetainedFact = {
	/** `undefined` if the subject counts as removed. */
	readonly fact?: Fact;
	/** Time at which the restore became known; earlier if a peer has known it for longer. */
	readonly since: number;
	/** Time after `since` at which the platform is believed if it still contradicts the fact, in milliseconds; infinite if the fact is final for its process. */
	readonly durationMs: number;
	/** The process of the target that the fact is about. */
	readonly process?: TargetProcess;
};

/** What was in force before the restore: a fact, or its removal; `process` is set if the subject is a target. */
export type FactBefore = {readonly fact?: Fact; readonly process?: TargetProcess};

/** Finds out whether a fact stays in force although the restored platform has another one, or none, for its subject. */
export function findRetention(
	before: FactBefore,
	change: FactChange & {readonly isMissing?: boolean},
	timing: RestoreTiming,
	now: number,
): RetainedFact | undefined {
	const {fact, process} = before;
	if (process === undefined) {
		return fact !== undefined && change.isMissing === true ? {fact, since: now, durationMs: timing.rewriteMs} : undefined;
	}

	const listed = change.fact?.kind === factKind.target ? change.fact.target : undefined;
	if (listed === undefined) {
		const isLive = fact !== undefined && !process.isLeaving;
		return isLive && change.isMissing === true
			? {
				fact, process, since: now, durationMs: timing.rewriteMs,
			}
			: undefined;
	}

	if (listed.bornAt < process.bornAt) {
		// The copy names a process that had been replaced.
		return {
			fact, process, since: now, durationMs: fact === undefined || process.isLeaving ? timing.registrationExpiryMs : timing.rewriteMs,
		};
	}

	const isSameProcess = listed.bornAt === process.bornAt;
	if (!isSameProcess || (fact !== undefined && !process.isLeaving)) {
		return undefined;
	}

	return {
		fact, process, since: now, durationMs: process.isLeaving ? Number.POSITIVE_INFINITY : timing.registrationExpiryMs,
	};
}

/** True if a retained fact outlasts a change of its subject in the new history: a process that was leaving does not return. */
export function isRetainedOver({durationMs, process}: RetainedFact, fact: Fact | undefined): boolean {
	return durationMs === Number.POSITIVE_INFINITY && fact?.kind === factKind.target && fact.target.bornAt === process?.bornAt && !fact.target.isLeaving;
}
