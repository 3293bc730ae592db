/**
 * Handles the events of a request from its arrival to its end.
 */
import {err, ok, type Result} from 'neverthrow';
import {effectKind, logLevel} from '../effect.js';
import {
	cancelCurrentSend, createNotRunFailure, endCurrentSend, endWithFailure, finishRequest, finishWithFailure, mayHaveRun, recordTimedOutSend, recordFailure,
} from './end-request.js';
import {
	sendOutcome, type AnswerContinuedEvent, type AnswerSilentEvent, type AnswerStartedEvent, type CallerLeftEvent, type HoldFailedEvent,
	type RequestArrivedEvent,
	type SendEndedEvent, type SendOpenedEvent, type SendOutcome,
} from '../event.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {failureKind, type FailureKind} from '../targets/failure-kind.js';
import {isMember} from '../members/members.js';
import {
	chooseRelayPeer, findPathState, isPathProbablyLost, recordAnswered, recordLostSend, recordReached, recordServed, recordUnreached, relayedRequestLimit,
} from '../paths/reduce-paths.js';
import {findPromptKey} from '../targets/prompt.js';
import {admitToShare, createQueueFailure, recordCompletion} from './reduce-account-share.js';
import {findLoadQueryEnd, notifyTracker} from './reduce-load-queries.js';
import {admitInDrain} from './reduce-drain.js';
import {recordBegunStream} from '../streams/reduce-begun-streams.js';
import {checkForCrash, recordResponseBegun} from '../quarantine/reduce-quarantine.js';
import {startEndCheck} from '../streams/reduce-stream-ends.js';
import {computeDirectoryAge, resolveRequest} from './resolve-request.js';
import {startTakeUp} from '../streams/reduce-take-ups.js';
import {bindVersion, resolveStream} from '../versions/reduce-versions.js';
import {
	hasOtherTarget, mayRetry, retryOrFail, sendOrQueue, tryQueueForPath, trySend, trySettle,
} from './send-request.js';
import {
	recordLog, type CurrentSend, type OpenRequest, type Step,
} from '../state.js';
import {findRank} from './urgency.js';
import {listInWaitingOrder} from './waiting-order.js';
import {verdict, type Verdict} from '../targets/target-health.js';
import {pathState} from '../paths/target-paths.js';
import {
	isBrittle, recordStatement, statementKind, type TargetReport,
} from '../targets/target-statements.js';
import {recordTargetStatement, type Target} from '../targets/target-state.js';

/** Time by which the failure is sent before the caller's deadline, in milliseconds. */
const deadlineMarginMs = 5;

export function applyArrival(step: Step, event: RequestArrivedEvent): void {
	const {state, now} = step;
	const resolved = admitRelayed(step, event)
		.andThen(() => resolveRequest(step, event))
		.andThen(found => admitInDrain(step, found))
		.map(found => resolveStream(event, found));
	if (resolved.isErr()) {
		refuseArrival(step, event, resolved.error);
		return;
	}

	const {
		route, account, streamId, poolName, boundVersion, isTakeUp,
	} = resolved.value;
	const request: OpenRequest = {
		openId: event.openId,
		requestId: event.requestId,
		host: event.host,
		path: event.path,
		keyDigest: event.keyDigest,
		promptParts: event.promptParts,
		fingerprint: event.fingerprint,
		isRelayed: event.relayedFrom !== undefined,
		runAllowance: event.relayedFrom?.runLimit ?? Number.POSITIVE_INFINITY,
		arrivedAt: now,
		deadlineAt: now + Math.min(event.timeoutMs ?? route.timeLimitMs, route.timeLimitMs) - deadlineMarginMs,
		route,
		account: account?.name,
		rank: findRank({route, account}),
		poolName,
		streamId,
		boundVersion,
		takesUpAfterEventId: event.resumesAfterEventId,
		tablesVersion: state.directory.tables!.version,
		sendCount: 0,
		arrivalCount: 0,
		possibleRunCount: 0,
		endedTargetCount: 0,
		triedTargetIds: new Set(),
		hasResponseStarted: false,
		hasHeldFailure: false,
		wasRejectedBrittle: false,
	};
	state.openRequests.set(request.openId, request);
	if (request.isRelayed) {
		state.relayedOpenIds.add(request.openId);
	}

	recordDemand(step, request);
	admitToShare(step, request);
	if (isTakeUp) {
		startTakeUp(step, request, event);
	} else {
		sendOrQueue(step, request);
	}
}

