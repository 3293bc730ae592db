/**
 * Divides a contended pool among the client accounts: what the pool completes is divided by
 * max-min fairness with equal weights, and of the requests of an account that asks for more than its
 * share, only the fraction that fits into the share is sent. It addresses one account, or two, at six to
 * eight times its usual rate, which otherwise delays all others.
 *
 * An instance of a large fleet receives too few requests to tell accounts apart, so instances
 * exchange their figures. Only the ratio of an account's requests to what the pool completes matters, so
 * that the figures of a part of the fleet are enough. Sums are built only from the own figures of
 * instances, the latest of each, never from sums: nothing counts twice, and nothing returns to its origin.
 */
import {evictOldest} from '../evict-oldest.js';
import type {SharedAccountLoads} from '../members/peer-message.js';
import {SlidingWindow} from '../sliding-window.js';

/** Time over which requests and completions are counted, in milliseconds: at 100 instances, some hundred requests of the fleet. */
const windowMs = 2000;
/** Time for which the figures of a peer are used, in milliseconds: followers call each watcher of their zone about every second. */
const reportRetentionMs = 3000;
/** Number of standard deviations by which a count may exceed the share by chance before the account is limited. */
const chanceMargin = 1.5;
/** Bounds of the part of the completions that is divided: less than all while the targets' queues have to shrink, more while slots are free. */
const minDividedFraction = 0.7;
const maxDividedFraction = 2;
/** Time without pressure after which contention ends, in milliseconds: loads are known late, and what is held back would fill the targets again in a short lull. */
const calmMs = 1000;
/** Load below which contention ends at once, as a fraction of the slots: a refusal while slots are free is never right. */
const idleLoadFraction = 0.5;
/** Numbers of pools, accounts, peers and held-back requests that are tracked; the least recently used are evicted first. */
const poolLimit = 64;
const accountLimit = 512;
const peerLimit = 1024;
const heldBackLimit = 1024;
/** Number of pools in one message, and of accounts of each pool, those with the most requests. */
const poolsPerMessage = 3;
const accountsPerPool = 24;
/** Bounds of the time after which a request that was held back may come again, in milliseconds. */
const minReturnMs = 100;
const maxReturnMs = 5000;

/** What is known about the load and the rejections of a pool. */
export type PoolPressure = {
	/** Estimated requests at the pool's targets, and the slots of these. */
	readonly load: number;
	readonly slots: number;
	/** True if a target rejected a request of this instance within the last second. */
	readonly hasRejected: boolean;
	/** True if requests wait in this instance that are not held back. */
	readonly hasWaiting: boolean;
};

/** True if a pool has less capacity than it is asked for now, as far as this instance knows. */
function isUnderPressure({load, slots, hasRejected, hasWaiting}: PoolPressure): boolean {
	return load > slots || hasRejected || hasWaiting;
}

/** The requests of one instance, or the sum over several. */
type Figures = {
	readonly instanceCount: number;
	readonly completionsPerS: number;
	readonly requestsPerS: number;
	readonly rateByAccount: ReadonlyMap<string, number>;
};

type Report = {readonly figures: Figures; readonly at: number};

type PoolRecord = {
	/** Time at which the pool was last under pressure. */
	pressedAt: number;
	/** What was last found out about its load, and the time of that. */
	pressure?: {readonly known: PoolPressure; readonly at: number};
	readonly requests: SlidingWindow;
	readonly completions: SlidingWindow;
	readonly requestsByAccount: Map<string, SlidingWindow>;
	/** The own figures of peers, and the sums that they know, by the peer's name. */
	readonly peerFigures: Map<string, Report>;
	readonly peerSums: Map<string, Report>;
};

export class AccountShare {
	readonly #byPool = new Map<string, PoolRecord>();
	/** Times until which requests are held back without another decision, by fingerprint. */
	readonly #heldBackUntil = new Map<string, number>();
	/** Time of the first request, at which the first window begins. */
	#startedAt = Number.POSITIVE_INFINITY;

	/** Records that a request arrived; those without an account count in the pool's total. */
	recordRequest(poolName: string, account: string | undefined, now: number): void {
		this.#startedAt = Math.min(this.#startedAt, now);
		const record = this.#touch(poolName);
		record.requests.record(now);
		if (account !== undefined) {
			const requests = record.requestsByAccount.get(account) ?? new SlidingWindow(windowMs);
			record.requestsByAccount.delete(account);
			record.requestsByAccount.set(account, requests);
			evictOldest(record.requestsByAccount, accountLimit);
			requests.record(now);
		}
	}

