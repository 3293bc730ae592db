/**
 * Applies the quarantine of prompt parts and requests that crash targets. A lost response alone does
 * not tell a crash from a broken connection, so the target's address is checked first: a
 * process that crashed no longer listens.
 */
import {logLevel, effectKind} from '../effect.js';
import {recordNoProcess} from '../requests/end-request.js';
import type {TargetCheckedEvent} from '../event.js';
import {createFailure, failureReason, type Failure} from '../requests/failure.js';
import {listSharedParts} from '../targets/prompt.js';
import {createRequestSuspectId, parseRequestSuspectId, type Quarantine} from './crash-quarantine.js';
import {hasPausedSince} from '../members/reduce-fleet.js';
import {findPath, recordReached, recordUnreached} from '../paths/reduce-paths.js';
import {
	findFleetView, recordLog, type CrashCheck, type CurrentSend, type OpenRequest, type Step,
} from '../state.js';
import {isUsable} from '../targets/target-health.js';

/** Smallest retry delay that is sent to callers of quarantined requests, and the one for requests that are not tried again, in milliseconds. */
const minRetryAfterMs = 1000;
const finalRetryAfterMs = 3_600_000;

/** Lists what can be the cause of a crash: the parts of a prompt that other requests may share, and the request itself. */
export function listSuspectIds({route, promptParts, fingerprint}: OpenRequest): string[] {
	const parts = route.hasPrompts && promptParts.length > 1 ? listSharedParts(promptParts).map(({id}) => id) : [];
	return [createRequestSuspectId(fingerprint), ...parts];
}

/** Records that a target has begun to respond to the request, which clears it and the parts of its prompt. */
export function recordResponseBegun({state, now}: Step, request: OpenRequest): void {
	state.quarantine.recordBegun(listSuspectIds(request), now);
}

/** Counts the targets at which the request was lost and that are still checked for a crash. */
export function countUncheckedLosses({state}: Step, {fingerprint}: OpenRequest): number {
	const id = createRequestSuspectId(fingerprint);
	return [...state.crashChecks.values()].filter(({losses}) => losses.some(({partIds}) => partIds.includes(id))).length;
}

/** Checks whether the target of a lost send has crashed, if the request can be the cause. */
export function checkForCrash({state, now, effects}: Step, request: OpenRequest, {target, sendId, sentAt}: CurrentSend): void {
	if (request.hasResponseStarted) {
		return;
	}

	const loss = {partIds: listSuspectIds(request), at: now, sentAt};
	const {id, address} = target.record;
	const pending = state.crashChecks.get(id);
	if (pending?.target === target) {
		pending.losses.push(loss);
		return;
	}

	state.crashChecks.set(id, {
		target, sendId, losses: [loss], startedAt: now, restartCount: 0,
	});
	effects.push({kind: effectKind.checkTarget, targetId: id, address});
}

/**
 * Applies the result of a check. A process that refuses connections has crashed, unless this
 * instance is cut off in a way that refuses its connections: the crash counts once a connection to another
 * target of the pool has opened after it, or no peer reaches the pool either.
 */
export function applyTargetChecked(step: Step, {targetId, isListening}: TargetCheckedEvent): void {
	const {state, now} = step;
	const target = state.targets.byId.get(targetId);
	if (target !== undefined) {
		if (isListening) {
			recordReached(step, target);
		} else {
			recordUnreached(step, target, now);
		}
	}

	const check = state.crashChecks.get(targetId);
	if (check === undefined || check.refusedAt !== undefined) {
		return;
	}

	const {losses} = check;
	recordLog(step, 'target-checked', {
		target: targetId, result: isListening === undefined ? 'no answer' : (isListening ? 'listening' : 'refused'), losses: losses.length, tookMs: Math.round(now - losses[0]!.at),
	});
	if (isListening === false) {
		check.refusedAt = now;
		updateQuarantine(step);
	} else if (isListening === true || !tryRestartCheck(step, check)) {
		state.crashChecks.delete(targetId);
	}
}

/** Starts a check again if this process was paused during it; returns false if it was not, or too often. */
function tryRestartCheck(step: Step, check: CrashCheck): boolean {
	const {id, address} = check.target.record;
	if (!hasPausedSince(step, check.startedAt) || check.restartCount >= maxCheckRestarts) {
		return false;
	}

	check.restartCount++;
	check.startedAt = step.now;
	check.refusedAt = undefined;
	check.hasCheckedPath = false;
	step.effects.push({kind: effectKind.checkTarget, targetId: id, address});
	return true;
}

/** Time after a loss from which an opened connection proves that this instance can still reach targets, in milliseconds: what arrived before may be handled later. */
const pathProofMarginMs = 15;
/** Time after a refusal after which another target is checked for such a proof, and time limit for the proof, in milliseconds. */
const pathCheckDelayMs = 100;
const pathProofLimitMs = 1500;
/** Time after a refusal in which an opened connection is such a proof, in milliseconds. */
const pathProofDurationMs = 500;
/** Number of times that a check is started again because this process was paused during it. */
const maxCheckRestarts = 3;

