/**
 * Ends sends and requests. A send that ends counts in the health of its target;
 * a request ends with the best available response, or with a failure that
 * guarantees no more than is known.
 */
import {hashText} from '@sequoiatally/core';
import {effectKind} from '../effect.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {computeDirectoryAge, drawRetryAfterMs} from './resolve-request.js';
import {failureKind, type FailureKind} from '../targets/failure-kind.js';
import {listSharedParts} from '../targets/prompt.js';
import {
	recordLog, type CurrentSend, type OpenRequest, type RetryObstacle, type Step,
} from '../state.js';
import {
	computeFailureRatio, recordVerdict, verdict, type Verdict,
} from '../targets/target-health.js';
import {recordSendEnd, type Target} from '../targets/target-state.js';

/** Creates a failure that guarantees that the request has not run, unless an earlier send may have run. */
export function createNotRunFailure(step: Step, {possibleRunCount}: OpenRequest, reason: Failure['reason']): Failure {
	return createFailure(possibleRunCount === 0 ? reason : failureReason.answerLost, drawRetryAfterMs(step));
}

/** Ends the current send and records its verdict in the target's health; without a verdict the send did not run. */
export function endCurrentSend(step: Step, request: OpenRequest, sendVerdict: Verdict | undefined, detail: string): void {
	const {now} = step;
	const {target, sentAt, hasOpened, isRelayed} = request.currentSend!;
	const isPathLost = isOverLostPath(step, request.currentSend!);
	const targetId = target.record.id;
	request.currentSend = undefined;
	if (sendVerdict !== verdict.good) {
		request.triedTargetIds.add(targetId);
	}

	recordLog(step, 'send-ended', {
		requestId: request.requestId, target: targetId, verdict: sendVerdict ?? 'not-run', detail, opened: hasOpened, relayed: isRelayed || undefined, tookMs: Math.round(now - sentAt),
		form: request.lastSend?.form, lastEvent: request.lastEventId,
		...(sendVerdict === verdict.lost && {
			fingerprint: request.fingerprint, parts: listSharedParts(request.promptParts).map(({id}) => id), hasBegun: request.hasResponseStarted,
		}),
	});
	recordSendEnd(target);
	if (sendVerdict === undefined || (sendVerdict === verdict.lost && isPathLost)) {
		target.health.hasTrialInFlight = false;
		return;
	}

	const wasEjected = recordVerdict(target.health, sendVerdict, computePoolFailureRatio(step, target), now);
	if (wasEjected) {
		recordLog(step, 'target-set-aside', {
			target: targetId, verdict: sendVerdict, detail, failingShare: computeFailureRatio(target.health),
			forMs: Math.round(target.health.ejectedUntil - now),
		});
	}
}

/** Records a failed send, which the other instances learn about; the target may be ejected because of it. */
export function recordFailure(step: Step, {target, sendId}: Pick<CurrentSend, 'target' | 'sendId'>, kind: FailureKind): void {
	const {state, now} = step;
	const instance = hashText(state.self.incarnation).toString(36);
	state.failureReports.record(`${instance}-${sendId}`, {
		target, kind, instance, at: now,
	}, now);
	ejectIfFaulty(step, target);
}

/** Records that no process listens on the target's address; `sendId` is the send after which this was found. */
export function recordNoProcess(step: Step, target: Target, sendId: number): void {
	recordVerdict(target.health, verdict.connectionFailed, computePoolFailureRatio(step, target), step.now);
	recordFailure(step, {target, sendId}, failureKind.noProcess);
}

/** Records that a target did not answer the check whether it still runs. */
export function recordUnansweredCheck(step: Step, target: Target): void {
	recordVerdict(target.health, verdict.lost, computePoolFailureRatio(step, target), step.now);
}

/** Ejects the target if all instances together find it faulty. */
export function ejectIfFaulty(step: Step, target: Target): void {
	const {state, now} = step;
	const failures = state.failureReports.ejectIfFaulty(target, state.targets, now);
	if (failures !== undefined) {
		recordLog(step, 'target-set-aside', {
			target: target.record.id, verdict: 'reported', detail: `${failures} recent failures reported by instances`, forMs: Math.round(target.health.ejectedUntil - now),
		});
	}
}

