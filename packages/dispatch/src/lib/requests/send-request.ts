/**
 * First sends and retries of requests. The route alone decides whether a request
 * is retryable; any other request is sent again only after proof that it did
 * not run.
 */
import {chooseCopySource} from '../targets/copy-source.js';
import {routeKind, type Route} from '../directory/directory-facts.js';
import {effectKind} from '../effect.js';
import {createNotRunFailure, finishWithFailure} from './end-request.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {computeInstanceCount} from '../members/members.js';
import {findLoadQueryEnd, tryQueryLoad} from './reduce-load-queries.js';
import {isHeldBack} from './reduce-account-share.js';
import {
	choosePlacement, findLimitEnd, type Placement, type PlacementView,
} from '../targets/placement.js';
import {countSharedTokens, findPromptKey} from '../targets/prompt.js';
import {chooseRelayPeer, findPath, isPathProbablyLost} from '../paths/reduce-paths.js';
import {countUncheckedLosses, findQuarantineFailure, listSuspectIds} from '../quarantine/reduce-quarantine.js';
import {
	choosePool, computeDirectoryAge, drawRetryAfterMs, resolveRequest,
} from './resolve-request.js';
import {
	findRetryBudget, findFleetView, recordLog, retryObstacle, type OpenRequest, type RetryObstacle, type Step,
} from '../state.js';
import {findRank} from './urgency.js';
import {findRequiredVersion} from '../versions/reduce-versions.js';
import {listInWaitingOrder} from './waiting-order.js';
import {recordSend, type Target} from '../targets/target-state.js';

/** Fraction of the latency target for which a request is queued before it is refused. */
const queueTimeoutFraction = 0.125;
/** Sends allowed beyond the route's target limit, for refused connections and sends that provably did not run. */
const extraSendLimit = 3;
/** Fraction of the latency target after which a send without a response times out, if the request is retryable. */
const responseStartTimeoutFraction = 0.7;
const minResponseStartTimeoutMs = 150;
/** Multiple of the route's longest event gap after which a silent stream times out, if it can be resumed. */
const eventGapTimeoutMultiplier = 2.5;
/** Largest part of the time left that a request waits for the decision whether a path is lost: its caller may still try another instance. */
const pathDecisionFraction = 0.5;
/** Time that has to remain until the deadline for a retry to be useful, in milliseconds. */
const minRetryTimeMs = 30;

/** Where a request is sent. */
type SendChoice = Placement & {readonly isRelayed: boolean};

type SendOptions = {
	/** True if the waiting requests that precede the request are sent before it. */
	readonly isNew?: boolean;
	/** Pools without a target for first sends, as this step has found out; sends make it out of date. */
	readonly fullPools?: Set<string>;
};

/**
 * Sends the request if a target may receive it now, and refuses it if the
 * configuration tables no longer allow it or its prompt is quarantined. Returns false if the request is
 * neither sent nor refused.
 */
export function trySend(step: Step, request: OpenRequest, {isNew = false, fullPools}: SendOptions = {}): boolean {
	if (!refreshResolution(step, request)) {
		return true;
	}

	const quarantineFailure = findQuarantineFailure(step, request);
	if (quarantineFailure !== undefined) {
		finishWithFailure(step, request, quarantineFailure);
		return true;
	}

	// Once a relayed request may have run here, its origin cannot send it to another peer.
	if (request.isRelayed && request.possibleRunCount === 0 && isPathProbablyLost(step, request.poolName)) {
		finishWithFailure(step, request, createNotRunFailure(step, request, failureReason.noTarget));
		return true;
	}

	let choice = chooseSend(step, request, fullPools);
	if (choice !== undefined && isNew && advancePreceding(step, request)) {
		choice = chooseSend(step, request);
	}

	if (choice === undefined) {
		return false;
	}

	removeFromQueue(step, request);
	startSend(step, request, choice);
	fullPools?.clear();
	return true;
}

