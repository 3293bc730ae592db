/**
 * The queue of requests that wait for a token or for a target of a pool. The
 * queue for a target is short and bounded. Requests are served by priority and
 * then round-robin over client accounts; a full queue sheds a request of the
 * account with the most queued requests.
 */
import type {Step} from '../state.js';
import {requestPhase, type PendingRequest} from './request-state.js';

/**
 * Lists all queued requests in the order in which they are tried: highest
 * priority first, and within a priority the first request of each account, then
 * the second of each, and so on.
 */
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

/** Lists the requests queued for a target of one pool. */
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
 * Finds the request to shed from a full queue in favor of a new one. It is the
 * newest request of the account with the most requests at the lowest priority.
 * If the new request itself has the lowest priority, that account must have more
 * requests at this priority than the account of the new request would have.
 * Returns `undefined` if the new request is to be refused.
 */
export function findShedCandidate(queued: readonly PendingRequest[], request: PendingRequest): PendingRequest | undefined {
	// A request that was already sent to a target is not shed in favor of one that was not.
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
