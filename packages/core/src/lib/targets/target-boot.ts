/**
 * Evidence of a target's boot, and what follows from it: whether the target is
 * warm. A target counts as cold until fresh evidence says otherwise, so that
 * one that restarts unseen is found out once the evidence has aged, without
 * any message from a peer. Peers' evidence only makes it sooner.
 */
import type {Pool} from '../configuration/configuration.js';
import {effectKind} from '../effect.js';
import type {LoadReportedEvent, SummaryReceivedEvent} from '../event.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import type {Target} from './target-state.js';

/** Age of the evidence from which a target no longer counts as warm, in milliseconds. */
export const evidenceMaxAgeMs = 3000;
/** Age of the evidence from which a request to the target has it renewed, in milliseconds. */
const evidenceRenewalAgeMs = 1500;
/** Shortest time between two probes of a target, in milliseconds. */
const probeIntervalMs = 500;
/** Longest time that a request waits for the answer to a probe of its home, in milliseconds. */
const probeMaxWaitMs = 150;

/** True when the target bears its full number of requests. */
export function isWarm(target: Target, pool: Pool, now: number): boolean {
	return pool.warmAfterMs === 0
		|| (hasFreshEvidence(target, now) && target.bootedAt !== undefined && target.bootedAt + pool.warmAfterMs <= now);
}

/** True when fresh evidence says that the target booted a short time ago. */
export function isKnownCold(target: Target, pool: Pool, now: number): boolean {
	return hasFreshEvidence(target, now) && !isWarm(target, pool, now);
}

/**
 * Computes how much of a target's slots one request there takes up: more than
 * one while the target is cold, so that all slots together bear `coldSlots`.
 */
export function computeSlotsPerRequest(step: Step, pool: Pool, target: Target): number {
	return isWarm(target, pool, step.now) ? 1 : Math.max(1, pool.slotsPerTarget / pool.coldSlots);
}

/** True when a probe of the target may be answered soon, and the answer may show that it is warm. */
export function isProbePending(target: Target, pool: Pool, now: number): boolean {
	return pool.warmAfterMs > 0 && !hasFreshEvidence(target, now) && target.probedAt !== undefined && now - target.probedAt < probeMaxWaitMs;
}

function hasFreshEvidence({evidenceAt}: Target, now: number): boolean {
	return evidenceAt !== undefined && now - evidenceAt <= evidenceMaxAgeMs;
}

/** Probes the target when its evidence is old. */
export function probeIfDue({now, effects}: Step, target: Target, pool: Pool): void {
	const evidenceAgeMs = now - (target.evidenceAt ?? Number.NEGATIVE_INFINITY);
	const probeAgeMs = now - (target.probedAt ?? Number.NEGATIVE_INFINITY);
	if (pool.warmAfterMs === 0 || evidenceAgeMs < evidenceRenewalAgeMs || probeAgeMs < probeIntervalMs) {
		return;
	}

	target.probedAt = now;
	effects.push({kind: effectKind.probe, targetId: target.listed.id, address: target.listed.address});
}

/** Takes what a target told of itself. */
export function applyLoadReport(step: Step, {targetId, bootId, uptimeMs, askedAt}: LoadReportedEvent): void {
	const {now} = step;
	const target = step.state.targets.targets.get(targetId);
	if (target === undefined || bootId === undefined) {
		return;
	}

	// The uptime was true before now, so the boot is dated too late rather than too early.
	applyBoot(step, target, {bootId, bootedAt: now - (uptimeMs ?? 0), evidenceAt: askedAt ?? now});
}

/** Takes a peer's evidence of a later boot than the one known here. */
export function applyPeerEvidence(step: Step, {summary, startedAt}: SummaryReceivedEvent): void {
	for (const load of summary.targets) {
		const target = step.state.targets.targets.get(load.targetId);
		if (target === undefined || load.bootId === '' || load.bootId === target.bootId) {
			continue;
		}

		const bootedAt = step.now - load.uptimeMs;
		const evidenceAt = startedAt - load.evidenceAgeMs;
		if (bootedAt > (target.bootedAt ?? 0) && evidenceAt > (target.evidenceAt ?? 0)) {
			applyBoot(step, target, {bootId: load.bootId, bootedAt, evidenceAt});
		}
	}
}

/** Takes a failed attempt: the target may have restarted, so that it needs new evidence to count as warm. */
export function applyTargetFailure(target: Target): void {
	target.evidenceAt = undefined;
}

type BootEvidence = {readonly bootId: string; readonly bootedAt: number; readonly evidenceAt: number};

function applyBoot(step: Step, target: Target, {bootId, bootedAt, evidenceAt}: BootEvidence): void {
	if (target.evidenceAt !== undefined && evidenceAt < target.evidenceAt) {
		return;
	}

	if (target.bootId !== bootId) {
		recordEntry(step, {
			kind: timelineKind.targetCold, cause: `target-${target.listed.id}`, targetId: target.listed.id, detail: `Boot "${bootId}" was seen ${Math.round(step.now - bootedAt)} ms after it.`,
		});
	}

	// Reports of one boot differ by their delay; the earliest date is still not too early.
	target.bootedAt = target.bootId === bootId ? Math.min(target.bootedAt ?? bootedAt, bootedAt) : bootedAt;
	target.bootId = bootId;
	target.evidenceAt = evidenceAt;
}
