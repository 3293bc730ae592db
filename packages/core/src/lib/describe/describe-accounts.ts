/**
 * Describes the client accounts for operators: their limits, and what this
 * instance holds of them.
 */
import type {Account} from '../configuration/configuration.js';
import {formatAccountLimitId} from '../allowance/limit.js';
import {computeNetShare, computeOwnedShare} from '../allowance/share-ledger.js';
import type {TokenBucket} from '../allowance/token-bucket.js';
import type {State, Step} from '../state.js';

/** This instance's part of a client account's limits. */
export type ShareDescription = {
	/** Requests per second that this instance owns, loans not counted. */
	readonly ownedRate: number;
	readonly lentRate: number;
	readonly borrowedRate: number;
	/** Requests per second that it may admit now: owned and borrowed, less lent. */
	readonly heldRate: number;
	/** Most tokens that it may hold; lent and borrowed likewise. */
	readonly heldRoom: number;
	readonly lentRoom: number;
	readonly borrowedRoom: number;
	/** Tokens that it holds now. */
	readonly tokens: number;
};

export type AccountDescription = {
	readonly name: string;
	/** Requests per second over the whole fleet. */
	readonly rate: number;
	/** Requests at once over the whole fleet. */
	readonly burst: number;
	readonly keyCount: number;
	/** Requests of the account that are open at this instance. */
	readonly openRequests: number;
	readonly share: ShareDescription;
};

/** Describes every client account in the tables. */
export function describeAccounts(state: State, now: number): AccountDescription[] {
	const openByAccount = countOpenRequests(state);
	return (state.tables.configuration?.accounts ?? [])
		.map(account => describeRow(state, account, openByAccount.get(account.name) ?? 0, now));
}

/** Describes one client account; undefined: not in the tables. */
export function describeAccount(state: State, name: string, now: number): AccountDescription | undefined {
	const account = state.tables.configuration?.accounts.find(row => row.name === name);
	return account === undefined
		? undefined
		: describeRow(state, account, countOpenRequests(state).get(name) ?? 0, now);
}

function describeRow(state: State, account: Account, openRequests: number, now: number): AccountDescription {
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

function computeTokens(bucket: TokenBucket | undefined, room: number, now: number): number {
	if (bucket === undefined) {
		return 0;
	}

	const refill = bucket.rate * Math.max(0, now - bucket.refilledAt) / 1000;
	return Math.min(room, bucket.tokens + refill);
}

function countOpenRequests({requests}: State): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {account} of requests.pending.values()) {
		counts.set(account, (counts.get(account) ?? 0) + 1);
	}

	return counts;
}