function recordDemand({state, now}: Step, {route, promptParts, isRelayed}: OpenRequest): void {
	const key = route.hasPrompts ? findPromptKey(promptParts) : undefined;
	// The peer that received a relayed request has counted it.
	if (key !== undefined && !isRelayed) {
		state.promptDemand.record(key, state.routeDurations.computeMeanMs(route.name, now) ?? 0, now);
	}
}

/** Refuses requests that others than members relay, and too many of them. */
export function admitRelayed({state}: Step, {relayedFrom}: Pick<RequestArrivedEvent, 'relayedFrom'>): Result<undefined, Failure> {
	return relayedFrom === undefined || (isMember(state.members, relayedFrom) && state.relayedOpenIds.size < relayedRequestLimit)
		? ok(undefined)
		: err(createFailure(failureReason.relayRefused));
}

function refuseArrival(step: Step, {openId, requestId, host, path}: RequestArrivedEvent, failure: Failure): void {
	const {directory} = step.state;
	step.effects.push({
		kind: effectKind.refuse, openId, failure, runCount: 0,
	});
	recordLog(step, 'refused', {
		requestId, host, path, reason: failure.reason, status: failure.status, tables: directory.tables?.version,
		directoryAgeMs: computeDirectoryAge(step), draining: step.state.drainStartedAt !== undefined,
	});
}

export function applySendOpened(step: Step, {openId, sendId, isNewConnection}: SendOpenedEvent): void {
	const send = findCurrentRequest(step, openId, sendId)?.currentSend;
	if (send === undefined) {
		return;
	}

	send.hasOpened = true;
	if (!send.isRelayed && isNewConnection) {
		recordReached(step, send.target);
	}
}

export function applyAnswerStarted(step: Step, {
	openId, sendId, targetReport, softwareVersion,
}: AnswerStartedEvent): void {
	const request = findCurrentRequest(step, openId, sendId);
	if (request === undefined) {
		return;
	}

	if (!request.hasResponseStarted) {
		step.state.sendDurations.toStart.record(request.route.name, step.now - request.currentSend!.sentAt, step.now);
	}

	request.hasResponseStarted = true;
	bindVersion(request, softwareVersion);
	recordBegunStream(step, request);
	request.unprovedEnd = undefined;
	recordResponse(step, request, true);
	recordTargetReport(step, request, targetReport);
	recordCacheHolder(step, request, targetReport);
	recordResponseBegun(step, request);
}

export function applyAnswerContinued(step: Step, {openId, sendId}: AnswerContinuedEvent): void {
	const request = findCurrentRequest(step, openId, sendId);
	if (request !== undefined) {
		request.unprovedEnd = undefined;
	}
}

/** Records the target as cache holder of the prompt, since a target that responds has read the prompt. */
function recordCacheHolder(step: Step, {route, promptParts, currentSend}: OpenRequest, report: TargetReport | undefined): void {
	const {state, now} = step;
	const target = findRespondingTarget(step, currentSend!, report);
	if (route.hasPrompts && target !== undefined) {
		state.cacheHolders.record(promptParts, target, now);
	}
}

/** Finds the target that responded; `undefined` if a peer relayed the response of one that is not known here. */
function findRespondingTarget({state}: Step, {target, isRelayed}: CurrentSend, report: TargetReport | undefined): Target | undefined {
	if (!isRelayed) {
		return target;
	}

	const known = report?.process === undefined ? undefined : state.targets.byId.get(report.process.id);
	return known?.record.bornAt === report?.process?.bornAt ? known : undefined;
}