/** Chooses where the request is sent now; `undefined` if it is held back, or waits for a decision about its path, or no target may receive it. */
function chooseSend(step: Step, request: OpenRequest, fullPools?: Set<string>): SendChoice | undefined {
	if (isHeldBack(step, request)) {
		return undefined;
	}

	const relayPeer = chooseRelayPeer(step, request);
	if (relayPeer !== undefined) {
		return {
			target: relayPeer, load: relayPeer.inFlight, meanLoad: 0, loadLimit: Number.POSITIVE_INFINITY, isLoadUncertain: false, isRelayed: true,
		};
	}

	if (findDecisionWaitEnd(step, request) !== undefined || findLoadQueryEnd(step, request) !== undefined) {
		return undefined;
	}

	request.settleUntil = undefined;

	// Another target would probably not be reached either.
	if (request.sendCount > 0 && isPathProbablyLost(step, request.poolName)) {
		return undefined;
	}

	const placementKey = fullPools === undefined ? undefined : describePlacementKey(step, request);
	if (placementKey !== undefined && fullPools!.has(placementKey)) {
		return undefined;
	}

	const placement = findPlacement(step, request, request.triedTargetIds);
	if (placement === undefined && placementKey !== undefined) {
		fullPools!.add(placementKey);
	}

	return placement === undefined || tryQueryLoad(step, request, placement) ? undefined : {...placement, isRelayed: false};
}

/** Describes what decides whether any target may receive a request; `undefined` if earlier sends of the request do so too. */
function describePlacementKey(step: Step, request: OpenRequest): string | undefined {
	const {poolName, triedTargetIds, wasRejectedBrittle} = request;
	return triedTargetIds.size > 0 || wasRejectedBrittle ? undefined : JSON.stringify([poolName, findRequiredVersion(step, request)]);
}

/**
 * Finds the time until which a request that has not been sent, or a stream that has begun, waits for the decision whether
 * a pool that is silent has lost its path, so that it is not sent over a lost path; `undefined` if it need not wait.
 */
export function findDecisionWaitEnd({state, now}: Step, request: OpenRequest): number | undefined {
	const {
		poolName, possibleRunCount, hasResponseStarted, arrivedAt, deadlineAt, settleUntil = Number.NEGATIVE_INFINITY,
	} = request;
	const decisionAt = state.paths.get(poolName)?.silenceDecisionAt ?? Number.NEGATIVE_INFINITY;
	if (possibleRunCount > 0 && !hasResponseStarted) {
		return undefined;
	}

	const waitEnd = hasResponseStarted
		? Math.min(Math.max(settleUntil, decisionAt), deadlineAt)
		: Math.min(decisionAt, arrivedAt + ((deadlineAt - arrivedAt) * pathDecisionFraction));
	return now < waitEnd ? waitEnd : undefined;
}

/** Time for which a stream that broke off, or is silent, waits for what happens to streams at other targets, in milliseconds. */
const settleMs = 25;

/** Lets a stream wait for what happens to others if sends at other targets of the pool wait for answers too; returns false if there are none. */
export function trySettle({state, now}: Step, request: OpenRequest, {record: {id}}: Target): boolean {
	const {poolName, hasResponseStarted, silentTargetId, unprovedEnd} = request;
	if (!hasResponseStarted || silentTargetId !== undefined || unprovedEnd !== undefined) {
		return false;
	}

	for (const other of state.openRequests.values()) {
		const {currentSend} = other;
		const isWaiting = currentSend === undefined ? other.settleUntil !== undefined : !currentSend.isRelayed && currentSend.target.record.id !== id;
		if (other !== request && other.poolName === poolName && isWaiting) {
			request.settleUntil = now + settleMs;
			return true;
		}
	}

	return false;
}

function removeFromQueue({state}: Step, request: OpenRequest): void {
	request.queuedUntil = undefined;
	state.queuedRequests.delete(request);
}

/**
 * Sends the requests of the pool that wait and precede the new one in the waiting order, up to the first that no target may
 * receive, so that a new request does not overtake them when a slot has just become free. Returns true if one was sent.
 * Requests that are held back keep no others waiting. To be called only if the new request can be sent itself: while no target is free, many may
 * arrive and many wait.
 */
function advancePreceding(step: Step, request: OpenRequest): boolean {
	const {state, now} = step;
	const waiting = [...state.queuedRequests].filter(other => other.poolName === request.poolName && now < other.deadlineAt && !isHeldBack(step, other));
	let hasSent = false;
	for (const other of waiting.length === 0 ? [] : listInWaitingOrder([...waiting, request], state.sendDurations, now)) {
		if (other === request || !trySend(step, other)) {
			break;
		}

		hasSent = true;
	}

	return hasSent;
}

