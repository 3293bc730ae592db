/**
 * Finds the software version of a stream that a caller takes up. The request waits for a short
 * time until the version is known, and is refused as not run if it is not.
 *
 * The version follows from the versions that may have been in service when the stream began.
 * An instance that was paused or cut off may not know all of them, and cannot tell: its clock
 * may have stood still too. Only a read of the platform that began after the take-up arrived
 * proves that it knows every version with which the stream may have begun.
 */
import {effectKind} from './effect.js';
import type {DirectoryRefreshedEvent, RequestArrivedEvent} from './event.js';
import {createFailure, failureReason, type FailureReason} from './failure.js';
import {endWithFailure} from './end-request.js';
import {applyDirectoryUpdate, platformSource} from './reduce-fleet.js';
import {computeStreamWindowMs} from './reduce-history.js';
import {computeDirectoryAge, drawRetryAfterMs} from './resolve-request.js';
import {sendOrQueue} from './send-request.js';
import {recordLog, type OpenRequest, type Step} from './state.js';
import {findCertainVersion} from './stream-version.js';
import type {VersionCounts} from './version-history.js';

/** Longest time for which a take-up waits for its version, in milliseconds, and as a fraction of the time that its caller waits. */
const maxWaitMs = 1000;
const maxWaitFraction = 0.25;
/** Number of failed reads of the platform after which a take-up no longer waits for one. */
const readFailureLimit = 2;
/** Smallest retry delay for streams that cannot be taken up, in milliseconds: what is in service has to change first. */
const minRetryAfterMs = 1000;

/** Why a take-up is refused. */
const refusalCause = {
	/** This instance could not find out whether it knows all versions. */
	unproved: 'unproved',
	/** Several versions may have begun the stream. */
	uncertain: 'uncertain',
	/** No target has the version that began the stream. */
	gone: 'gone',
} as const;

/** Starts to find the version of a stream that a caller takes up; the request is sent as soon as it is known. */
export function startTakeUp(step: Step, request: OpenRequest, {resumedRequestId}: RequestArrivedEvent): void {
	const {state, now} = step;
	request.takeUp = {resumedRequestId, decideBy: now + Math.min(maxWaitMs, (request.deadlineAt - now) * maxWaitFraction), readFailureCount: 0};
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
	const {decideBy, readFailureCount} = takeUp!;
	if (state.provedAt >= arrivedAt) {
		const version = findVersionInWindow(step, request);
		if (version === undefined) {
			refuseTakeUp(step, request, refusalCause.uncertain);
		} else if ((state.poolVersions.get(poolName)?.get(version) ?? 0) === 0) {
			refuseTakeUp(step, request, refusalCause.gone, version);
		} else {
			bindTakeUp(step, request, version);
		}
	} else if (now >= decideBy || readFailureCount >= readFailureLimit) {
		refuseTakeUp(step, request, refusalCause.unproved);
	} else {
		requestRefresh(step);
	}
}

/** Reads the platform once, unless such a read is in progress. */
function requestRefresh({state, effects}: Step): void {
	if (state.isRefreshing) {
		return;
	}

	const {epoch, revision} = state.directory;
	state.isRefreshing = true;
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
	};
}

function bindTakeUp(step: Step, request: OpenRequest, softwareVersion: string): void {
	recordLog(step, 'take-up-bound', {...describeTakeUp(step, request), softwareVersion});
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