/** Records whether a target responded, to this instance or to the peer that relays the request. */
function recordResponse(step: Step, {currentSend, poolName}: OpenRequest, hasResponded: boolean): void {
	const {target, isRelayed} = currentSend!;
	if (isRelayed) {
		step.state.relayPeers.recordRelayed(target, poolName, hasResponded, step.now);
	} else if (hasResponded) {
		recordServed(step, target);
	}
}

/** True if the response of a target was lost at the peer that relays the request, which says nothing about the peer's path to the pool. */
function isLostBehindPeer({currentSend, hasResponseStarted}: OpenRequest, {outcome, runCount = 0}: SendEndedEvent): boolean {
	return currentSend!.isRelayed && (outcome === sendOutcome.lost || outcome === sendOutcome.interrupted) && (hasResponseStarted || runCount > 0);
}

/** Records what the target states about itself; without a report, its response was not read. */
function recordTargetReport(step: Step, request: OpenRequest, report: TargetReport | undefined): void {
	if (report === undefined) {
		return;
	}

	const target = findRespondingTarget(step, request.currentSend!, report);
	if (target === undefined) {
		// The statement counts as soon as the registration arrives.
		recordUnknownStatement(step, report);
		return;
	}

	const {id} = target.record;
	for (const kind of recordTargetStatement(target, report, step.now)) {
		switch (kind) {
			case statementKind.limit: {
				recordLog(step, 'target-limit', {target: id, perS: report.requestsPerS ?? 'none'});
				break;
			}

			case statementKind.brittle: {
				recordLog(step, 'target-brittle', {target: id, rejectionsPerS: report.rejectionsPerS ?? 'none'});
				break;
			}

			case statementKind.leaving: {
				recordLog(step, 'target-leaving', {target: id, source: 'response'});
				break;
			}

			case statementKind.pause: {
				recordLog(step, 'target-paused', {target: id, forMs: Math.round(target.statements.pausedUntil - step.now)});
				break;
			}
		}
	}

	notifyTracker(step, request, target);
	if (report.unreadable !== undefined) {
		recordLog(step, 'statement-unreadable', {target: id, statements: report.unreadable}, logLevel.warn);
	}
}

/** Records what a process stated whose registration is not known here. */
function recordUnknownStatement({state}: Step, report: TargetReport): void {
	if (report.process !== undefined) {
		recordStatement(state.targets.statements.claim(report.process), report);
	}
}

function findCurrentRequest({state}: Step, openId: number, sendId: number): OpenRequest | undefined {
	const request = state.openRequests.get(openId);
	return request?.currentSend?.sendId === sendId ? request : undefined;
}

/** Cancels the send to a target that does not respond if the request can be sent to another target. */
export function applyAnswerSilent(step: Step, event: AnswerSilentEvent): void {
	const request = findCurrentRequest(step, event.openId, event.sendId);
	if (request === undefined) {
		return;
	}

	const send = request.currentSend!;
	if (!send.hasOpened) {
		// The attempt to connect has a time limit of its own.
		return;
	}

	if (request.hasResponseStarted && !send.isRelayed) {
		recordLostSend(step, send, event.silentSince);
	}

	if (isDecisionPending(step, request) || trySettleSilence(step, request)) {
		send.hasDeferredSilence = true;
		return;
	}

	send.silenceCount++;

	const canGiveUp = request.unprovedEnd?.isTargetRunning === true || (mayRetry(step, request, true) && hasOtherTarget(step, request));
	if (isBusy(step, send, event) || !canGiveUp) {
		return;
	}

	request.lastEventId = event.lastEventId ?? request.lastEventId;
	step.effects.push({kind: effectKind.cancel, openId: event.openId, sendId: event.sendId});
	endCurrentSend(step, request, verdict.lost, 'silent');
	request.silentTargetId = send.isRelayed ? undefined : send.target.record.id;
	retryOrFail(step, request, createFailure(failureReason.answerLost));
}

/** True if it is not known yet whether the whole pool does not answer this instance: then another target would not answer either. */
function isDecisionPending({state, now}: Step, {poolName, currentSend}: OpenRequest): boolean {
	const decisionAt = state.paths.get(poolName)?.silenceDecisionAt;
	return !currentSend!.isRelayed && decisionAt !== undefined && now < decisionAt;
}

