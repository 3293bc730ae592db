/**
 * Finds out whether this instance has lost its network path to the targets of a pool
 * while the targets themselves serve others. Attempts to open a connection count: those that
 * are open may go on while new ones are refused. So does the silence of the whole pool behind
 * connections that open (`path-silence`); that of one target says more about the target.
 *
 * A path is suspect as soon as two targets in a row could not be reached, or the pool is silent,
 * and is checked at further targets. It is lost once these fail too and a peer has been served by
 * the pool since: a pool that is down serves nobody. It is regained when two targets answer probes.
 */
import {PathSilence, type PendingSend} from './path-silence.js';

/** Number of different targets that could not be reached after which a path is suspect, and after which it may be lost; all, in a smaller pool. */
const suspectCount = 2;
const lostCount = 3;
/** Number of different targets that have to answer probes before a path is regained; all, in a smaller pool. */
const regainedCount = 2;
/** Time after which an attempt to reach a target no longer counts, in milliseconds. */
const evidenceMs = 3000;
/** Time between two checks of a path that is suspect, and between two probes of one that is lost, in milliseconds. */
const suspectCheckIntervalMs = 100;
const lostProbeIntervalMs = 400;
/** Time from which a path is suspect until it should be known whether it is lost, in milliseconds: that of a check and of some answers of peers. */
const decisionMs = 700;
/** Time after a path was regained in which one target that cannot be reached makes it suspect again, in milliseconds. */
const relapseMs = 5000;
/** Time for which the targets of a path that was lost again soon have to answer before it is regained, which doubles each time, and its limit, in milliseconds. */
const steadyMs = 1000;
const maxSteadyMs = 4000;

export const pathState = {open: 'open', suspect: 'suspect', lost: 'lost'} as const;
export type PathState = typeof pathState[keyof typeof pathState];

/** Why a path is suspect or lost. */
export const pathCause = {
	/** Connections to targets do not open. */
	unreached: 'unreached',
	/** Connections open, and no answer comes. */
	unanswered: 'unanswered',
} as const;
export type PathCause = typeof pathCause[keyof typeof pathCause];

/** The path of this instance to the targets of one pool. */
export class TargetPath {
	/** What the targets leave unanswered behind connections that open. */
	readonly silence = new PathSilence();
	/** Time at which a connection to a target of the pool last opened. */
	reachedAt = Number.NEGATIVE_INFINITY;
	/** Targets that could not be reached since then, with the start of the last attempt. */
	readonly #unreachedAt = new Map<string, number>();
	/** Targets that answered probes since the path was lost, without a failure in between. */
	readonly #answeringIds = new Set<string>();
	/** Time of the first attempt that failed before the path was lost; set while it is lost. */
	#lostSince?: number;
	#loggedState: PathState = pathState.open;
	#regainedAt = Number.NEGATIVE_INFINITY;
	/** Time since which targets of a lost path have answered all probes. */
	#answeringSince?: number;
	/** Number of times in a row that the path was lost again soon after it was regained. */
	#relapseCount = 0;
	/** Time since which the path is suspect. */
	#suspectSince?: number;
	#nextCheckAt = 0;
	/** Times of the last checks since the path was lost, by target. */
	readonly #checkedAt = new Map<string, number>();

	/** Records that a connection to a target opened. */
	recordReached(targetId: string, now: number): void {
		this.reachedAt = now;
		this.#unreachedAt.delete(targetId);
		if (this.#lostSince === undefined) {
			this.#unreachedAt.clear();
			this.#suspectSince = undefined;
		}
	}

	/** Records that a target answered a send, with a response of any kind. */
	recordAnswered(now: number): void {
		if (this.#lostSince === undefined) {
			this.silence.recordAnswered(now);
		} else {
			this.silence.reset();
			this.silence.answeredAt = now;
		}
	}

	/** Records that a target answered a probe, over a connection that opened for it. */
	recordProbeAnswered(targetId: string, now: number): void {
		this.recordReached(targetId, now);
		this.recordAnswered(now);
		if (this.#lostSince !== undefined) {
			this.#answeringIds.add(targetId);
			this.#answeringSince ??= now;
		}
	}

	/** Records that a target did not answer a probe that started at `startedAt`. */
	recordProbeUnanswered(targetId: string, startedAt: number): void {
		this.#resetAnswering();
		this.silence.recordUnanswered(targetId, startedAt);
	}

	/** Records that no connection to a target could be opened; `startedAt` is the start of the attempt. */
	recordUnreached(targetId: string, startedAt: number): void {
		this.#resetAnswering();
		if (startedAt > this.reachedAt) {
			this.#unreachedAt.delete(targetId);
			this.#unreachedAt.set(targetId, startedAt);
		}
	}

	/** Finds the state of the path to a pool with `targetCount` targets. */
	findState(targetCount: number, now: number): PathState {
		if (this.#lostSince !== undefined) {
			return pathState.lost;
		}

		return this.isUnreached(targetCount, now) || this.silence.since !== undefined ? pathState.suspect : pathState.open;
	}

	/** True if the path is suspect because targets could not be reached. */
	isUnreached(targetCount: number, now: number): boolean {
		this.#expire(now);
		const count = now - this.#regainedAt <= relapseMs ? 1 : suspectCount;
		const isSuspect = this.#lostSince === undefined && this.#unreachedAt.size >= Math.max(1, Math.min(count, targetCount));
		this.#suspectSince = isSuspect ? this.#suspectSince ?? now : undefined;
		return isSuspect;
	}

	/** Time at which a target of the pool last responded to this instance. */
	get servedAt(): number {
		return this.silence.answeredAt;
	}

