/**
 * A request from its arrival to its end: admission, sends, repeats, failures.
 *
 * What may be repeated follows from the route alone. A request that may not is
 * sent again only after proof that it did not run; every other failure of it
 * is reported as unknown.
 */
import {hashText} from '@sequoiatally/core';
import {err, ok, type Result} from 'neverthrow';
import {
	routeKind, type Account, type Route, type Split,
} from './directory.js';
import {effectKind} from './effect.js';
import {
	sendOutcome, type AnswerSilent, type AnswerStarted, type CallerLeft, type PromptPart, type RequestArrived, type SendEnded,
} from './event.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {findRoute} from './route-index.js';
import {choosePlacement, type Placement, type PlacementView} from './placement.js';
import {
	findBudget, findFleetView, recordLog, type OpenRequest, type Step,
} from './state.js';
import {
	computeFailingShare, recordVerdict, verdict, type Verdict,
} from './target-health.js';
import {
	recordEnd, recordLoad, recordSend, type Target,
} from './target-state.js';

/** Sends beyond those that may have run: refused connections and proofs that nothing ran. */
const extraSends = 3;
/** Part of the latency target for which a request waits for a target before it is refused. */
const waitPart = 0.125;
/** Part of the latency target after which a silent target is given up, if the request may be repeated. */
const silencePart = 0.7;
const shortestSilenceMs = 150;
/** Multiple of the allowed pause after which a stream that may be resumed is given up. */
const gapMultiple = 2.5;
/** Time that has to be left for a repeat to make sense, in milliseconds. */
const shortestRepeatMs = 30;
/** Time before the deadline at which the caller gets the failure, in milliseconds. */
const deadlineMarginMs = 5;
/** Bounds between which callers are told to come back, drawn anew for each, in milliseconds. */
const retryAfterMinMs = 50;
const retryAfterSpreadMs = 250;
/** Age of the directory from which a "no" of it is not certain any more, in milliseconds. */
const certainAgeMs = 1500;
/** Time after the order to end in which every new request is still taken, in milliseconds; later, those that are sure to end in time. */
export const drainAcceptMs = 2600;

/** A resolved request: where its route and its key lead. */
type Resolved = {readonly route: Route; readonly account?: Account};

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

/** Finds route and client account by the tables in force. */
function resolveRequest(step: Step, {host, path, keyDigest}: Pick<RequestArrived, 'host' | 'path' | 'keyDigest'>): Result<Resolved, Failure> {
	const {directory, drainStartedAt} = step.state;
	if (directory.tables === undefined) {
		return err(createFailure(failureReason.notReady, drawRetryAfter(step)));
	}

	const route = findRoute(directory.routes, host, path);
	if (route === undefined) {
		return err(createCertain(step, failureReason.noRoute));
	}

	if (drainStartedAt !== undefined && !canFinishInDrain(step, route, drainStartedAt)) {
		return err(createFailure(failureReason.draining, 0));
	}

	if (route.isPublic || directory.tables.accounts === undefined) {
		return ok({route});
	}

	const account = keyDigest === undefined ? undefined : directory.accountByDigest.get(keyDigest);
	return account === undefined ? err(createCertain(step, failureReason.keyUnknown)) : ok({route, account});
}

/** True when a new request can be answered before this instance ends. */
function canFinishInDrain({state, now}: Step, route: Route, drainStartedAt: number): boolean {
	const elapsed = now - drainStartedAt;
	return elapsed <= drainAcceptMs || elapsed + route.timeLimitMs <= state.bounds.drainLimitMs;
}

/** A "no" that rests on an old directory is not certain: another instance may know better. */
function createCertain(step: Step, reason: typeof failureReason.noRoute | typeof failureReason.keyUnknown): Failure {
	const age = computeDirectoryAge(step);
	return age === undefined || age > certainAgeMs
		? createFailure(failureReason.directoryStale, drawRetryAfter(step))
		: createFailure(reason);
}

function computeDirectoryAge({state, now}: Step): number | undefined {
	const {confirmedAt} = state.directory;
	return confirmedAt === undefined ? undefined : Math.round(now - confirmedAt);
}

