/**
 * The queue of requests that wait for a target of a pool. It is short and
 * bounded; turns go by priority, then evenly between client accounts, and a
 * full queue sheds from the account that takes the most of it.
 */
import type {Step} from '../state.js';
import {requestPhase, type PendingRequest} from './request-state.js';

/** Lists everything that waits, in the order of its turn: highest priority first, then each account's first, second and so on. */
export function listInTurn({state: {requests}}: Step): PendingRequest[] {
	const turnByAccount = new Map<string, number>();
	const entries: Array<{readonly request: PendingRequest; readonly turn: number}> = [];
	for (const requestId of requests.waiting) {
		const request = requests.pending.get(requestId);
		if (request === undefined) {
			requests.waiting.delete(requestId);
			continue;
		}

		const key = `${request.priority}/${request.account}`;
		const turn = turnByAccount.get(key) ?? 0;
		turnByAccount.set(key, turn + 1);
		entries.push({request, turn});
	}

	entries.sort((a, b) => b.request.priority - a.request.priority || a.turn - b.turn);
	return entries.map(({request}) => request);
}

/** Lists the requests that wait for a target of one pool. */
export function listQueued({state: {requests}}: Step, pool: string): PendingRequest[] {
	const queued: PendingRequest[] = [];
	for (const requestId of requests.waiting) {
		const request = requests.pending.get(requestId);
		if (request?.phase === requestPhase.waitsForTarget && request.route.pool === pool) {
			queued.push(request);
		}
	}

	return queued;
}

/**
 * Finds the request that gives way to a new one in a full queue: the newest of
 * lower priority, or of an account that has more in the queue at this priority
 * than the new one's account would have. Undefined: the new one is refused.
 */
export function findShedCandidate(queued: readonly PendingRequest[], request: PendingRequest): PendingRequest | undefined {
	// What a target has begun is not given up for what has not.
	const fresh = queued.filter(({attemptCount}) => attemptCount === 0);
	const lowest = Math.min(request.priority, ...fresh.map(({priority}) => priority));
	const candidates = fresh.filter(({priority}) => priority === lowest);
	const counts = new Map<string, number>();
	for (const {account} of candidates) {
		counts.set(account, (counts.get(account) ?? 0) + 1);
	}

	let largest: PendingRequest | undefined;
	for (const candidate of candidates) {
		if (largest === undefined || counts.get(candidate.account)! >= counts.get(largest.account)!) {
			largest = candidate;
		}
	}

	if (largest === undefined || lowest < request.priority) {
		return largest;
	}

	return counts.get(largest.account)! > (counts.get(request.account) ?? 0) + 1 ? largest : undefined;
}
