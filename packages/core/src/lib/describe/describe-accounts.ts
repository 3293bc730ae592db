/**
 * Describes the client accounts for the administration API: their limits and
 * this instance's shares of the limits.
 */
import type {Account} from '../configuration/configuration.js';
import {formatAccountLimitId} from '../allowance/limit.js';
import {computeNetShare, computeOwnedShare} from '../allowance/share-ledger.js';
import type {TokenBucket} from '../allowance/token-bucket.js';
import type {State, Step} from '../state.js';

/** This instance's share of a client account's limits. Rates are in requests per second. */
export type ShareDescription = {
	/** Rate that this instance owns, without loans. */
	readonly ownedRate: number;
	readonly lentRate: number;
	readonly borrowedRate: number;
	/** Rate that this instance may admit now: owned plus borrowed minus lent. */
	readonly heldRate: number;
	/** Capacity of this instance's token bucket, in tokens; `lentRoom` and `borrowedRoom` are the lent and borrowed parts. */
	readonly heldRoom: number;
	readonly lentRoom: number;
	readonly borrowedRoom: number;
	/** Tokens that this instance holds now. */
	readonly tokens: number;
};

export type AccountDescription = {
	readonly name: string;
	/** Requests per second that the whole fleet may admit. */
	readonly rate: number;
	/** Requests that the whole fleet may admit at once. */
	readonly burst: number;
	readonly keyCount: number;
	/** Open requests of the account at this instance. */
	readonly openRequests: number;
	readonly share: ShareDescription;
};

/** Describes all client accounts in the configuration tables. */
export function describeAccounts(state: State, now: number): AccountDescription[] {
	const openByAccount = countOpenRequests(state);
	return (state.tables.configuration?.accounts ?? [])
		.map(account => createAccountDescription(state, account, openByAccount.get(account.name) ?? 0, now));
}

/** Describes one client account; returns `undefined` if the configuration tables do not contain it. */
export function describeAccount(state: State, name: string, now: number): AccountDescription | undefined {
	const account = state.tables.configuration?.accounts.find(row => row.name === name);
	return account === undefined
		? undefined
		: createAccountDescription(state, account, countOpenRequests(state).get(name) ?? 0, now);
}

function createAccountDescription(state: State, account: Account, openRequests: number, now: number): AccountDescription {
	return {
		name: account.name,
		rate: account.rate,
		burst: account.burst,
		keyCount: account.keyDigests.length,
		openRequests,
		share: describeShare(state, account.name, now),
	};
}

function describeShare(state: State, name: string, now: number): ShareDescription {
	const step: Step = {state, now, effects: []};
	const limitId = formatAccountLimitId(name);
	const {buckets, lent, borrowed} = state.allowances;
	const owned = computeOwnedShare(step, limitId);
	const held = computeNetShare(step, limitId);
	const lentShare = lent.computeSum(limitId, now);
	const borrowedShare = borrowed.computeSum(limitId, now);
	return {
		ownedRate: owned.rate,
		lentRate: lentShare.rate,
		borrowedRate: borrowedShare.rate,
		heldRate: held.rate,
		heldRoom: held.capacity,
		lentRoom: lentShare.capacity,
		borrowedRoom: borrowedShare.capacity,
		tokens: computeTokens(buckets.get(name), held.capacity, now),
	};
}

function computeTokens(bucket: TokenBucket | undefined, capacity: number, now: number): number {
	if (bucket === undefined) {
		return 0;
	}

	const refill = bucket.rate * Math.max(0, now - bucket.refilledAt) / 1000;
	return Math.min(capacity, bucket.tokens + refill);
}

function countOpenRequests({requests}: State): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {account} of requests.pending.values()) {
		counts.set(account, (counts.get(account) ?? 0) + 1);
	}

	return counts;
}
