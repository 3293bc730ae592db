/**
 * Allowances: this instance's share of each client account's rate and burst.
 * The shares of all instances that may exist at once add up to the limit at
 * most, so that no agreement is needed.
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
	/** Bucket by client account. */
	buckets: Map<string, TokenBucket>;
	/** Recent demand by client account. */
	demandMeters: Map<string, DemandMeter>;
	/** Requests that wait for a token, by client account. */
	queuedCounts: Map<string, number>;
	/** Loans given to peers. */
	lent: LoanIndex;
	/** Loans taken from peers. */
	borrowed: LoanIndex;
	/** Wanted rate by limit. */
	rateDemands: Map<string, ShareDemand>;
	/** Wanted tokens or slots by limit. */
	capacityDemands: Map<string, ShareDemand>;
	/** Requests for loans that are not answered yet, by loan. */
	pendingLoans: Map<string, PendingLoan>;
	/** Gathering instance by limit, and the list that it was chosen from. */
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

/** Gives every account in the tables a bucket of its present share. */
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

/** Brings one account's bucket to its present share. */
export function updateBucket(step: Step, account: string): TokenBucket {
	const {rate, capacity} = computeNetShare(step, formatAccountLimitId(account));
	const {buckets} = step.state.allowances;
	const bucket = buckets.get(account) ?? createBucket(rate, capacity, step.now);
	resizeBucket(bucket, rate, capacity, step.now);
	buckets.set(account, bucket);
	return bucket;
}

/** Brings a limit's bucket, if it has one, up to now, so that a change of share counts from now on. */
export function updateLimitBucket(step: Step, limitId: string): void {
	const account = findLimitAccount(limitId);
	if (account !== undefined && step.state.tables.accountByName.has(account)) {
		updateBucket(step, account);
	}
}

/** Takes one request's token from an account's share. */
export function tryTakeAccountToken(step: Step, account: string): boolean {
	if (!step.state.tables.accountByName.has(account)) {
		return false;
	}

	return tryTakeTokens(updateBucket(step, account), 1, step.now);
}

/** Records that a client account asked for one request. */
export function recordAccountDemand({state, now}: Step, account: string): void {
	const meter = state.allowances.demandMeters.get(account) ?? createDemandMeter(now);
	recordDemand(meter, 1, now);
	state.allowances.demandMeters.set(account, meter);
}

/** Counts a request that waits for a token; the count starts anew whenever all of them are tried. */
export function countQueuedRequest({state}: Step, account: string): number {
	const {queuedCounts} = state.allowances;
	const count = (queuedCounts.get(account) ?? 0) + 1;
	queuedCounts.set(account, count);
	return count;
}

/** Describes what this instance could lend. */
export function describeSpare(_allowances: AllowanceState, _now: number): SpareShare[] {
	return [];
}
