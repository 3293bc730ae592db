/**
 * Holds requests of client accounts back that exceed their fair share of a contended pool.
 * A request that is held back waits with the queued requests, is sent as soon as the pool is no longer
 * contended, and is refused as not run at the end of its queue time.
 */
import {computeReturnMs, type PoolPressure} from './account-share.js';
import {createNotRunFailure} from './end-request.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import type {SharedAccountLoads} from '../members/peer-message.js';
import {findLoadQueryEnd} from './reduce-load-queries.js';
import {drawRetryAfterMs} from './resolve-request.js';
import {
	recordLog, type OpenRequest, type State, type Step,
} from '../state.js';
import {PoolLoad} from '../targets/pool-load.js';

/** True if the settings ask for fair shares and the configuration tables state client accounts. */
function hasShares({bounds, directory}: State): boolean {
	return bounds.hasFairShares === true && directory.tables?.accounts !== undefined;
}

/** Records an arrival in the figures of its pool, if accounts have fair shares, and decides whether the request is held back. */
export function admitToShare(step: Step, request: OpenRequest): void {
	const {state, now} = step;
	const {poolName, account, fingerprint, isRelayed, takesUpAfterEventId} = request;
	// The peer that received a relayed request has decided about it, and a stream that its caller takes up has begun already.
	if (!hasShares(state) || isRelayed || takesUpAfterEventId !== undefined) {
		return;
	}

	const heldBackUntil = state.accountShare.findHeldBackUntil(fingerprint, now);
	if (heldBackUntil === undefined) {
		state.accountShare.recordRequest(poolName, account, now);
	}

	const pressure = findPressure(step, poolName);
	if (account === undefined || !state.accountShare.updateContention(poolName, pressure, now)) {
		return;
	}

	const sentFraction = state.accountShare.computeSentFraction(poolName, account, pressure, now);
	if (sentFraction < 1 && (heldBackUntil !== undefined || state.random() >= sentFraction)) {
		request.shareReturnAt = heldBackUntil ?? now + computeReturnMs(sentFraction);
		state.accountShare.recordHeldBack(fingerprint, request.shareReturnAt);
		recordLog(step, 'held-back', {
			requestId: request.requestId, route: request.route.name, account, pool: poolName, sentShare: Math.round(sentFraction * 100) / 100,
			load: Math.round(pressure.load), slots: pressure.slots,
		});
	}
}

/** True while a request exceeds the share of its account, and its pool is contended. */
export function isHeldBack(step: Step, request: OpenRequest): boolean {
	const {state: {accountShare}, now} = step;
	const {poolName, shareReturnAt} = request;
	if (shareReturnAt !== undefined) {
		const pressure = accountShare.findPressure(poolName, () => findPressure(step, poolName), now);
		request.shareReturnAt = accountShare.updateContention(poolName, pressure, now) ? shareReturnAt : undefined;
	}

	return request.shareReturnAt !== undefined;
}

/** Creates the failure of a request whose queue time is over. */
export function createQueueFailure(step: Step, request: OpenRequest): Failure {
	const {shareReturnAt, possibleRunCount} = request;
	return shareReturnAt === undefined || possibleRunCount > 0
		? createNotRunFailure(step, request, failureReason.noTarget)
		: createFailure(failureReason.accountShare, Math.max(0, shareReturnAt - step.now) + drawRetryAfterMs(step));
}

/** Counts a completed request in the throughput of its pool. */
export function recordCompletion({state, now}: Step, {poolName, isRelayed}: OpenRequest): void {
	if (hasShares(state) && !isRelayed) {
		state.accountShare.recordCompletion(poolName, now);
	}
}

/** Describes the requests of accounts to the pools that are contended here. */
export function describeAccountLoads(step: Step): SharedAccountLoads[] {
	const {state: {accountShare}, now} = step;
	const contended = accountShare.listPools(now).filter(poolName => accountShare.updateContention(poolName, findPressure(step, poolName), step.now));
	return accountShare.describe(contended, now);
}

/** Finds what is known about the load of a pool. */
function findPressure(step: Step, poolName: string): PoolPressure {
	const {state, now} = step;
	const targets = (state.targets.byPool.get(poolName) ?? []).filter(({isGone}) => !isGone);
	return {
		load: new PoolLoad(targets, [], now).mean * targets.length,
		slots: targets.reduce((sum, {record}) => sum + record.slots, 0),
		hasRejected: targets.some(({rejections}) => rejections.count(now) > 0),
		hasWaiting: hasWaiting(step, poolName),
	};
}

/** True if a request for the pool waits that is not held back, and not only for the load of a target. */
function hasWaiting(step: Step, poolName: string): boolean {
	const {state, now} = step;
	if (now < (state.paths.get(poolName)?.silenceDecisionAt ?? 0)) {
		return false;
	}

	for (const other of state.queuedRequests) {
		if (other.poolName === poolName && other.shareReturnAt === undefined && other.sendCount === 0 && findLoadQueryEnd(step, other) === undefined) {
			return true;
		}
	}

	return false;
}