	/** Records that a target of the pool completed a request. */
	recordCompletion(poolName: string, now: number): void {
		this.#touch(poolName).completions.record(now);
	}

	/** Finds what is known about the load of a pool, which `compute` finds out once for all requests that are held back in a tick. */
	findPressure(poolName: string, compute: () => PoolPressure, now: number): PoolPressure {
		const record = this.#touch(poolName);
		if (record.pressure?.at !== now) {
			record.pressure = {known: compute(), at: now};
		}

		return record.pressure.known;
	}

	/** Updates from its pressure whether the pool is contended; returns whether it is. */
	updateContention(poolName: string, pressure: PoolPressure, now: number): boolean {
		const record = this.#touch(poolName);
		if (isUnderPressure(pressure)) {
			record.pressedAt = now;
		} else if (pressure.load < pressure.slots * idleLoadFraction) {
			record.pressedAt = Number.NEGATIVE_INFINITY;
		}

		return now - record.pressedAt < calmMs;
	}

	/** Computes the fraction of the account's requests that fits into its share of a contended pool. */
	computeSentFraction(poolName: string, account: string, {load, slots}: PoolPressure, now: number): number {
		const record = this.#byPool.get(poolName);
		if (record === undefined) {
			return 1;
		}

		const figures = this.#findBroadest(record, now);
		const dividedFraction = Math.min(maxDividedFraction, Math.max(minDividedFraction, slots / Math.max(1, load)));
		return computeSentFraction(figures, account, dividedFraction);
	}