/** Lets the silence of a stream wait once for that of others if no target of its pool has answered since; returns false if it need not wait. */
function trySettleSilence(step: Step, request: OpenRequest): boolean {
	const send = request.currentSend!;
	const path = step.state.paths.get(request.poolName);
	const isEvidence = path?.lostSince === undefined && path?.silence.findLostSend(send.target.record.id) !== undefined;
	if (send.isRelayed || send.hasSettled === true || !isEvidence) {
		return false;
	}

	send.hasSettled = true;
	return trySettle(step, request, send.target);
}

/** Asks for the silences again that were reported while it was not known whether their whole pool is silent. */
export function requestDeferredSilences(step: Step): void {
	for (const request of step.state.openRequests.values()) {
		const {currentSend, settleUntil = Number.NEGATIVE_INFINITY} = request;
		if (currentSend?.hasDeferredSilence && step.now >= settleUntil && !isDecisionPending(step, request)) {
			currentSend.hasDeferredSilence = false;
			request.settleUntil = undefined;
			step.effects.push({kind: effectKind.reportSilence, sendId: currentSend.sendId});
		}
	}
}

/** Time without an answer after which a send over a lost path is given up, in milliseconds. */
const lostSendTimeoutMs = 300;

/** Cancels sends over lost paths that stay unanswered, of requests that may run again, and sends these over peers. */
export function retrySilentSends(step: Step): void {
	const {state, now, effects} = step;
	if (![...state.paths.values()].some(({isLostInSilence}) => isLostInSilence)) {
		return;
	}

	for (const request of state.openRequests.values()) {
		const {openId, poolName, currentSend, hasResponseStarted, triedTargetIds} = request;
		const isSilent = currentSend?.hasOpened === true && !currentSend.isRelayed && !hasResponseStarted
			&& now - currentSend.sentAt >= lostSendTimeoutMs && state.paths.get(poolName)?.isLostInSilence;
		if (isSilent && mayRetry(step, request, true) && chooseRelayPeer(step, request) !== undefined) {
			triedTargetIds.add(currentSend.target.record.id);
			effects.push({kind: effectKind.cancel, openId, sendId: currentSend.sendId});
			endCurrentSend(step, request, verdict.lost, 'silent path');
			retryOrFail(step, request, createFailure(failureReason.answerLost));
		}
	}
}

/** Number of expired timeouts of a send after which a send is canceled although its target responds to other requests. */
const maxSilences = 4;

/**
 * True if the target has responded to another request of an instance since this one is
 * silent: then it is rather busy than gone, and the request would lose its place.
 */
function isBusy(step: Step, send: CurrentSend, {silentSince, targetHeardAt = Number.NEGATIVE_INFINITY}: AnswerSilentEvent): boolean {
	// Over a lost path, what others hear from the target shows nothing.
	const isLost = findPathState(step, send.target.record.pool) === pathState.lost;
	const heardAt = Math.max(targetHeardAt, (isLost ? undefined : send.target.reportedLoad?.at) ?? Number.NEGATIVE_INFINITY);
	return heardAt > silentSince && send.silenceCount < maxSilences;
}

const verdictByOutcome: Readonly<Record<SendEndedEvent['outcome'], Verdict | undefined>> = {
	[sendOutcome.complete]: verdict.good,
	[sendOutcome.notSent]: verdict.connectionFailed,
	[sendOutcome.connectionRefused]: verdict.connectionFailed,
	[sendOutcome.rejected]: undefined,
	[sendOutcome.misdirected]: verdict.replaced,
	[sendOutcome.failed]: verdict.failed,
	[sendOutcome.lost]: verdict.lost,
	[sendOutcome.interrupted]: verdict.lost,
	[sendOutcome.endUnproved]: verdict.good,
};

/** Failures that other instances can use; a lost response says too little about the target. */
const failureKindByOutcome: Readonly<Partial<Record<SendEndedEvent['outcome'], FailureKind>>> = {
	[sendOutcome.failed]: failureKind.errorResponse,
	[sendOutcome.connectionRefused]: failureKind.noProcess,
	[sendOutcome.misdirected]: failureKind.noProcess,
};

