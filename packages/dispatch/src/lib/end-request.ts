/**
 * How a send ends and what it says of its target, and how a request ends: with
 * the best answer that there is, or with a failure that promises no more than
 * is known.
 */
import {effectKind} from './effect.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {computeDirectoryAge, drawRetryAfter} from './resolve-request.js';
import {recordLog, type OpenRequest, type Step} from './state.js';
import {
	computeFailingShare, recordVerdict, verdict, type Verdict,
} from './target-health.js';
import {recordEnd, type Target} from './target-state.js';

/** A promise that the request has not run, unless an earlier send of it may have. */
export function createUnrunFailure(step: Step, {runCount}: OpenRequest, reason: Failure['reason']): Failure {
	return createFailure(runCount === 0 ? reason : failureReason.answerLost, drawRetryAfter(step));
}

/** Takes the current send off its target and judges the target by it. */
export function endCurrentSend(step: Step, request: OpenRequest, found: Verdict | undefined, detail: string): void {
	const {state, now} = step;
	const {targetId, sentAt} = request.current!;
	request.current = undefined;
	const target = state.targets.byId.get(targetId);
	if (found !== verdict.good) {
		request.avoidedIds.add(targetId);
	}

	recordLog(step, 'send-ended', {
		requestId: request.requestId, target: targetId, verdict: found ?? 'not-run', detail, tookMs: Math.round(now - sentAt),
	});
	if (target === undefined) {
		return;
	}

	recordEnd(target);
	if (found === undefined) {
		target.health.hasTrial = false;
		return;
	}

	const wasSetAside = recordVerdict(target.health, found, computePoolShare(step, target), now);
	if (wasSetAside) {
		recordLog(step, 'target-set-aside', {
			target: targetId, verdict: found, detail, failingShare: computeFailingShare(target.health),
			forMs: Math.round(target.health.asideUntil - now),
		});
	}
}

export function cancelCurrent(step: Step, request: OpenRequest): void {
	const {current, openId} = request;
	if (current === undefined) {
		return;
	}

	request.current = undefined;
	step.effects.push({kind: effectKind.cancel, openId, sendId: current.sendId});
	const target = step.state.targets.byId.get(current.targetId);
	if (target !== undefined) {
		recordEnd(target);
		target.health.hasTrial = false;
	}
}

/** A target that gave no sign of life until the deadline counts as lost. */
export function recordOverdue(step: Step, {current, hasStarted}: OpenRequest): void {
	const target = step.state.targets.byId.get(current!.targetId);
	if (target !== undefined && !hasStarted) {
		recordVerdict(target.health, verdict.lost, computePoolShare(step, target), step.now);
	}
}

/** Mean failing share of the pool's other targets. */
function computePoolShare({state}: Step, target: Target): number {
	const others = (state.targets.byPool.get(target.record.pool) ?? []).filter(other => other !== target && other.health.weight > 1);
	let sum = 0;
	for (const other of others) {
		sum += computeFailingShare(other.health);
	}

	return others.length === 0 ? 0 : sum / others.length;
}

/** Ends the request with the best that there is: a target's own failure, or one of this instance. */
export function finishWithFailure(step: Step, request: OpenRequest, failure: Failure): void {
	if (request.hasStarted) {
		step.effects.push({kind: effectKind.breakOff, openId: request.openId});
		finishRequest(step, request, 'broken-off', failure.reason);
	} else if (request.hasHeld) {
		step.effects.push({kind: effectKind.deliverHeld, openId: request.openId});
		finishRequest(step, request, 'failed', 'the target answered with a failure');
	} else {
		step.effects.push({kind: effectKind.refuse, openId: request.openId, failure});
		finishRequest(step, request, failure.status === 503 ? 'refused' : 'failed', failure.reason);
	}
}

export function finishRequest(step: Step, request: OpenRequest, outcome: string, detail: string): void {
	const {state, now} = step;
	state.open.delete(request.openId);
	state.waiting.delete(request);
	recordLog(step, outcome, {
		requestId: request.requestId, route: request.route.name, account: request.account, sends: request.sendCount,
		tookMs: Math.round(now - request.arrivedAt), detail, tables: request.tablesVersion,
		directoryAgeMs: computeDirectoryAge(step),
	});
}