/** Draws the pool of a split route; requests that share a prompt stay together. */
function choosePool(splits: readonly Split[], {requestId, promptParts}: Pick<RequestArrived, 'requestId' | 'promptParts'>): string {
	if (splits.length === 1) {
		return splits[0]!.pool;
	}

	let total = 0;
	for (const {weight} of splits) {
		total += weight;
	}

	let position = hashText(findPromptKey(promptParts) ?? requestId, splitSeed) / hashRange * total;
	for (const {pool, weight} of splits) {
		position -= weight;
		if (position < 0) {
			return pool;
		}
	}

	return splits.at(-1)!.pool;
}

/** Seed that keeps the draw of a pool apart from the order of targets. */
const splitSeed = 1;
/** Number of values of a hash. */
const hashRange = 2 ** 32;

/** The last part belongs to the request itself; the one before it ends the longest prefix that others share. */
function findPromptKey(parts: readonly PromptPart[]): string | undefined {
	return (parts.at(-2) ?? parts.at(-1))?.id;
}

function drawRetryAfter({state}: Step): number {
	return retryAfterMinMs + (state.draw() * retryAfterSpreadMs);
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

/** Sends the request to a target, if one may get it now; refuses it if the tables no longer allow it. */
function trySend(step: Step, request: OpenRequest): boolean {
	const {state, now} = step;
	if (!renewResolution(step, request)) {
		return true;
	}

	const view = createPlacementView(step, request.poolName);
	const placement = view === undefined
		? undefined
		: choosePlacement(view, {
			promptKey: request.route.hasPrompts ? findPromptKey(request.promptParts) : undefined,
			avoidedIds: request.avoidedIds,
		}, now);
	if (placement === undefined) {
		return false;
	}

	request.waitsUntil = undefined;
	state.waiting.delete(request);
	startSend(step, request, placement);
	return true;
}

function createPlacementView(step: Step, poolName: string): PlacementView | undefined {
	const {state} = step;
	const pool = state.directory.poolByName.get(poolName);
	return pool === undefined
		? undefined
		: {
			pool,
			targets: state.targets.byPool.get(poolName) ?? [],
			closedZones: state.directory.closedZones,
			zone: state.self.zone,
			fleet: findFleetView(step),
			coldBounds: state.bounds.cold,
		};
}

/** Looks the request up again when the tables changed since; false: it was refused. */
function renewResolution(step: Step, request: OpenRequest): boolean {
	const {tables} = step.state.directory;
	if (tables === undefined || tables.version === request.tablesVersion) {
		return true;
	}

	const resolved = resolveRequest(step, request);
	if (resolved.isErr()) {
		finishWithFailure(step, request, request.runCount === 0 ? resolved.error : createFailure(failureReason.answerLost));
		return false;
	}

	const {route, account} = resolved.value;
	const wasAllowed = route.splits.some(({pool}) => pool === request.poolName);
	request.route = route;
	request.account = account?.name;
	request.tablesVersion = tables.version;
	if (!wasAllowed) {
		request.poolName = choosePool(route.splits, request);
	}

	return true;
}

function startSend(step: Step, request: OpenRequest, {
	target, load, meanLoad, passedOver,
}: Placement): void {
	const {state, now} = step;
	const {route} = request;
	if (request.sendCount > 0) {
		findBudget(step, request.poolName).recordRepeat(now);
	}

	const sendId = state.nextSendId++;
	request.sendCount++;
	request.runCount++;
	request.current = {sendId, targetId: target.record.id, sentAt: now};
	recordSend(target, now);
	const canGiveUp = isRepeatable(route) && request.runCount < route.targetLimit;
	step.effects.push({
		kind: effectKind.send,
		openId: request.openId,
		sendId,
		targetId: target.record.id,
		address: target.record.address,
		account: request.account,
		isStream: route.kind === routeKind.stream,
		needsProvenConnection: !isRepeatable(route),
		resumeAfter: request.lastEventId,
		deadlineAt: request.deadlineAt,
		firstSilenceMs: canGiveUp ? Math.max(shortestSilenceMs, route.latencyTargetMs * silencePart) : 0,
		gapSilenceMs: canGiveUp ? route.eventGapMs * gapMultiple : 0,
	});
	recordLog(step, 'sent', {
		requestId: request.requestId, route: route.name, account: request.account, target: target.record.id,
		send: request.sendCount, leftMs: Math.round(request.deadlineAt - now), tables: request.tablesVersion,
		directoryAgeMs: computeDirectoryAge(step), inFlight: target.inFlight,
		load: Math.round(load * 10) / 10,
		meanLoad: Math.round(meanLoad * 10) / 10,
		passedOver, cold: target.coldUntil > now || undefined,
	});
}

function isRepeatable({kind, canResume}: Route): boolean {
	return kind === routeKind.repeatable || (kind === routeKind.stream && canResume);
}

export function applyAnswerStarted(step: Step, {openId, sendId, targetLoad}: AnswerStarted): void {
	const request = findCurrent(step, openId, sendId);
	if (request === undefined) {
		return;
	}

	request.hasStarted = true;
	recordTargetLoad(step, request, targetLoad);
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
	if (request === undefined || !mayRepeat(step, request, true)) {
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

/** Takes the current send off its target and judges the target by it. */
function endCurrentSend(step: Step, request: OpenRequest, found: Verdict | undefined, detail: string): void {
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

/** Mean failing share of the pool's other targets. */
function computePoolShare({state}: Step, target: Target): number {
	const others = (state.targets.byPool.get(target.record.pool) ?? []).filter(other => other !== target && other.health.weight > 1);
	let sum = 0;
	for (const other of others) {
		sum += computeFailingShare(other.health);
	}

	return others.length === 0 ? 0 : sum / others.length;
}

/** A promise that the request has not run, unless an earlier send of it may have. */
function createUnrunFailure(step: Step, {runCount}: OpenRequest, reason: Failure['reason']): Failure {
	return createFailure(runCount === 0 ? reason : failureReason.answerLost, drawRetryAfter(step));
}

function sendAgainOrFail(step: Step, request: OpenRequest, failure: Failure): void {
	if (mayRepeat(step, request, request.runCount > 0) && trySend(step, request)) {
		return;
	}

	finishWithFailure(step, request, failure);
}

/** True when one more send of the request is allowed; `mayHaveRun` says whether an earlier one may have run. */
function mayRepeat(step: Step, request: OpenRequest, mayHaveRun: boolean): boolean {
	const {now} = step;
	const {route, sendCount, runCount, deadlineAt, hasStarted} = request;
	if (deadlineAt - now < shortestRepeatMs || sendCount >= route.targetLimit + extraSends) {
		return false;
	}

	const isAllowed = mayHaveRun
		? isRepeatable(route) && runCount < route.targetLimit && (!hasStarted || route.canResume)
		: !hasStarted;
	return isAllowed && findBudget(step, request.poolName).mayRepeat(findFleetView(step).size, now);
}

/** Ends the request with the best that there is: a target's own failure, or one of this instance. */
function finishWithFailure(step: Step, request: OpenRequest, failure: Failure): void {
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

function finishRequest(step: Step, request: OpenRequest, outcome: string, detail: string): void {
	const {state, now} = step;
	state.open.delete(request.openId);
	state.waiting.delete(request);
	recordLog(step, outcome, {
		requestId: request.requestId, route: request.route.name, account: request.account, sends: request.sendCount,
		tookMs: Math.round(now - request.arrivedAt), detail, tables: request.tablesVersion,
		directoryAgeMs: computeDirectoryAge(step),
	});
}

export function applyCallerLeft(step: Step, {openId}: CallerLeft): void {
	const request = step.state.open.get(openId);
	if (request === undefined) {
		return;
	}

	cancelCurrent(step, request);
	finishRequest(step, request, 'caller-left', request.hasStarted ? 'during the answer' : 'before the answer');
}

function cancelCurrent(step: Step, request: OpenRequest): void {
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
			judgeOverdue(step, request);
			cancelCurrent(step, request);
		}

		finishWithFailure(step, request, hasRun ? createFailure(failureReason.deadlineExceeded) : createFailure(failureReason.noTarget, 0));
	}
}

/** A target that gave no sign of life until the deadline counts as lost. */
function judgeOverdue(step: Step, {current, hasStarted}: OpenRequest): void {
	const target = step.state.targets.byId.get(current!.targetId);
	if (target !== undefined && !hasStarted) {
		recordVerdict(target.health, verdict.lost, computePoolShare(step, target), step.now);
	}
}