/** Outcomes that prove that the target responded to this request. */
const respondingOutcomes: ReadonlySet<SendOutcome> = new Set([sendOutcome.complete, sendOutcome.failed, sendOutcome.endUnproved]);

/** Outcomes that something at the target's address stated, whether or not it is the target. */
const statedOutcomes: ReadonlySet<SendOutcome> = new Set([...respondingOutcomes, sendOutcome.rejected, sendOutcome.misdirected]);

/** Outcomes that prove that the request has not run. */
const notRunOutcomes: ReadonlySet<SendOutcome> = new Set([sendOutcome.notSent, sendOutcome.connectionRefused, sendOutcome.rejected, sendOutcome.misdirected]);

/** Records what a send that ended tells about the path to its target; `form` is that of its response, if there was one. */
function recordPathEvidence(step: Step, send: CurrentSend, {outcome, form}: SendEndedEvent): void {
	if (send.isRelayed) {
		return;
	}

	if (statedOutcomes.has(outcome)) {
		recordAnswered(step, send.target);
	} else if (outcome === sendOutcome.interrupted) {
		recordLostSend(step, send, step.now);
	} else if (outcome === sendOutcome.lost && form === undefined) {
		recordLostSend(step, send, send.sentAt);
	}
}

/** Records what a failed send tells about its target, and about the path to it; what a peer relayed tells about neither. */
function recordSendFailure(step: Step, send: CurrentSend, outcome: SendOutcome): void {
	if (send.isRelayed) {
		return;
	}

	if (outcome === sendOutcome.notSent || outcome === sendOutcome.connectionRefused) {
		recordUnreached(step, send.target, send.sentAt);
	}

	const kind = failureKindByOutcome[outcome];
	// An instance that reaches no target cannot tell which of them have ended.
	if (kind !== undefined && !isPathProbablyLost(step, send.target.record.pool)) {
		recordFailure(step, send, kind);
	}
}

export function applySendEnded(step: Step, event: SendEndedEvent): void {
	const request = findCurrentRequest(step, event.openId, event.sendId);
	if (request === undefined) {
		return;
	}

	if (!isLostBehindPeer(request, event)) {
		recordResponse(step, request, respondingOutcomes.has(event.outcome));
	}

	recordTargetReport(step, request, event.targetReport);
	const send = request.currentSend!;
	recordSendDurations(step, request, event.outcome);
	request.lastEventId = event.lastEventId ?? request.lastEventId;
	request.lastSend!.form = event.form;
	endCurrentSend(step, request, verdictByOutcome[event.outcome], event.detail);
	recordPathEvidence(step, send, event);
	recordSendFailure(step, send, event.outcome);
	recordRuns(request, send, event);
	if (event.outcome === sendOutcome.rejected) {
		recordRejection(step, request, send);
	}

	switch (event.outcome) {
		case sendOutcome.complete: {
			if (!request.hasResponseStarted) {
				recordResponseBegun(step, request);
			}

			step.state.routeDurations.record(request.route.name, step.now - request.arrivedAt, step.now);
			recordCompletion(step, request);
			finishRequest(step, request, 'answered', event.detail);
			break;
		}

		case sendOutcome.notSent:
		case sendOutcome.connectionRefused:
		case sendOutcome.misdirected:
		case sendOutcome.rejected: {
			// A peer that rejects a request has not sent it, or counts what it has sent itself.
			if (event.outcome === sendOutcome.notSent || event.outcome === sendOutcome.connectionRefused || send.isRelayed) {
				request.arrivalCount--;
			}

			retryOrFail(step, request, createNotRunFailure(step, request, failureReason.notRun));
			break;
		}

		case sendOutcome.failed: {
			request.hasHeldFailure = true;
			retryOrFail(step, request, createFailure(failureReason.answerLost));
			break;
		}

		case sendOutcome.endUnproved: {
			request.triedTargetIds.add(send.target.record.id);
			if (request.unprovedEnd === undefined) {
				startEndCheck(step, request, send);
				// A resume finds out whether the stream goes on.
				retryOrFail(step, request, createFailure(failureReason.answerLost));
			} else {
				request.unprovedEnd.hasNothingLeft = true;
				finishWithFailure(step, request, createFailure(failureReason.answerLost));
			}

			break;
		}

		case sendOutcome.lost:
		case sendOutcome.interrupted: {
			if (!send.isRelayed) {
				checkForCrash(step, request, send);
				trySettle(step, request, send.target);
			}

			retryOrFail(step, request, createFailure(failureReason.answerLost));
			break;
		}
	}
}

