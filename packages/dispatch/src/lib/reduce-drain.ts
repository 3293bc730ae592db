/**
 * The end of an instance: a drain, in which open requests may finish, and then the stop,
 * which ends the requests that are still open with what is known about them.
 */
import {effectKind, logLevel} from './effect.js';
import {cancelCurrentSend, finishWithFailure, mayHaveRun} from './end-request.js';
import type {DrainRequestedEvent} from './event.js';
import {createFailure, failureReason} from './failure.js';
import {choosePeers} from './members.js';
import {callPeers} from './reduce-fleet.js';
import {drainAcceptDurationMs} from './resolve-request.js';
import {recordLog, type OpenRequest, type Step} from './state.js';

/** Number of peers that are called when this instance starts to drain; other peers remove this instance after a later message from it, or when its entry expires. */
const drainNotificationCount = 3;
/** Time after `drainAcceptDurationMs` for the connections of refused callers to close, in milliseconds. */
const drainCloseDurationMs = 600;
/** Time from the stop until the process ends although responses have not been sent completely, in milliseconds. */
const stopSendDurationMs = 150;

export function startDrain(step: Step, {by}: DrainRequestedEvent): void {
	const {state, now} = step;
	if (state.drainStartedAt !== undefined) {
		return;
	}

	state.drainStartedAt = now;
	recordLog(step, 'drain-started', {by, open: state.openRequests.size}, logLevel.warn);
	callPeers(step, choosePeers(state.members, state.self.address, drainNotificationCount, state.random));
}

/** Ends all open requests, refuses all others from now on, and lets the process end as soon as the responses are sent. */
export function startStop(step: Step, by: string): void {
	const {state, now} = step;
	if (state.stopStartedAt !== undefined) {
		return;
	}

	state.drainStartedAt ??= now;
	state.stopStartedAt = now;
	recordLog(step, 'stop-started', {by, open: state.openRequests.size}, logLevel.warn);
	step.effects.push({kind: effectKind.refuseIncoming});
	for (const request of state.openRequests.values()) {
		endByStop(step, request);
	}
}

function endByStop(step: Step, request: OpenRequest): void {
	const failure = mayHaveRun(request) ? createFailure(failureReason.answerLost) : createFailure(failureReason.draining, 0);
	cancelCurrentSend(step, request);
	finishWithFailure(step, request, failure);
}

/** Ends the drain when no request is open and callers had time to switch to another instance, or stops at the drain limit. */
export function advanceDrain(step: Step): void {
	const {state, now} = step;
	if (state.drainStartedAt === undefined) {
		return;
	}

	const elapsed = now - state.drainStartedAt;
	if (elapsed >= state.bounds.drainLimitMs) {
		startStop(step, 'drain limit');
	}

	if (state.stopStartedAt !== undefined) {
		step.effects.push({kind: effectKind.finishDrain, isLimitReached: now - state.stopStartedAt >= stopSendDurationMs});
	} else if (state.openRequests.size === 0 && elapsed >= drainAcceptDurationMs + drainCloseDurationMs) {
		step.effects.push({kind: effectKind.finishDrain, isLimitReached: false});
	}
}
