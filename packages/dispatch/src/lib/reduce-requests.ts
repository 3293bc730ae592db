/**
 * A request from its arrival to its end, event by event.
 */
import {effectKind} from './effect.js';
import {
	cancelCurrent, createUnrunFailure, endCurrentSend, finishRequest, finishWithFailure, recordOverdue,
} from './end-request.js';
import {
	sendOutcome, type AnswerSilent, type AnswerStarted, type CallerLeft, type RequestArrived, type SendEnded,
} from './event.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {choosePool, computeDirectoryAge, resolveRequest} from './resolve-request.js';
import {
	hasOtherTarget, mayRepeat, sendAgainOrFail, trySend,
} from './send-request.js';
import {
	findBudget, recordLog, type OpenRequest, type Step,
} from './state.js';
import {verdict, type Verdict} from './target-health.js';
import {recordLoad} from './target-state.js';

/** Part of the latency target for which a request waits for a target before it is refused. */
const waitPart = 0.125;
/** Time before the deadline at which the caller gets the failure, in milliseconds. */
const deadlineMarginMs = 5;

export function applyArrival(step: Step, event: RequestArrived): void {
	const {state, now} = step;
	const resolved = resolveRequest(step, event);
	if (resolved.isErr()) {
		refuseArrival(step, event, resolved.error);
		return;
	}

	const {route, account} = resolved.value;
	const request: OpenRequest = {
		openId: event.openId,
		requestId: event.requestId,
		host: event.host,
		path: event.path,
		keyDigest: event.keyDigest,
		promptParts: event.promptParts,
		arrivedAt: now,
		deadlineAt: now + Math.min(event.waitMs ?? route.timeLimitMs, route.timeLimitMs) - deadlineMarginMs,
		route,
		account: account?.name,
		poolName: choosePool(route.splits, event),
		tablesVersion: state.directory.tables!.version,
		sendCount: 0,
		runCount: 0,
		avoidedIds: new Set(),
		hasStarted: false,
		hasHeld: false,
	};
	state.open.set(request.openId, request);
	findBudget(step, request.poolName).recordFirst(now);
	sendOrWait(step, request);
}

function refuseArrival(step: Step, {openId, requestId, host, path}: RequestArrived, failure: Failure): void {
	const {directory} = step.state;
	step.effects.push({kind: effectKind.refuse, openId, failure});
	recordLog(step, 'refused', {
		requestId, host, path, reason: failure.reason, status: failure.status, tables: directory.tables?.version,
		directoryAgeMs: computeDirectoryAge(step), draining: step.state.drainStartedAt !== undefined,
	});
}

/** Sends the request, or lets it wait a little for a target. */
function sendOrWait(step: Step, request: OpenRequest): void {
	if (trySend(step, request)) {
		return;
	}

	const {state, now} = step;
	const waitsUntil = Math.min(now + (request.route.latencyTargetMs * waitPart), request.deadlineAt);
	request.waitsUntil ??= waitsUntil;
	state.waiting.add(request);
}

export function applyAnswerStarted(step: Step, {openId, sendId, targetLoad}: AnswerStarted): void {
	const request = findCurrent(step, openId, sendId);
	if (request === undefined) {
		return;
	}

	request.hasStarted = true;
	recordTargetLoad(step, request, targetLoad);
	recordReading(step, request);
}

/** A target that answers has read the prompt. */
function recordReading({state, now}: Step, {route, promptParts, current}: OpenRequest): void {
	const target = state.targets.byId.get(current!.targetId);
	if (target !== undefined && route.hasPrompts) {
		state.promptHolders.record(promptParts, target, now);
	}
}

function recordTargetLoad({state, now}: Step, {current}: OpenRequest, load: number | undefined): void {
	const target = state.targets.byId.get(current?.targetId ?? '');
	if (target !== undefined && load !== undefined) {
		recordLoad(target, load, now);
	}
}

function findCurrent({state}: Step, openId: number, sendId: number): OpenRequest | undefined {
	const request = state.open.get(openId);
	return request?.current?.sendId === sendId ? request : undefined;
}

/** Gives up a silent target if another may be asked. */
export function applyAnswerSilent(step: Step, event: AnswerSilent): void {
	const request = findCurrent(step, event.openId, event.sendId);
	if (request === undefined || !mayRepeat(step, request, true) || !hasOtherTarget(step, request)) {
		return;
	}

	request.lastEventId = event.lastEventId ?? request.lastEventId;
	step.effects.push({kind: effectKind.cancel, openId: event.openId, sendId: event.sendId});
	endCurrentSend(step, request, verdict.lost, 'silent');
	sendAgainOrFail(step, request, createFailure(failureReason.answerLost));
}

const verdictByOutcome: Readonly<Record<SendEnded['outcome'], Verdict | undefined>> = {
	[sendOutcome.complete]: verdict.good,
	[sendOutcome.unreached]: verdict.unreached,
	[sendOutcome.rejected]: undefined,
	[sendOutcome.misdirected]: verdict.replaced,
	[sendOutcome.failed]: verdict.failed,
	[sendOutcome.lost]: verdict.lost,
	[sendOutcome.interrupted]: verdict.lost,
};

export function applySendEnded(step: Step, event: SendEnded): void {
	const request = findCurrent(step, event.openId, event.sendId);
	if (request === undefined) {
		return;
	}

	recordTargetLoad(step, request, event.targetLoad);
	endCurrentSend(step, request, verdictByOutcome[event.outcome], event.detail);
	request.lastEventId = event.lastEventId ?? request.lastEventId;
	switch (event.outcome) {
		case sendOutcome.complete: {
			finishRequest(step, request, 'answered', event.detail);
			break;
		}

		case sendOutcome.unreached:
		case sendOutcome.misdirected:
		case sendOutcome.rejected: {
			request.runCount--;
			sendAgainOrFail(step, request, createUnrunFailure(step, request, failureReason.notRun));
			break;
		}

		case sendOutcome.failed: {
			request.hasHeld = true;
			sendAgainOrFail(step, request, createFailure(failureReason.answerLost));
			break;
		}

		case sendOutcome.lost:
		case sendOutcome.interrupted: {
			sendAgainOrFail(step, request, createFailure(failureReason.answerLost));
			break;
		}
	}
}

export function applyCallerLeft(step: Step, {openId}: CallerLeft): void {
	const request = step.state.open.get(openId);
	if (request === undefined) {
		return;
	}

	cancelCurrent(step, request);
	finishRequest(step, request, 'caller-left', request.hasStarted ? 'during the answer' : 'before the answer');
}

/** Sends waiting requests for which there is a target now; refuses those that waited too long. */
export function advanceWaiting(step: Step): void {
	for (const request of step.state.waiting) {
		if (!trySend(step, request) && step.now >= request.waitsUntil!) {
			finishWithFailure(step, request, createUnrunFailure(step, request, failureReason.noTarget));
		}
	}
}

/** Ends requests whose time is up. */
export function endOverdue(step: Step): void {
	for (const request of step.state.open.values()) {
		if (step.now < request.deadlineAt) {
			continue;
		}

		const hasRun = request.runCount > 0;
		if (request.current !== undefined) {
			recordOverdue(step, request);
			cancelCurrent(step, request);
		}

		finishWithFailure(step, request, hasRun ? createFailure(failureReason.deadlineExceeded) : createFailure(failureReason.noTarget, 0));
	}
}