/** Sends the request, or queues it for a short time until a target is available; refuses it at once if the limits of all targets last longer. */
export function sendOrQueue(step: Step, request: OpenRequest): void {
	if (trySend(step, request, {isNew: true})) {
		return;
	}

	const {state, now} = step;
	const waitEnd = findDecisionWaitEnd(step, request) ?? findLoadQueryEnd(step, request);
	const queuedUntil = Math.min((waitEnd ?? now) + (request.route.latencyTargetMs * queueTimeoutFraction), request.deadlineAt);
	const limitEnd = findSendLimitEnd(step, request);
	if (limitEnd !== undefined && limitEnd > queuedUntil) {
		// Another instance may have a share left even if this one has none.
		const waitMs = Number.isFinite(limitEnd) ? limitEnd - now : 0;
		finishWithFailure(step, request, createFailure(failureReason.targetsLimited, waitMs + drawRetryAfterMs(step)));
		return;
	}

	request.queuedUntil ??= queuedUntil;
	state.queuedRequests.add(request);
}

/** True when a target is available other than the current target and those to which the request was already sent. */
export function hasOtherTarget(step: Step, request: OpenRequest): boolean {
	const triedTargetIds = new Set([...request.triedTargetIds, request.currentSend!.target.record.id]);
	return chooseRelayPeer(step, {...request, triedTargetIds}) !== undefined || findPlacement(step, request, triedTargetIds) !== undefined;
}

/** Finds a target for the request, among all of its pool or only `targets` of it. */
function findPlacement(step: Step, request: OpenRequest, triedTargetIds: ReadonlySet<string>, targets?: readonly Target[]): Placement | undefined {
	const {state, now} = step;
	const {
		requestId, route, promptParts,
	} = request;
	const view = createPlacementView(step, request, targets);
	const key = route.hasPrompts ? findPromptKey(promptParts) : undefined;
	return view === undefined
		? undefined
		: choosePlacement(view, {
			requestId,
			prefix: key === undefined
				? undefined
				: {
					key,
					tokenCount: countSharedTokens(promptParts),
					demand: state.promptDemand.estimate(key, computeInstanceCount(state.members), now),
					isHolder: target => state.cacheHolders.has(key, target),
				},
			triedTargetIds,
			isRetryable: isRetryable(route),
			wasRejected: request.wasRejectedBrittle,
		}, now);
}

/** Finds the time from which the limits that targets name allow the request; `undefined` if they are not the reason why it cannot be sent. */
function findSendLimitEnd(step: Step, request: OpenRequest): number | undefined {
	const view = createPlacementView(step, request);
	return view === undefined ? undefined : findLimitEnd(view, request.triedTargetIds, step.now);
}

function createPlacementView(step: Step, request: OpenRequest, targets?: readonly Target[]): PlacementView | undefined {
	const {state} = step;
	const {poolName} = request;
	const pool = state.directory.poolByName.get(poolName);
	return pool === undefined
		? undefined
		: {
			pool,
			targets: targets ?? state.targets.byPool.get(poolName) ?? [],
			closedZones: state.directory.closedZones,
			zone: state.self.zone,
			fleet: findFleetView(step),
			coldBounds: state.bounds.cold,
			softwareVersion: findRequiredVersion(step, request),
		};
}

/** Resolves the request again if the configuration tables have changed; returns false if the request was refused. */
function refreshResolution(step: Step, request: OpenRequest): boolean {
	const {tables} = step.state.directory;
	if (tables === undefined || tables.version === request.tablesVersion) {
		return true;
	}

	const resolved = resolveRequest(step, request);
	if (resolved.isErr()) {
		finishWithFailure(step, request, request.possibleRunCount === 0 ? resolved.error : createFailure(failureReason.answerLost));
		return false;
	}

	const {route, account} = resolved.value;
	const wasAllowed = route.splits.some(({pool}) => pool === request.poolName);
	request.route = route;
	request.account = account?.name;
	request.rank = findRank(resolved.value);
	request.tablesVersion = tables.version;
	if (!wasAllowed) {
		request.poolName = choosePool(route.splits, request);
	}

	return true;
}

