/**
 * Finds the software version of a stream that a caller takes up. The request waits for a short
 * time until the version is known, and is refused as not run if it is not.
 *
 * This instance may have served the stream, or peers know it (`reduce-begun-streams.ts`). If all
 * that know it have ended, the version follows from the versions that may have been in service when the stream began.
 * An instance that was paused or cut off may not know all of them, and cannot tell: its clock
 * may have stood still too. Only a read of the platform that began after the take-up arrived
 * proves that it knows every version with which the stream may have begun.
 */
import {computeStreamKey} from './begun-streams.js';
import {effectKind} from '../effect.js';
import type {DirectoryRefreshedEvent, RequestArrivedEvent} from '../event.js';
import {createFailure, failureReason, type FailureReason} from '../requests/failure.js';
import {endWithFailure} from '../requests/end-request.js';
import {choosePeers} from '../members/members.js';
import {applyDirectoryUpdate, callPeers, platformSource} from '../members/reduce-fleet.js';
import {computeStreamWindowMs} from '../versions/reduce-history.js';
import {computeDirectoryAge, drawRetryAfterMs} from '../requests/resolve-request.js';
import {sendOrQueue} from '../requests/send-request.js';
import {recordLog, type OpenRequest, type Step} from '../state.js';
import {findCertainVersion} from '../versions/stream-version.js';
import type {VersionCounts} from '../versions/version-history.js';

/** Longest time for which a take-up waits for its version, in milliseconds, and as a fraction of the time that its caller waits. */
const maxWaitMs = 1000;
const maxWaitFraction = 0.25;
/** Number of failed reads of the platform after which a take-up no longer waits for one. */
const readFailureLimit = 2;
/** Smallest retry delay for streams that cannot be taken up, in milliseconds: what is in service has to change first. */
const minRetryAfterMs = 1000;

/** Shortest time between the starts of two reads of the platform, in milliseconds: all instances may have take-ups at the same time, and share its rate. */
const refreshIntervalMs = 50;
/** Time between two calls for a missing part of the directory, in milliseconds, and number of peers that are called at a time. */
const updateCallIntervalMs = 150;
const updatePeerCount = 2;
/** Time after which a version that follows from the versions in service is used although a peer that was asked has not responded, in milliseconds. */
const peerPreferenceMs = 150;

/** Why a take-up is refused. */
const refusalCause = {
	/** No peer that responded knows the stream, and this instance could not find out whether it knows all versions. */
	unproved: 'unproved',
	/** No peer that responded knows the stream, and several versions may have begun it. */
	uncertain: 'uncertain',
	/** No target has the version that began the stream. */
	gone: 'gone',
} as const;

/** From what the version of a stream was found. */
const versionSource = {
	/** This instance served the stream, or was told of it by one that did. */
	memory: 'memory',
	/** A peer that was asked. */
	peer: 'peer',
	/** The versions that were in service. */
	window: 'window',
} as const;
type FoundVersion = {readonly softwareVersion: string; readonly source: typeof versionSource[keyof typeof versionSource]};

/** Starts to find the version of a stream that a caller takes up; the request is sent as soon as it is known. */
export function startTakeUp(step: Step, request: OpenRequest, {resumedRequestId}: RequestArrivedEvent): void {
	const {state, now} = step;
	const streamKey = resumedRequestId === undefined ? undefined : computeStreamKey(request.streamId, request.account);
	const canAsk = streamKey !== undefined && state.members.byId.size > 0;
	request.takeUp = {
		resumedRequestId,
		streamKey,
		...(!canAsk && {awaitedPeers: new Set()}),
		askedPeerCount: 0,
		decideBy: now + Math.min(maxWaitMs, (request.deadlineAt - now) * maxWaitFraction),
		readFailureCount: 0,
	};
	state.pendingTakeUps.add(request);
	advanceTakeUp(step, request);
}

/** Decides about the take-ups whose version is known now, or cannot be found in time. */
export function advanceTakeUps(step: Step): void {
	for (const request of step.state.pendingTakeUps) {
		advanceTakeUp(step, request);
	}
}

function advanceTakeUp(step: Step, request: OpenRequest): void {
	const {state, now} = step;
	const {arrivedAt, poolName, takeUp} = request;
	const {decideBy, readFailureCount, awaitedPeers} = takeUp!;
	const isProved = state.provedAt >= arrivedAt;
	const isReadable = !isProved && readFailureCount < readFailureLimit;
	const found = findVersion(step, request, isProved);
	if (found !== undefined && (state.poolVersions.get(poolName)?.get(found.softwareVersion) ?? 0) > 0) {
		bindTakeUp(step, request, found);
	} else if (found !== undefined && isProved) {
		refuseTakeUp(step, request, refusalCause.gone, found.softwareVersion);
	} else if (now >= decideBy || (!isReadable && found === undefined && awaitedPeers?.size === 0)) {
		refuseTakeUp(step, request, isProved ? refusalCause.uncertain : refusalCause.unproved, found?.softwareVersion);
	} else {
		if (isReadable) {
			requestRefresh(step);
		}

		if (found !== undefined && readFailureCount > 0) {
			requestUpdate(step);
		}
	}
}