/** True when a target may have run the request; a send whose connection has not opened does not count. */
export function mayHaveRun({possibleRunCount, currentSend}: OpenRequest): boolean {
	return possibleRunCount - (currentSend?.hasOpened === false ? 1 : 0) > 0;
}

export function cancelCurrentSend(step: Step, request: OpenRequest): void {
	const {currentSend, openId} = request;
	if (currentSend === undefined) {
		return;
	}

	request.currentSend = undefined;
	if (!currentSend.hasOpened) {
		request.possibleRunCount--;
	}

	step.effects.push({kind: effectKind.cancel, openId, sendId: currentSend.sendId});
	recordSendEnd(currentSend.target);
	currentSend.target.health.hasTrialInFlight = false;
}

/** Records a lost response for the current target if it may have received the request, and no part of a response was delivered until the deadline. */
export function recordTimedOutSend(step: Step, {currentSend, hasResponseStarted}: OpenRequest): void {
	const {target, hasOpened} = currentSend!;
	if (hasOpened && !hasResponseStarted && !isOverLostPath(step, currentSend!)) {
		recordVerdict(target.health, verdict.lost, computePoolFailureRatio(step, target), step.now);
	}
}

/** True if the path of a send is lost, so that its loss says nothing about the target. */
function isOverLostPath({state}: Step, {target, isRelayed}: CurrentSend): boolean {
	return !isRelayed && state.paths.get(target.record.pool)?.isLostInSilence === true;
}

/** Computes the mean failure ratio of the pool's other targets with at least two verdicts. */
function computePoolFailureRatio({state}: Step, target: Target): number {
	const otherTargets = (state.targets.byPool.get(target.record.pool) ?? []).filter(other => other !== target && other.health.sampleWeight > 1);
	let sum = 0;
	for (const other of otherTargets) {
		sum += computeFailureRatio(other.health);
	}

	return otherTargets.length === 0 ? 0 : sum / otherTargets.length;
}

/** Ends the request, unless the check of a target that ended its stream with its connection decides about it. */
export function finishWithFailure(step: Step, request: OpenRequest, failure: Failure): void {
	if (request.unprovedEnd === undefined || request.unprovedEnd.isTargetRunning) {
		endWithFailure(step, request, failure);
	}
}

/** Ends the request at once: finishes a stream whose target still runs after its end, breaks off any other response that has started, else delivers a target's held error response, else sends `failure`. */
export function endWithFailure(step: Step, request: OpenRequest, failure: Failure): void {
	if (request.unprovedEnd?.isTargetRunning) {
		step.effects.push({kind: effectKind.finishStream, openId: request.openId});
		step.state.routeDurations.record(request.route.name, step.now - request.arrivedAt, step.now);
		finishRequest(step, request, 'answered', 'stream ended with its connection');
	} else if (request.hasResponseStarted) {
		step.effects.push({kind: effectKind.breakOff, openId: request.openId});
		finishRequest(step, request, 'broken-off', failure.reason, {notResumed: request.retryObstacle});
	} else if (request.hasHeldFailure) {
		step.effects.push({kind: effectKind.deliverHeld, openId: request.openId, runCount: request.possibleRunCount});
		finishRequest(step, request, 'failed', 'the target sent an error response');
	} else {
		step.effects.push({
			kind: effectKind.refuse, openId: request.openId, failure, runCount: request.possibleRunCount,
		});
		finishRequest(step, request, failure.status === 503 ? 'refused' : 'failed', failure.reason);
	}
}

export function finishRequest(step: Step, request: OpenRequest, outcome: string, detail: string, fields: {readonly notResumed?: RetryObstacle} = {}): void {
	const {state, now} = step;
	const {lastSend} = request;
	state.openRequests.delete(request.openId);
	state.queuedRequests.delete(request);
	state.pendingTakeUps.delete(request);
	state.relayedOpenIds.delete(request.openId);
	recordLog(step, outcome, {
		requestId: request.requestId, route: request.route.name, account: request.account, sends: request.sendCount,
		target: lastSend?.targetId, relayed: lastSend?.isRelayed ? true : undefined, form: lastSend?.form, lastEvent: request.lastEventId,
		tookMs: Math.round(now - request.arrivedAt), detail, tables: request.tablesVersion,
		directoryAgeMs: computeDirectoryAge(step), ...fields,
	});
}