/** Records how long a complete response took; the start of a stream is recorded when it begins. */
function recordSendDurations({state, now}: Step, {route, currentSend, hasResponseStarted, sendCount}: OpenRequest, outcome: SendOutcome): void {
	// A resumed stream takes as long as what is left of it.
	if (outcome !== sendOutcome.complete || sendCount > 1) {
		return;
	}

	const tookMs = now - currentSend!.sentAt;
	state.sendDurations.toEnd.record(route.name, tookMs, now);
	if (!hasResponseStarted) {
		state.sendDurations.toStart.record(route.name, tookMs, now);
	}
}

/** Records that a target rejected the request; a peer counts the rejections of what it relays. */
function recordRejection({now}: Step, request: OpenRequest, {target, isRelayed}: CurrentSend): void {
	if (!isRelayed) {
		target.rejections.record(now);
		request.wasRejectedBrittle ||= isBrittle(target);
	}
}

/** Counts the runs of a send that ended, in place of the one that a current send counts as. A peer that has not told its runs may have used all that it was allowed. */
function recordRuns(request: OpenRequest, {isRelayed, runLimit}: CurrentSend, {outcome, runCount}: SendEndedEvent): void {
	const assumedCount = notRunOutcomes.has(outcome) ? 0 : runLimit;
	request.possibleRunCount += (isRelayed ? runCount ?? assumedCount : assumedCount) - 1;
}

export function applyCallerLeft(step: Step, {openId}: CallerLeftEvent): void {
	const request = step.state.openRequests.get(openId);
	if (request === undefined) {
		return;
	}

	cancelCurrentSend(step, request);
	finishRequest(step, request, 'caller-left', request.hasResponseStarted ? 'during the response' : 'before the response');
}

/** Gives up a stream that its caller would get as a whole, and that cannot be held until then. */
export function applyHoldFailed(step: Step, {openId, detail}: HoldFailedEvent): void {
	const request = step.state.openRequests.get(openId);
	if (request === undefined) {
		return;
	}

	cancelCurrentSend(step, request);
	step.effects.push({kind: effectKind.breakOff, openId});
	finishRequest(step, request, 'broken-off', detail);
}

/** Sends queued requests for which a target is available now, and refuses requests that were queued too long. */
export function advanceQueuedRequests(step: Step): void {
	const {state, now} = step;
	// One placement shows for all first sends to a pool that no target is free.
	const fullPools = new Set<string>();
	for (const request of listInWaitingOrder(state.queuedRequests, state.sendDurations, now)) {
		if (now >= request.deadlineAt) {
			// Ends with its deadline.
			continue;
		}

		const isOver = !trySend(step, request, {fullPools}) && now >= request.queuedUntil! && findLoadQueryEnd(step, request) === undefined;
		if (isOver && !(request.hasResponseStarted && tryQueueForPath(step, request))) {
			finishWithFailure(step, request, createQueueFailure(step, request));
		}
	}
}

/** Ends requests whose deadline has passed. */
export function endTimedOutRequests(step: Step): void {
	for (const request of step.state.openRequests.values()) {
		if (step.now < request.deadlineAt) {
			continue;
		}

		const failure = mayHaveRun(request) ? createFailure(failureReason.deadlineExceeded) : createFailure(failureReason.noTarget, 0);
		if (request.currentSend !== undefined) {
			recordTimedOutSend(step, request);
			cancelCurrentSend(step, request);
		}

		endWithFailure(step, request, failure);
	}
}
