/**
 * Decides whether a stream is complete whose end only the end of its connection states. The
 * system closes the connections of a process that is killed in the same way, so the end counts
 * once a check, started after it, has shown that the target's process still runs, unless this
 * process was paused and may have missed its restart. Until then the stream is neither finished
 * nor cut. A resume, where the route allows one, finds out meanwhile whether the stream goes on.
 */
import {effectKind, logLevel} from '../effect.js';
import {finishWithFailure, recordNoProcess, recordUnansweredCheck} from '../requests/end-request.js';
import type {TargetCheckedEvent} from '../event.js';
import {createFailure, failureReason} from '../requests/failure.js';
import {hasPausedForRestart, hasPausedSince, tickGapMs} from '../members/reduce-fleet.js';
import {isPathProbablyLost} from '../paths/reduce-paths.js';
import {retryOrFail} from '../requests/send-request.js';
import {
	recordLog, type CurrentSend, type OpenRequest, type Step, type UnprovedEnd,
} from '../state.js';
import {isLeaving, type Target} from '../targets/target-state.js';

/** Holds the end of a stream until it is known whether its target still runs. */
export function startEndCheck(step: Step, request: OpenRequest, {target, sendId}: CurrentSend): void {
	request.unprovedEnd = {
		target, sendId, endedAt: step.now, isTargetRunning: false, isResumedThere: false, hasNothingLeft: false,
	};
	requestCheck(step, target);
}

/** Starts a check, which serves all streams of the target that end before it starts. */
function requestCheck({state, effects}: Step, {record: {id, address}}: Target): void {
	if (!state.endChecks.has(id)) {
		state.endChecks.add(id);
		effects.push({kind: effectKind.checkTarget, targetId: id, address});
	}
}

/** Applies the result of a check to the streams that ended at the target before it started. */
export function applyEndCheck(step: Step, event: TargetCheckedEvent): void {
	const {state} = step;
	const {targetId, startedAt} = event;
	const isListening = event.isAccepting ? true : event.isListening;
	state.endChecks.delete(targetId);
	let unchecked: Target | undefined;
	let ended: UnprovedEnd | undefined;
	const settled: OpenRequest[] = [];
	for (const request of state.openRequests.values()) {
		const end = request.unprovedEnd;
		if (end?.target.record.id !== targetId || end.isTargetRunning) {
			continue;
		}

		if (end.endedAt > startedAt || (isListening === undefined && hasPausedSince(step, startedAt))) {
			unchecked = end.target;
		} else {
			settled.push(request);
			ended ??= end;
		}
	}

	if (ended !== undefined && isListening !== true) {
		recordEndedTarget(step, ended, isListening);
	}

	for (const request of settled) {
		settleEnd(step, request, {...event, isListening});
	}

	if (unchecked !== undefined) {
		requestCheck(step, unchecked);
	}
}

/** Records why a target did not pass the check; one that was leaving and has ended is not at fault. */
function recordEndedTarget(step: Step, {target, sendId}: UnprovedEnd, isListening: boolean | undefined): void {
	if (isListening === undefined) {
		recordUnansweredCheck(step, target);
	} else if (!isLeaving(target) && !isPathProbablyLost(step, target.record.pool)) {
		recordNoProcess(step, target, sendId);
	}
}

/** Finishes a stream whose target still runs, unless a resume is under way; any other one has been interrupted. */
function settleEnd(step: Step, request: OpenRequest, {targetId, isListening}: TargetCheckedEvent): void {
	const {now} = step;
	const end = request.unprovedEnd!;
	// A listening socket does not tell which process it belongs to.
	const isReplaced = hasSuccessor(step, end.target);
	// What arrived during a pause is read after it; during a long one, the target may have been killed and started again.
	const hasPaused = hasPausedForRestart(step, end.endedAt - tickGapMs);
	const isRunning = isListening === true && !isReplaced && !hasPaused;
	if (isRunning) {
		end.isTargetRunning = true;
	} else {
		request.unprovedEnd = undefined;
		request.endedTargetCount += isListening === false && !isLeaving(end.target) ? 1 : 0;
	}

	recordLog(step, 'stream-end-checked', {
		requestId: request.requestId, target: targetId, result: describeResult(isListening, {isReplaced, hasPaused}),
		lastEvent: request.lastEventId, tookMs: Math.round(now - end.endedAt),
	}, isRunning ? logLevel.info : logLevel.warn);
	if (request.currentSend !== undefined) {
		return;
	}

	if (isRunning && end.hasNothingLeft) {
		finishWithFailure(step, request, createFailure(failureReason.answerLost));
	} else {
		retryOrFail(step, request, createFailure(failureReason.answerLost));
	}
}

/** True if another process is known under the target's id, or one at its address that is newer. */
function hasSuccessor({state: {targets}}: Step, target: Target): boolean {
	const {id, address, bornAt} = target.record;
	const known = targets.byId.get(id);
	return (known !== undefined && known !== target) || [...targets.byId.values()].some(({record, registeredAt}) =>
		record.address === address && (record.bornAt > bornAt || registeredAt > target.registeredAt));
}

function describeResult(isListening: boolean | undefined, {isReplaced, hasPaused}: {readonly isReplaced: boolean; readonly hasPaused: boolean}): string {
	if (isListening === undefined) {
		return 'no answer';
	}

	if (!isListening) {
		return 'refused';
	}

	return isReplaced ? 'replaced' : (hasPaused ? 'paused' : 'listening');
}