function startSend(step: Step, request: OpenRequest, {
	target, load, meanLoad, loadLimit, preferredSkipReason, sharerCount, isRelayed,
}: SendChoice): void {
	const {state, now} = step;
	const {route} = request;
	recordInBudget(step, request);

	const sendId = state.nextSendId++;
	request.sendCount++;
	request.arrivalCount++;
	request.possibleRunCount++;
	const runLimit = findRunLimit(request);
	const allowedRunCount = Math.max(1, runLimit - request.possibleRunCount + 1);
	request.currentSend = {
		sendId, target, sentAt: now, hasOpened: false, isRelayed, runLimit: isRelayed ? allowedRunCount : 1, silenceCount: 0,
	};
	request.lastSend = {targetId: target.record.id, isRelayed};
	recordSend(target, now);
	const copySource = isRelayed ? undefined : findCopySource(step, request, target);
	const requiredVersion = findRequiredVersion(step, request);
	// A peer that relays the request finds out itself that a target is silent, and uses up the sends that are left.
	// A resume that only finds out whether the stream goes on is given up without another one.
	const canTimeOut = isRetryable(route) && !isRelayed && (request.possibleRunCount < runLimit || request.unprovedEnd !== undefined);
	step.effects.push({
		kind: effectKind.send,
		openId: request.openId,
		sendId,
		targetId: target.record.id,
		bornAt: target.record.bornAt,
		address: target.record.address,
		isRelayed,
		softwareVersion: isRelayed ? requiredVersion : target.record.softwareVersion,
		account: request.account,
		rank: request.rank,
		isStream: route.kind === routeKind.stream,
		needsFreshConnection: !isRetryable(route),
		resumeAfterEventId: request.lastEventId,
		takesUpAfterEventId: isRetryable(route) ? request.takesUpAfterEventId : undefined,
		copyFromAddress: copySource?.record.address,
		deadlineAt: request.deadlineAt,
		responseStartTimeoutMs: canTimeOut ? Math.max(minResponseStartTimeoutMs, route.latencyTargetMs * responseStartTimeoutFraction) : 0,
		eventGapTimeoutMs: canTimeOut ? route.eventGapMs * eventGapTimeoutMultiplier : 0,
		runLimit: allowedRunCount,
		runCount: request.possibleRunCount,
	});
	recordLog(step, 'sent', {
		requestId: request.requestId, fingerprint: request.fingerprint, route: route.name, account: request.account, rank: request.rank, target: target.record.id, relay: isRelayed ? 'by peer' : (request.isRelayed ? 'for peer' : undefined),
		send: request.sendCount, leftMs: Math.round(request.deadlineAt - now), tables: request.tablesVersion,
		directoryAgeMs: computeDirectoryAge(step), inFlight: target.inFlight,
		load: Math.round(load * 10) / 10,
		meanLoad: Math.round(meanLoad * 10) / 10,
		loadLimit: Number.isFinite(loadLimit) ? Math.round(loadLimit * 10) / 10 : undefined,
		loadAgeMs: target.reportedLoad === undefined ? undefined : Math.round(now - target.reportedLoad.at),
		loadQueries: request.loadQuery?.targetIds.size,
		prompt: route.hasPrompts ? findPromptKey(request.promptParts) : undefined,
		sharedTokens: route.hasPrompts ? countSharedTokens(request.promptParts) : undefined,
		passedOver: preferredSkipReason, sharers: sharerCount, copyFrom: copySource?.record.id, cold: target.coldUntil > now || undefined,
		softwareVersion: requiredVersion, resumes: request.streamId === request.requestId ? undefined : request.streamId,
	});
}

/** Counts the send in the retry budget: the first send of a request, and each send after one that may have arrived. */
function recordInBudget(step: Step, {poolName, sendCount, arrivalCount, isRelayed}: OpenRequest): void {
	const budget = findRetryBudget(step, poolName);
	// The peer that received a relayed request has counted it.
	if (sendCount === 0 && !isRelayed) {
		budget.recordFirstSend(step.now);
	}

	if (arrivalCount > 0) {
		budget.recordRetry(step.now);
	}
}

function findCopySource({state, now}: Step, {route, promptParts}: OpenRequest, target: Target): Target | undefined {
	return route.hasPrompts
		? chooseCopySource({targets: state.targets, holders: state.cacheHolders}, target, promptParts, now)
		: undefined;
}

/** Finds the number of targets on which the request may run; those that have ended meanwhile do not count. */
function findRunLimit({route, runAllowance, endedTargetCount}: OpenRequest): number {
	return Math.min(route.targetLimit, runAllowance) + endedTargetCount;
}

/** True if requests of the route may run again, or be resumed, after a lost response. */
export function isRetryable({kind, canResume}: Route): boolean {
	return kind === routeKind.repeatable || (kind === routeKind.stream && canResume);
}

