/**
 * Allowances: this instance's share of each client account's rate and burst.
 * The shares of all instances that may exist at once add up to the limit at
 * most, so that no agreement is needed.
 */
import type {Account} from '../configuration/configuration.js';
import type {SpareShare} from '../message.js';
import type {Step} from '../state.js';
import {
	createBucket, resizeBucket, tryTakeTokens, type TokenBucket,
} from './token-bucket.js';

export type AllowanceState = {
	/** Bucket by client account. */
	buckets: Map<string, TokenBucket>;
};

export function createAllowanceState(): AllowanceState {
	return {buckets: new Map()};
}

/** Fraction of every limit that this instance owns. */
export function computeOwnedFraction(step: Step): number {
	const ceiling = step.state.tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY;
	return 1 / ceiling;
}

/** Gives every account in the tables a bucket of its present share. */
export function updateBuckets(step: Step): void {
	const {state, now} = step;
	const fraction = computeOwnedFraction(step);
	const accounts = state.tables.configuration?.accounts ?? [];
	const names = new Set(accounts.map(account => account.name));
	for (const name of state.allowances.buckets.keys()) {
		if (!names.has(name)) {
			state.allowances.buckets.delete(name);
		}
	}

	for (const account of accounts) {
		updateBucket(state.allowances, account, fraction, now);
	}
}

function updateBucket(allowances: AllowanceState, account: Account, fraction: number, now: number): void {
	const rate = account.rate * fraction;
	const room = account.burst * fraction;
	const bucket = allowances.buckets.get(account.name);
	if (bucket === undefined) {
		allowances.buckets.set(account.name, createBucket(rate, room, now));
		return;
	}

	resizeBucket(bucket, rate, room, now);
}

/** Takes one request's token from an account's share. */
export function tryAdmit(step: Step, account: string): boolean {
	const bucket = step.state.allowances.buckets.get(account);
	return bucket !== undefined && tryTakeTokens(bucket, 1, step.now);
}

/** Describes what this instance could lend. */
export function describeSpare(_allowances: AllowanceState, _now: number): SpareShare[] {
	return [];
}