	/** Why the path is suspect or lost; `undefined` if it is open. */
	get cause(): PathCause | undefined {
		if (this.silence.since !== undefined) {
			return pathCause.unanswered;
		}

		return this.#lostSince === undefined && this.#suspectSince === undefined ? undefined : pathCause.unreached;
	}

	/** Records the state for the log; returns true if it has changed. */
	recordState(state: PathState): boolean {
		const hasChanged = state !== this.#loggedState;
		this.#loggedState = state;
		return hasChanged;
	}

	/** Time since which no target could be reached, or answered; `undefined` unless the path is lost. */
	get lostSince(): number | undefined {
		return this.#lostSince;
	}

	/** Time until which it should be known whether a path is lost whose targets could not be reached; `undefined` if it is not suspect for that reason. After that, the pool itself is probably down. */
	get decisionAt(): number | undefined {
		return this.#suspectSince === undefined ? undefined : this.#suspectSince + decisionMs;
	}

	/** Time until which it should be known whether the silence of the pool is a lost path; `undefined` if the pool is not silent, or the path lost. */
	get silenceDecisionAt(): number | undefined {
		return this.#lostSince === undefined ? this.silence.decisionAt : undefined;
	}

	/** True if the path is lost and connections to its targets open: what was sent to them may stay unanswered for long. */
	get isLostInSilence(): boolean {
		return this.#lostSince !== undefined && this.silence.since !== undefined;
	}

	/** True if the path is lost, or will be if a peer reaches the pool. */
	isProbablyLost(targetCount: number, now: number): boolean {
		const {decisionAt = Number.NEGATIVE_INFINITY} = this.silence;
		return this.findState(targetCount, now) === pathState.lost || this.#isConclusive(targetCount)
			|| (now < decisionAt && this.silence.isConclusive(targetCount));
	}

	/** Brings the silence of the pool up to date with the sends that wait for their answers. */
	updateSilence(pending: Iterable<PendingSend>, targetCount: number, now: number): void {
		if (this.#lostSince === undefined) {
			this.silence.update(pending, targetCount, now - this.#regainedAt <= relapseMs, now);
		}
	}

	/**
	 * Brings the state up to date; `peerServedAt` is the latest time at which a target of the
	 * pool is known to have responded to a peer. Returns the new state if it is lost or regained.
	 */
	update(targetCount: number, peerServedAt: number, now: number): typeof pathState.lost | typeof pathState.open | undefined {
		if (this.#lostSince !== undefined) {
			if (!this.#isAnswering(targetCount, now)) {
				return undefined;
			}

			this.#lostSince = undefined;
			this.#regainedAt = now;
			this.#unreachedAt.clear();
			this.silence.reset();
			return pathState.open;
		}

		if (this.findState(targetCount, now) !== pathState.suspect) {
			return undefined;
		}

		const [firstUnreachedAt = Number.POSITIVE_INFINITY] = this.#unreachedAt.values();
		if (this.#isConclusive(targetCount) && peerServedAt > firstUnreachedAt) {
			this.#lostSince = firstUnreachedAt;
		} else if (this.silence.isLost(targetCount, peerServedAt, now)) {
			this.#lostSince = this.silence.firstUnansweredAt;
		} else {
			return undefined;
		}

		this.#relapseCount = now - this.#regainedAt <= relapseMs ? this.#relapseCount + 1 : 0;
		this.#resetAnswering();
		this.#checkedAt.clear();
		return pathState.lost;
	}

	/** Chooses the targets that are probed now, of the pool's `targetIds`: to find out whether a silent pool answers, or whether a lost path is back. */
	takeProbes(targetIds: readonly string[], now: number): string[] {
		if (this.#lostSince === undefined) {
			return this.silence.takeProbes(targetIds, now);
		}

		if (now < this.#nextCheckAt) {
			return [];
		}

		this.#nextCheckAt = now + lostProbeIntervalMs;
		const probed = [...targetIds]
			.sort((a, b) => (this.#checkedAt.get(a) ?? 0) - (this.#checkedAt.get(b) ?? 0))
			.slice(0, 1);
		for (const id of probed) {
			this.#checkedAt.set(id, now);
		}

		return probed;
	}

	/** Chooses the targets that are checked now because others could not be reached, of the pool's `targetIds`: those that could not be reached longest ago, or never yet. */
	takeChecks(targetIds: readonly string[], now: number): string[] {
		if (now < this.#nextCheckAt || this.#lostSince !== undefined) {
			return [];
		}

		this.#nextCheckAt = now + suspectCheckIntervalMs;
		return targetIds
			.filter(id => !this.#unreachedAt.has(id))
			.slice(0, suspectCount);
	}

	/** True if enough targets answer probes, and for long enough if the path is not steady. */
	#isAnswering(targetCount: number, now: number): boolean {
		const neededMs = this.#relapseCount === 0 ? 0 : Math.min(maxSteadyMs, steadyMs * (2 ** (this.#relapseCount - 1)));
		return this.#answeringIds.size >= Math.min(regainedCount, Math.max(1, targetCount)) && now - this.#answeringSince! >= neededMs;
	}

	#resetAnswering(): void {
		this.#answeringIds.clear();
		this.#answeringSince = undefined;
	}

	/** True if enough targets could not be reached, with none reached since. */
	#isConclusive(targetCount: number): boolean {
		return this.#unreachedAt.size >= Math.max(1, Math.min(lostCount, targetCount));
	}

	#expire(now: number): void {
		for (const [targetId, at] of this.#unreachedAt) {
			if (now - at > evidenceMs) {
				this.#unreachedAt.delete(targetId);
			}
		}
	}
}
