/**
 * Finds out the present load of a target before a request is sent to it. Load: in a large fleet, an instance receives
 * few of a target's responses, and peers pass on the loads that these report only after a second or more. Instances that
 * decide by the same outdated report send their requests to the same target.
 *
 * One instance, the tracker, tracks the load of each target: the instance that ranks first for the target. If the load
 * may exceed the platform's bound, as far as this instance knows, it asks the tracker, which counts the request from then
 * on. Later, it tells the tracker the load that the target's response reports. No request depends on a tracker: if the
 * tracker does not respond in time, the request is sent by what this instance knows.
 */
import {effectKind} from '../effect.js';
import type {LoadPeerAnsweredEvent, LoadPeerCalledEvent} from '../event.js';
import {evictOldest} from '../evict-oldest.js';
import {isMember} from '../members/members.js';
import {recordLog, type OpenRequest, type Step} from '../state.js';
import type {LoadMessage} from '../targets/load-message.js';
import type {Placement} from '../targets/placement.js';
import {PoolLoad} from '../targets/pool-load.js';
import {findFirstRanked} from '../targets/ranking.js';
import {
	recordAnnouncedSend, recordReportedLoad, recordTrackedLoad, type Target,
} from '../targets/target-state.js';

/** Time limit of a call, in milliseconds: peers respond within a few, and a request waits. */
const queryTimeoutMs = 50;
/** Largest part of the time left that a request waits for a response. */
const queryTimeFraction = 0.1;
/** Largest number of targets whose load is asked for before a request is sent. */
const queriesPerRequest = 3;
/** Time for which a tracker that did not respond is not called, in milliseconds, and number of such trackers that are remembered. */
const failedTrackerPauseMs = 1000;
const failedTrackerLimit = 256;
/** Age of the latest report above which a tracker states no load, in milliseconds: it knows no more than its peers. */
const trackedLoadMaxAgeMs = 1000;

/** Asks for the load of the target that was chosen if it is not known well enough; returns false if the request need not wait. */
export function tryQueryLoad(step: Step, request: OpenRequest, {target, loadLimit, isLoadUncertain}: Placement): boolean {
	const {now} = step;
	const {record: {id}} = target;
	const query = request.loadQuery ?? {targetIds: new Set()};
	const isUseful = isLoadUncertain && request.sendCount === 0 && !query.targetIds.has(id) && query.targetIds.size < queriesPerRequest
		&& queryTimeoutMs <= (request.deadlineAt - now) * queryTimeFraction;
	const address = isUseful ? findTrackerAddress(step, target) : undefined;
	if (address === undefined) {
		return false;
	}

	query.targetIds.add(id);
	query.pendingUntil = now + queryTimeoutMs;
	request.loadQuery = query;
	callTracker(step, address, target, {loadLimit}, request.openId);
	return true;
}

/** Finds the time up to which the request waits for the load of a target; `undefined` if it does not. */
export function findLoadQueryEnd({now}: Step, {loadQuery}: OpenRequest): number | undefined {
	const pendingUntil = loadQuery?.pendingUntil;
	return pendingUntil !== undefined && now < pendingUntil ? pendingUntil : undefined;
}

/** Tells the tracker of a target the load that the target reported in response to the request, once, if the tracker was asked about it. */
export function notifyTracker(step: Step, {loadQuery}: OpenRequest, target: Target): void {
	const isAsked = loadQuery?.targetIds.delete(target.record.id) ?? false;
	const address = isAsked && target.reportedLoad !== undefined ? findTrackerAddress(step, target) : undefined;
	if (address !== undefined) {
		callTracker(step, address, target, {load: target.reportedLoad!.load});
	}
}

/** Finds the address of the peer that tracks the load of a target; `undefined` if it is this instance, or has not responded lately. */
function findTrackerAddress({state, now}: Step, {hash}: Target): string | undefined {
	const self = {hash: state.selfHash, address: undefined};
	const address = findFirstRanked([self, ...state.members.byId.values()], hash)?.address;
	const pausedUntil = address === undefined ? undefined : state.failedTrackers.get(address);
	return pausedUntil !== undefined && now < pausedUntil ? undefined : address;
}

function callTracker(step: Step, address: string, {record: {id, bornAt}}: Target, fields: Pick<LoadMessage, 'load' | 'loadLimit'>, openId?: number): void {
	step.effects.push({
		kind: effectKind.callLoadPeer, address, message: {
			...createSender(step), targetId: id, bornAt, ...fields,
		}, openId, timeoutMs: queryTimeoutMs,
	});
}

function createSender({state: {self: {id, incarnation}}}: Step): Pick<LoadMessage, 'from'> {
	return {from: {id, incarnation}};
}

/** Applies what a member tells of the load of a target, and responds with the present one; counts the request that the member sends there. */
export function applyLoadPeerCalled(step: Step, {callId, message}: LoadPeerCalledEvent): void {
	const {targetId, bornAt} = message;
	const target = isMember(step.state.members, message.from) ? findTarget(step, message) : undefined;
	const load = target === undefined ? undefined : trackLoad(step, target, message);
	step.effects.push({
		kind: effectKind.answerLoadPeer, callId, message: {
			...createSender(step), targetId, bornAt, load,
		},
	});
}

/** Returns the present load of the target; `undefined` if this instance has no recent report. */
function trackLoad({state, now}: Step, target: Target, {load, loadLimit}: LoadMessage): number | undefined {
	if (load !== undefined) {
		recordReportedLoad(target, load, now, true);
	}

	const estimate = new PoolLoad(state.targets.byPool.get(target.record.pool) ?? [], [], now).estimate(target);
	if (loadLimit !== undefined && estimate + 1 <= loadLimit) {
		recordAnnouncedSend(target, now);
	}

	return target.reportedLoad !== undefined && now - target.reportedLoad.at <= trackedLoadMaxAgeMs ? estimate : undefined;
}

/** Applies the response of a tracker; the request that waits for it can be sent. */
export function applyLoadPeerAnswered(step: Step, {address, openId, message, fault}: LoadPeerAnsweredEvent): void {
	const {state, now} = step;
	if (message === undefined) {
		recordLog(step, 'load-peer-failed', {address, detail: fault});
		state.failedTrackers.delete(address);
		state.failedTrackers.set(address, now + failedTrackerPauseMs);
		evictOldest(state.failedTrackers, failedTrackerLimit);
	}

	const request = openId === undefined ? undefined : state.openRequests.get(openId);
	const target = message === undefined ? undefined : findTarget(step, message);
	if (openId !== undefined && target !== undefined && message?.load !== undefined) {
		recordTrackedLoad(target, message.load, now);
	}

	if (request?.loadQuery !== undefined) {
		request.loadQuery.pendingUntil = undefined;
	}
}

/** Finds the process that a message names; `undefined` if it is not known here. */
function findTarget({state: {targets}}: Step, {targetId, bornAt}: LoadMessage): Target | undefined {
	const target = targets.byId.get(targetId);
	return target?.record.bornAt === bornAt ? target : undefined;
}