/** Calls peers for the directory, because targets of a version are missing that one of them knows. */
function requestUpdate(step: Step): void {
	const {state, now} = step;
	if (now >= state.nextUpdateCallAt) {
		state.nextUpdateCallAt = now + updateCallIntervalMs;
		callPeers(step, choosePeers(state.members, state.self.address, updatePeerCount, state.random));
	}
}

/** Finds the version of the stream; what an instance that served it tells precedes what follows from the versions in service. */
function findVersion(step: Step, request: OpenRequest, isProved: boolean): FoundVersion | undefined {
	const {state, now} = step;
	const {arrivedAt, takeUp} = request;
	const {streamKey, awaitedPeers, askedPeerCount} = takeUp!;
	const remembered = streamKey === undefined ? undefined : state.begunStreams.findVersion(streamKey);
	if (remembered !== undefined) {
		return {softwareVersion: remembered, source: askedPeerCount === 0 ? versionSource.memory : versionSource.peer};
	}

	const mayUseWindow = isProved && (awaitedPeers?.size === 0 || now - arrivedAt >= peerPreferenceMs);
	const softwareVersion = mayUseWindow ? findVersionInWindow(step, request) : undefined;
	return softwareVersion === undefined ? undefined : {softwareVersion, source: versionSource.window};
}

/** Reads the platform once, unless such a read is in progress or began a moment ago. */
function requestRefresh({state, now, effects}: Step): void {
	if (state.isRefreshing || now < state.nextRefreshAt) {
		return;
	}

	const {epoch, revision} = state.directory;
	state.isRefreshing = true;
	state.nextRefreshAt = now + refreshIntervalMs;
	effects.push({kind: effectKind.refreshDirectory, position: {epoch, revision}});
}

/** Applies the result of a read that was started for take-ups. */
export function applyDirectoryRefreshed(step: Step, {update, startedAt, fault}: DirectoryRefreshedEvent): void {
	const {state} = step;
	state.isRefreshing = false;
	if (update !== undefined && applyDirectoryUpdate(step, update, startedAt, platformSource)) {
		state.provedAt = Math.max(state.provedAt, startedAt);
	} else {
		recordLog(step, 'refresh-failed', {detail: fault ?? 'changes are missing', revision: state.directory.revision});
		for (const {arrivedAt, takeUp} of state.pendingTakeUps) {
			takeUp!.readFailureCount += startedAt >= arrivedAt ? 1 : 0;
		}
	}

	advanceTakeUps(step);
}

/** Lists the states of the pool in which the stream may have begun; `undefined` if they are not known far enough back. */
function listStates({state, now}: Step, {route, poolName}: OpenRequest): readonly VersionCounts[] | undefined {
	return state.versionHistory.listCounts(poolName, now - computeStreamWindowMs(route, state.bounds));
}

/** Finds the version that certainly began the stream, as far as this instance knows the states of the pool. */
function findVersionInWindow(step: Step, request: OpenRequest): string | undefined {
	// No stream begins while the pool has no targets.
	const servingStates = (listStates(step, request) ?? []).filter(counts => [...counts.values()].some(count => count > 0));
	if (request.takeUp!.resumedRequestId !== undefined) {
		return findCertainVersion(servingStates, request.streamId);
	}

	const versions = new Set(servingStates.flatMap(counts => [...counts.keys()]));
	return versions.size === 1 ? [...versions][0] : undefined;
}

function describeTakeUp({now}: Step, {requestId, poolName, arrivedAt, takeUp}: OpenRequest): Record<string, unknown> {
	return {
		requestId, resumes: takeUp!.resumedRequestId, pool: poolName, waitedMs: Math.round(now - arrivedAt),
		asked: takeUp!.askedPeerCount, unanswered: takeUp!.awaitedPeers?.size,
	};
}

function bindTakeUp(step: Step, request: OpenRequest, {softwareVersion, source}: FoundVersion): void {
	recordLog(step, 'take-up-bound', {...describeTakeUp(step, request), softwareVersion, source});
	request.boundVersion = softwareVersion;
	step.state.pendingTakeUps.delete(request);
	sendOrQueue(step, request);
}

function refuseTakeUp(step: Step, request: OpenRequest, cause: typeof refusalCause[keyof typeof refusalCause], softwareVersion?: string): void {
	const {state} = step;
	const reason: FailureReason = cause === refusalCause.gone ? failureReason.versionGone : failureReason.versionUnknown;
	recordLog(step, 'take-up-refused', {
		...describeTakeUp(step, request), reason, cause, softwareVersion,
		versions: listStates(step, request)?.map(counts => Object.fromEntries(counts)), sinceMs: computeStreamWindowMs(request.route, state.bounds),
		directoryAgeMs: computeDirectoryAge(step),
	});
	endWithFailure(step, request, createFailure(reason, minRetryAfterMs + drawRetryAfterMs(step)));
}
