/**
 * Which software versions served a pool, and when. The version of a resumable stream follows
 * from its request and the versions in service at its begin, so an instance that did not
 * begin the stream can name it as long as it knows every state that may have held then.
 *
 * Only the last time at which a state may have held is kept: a stream that is taken up has
 * begun at any time since a bound.
 */
import {evictOldest} from '../evict-oldest.js';
import type {SharedPoolVersions} from '../members/peer-message.js';

/** Number of targets by software version, of those in a pool that new requests may go to. */
export type VersionCounts = ReadonlyMap<string, number>;

/** A state of a pool. */
type PoolState = {
	readonly counts: VersionCounts;
	/** Latest time at which the state may have held; infinite for the one that holds now. */
	endedAt: number;
};

/** What is known of a pool. */
type PoolHistory = {
	/** Time since which all states are known. */
	knownSince: number;
	/** States by `createCountsKey`. */
	readonly states: Map<string, PoolState>;
};

/** Time for which a state that no longer holds is kept, in milliseconds; no shorter than the time that most streams may take. */
export const historyWindowMs = 60_000;
/** Number of states of a pool, and number of pools, that are kept. */
const stateLimit = 64;
const poolLimit = 1024;
/** Size of the states in one message, in characters of its text; the latest first. */
const sharedStatesLength = 16_000;
/** Length of a state in a message beside its counts, in characters. */
const sharedStateOverhead = 40;
/** Time by which a peer has to know more than the sender for an answer, in milliseconds: each exchange loses the time that it takes. */
const minGainMs = 500;

export class VersionHistory {
	/** Histories by pool, in the order of their last use. */
	readonly #byPool = new Map<string, PoolHistory>();

	/** Records the versions that serve a pool from `now` on; the same counts as the last ones change nothing. */
	record(poolName: string, counts: VersionCounts, now: number): void {
		const history = this.#byPool.get(poolName) ?? {knownSince: now, states: new Map<string, PoolState>()};
		this.#byPool.delete(poolName);
		this.#byPool.set(poolName, history);
		evictOldest(this.#byPool, poolLimit);
		const key = createCountsKey(counts);
		const current = findCurrent(history);
		if (current === undefined || createCountsKey(current.counts) !== key) {
			if (current !== undefined) {
				current.endedAt = now;
			}

			history.states.set(key, {counts: new Map(counts), endedAt: Number.POSITIVE_INFINITY});
		}

		dropOldStates(history, now);
	}

	/** Records that states before `now` may be missing. */
	recordInterruption(now: number): void {
		for (const history of this.#byPool.values()) {
			history.knownSince = now;
		}
	}

	/** Lists every state of the pool that may have held since `since`; `undefined` if what is known does not reach back that far. */
	listCounts(poolName: string, since: number): readonly VersionCounts[] | undefined {
		const history = this.#byPool.get(poolName);
		return history === undefined || since < history.knownSince
			? undefined
			: [...history.states.values()].filter(({endedAt}) => endedAt >= since).map(({counts}) => counts);
	}

	/** Computes the time back to which all states of all pools are known, in milliseconds up to the longest window; 0 if no pool is known. */
	computeKnownMs(now: number): number {
		const knownMs = [...this.#byPool.values()].map(({knownSince}) => now - knownSince);
		return knownMs.length === 0 ? 0 : Math.min(historyWindowMs, ...knownMs);
	}

	/** Describes the states of the pools that are known further back than `knownMs`, for a peer that knows no more than that. */
	describe(now: number, knownMs: number): SharedPoolVersions[] {
		const shared = new Map<string, SharedPoolVersions & {states: Array<SharedPoolVersions['states'][number]>; knownMs: number}>();
		const entries: Array<{readonly pool: string; readonly state: PoolState}> = [];
		for (const [pool, {knownSince, states}] of this.#byPool) {
			if (now - knownSince >= knownMs + minGainMs) {
				shared.set(pool, {pool, knownMs: Math.floor(now - knownSince), states: []});
				entries.push(...[...states.values()].map(state => ({pool, state})));
			}
		}

		let length = 0;
		for (const {pool, state: {counts, endedAt}} of entries.sort((a, b) => b.state.endedAt - a.state.endedAt)) {
			const poolVersions = shared.get(pool)!;
			length += createCountsKey(counts).length + sharedStateOverhead;
			const endedMs = Number.isFinite(endedAt) ? Math.floor(now - endedAt) : undefined;
			if (length <= sharedStatesLength) {
				poolVersions.states.push({counts: [...counts], endedMs});
			} else if (endedMs === undefined) {
				// Without the present state, nothing follows from the rest.
				shared.delete(pool);
			} else {
				poolVersions.knownMs = Math.min(poolVersions.knownMs, endedMs);
			}
		}

		return [...shared.values()].filter(poolVersions => poolVersions.knownMs >= knownMs + minGainMs);
	}

	/**
	 * Applies what a peer or the platform knows of pools that are known here too: the states of
	 * both may have held. Ages count back from `now`, which is no earlier than the message, so
	 * that states appear to have ended late, and to be known since late; `slackMs` is the time
	 * by which the sender may have learned of the first state too late. It may not know states after that
	 * time either, so what it knows has to reach up to `maxGapMs` before what is known here.
	 */
	applyShared(shared: readonly SharedPoolVersions[], slackMs: number, now: number, maxGapMs = Number.POSITIVE_INFINITY): void {
		for (const {pool, knownMs, states} of shared) {
			const history = this.#byPool.get(pool);
			const knownSince = now - Math.max(0, knownMs - slackMs);
			if (history === undefined || knownSince >= history.knownSince || history.knownSince - (now - slackMs) > maxGapMs) {
				continue;
			}

			history.knownSince = knownSince;
			for (const {counts, endedMs} of states) {
				addState(history, new Map(counts), endedMs === undefined ? now : now - endedMs);
			}

			dropOldStates(history, now);
		}
	}
}

/** Finds the state that holds now; each pool has one. */
function findCurrent({states}: PoolHistory): PoolState | undefined {
	return [...states.values()].find(({endedAt}) => endedAt === Number.POSITIVE_INFINITY);
}

/** Adds a state that may have held until `endedAt`. */
function addState({states}: PoolHistory, counts: VersionCounts, endedAt: number): void {
	const key = createCountsKey(counts);
	const known = states.get(key);
	if (known === undefined) {
		states.set(key, {counts, endedAt});
	} else {
		known.endedAt = Math.max(known.endedAt, endedAt);
	}
}

/** Drops the states that ended before the longest window, and the oldest beyond the limit; the history then reaches back to their end. */
function dropOldStates(history: PoolHistory, now: number): void {
	const ended = [...history.states].filter(([, {endedAt}]) => endedAt < now).sort(([, a], [, b]) => a.endedAt - b.endedAt);
	const excess = history.states.size - stateLimit;
	for (const [index, [key, {endedAt}]] of ended.entries()) {
		if (index >= excess && endedAt >= now - historyWindowMs) {
			return;
		}

		history.states.delete(key);
		history.knownSince = Math.max(history.knownSince, endedAt);
	}
}

/** Creates a key that is equal for equal counts; versions without targets do not count. */
export function createCountsKey(counts: VersionCounts): string {
	return JSON.stringify([...counts].filter(([, count]) => count > 0).sort(([a], [b]) => a < b ? -1 : 1));
}