/** Records the crashes of targets that refused a check, once it is certain that this instance reaches other targets. */
function updateCrashChecks(step: Step): void {
	const {state, now} = step;
	for (const [targetId, check] of state.crashChecks) {
		const {target, refusedAt, losses} = check;
		if (refusedAt === undefined) {
			continue;
		}

		const others = (state.targets.byPool.get(target.record.pool) ?? []).filter(other => other !== target && !other.isGone);
		const {reachedAt} = findPath(step, target.record.pool);
		const isReachedSince = reachedAt >= losses[0]!.at + pathProofMarginMs;
		// A path that is back later may have been lost at the time of the check.
		if (others.length === 0 || (isReachedSince && reachedAt <= refusedAt + pathProofDurationMs)) {
			state.crashChecks.delete(targetId);
			recordCrash(step, check);
		} else if (now - refusedAt > pathProofDurationMs && tryRestartCheck(step, check)) {
			// The pause has used up the time for the proof.
			continue;
		} else if (now - refusedAt > pathProofLimitMs) {
			state.crashChecks.delete(targetId);
			settleUnproved(step, check, isReachedSince);
		} else if (now - refusedAt >= pathCheckDelayMs && !check.hasCheckedPath) {
			check.hasCheckedPath = true;
			const other = others.find(({health}) => isUsable(health, now)) ?? others[0]!;
			step.effects.push({kind: effectKind.checkTarget, targetId: other.record.id, address: other.record.address});
		}
	}
}

/** Records the crash of a target although no other target of its pool was reached since, unless peers reach the pool: then this instance is cut off, else the whole pool has crashed. */
function settleUnproved(step: Step, check: CrashCheck, isReachedSince: boolean): void {
	const {target: {record}, losses} = check;
	if (!isReachedSince && findPath(step, record.pool).lostSince === undefined) {
		recordCrash(step, check);
	} else {
		recordLog(step, 'crash-unproved', {target: record.id, losses: losses.length}, logLevel.warn);
	}
}

function recordCrash(step: Step, {target, sendId, losses}: CrashCheck): void {
	const {state, now} = step;
	for (const loss of losses) {
		state.quarantine.recordCrash(loss, target.record, now);
	}

	recordLog(step, 'target-crashed', {target: target.record.id, suspects: losses.map(({partIds}) => partIds)}, logLevel.warn);
	recordNoProcess(step, target, sendId);
	state.hasUnreportedCrash = true;
}

/** Evaluates checks and suspects, and logs which parts are quarantined or released. */
export function updateQuarantine(step: Step): void {
	updateCrashChecks(step);
	const {state, now} = step;
	const {quarantined, released} = state.quarantine.update(now);
	for (const quarantine of quarantined) {
		const {crashCount, requiredCount, until} = quarantine;
		recordLog(step, isOfRequest(quarantine) ? 'request-quarantined' : 'prompt-quarantined', {
			...describeCause(quarantine), crashes: crashCount, requiredCrashes: requiredCount, forMs: Math.round(until - now),
		}, logLevel.warn);
	}

	for (const quarantine of released) {
		recordLog(step, isOfRequest(quarantine) ? 'request-released' : 'prompt-released', describeCause(quarantine), logLevel.warn);
	}
}

function isOfRequest({partIds}: Quarantine): boolean {
	return partIds.some(id => parseRequestSuspectId(id) !== undefined);
}

/** Describes the cause for the log: prompt parts, and the request if only that is withheld. */
function describeCause({partIds}: Quarantine): {parts: readonly string[]; fingerprint?: string} {
	const fingerprint = partIds.map(id => parseRequestSuspectId(id)).find(id => id !== undefined);
	return {parts: partIds.filter(id => parseRequestSuspectId(id) === undefined), ...(fingerprint !== undefined && {fingerprint})};
}

/** Returns the failure of a request that is withheld, or has quarantined parts; `undefined` if it may be sent, if only to try the parts again. */
export function findQuarantineFailure(step: Step, request: OpenRequest): Failure | undefined {
	const {state, now} = step;
	const quarantine = state.quarantine.findQuarantine(listSuspectIds(request));
	if (quarantine === undefined) {
		return undefined;
	}

	if (state.quarantine.claimTrial(quarantine, findFleetView(step), now)) {
		recordLog(step, isOfRequest(quarantine) ? 'request-tried' : 'prompt-tried', {requestId: request.requestId, ...describeCause(quarantine)}, logLevel.warn);
		return undefined;
	}

	state.quarantine.recordWithheld(quarantine, now);
	return createQuarantineFailure(quarantine, request, now);
}

function createQuarantineFailure(quarantine: Quarantine, {possibleRunCount}: OpenRequest, now: number): Failure {
	const reason = isOfRequest(quarantine) ? failureReason.requestQuarantined : failureReason.promptQuarantined;
	const retryAfterMs = quarantine.mayTry ? Math.max(minRetryAfterMs, quarantine.until - now) : finalRetryAfterMs;
	return createFailure(possibleRunCount === 0 ? reason : failureReason.answerLost, retryAfterMs);
}
