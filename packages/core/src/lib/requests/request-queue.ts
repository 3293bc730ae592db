/**
 * The queue of requests that wait for a target of a pool. It is short and
 * bounded; turns go by priority, then evenly between client accounts, and a
 * full queue sheds from the account that takes the most of it.
 */
import type {Step} from '../state.js';
import {requestPhase, type PendingRequest} from './request-state.js';

/** Lists everything that waits, in the order of its turn: highest priority first, then each account's first, second and so on. */
export function listInDispatchOrder({state: {requests}}: Step): PendingRequest[] {
	const positionByAccount = new Map<string, number>();
	const entries: Array<{readonly request: PendingRequest; readonly position: number}> = [];
	for (const requestId of requests.queuedIds) {
		const request = requests.pending.get(requestId);
		if (request === undefined) {
			requests.queuedIds.delete(requestId);
			continue;
		}

		const key = `${request.priority}/${request.account}`;
		const position = positionByAccount.get(key) ?? 0;
		positionByAccount.set(key, position + 1);
		entries.push({request, position});
	}

	entries.sort((a, b) => b.request.priority - a.request.priority || a.position - b.position);
	return entries.map(({request}) => request);
}

/** Lists the requests that wait for a target of one pool. */
export function listQueuedForTarget({state: {requests}}: Step, pool: string): PendingRequest[] {
	const queued: PendingRequest[] = [];
	for (const requestId of requests.queuedIds) {
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
	const unattempted = queued.filter(({attemptCount}) => attemptCount === 0);
	const lowestPriority = Math.min(request.priority, ...unattempted.map(({priority}) => priority));
	const candidates = unattempted.filter(({priority}) => priority === lowestPriority);
	const countByAccount = new Map<string, number>();
	for (const {account} of candidates) {
		countByAccount.set(account, (countByAccount.get(account) ?? 0) + 1);
	}

	let shed: PendingRequest | undefined;
	for (const candidate of candidates) {
		if (shed === undefined || countByAccount.get(candidate.account)! >= countByAccount.get(shed.account)!) {
			shed = candidate;
		}
	}

	if (shed === undefined || lowestPriority < request.priority) {
		return shed;
	}

	return countByAccount.get(shed.account)! > (countByAccount.get(request.account) ?? 0) + 1 ? shed : undefined;
}
