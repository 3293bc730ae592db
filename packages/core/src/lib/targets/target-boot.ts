/**
 * Evidence of a target's boot, which determines whether the target is warm. A
 * target counts as cold unless fresh evidence shows that it is warm. An
 * unnoticed restart is therefore detected once the evidence has expired, without
 * any message from a peer; evidence from peers only speeds up the detection.
 */
import type {Pool} from '../configuration/configuration.js';
import {effectKind} from '../effect.js';
import type {LoadReportedEvent, SummaryReceivedEvent} from '../event.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import type {Target} from './target-state.js';

/** Age of the evidence above which a target no longer counts as warm, in milliseconds. */
export const evidenceMaxAgeMs = 3000;
/** Age of the evidence from which considering the target for a request starts a probe, in milliseconds. */
const evidenceRenewalAgeMs = 1500;
/** Shortest time between two probes of a target, in milliseconds. */
const probeIntervalMs = 500;
/** Longest time for which a request waits for the answer to a probe of its first-ranked target, in milliseconds. */
const probeMaxWaitMs = 150;

/** True when the target can serve its full number of requests. */
export function isWarm(target: Target, pool: Pool, now: number): boolean {
	return pool.warmAfterMs === 0
		|| (hasFreshEvidence(target, now) && target.bootedAt !== undefined && target.bootedAt + pool.warmAfterMs <= now);
}

/** True when fresh evidence shows that the target has not been up for the warm-up time yet. */
export function isKnownCold(target: Target, pool: Pool, now: number): boolean {
	return hasFreshEvidence(target, now) && !isWarm(target, pool, now);
}

/**
 * Computes how many of a target's slots one request takes: more than one while
 * the target is cold, so that all slots together allow `coldSlots` requests.
 */
export function computeSlotsPerRequest(step: Step, pool: Pool, target: Target): number {
	return isWarm(target, pool, step.now) ? 1 : Math.max(1, pool.slotsPerTarget / pool.coldSlots);
}

/** True when a probe of the target may soon be answered and may show that the target is warm. */
export function isProbePending(target: Target, pool: Pool, now: number): boolean {
	return pool.warmAfterMs > 0 && !hasFreshEvidence(target, now) && target.probedAt !== undefined && now - target.probedAt < probeMaxWaitMs;
}

function hasFreshEvidence({evidenceAt}: Target, now: number): boolean {
	return evidenceAt !== undefined && now - evidenceAt <= evidenceMaxAgeMs;
}

/** Probes the target if its evidence is due for renewal. */
export function probeIfDue({now, effects}: Step, target: Target, pool: Pool): void {
	const evidenceAgeMs = now - (target.evidenceAt ?? Number.NEGATIVE_INFINITY);
	const probeAgeMs = now - (target.probedAt ?? Number.NEGATIVE_INFINITY);
	if (pool.warmAfterMs === 0 || evidenceAgeMs < evidenceRenewalAgeMs || probeAgeMs < probeIntervalMs) {
		return;
	}

	target.probedAt = now;
	effects.push({kind: effectKind.probe, targetId: target.listed.id, address: target.listed.address});
}

/** Applies a target's report about its boot. */
export function applyLoadReport(step: Step, {targetId, bootId, uptimeMs, askedAt}: LoadReportedEvent): void {
	const {now} = step;
	const target = step.state.targets.targets.get(targetId);
	if (target === undefined || bootId === undefined) {
		return;
	}

	// The uptime was measured before now, so the computed boot time can be too late but not too early.
	applyBoot(step, target, {bootId, bootedAt: now - (uptimeMs ?? 0), evidenceAt: askedAt ?? now});
}

/** Applies a peer's evidence of a later boot than the one known here. */
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

/** Discards the evidence after a failed attempt: the target may have restarted, and needs new evidence to count as warm. */
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

	// Reports of one boot differ by their delay. Even the earliest computed time is not too early.
	target.bootedAt = target.bootId === bootId ? Math.min(target.bootedAt ?? bootedAt, bootedAt) : bootedAt;
	target.bootId = bootId;
	target.evidenceAt = evidenceAt;
}
