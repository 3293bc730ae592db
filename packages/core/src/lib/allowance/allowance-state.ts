/**
 * Allowances: this instance's share of each client account's rate and burst.
 * The shares of all instances that may exist at once add up to at most the
 * limit, so the instances need no coordination.
 */
import type {SpareShare} from '../message.js';
import type {Step} from '../state.js';
import {createDemandMeter, recordDemand, type DemandMeter} from './demand-meter.js';
import {formatAccountLimitId, findLimitAccount} from './limit.js';
import {computeNetShare, LoanIndex} from './share-ledger.js';
import type {PendingLoan, ShareDemand} from './share-demand.js';
import {
	createBucket, resizeBucket, tryTakeTokens, type TokenBucket,
} from './token-bucket.js';

export type AllowanceState = {
	/** Token buckets by client account. */
	buckets: Map<string, TokenBucket>;
	/** Recent demand by client account. */
	demandMeters: Map<string, DemandMeter>;
	/** Number of requests queued for a token, by client account. */
	queuedCounts: Map<string, number>;
	/** Loans granted to peers. */
	lent: LoanIndex;
	/** Loans received from peers. */
	borrowed: LoanIndex;
	/** Demand for rate by limit. */
	rateDemands: Map<string, ShareDemand>;
	/** Demand for tokens or slots by limit. */
	capacityDemands: Map<string, ShareDemand>;
	/** Unanswered loan requests by loan identifier. */
	pendingLoans: Map<string, PendingLoan>;
	/** Consolidating instance by limit, with the hash of the instance list that it was chosen from. */
	consolidators: Map<string, {readonly listHash: number; readonly instanceId: string | undefined}>;
	nextLoanNumber: number;
};

export function createAllowanceState(): AllowanceState {
	return {
		buckets: new Map(),
		demandMeters: new Map(),
		queuedCounts: new Map(),
		lent: new LoanIndex(),
		borrowed: new LoanIndex(),
		rateDemands: new Map(),
		capacityDemands: new Map(),
		pendingLoans: new Map(),
		consolidators: new Map(),
		nextLoanNumber: 1,
	};
}

/** Updates the buckets of all configured accounts to the current shares, and removes those of other accounts. */
export function updateBuckets(step: Step): void {
	const {allowances, tables} = step.state;
	for (const name of allowances.buckets.keys()) {
		if (!tables.accountByName.has(name)) {
			allowances.buckets.delete(name);
			allowances.demandMeters.delete(name);
		}
	}

	for (const name of tables.accountByName.keys()) {
		updateBucket(step, name);
	}
}

/** Updates one account's bucket to the current share, and creates it if needed. */
export function updateBucket(step: Step, account: string): TokenBucket {
	const {rate, capacity} = computeNetShare(step, formatAccountLimitId(account));
	const {buckets} = step.state.allowances;
	const bucket = buckets.get(account) ?? createBucket(rate, capacity, step.now);
	resizeBucket(bucket, rate, capacity, step.now);
	buckets.set(account, bucket);
	return bucket;
}

/** Updates the bucket of a limit, if the limit has one, so that a change of share counts only from now on. */
export function updateLimitBucket(step: Step, limitId: string): void {
	const account = findLimitAccount(limitId);
	if (account !== undefined && step.state.tables.accountByName.has(account)) {
		updateBucket(step, account);
	}
}

/** Takes a token for one request from this instance's share; returns whether there was one. */
export function tryTakeAccountToken(step: Step, account: string): boolean {
	if (!step.state.tables.accountByName.has(account)) {
		return false;
	}

	return tryTakeTokens(updateBucket(step, account), 1, step.now);
}

/** Records one request in the demand of a client account. */
export function recordAccountDemand({state, now}: Step, account: string): void {
	const meter = state.allowances.demandMeters.get(account) ?? createDemandMeter(now);
	recordDemand(meter, 1, now);
	state.allowances.demandMeters.set(account, meter);
}

/** Counts a request queued for a token, and returns the new count. The counts are cleared before each pass over the queue. */
export function countQueuedRequest({state}: Step, account: string): number {
	const {queuedCounts} = state.allowances;
	const count = (queuedCounts.get(account) ?? 0) + 1;
	queuedCounts.set(account, count);
	return count;
}

/**
 * Describes the share that this instance can lend. The list is always empty, and
 * peers do not use it: a borrower finds out from the answer to a loan request
 * what a peer can lend.
 */
export function describeSpare(_allowances: AllowanceState, _now: number): SpareShare[] {
	return [];
}