	/** Holds requests with the fingerprint back until `until`: repeating a request at once must not give it another chance. */
	recordHeldBack(fingerprint: string, until: number): void {
		this.#heldBackUntil.delete(fingerprint);
		this.#heldBackUntil.set(fingerprint, until);
		evictOldest(this.#heldBackUntil, heldBackLimit);
	}

	/** Finds the time until which requests with the fingerprint are held back; `undefined` if they are not. */
	findHeldBackUntil(fingerprint: string, now: number): number | undefined {
		const until = this.#heldBackUntil.get(fingerprint);
		return until !== undefined && now < until ? until : undefined;
	}

	/** Counts the pools that were contended when this was last found out, within the time in which contention ends. */
	countContended(now: number): number {
		return [...this.#byPool.values()].filter(({pressedAt}) => now - pressedAt < calmMs).length;
	}

	/** Lists the pools in which accounts have sent requests within the window. */
	listPools(now: number): string[] {
		return [...this.#byPool].filter(([, {requests}]) => requests.count(now) > 0).map(([poolName]) => poolName);
	}

	/** Describes the own figures about the given pools for peers, and the sum with those that peers stated. */
	describe(poolNames: readonly string[], now: number): SharedAccountLoads[] {
		const loads: SharedAccountLoads[] = [];
		for (const pool of poolNames.slice(0, poolsPerMessage)) {
			const record = this.#byPool.get(pool);
			if (record === undefined) {
				continue;
			}

			const sum = this.#computeSum(record, now);
			// In the first window, completions are too few, since they follow requests by the duration of these.
			if (now - this.#startedAt >= windowMs) {
				loads.push(describeFigures(pool, this.#computeOwn(record, now)));
			}

			if (sum.instanceCount > 1) {
				loads.push(describeFigures(pool, sum));
			}
		}

		return loads;
	}

	/** Applies the figures of a peer's message, which was created after `messageCreatedAt`. */
	applyShared(peer: string, loads: readonly SharedAccountLoads[], messageCreatedAt: number): void {
		for (const {pool, instances, completionsPerS, requestsPerS, accounts} of loads.slice(0, 2 * poolsPerMessage)) {
			const record = this.#touch(pool);
			const reports = instances === 1 ? record.peerFigures : record.peerSums;
			const rateByAccount = new Map(accounts.slice(0, accountsPerPool).map(({name, requestsPerS: perS}) => [name, perS]));
			reports.delete(peer);
			reports.set(peer, {
				figures: {
					instanceCount: instances, completionsPerS, requestsPerS, rateByAccount,
				}, at: messageCreatedAt,
			});
			evictOldest(reports, peerLimit);
		}
	}

	/** Finds the figures of the most instances: the own sum, or one that a peer has stated. */
	#findBroadest(record: PoolRecord, now: number): Figures {
		let broadest = this.#computeSum(record, now);
		for (const {figures, at} of record.peerSums.values()) {
			if (now - at <= reportRetentionMs && figures.instanceCount > broadest.instanceCount) {
				broadest = figures;
			}
		}

		return broadest;
	}

	/** Computes the sum of the own figures and of those that peers stated about themselves. */
	#computeSum(record: PoolRecord, now: number): Figures {
		const all = [...record.peerFigures.values()].filter(({at}) => now - at <= reportRetentionMs).map(({figures}) => figures);
		if (now - this.#startedAt >= windowMs) {
			all.push(this.#computeOwn(record, now));
		}

		const rateByAccount = new Map<string, number>();
		let completionsPerS = 0;
		let requestsPerS = 0;
		for (const figures of all) {
			completionsPerS += figures.completionsPerS;
			requestsPerS += figures.requestsPerS;
			for (const [account, perS] of figures.rateByAccount) {
				rateByAccount.set(account, (rateByAccount.get(account) ?? 0) + perS);
			}
		}

		return {
			instanceCount: all.length, completionsPerS, requestsPerS, rateByAccount,
		};
	}

	#computeOwn({requests, completions, requestsByAccount}: PoolRecord, now: number): Figures {
		const toPerS = (window: SlidingWindow) => window.count(now) * 1000 / windowMs;
		const rateByAccount = new Map<string, number>();
		for (const [account, window] of requestsByAccount) {
			const perS = toPerS(window);
			if (perS > 0) {
				rateByAccount.set(account, perS);
			}
		}

		return {
			instanceCount: 1, completionsPerS: toPerS(completions), requestsPerS: toPerS(requests), rateByAccount,
		};
	}

	#touch(poolName: string): PoolRecord {
		const record = this.#byPool.get(poolName) ?? {
			pressedAt: Number.NEGATIVE_INFINITY,
			requests: new SlidingWindow(windowMs),
			completions: new SlidingWindow(windowMs),
			requestsByAccount: new Map<string, SlidingWindow>(),
			peerFigures: new Map<string, Report>(),
			peerSums: new Map<string, Report>(),
		};
		this.#byPool.delete(poolName);
		this.#byPool.set(poolName, record);
		evictOldest(this.#byPool, poolLimit);
		return record;
	}
}

/** Computes the time after which the share has room for what is held back now: that of one second, sent at its rate. */
export function computeReturnMs(sentFraction: number): number {
	return Math.min(maxReturnMs, Math.max(minReturnMs, ((1 / sentFraction) - 1) * 1000));
}

/**
 * Computes the fraction of an account's requests that fits into its max-min fair share of
 * `dividedFraction` of the completions. Counts that may exceed it by chance are not limited, so that few figures err towards sending.
 */
export function computeSentFraction({completionsPerS, requestsPerS, rateByAccount}: Figures, account: string, dividedFraction: number): number {
	const perS = rateByAccount.get(account) ?? 0;
	const listed = [...rateByAccount.values()];
	// Accounts that are not listed are the smallest ones, and within their shares.
	const unlistedPerS = Math.max(0, requestsPerS - listed.reduce((sum, other) => sum + other, 0));
	const fairShare = computeFairShare(listed, Math.max(0, (completionsPerS * dividedFraction) - unlistedPerS));
	// Nearly nothing completes while all targets stall, which says nothing about accounts with ordinary demand.
	const share = Math.max(fairShare, (requestsPerS - unlistedPerS) / Math.max(1, listed.length));
	const count = perS * windowMs / 1000;
	const certainPerS = Math.max(0, count - (chanceMargin * Math.sqrt(count))) * 1000 / windowMs;
	return certainPerS <= share ? 1 : share / certainPerS;
}

/** Computes the max-min fair share: what each may have at most so that all together stay within `capacity`; infinite if all fit. */
export function computeFairShare(demands: readonly number[], capacity: number): number {
	let left = capacity;
	let count = demands.length;
	for (const demand of [...demands].sort((a, b) => a - b)) {
		if (demand * count > left) {
			return left / count;
		}

		left -= demand;
		count--;
	}

	return Number.POSITIVE_INFINITY;
}

function describeFigures(pool: string, {
	instanceCount, completionsPerS, requestsPerS, rateByAccount,
}: Figures): SharedAccountLoads {
	return {
		pool,
		instances: instanceCount,
		completionsPerS: toSharedRate(completionsPerS),
		requestsPerS: toSharedRate(requestsPerS),
		accounts: [...rateByAccount].sort(([, a], [, b]) => b - a).slice(0, accountsPerPool)
			.map(([name, perS]) => ({name, requestsPerS: toSharedRate(perS)})),
	};
}

function toSharedRate(perS: number): number {
	return Math.round(perS * 10) / 10;
}