export function retryOrFail(step: Step, request: OpenRequest, failure: Failure): void {
	const obstacle = findRetryObstacle(step, request, request.possibleRunCount > 0);
	request.retryObstacle = obstacle ?? retryObstacle.noTarget;
	if (obstacle === undefined && (trySend(step, request) || (request.unprovedEnd === undefined && tryQueueForPath(step, request)))) {
		return;
	}

	if (!tryReturnToSilentTarget(step, request) && !tryResumeAtEndedTarget(step, request)) {
		finishWithFailure(step, request, failure);
	}
}

/**
 * Resumes a stream at the target that was given up because it was silent, when the resume at another one has failed. That
 * target has run the request already, so that it runs on no further one. Returns false if the target may not receive it.
 */
function tryReturnToSilentTarget(step: Step, request: OpenRequest): boolean {
	const {silentTargetId, hasResponseStarted, unprovedEnd} = request;
	request.silentTargetId = undefined;
	return silentTargetId !== undefined && hasResponseStarted && unprovedEnd === undefined && tryResumeAt(step, request, silentTargetId);
}

/** Resumes a stream at the running target that ended it with its connection, to find out whether it goes on; only where no other target could tell. */
function tryResumeAtEndedTarget(step: Step, request: OpenRequest): boolean {
	const {unprovedEnd, route} = request;
	if (!unprovedEnd?.isTargetRunning || unprovedEnd.isResumedThere || !isRetryable(route)) {
		return false;
	}

	unprovedEnd.isResumedThere = true;
	return tryResumeAt(step, request, unprovedEnd.target.record.id);
}

/** Resumes a stream at a target that has run the request before. Returns false if the target may not receive it. */
function tryResumeAt(step: Step, request: OpenRequest, targetId: string): boolean {
	if (!hasTimeForRetry(step, request) || !isRetryInBudget(step, request)) {
		return false;
	}

	if (!refreshResolution(step, request)) {
		return true;
	}

	const target = step.state.targets.byId.get(targetId);
	const placement = target?.record.pool === request.poolName && target.isRegistered
		? findPlacement(step, request, noTargetIds, [target])
		: undefined;
	if (placement === undefined) {
		return false;
	}

	startSend(step, request, {...placement, isRelayed: false});
	return true;
}

const noTargetIds: ReadonlySet<string> = new Set();

/** Queues a request that may be sent again until it is known whether this instance has lost its path to the pool. */
export function tryQueueForPath(step: Step, request: OpenRequest): boolean {
	const {state, now} = step;
	const {decisionAt = Number.NEGATIVE_INFINITY} = findPath(step, request.poolName);
	const waitEnd = findDecisionWaitEnd(step, request);
	if (waitEnd === undefined && now >= decisionAt) {
		return false;
	}

	request.queuedUntil = waitEnd ?? Math.min(decisionAt, now + ((request.deadlineAt - now) * pathDecisionFraction));
	state.queuedRequests.add(request);
	return true;
}

/** True when one more send of the request is allowed; `mayHaveRun` is true if an earlier send may have run. */
export function mayRetry(step: Step, request: OpenRequest, mayHaveRun: boolean): boolean {
	return findRetryObstacle(step, request, mayHaveRun) === undefined;
}

/** Finds the reason why the request may not be sent again; `undefined` if it may. */
function findRetryObstacle(step: Step, request: OpenRequest, mayHaveRun: boolean): RetryObstacle | undefined {
	const {route, possibleRunCount, hasResponseStarted} = request;
	if (!hasTimeForRetry(step, request)) {
		return retryObstacle.time;
	}

	if (mayHaveRun && !hasResponseStarted && step.state.quarantine.hasRepeatedCrash(listSuspectIds(request), countUncheckedLosses(step, request))) {
		return retryObstacle.crashes;
	}

	const isAllowed = mayHaveRun ? isRetryable(route) && (!hasResponseStarted || route.canResume) : !hasResponseStarted;
	if (!isAllowed) {
		return retryObstacle.route;
	}

	if (mayHaveRun && possibleRunCount >= findRunLimit(request)) {
		return retryObstacle.runLimit;
	}

	return isRetryInBudget(step, request) ? undefined : retryObstacle.budget;
}

function hasTimeForRetry({now}: Step, {route, sendCount, deadlineAt}: OpenRequest): boolean {
	return deadlineAt - now >= minRetryTimeMs && sendCount < route.targetLimit + extraSendLimit;
}

function isRetryInBudget(step: Step, {arrivalCount, poolName}: OpenRequest): boolean {
	return arrivalCount === 0 || findRetryBudget(step, poolName).mayRetry(findFleetView(step).size, step.now);
}
