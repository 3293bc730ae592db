/**
 * The end of an instance: a drain, in which open requests may finish, and then the stop,
 * which ends the requests that are still open with what is known about them.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Route} from '../directory/directory-facts.js';
import {effectKind, logLevel} from '../effect.js';
import {cancelCurrentSend, endWithFailure, mayHaveRun} from './end-request.js';
import type {DrainRequestedEvent} from '../event.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {choosePeers} from '../members/members.js';
import {callPeers} from '../members/reduce-fleet.js';
import type {ResolvedRequest} from './resolve-request.js';
import {isRetryable} from './send-request.js';
import {
	recordLog, type OpenRequest, type State, type Step,
} from '../state.js';

/** Time after the start of the drain in which new requests are accepted that usually end in time, in milliseconds; later, only those that are sure to. */
const drainAcceptDurationMs = 2600;
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

/** Refuses a new request that may not finish before the drain limit, and every one from the stop on. A request that was accepted is not judged again. */
export function admitInDrain(step: Step, resolved: ResolvedRequest): Result<ResolvedRequest, Failure> {
	const {drainStartedAt, stopStartedAt} = step.state;
	const isAdmitted = drainStartedAt === undefined || (stopStartedAt === undefined && canFinishInDrain(step, resolved.route, drainStartedAt));
	return isAdmitted ? ok(resolved) : err(createFailure(failureReason.draining, 0));
}

/**
 * True when a new request is accepted during the drain: with a time limit that ends before
 * the drain limit, or early in the drain if requests of its route usually end in time. One
 * that is not retryable is accepted early only if that is known: ended at the drain limit,
 * it could neither be repeated nor resumed, whereas a refused one goes to another instance.
 */
function canFinishInDrain({state, now}: Step, route: Route, drainStartedAt: number): boolean {
	const elapsed = now - drainStartedAt;
	const leftMs = state.bounds.drainLimitMs - elapsed;
	if (route.timeLimitMs <= leftMs) {
		return true;
	}

	if (elapsed > drainAcceptDurationMs) {
		return false;
	}

	const openMs = computeLongestOpenMs(state, route.name, now);
	const usualMs = state.routeDurations.estimateMs(route.name, now, openMs) ?? (isRetryable(route) ? openMs : Number.POSITIVE_INFINITY);
	return usualMs <= leftMs;
}

/** Computes the age of the oldest open request of the route, in milliseconds; 0 without one. */
function computeLongestOpenMs({openRequests}: State, routeName: string, now: number): number {
	let longestMs = 0;
	for (const {route, arrivedAt} of openRequests.values()) {
		if (route.name === routeName) {
			longestMs = Math.max(longestMs, now - arrivedAt);
		}
	}

	return longestMs;
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
	endWithFailure(step, request, failure);
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
