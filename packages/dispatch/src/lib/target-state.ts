/**
 * Targets as this instance knows them: what they registered, what it has in
 * flight there, what they told of their load, and how they answer.
 */
import {computeRankHash} from './cold-target-limits.js';
import {factKind, type FactChange, type TargetRecord} from './directory.js';
import type {SharedTargetLoad} from './peer-message.js';
import {SlidingWindow} from './sliding-window.js';
import {createHealth, type TargetHealth} from './target-health.js';

/**
 * Span in which sends to a target count, in milliseconds: the bounds are for a
 * second at the target, and sends may arrive closer together than they left.
 */
const sendWindowMs = 1150;
/** What a target said of its load. */
type ReportedLoad = {
	readonly at: number;
	/** Requests that it ran or kept waiting, from all instances. */
	readonly load: number;
	/** Requests of other instances that it ran or kept waiting. */
	readonly othersLoad: number;
};

export type Target = {
	record: TargetRecord;
	readonly hash: number;
	/** When this instance heard of it first. */
	readonly registeredAt: number;
	/** Requests of this instance that are in flight there. */
	inFlight: number;
	readonly recentSends: SlidingWindow;
	/** Time until which it counts as cold. */
	coldUntil: number;
	/** True: it is no longer registered, or is leaving. */
	isGone: boolean;
	/** Set while a lost registration may come back: the target stays in use until then. */
	lapseGraceUntil?: number;
	health: TargetHealth;
	reportedLoad?: ReportedLoad;
};

/** Time for which a target goes on after its registration is gone, in milliseconds: others can copy from it meanwhile. */
const departedRetentionMs = 2000;

type DepartedTarget = {readonly target: Target; readonly retainedUntil: number};

export type TargetState = {
	byId: Map<string, Target>;
	byPool: Map<string, Target[]>;
	/** Targets whose registration has gone, and that may be there still. */
	departed: DepartedTarget[];
};

export function createTargetState(): TargetState {
	return {byId: new Map(), byPool: new Map(), departed: []};
}

/** Lists the targets of a pool that may be reached, registered or not. */
export function listReachable({byPool, departed}: TargetState, poolName: string): Target[] {
	return [
		...(byPool.get(poolName) ?? []),
		...departed.filter(({target}) => target.record.pool === poolName).map(({target}) => target),
	];
}

/**
 * Takes changed registrations. While the platform has just come back, a
 * registration that is missing may only have lapsed: it is kept until
 * `lapseGraceUntil`.
 */
export function applyTargetChanges(targets: TargetState, changes: readonly FactChange[], lapseGraceUntil: number, now: number): void {
	for (const {subject, fact} of changes) {
		if (fact?.kind === factKind.target) {
			applyTargetRecord(targets, fact.target, now);
			continue;
		}

		const id = parseTargetSubject(subject);
		const known = id === undefined ? undefined : targets.byId.get(id);
		if (known === undefined) {
			continue;
		}

		if (now < lapseGraceUntil && !known.isGone) {
			known.lapseGraceUntil = lapseGraceUntil;
		} else {
			known.isGone = true;
		}
	}

	indexPools(targets);
}

/** Renews what a repeated registration says of the rest of a cold start. */
export function applyTargetRenewals(targets: TargetState, renewals: readonly FactChange[], now: number): void {
	for (const {fact} of renewals) {
		if (fact?.kind === factKind.target) {
			const known = targets.byId.get(fact.target.id);
			if (known !== undefined) {
				known.coldUntil = now + fact.target.coldMs;
			}
		}
	}
}

/** Prefix of the subjects of targets; the rest is the target's id. */
export const targetSubjectPrefix = 'target/';

function parseTargetSubject(subject: string): string | undefined {
	return subject.startsWith(targetSubjectPrefix) ? subject.slice(targetSubjectPrefix.length) : undefined;
}

function applyTargetRecord(targets: TargetState, record: TargetRecord, now: number): void {
	const known = targets.byId.get(record.id);
	if (known?.record.bornAt !== record.bornAt) {
		targets.byId.set(record.id, createTarget(record, now));
		return;
	}

	known.record = record;
	known.isGone = record.isLeaving;
	known.lapseGraceUntil = undefined;
	known.coldUntil = now + record.coldMs;
}

function createTarget(record: TargetRecord, now: number): Target {
	return {
		record,
		hash: computeRankHash(record.id),
		registeredAt: now,
		inFlight: 0,
		recentSends: new SlidingWindow(sendWindowMs),
		coldUntil: now + record.coldMs,
		isGone: record.isLeaving,
		health: createHealth(),
	};
}

/** Takes all lapsed registrations as gone; returns their targets. */
export function expireLapsedTargets({byId}: TargetState): string[] {
	const expired: string[] = [];
	for (const [id, target] of byId) {
		if (target.lapseGraceUntil !== undefined) {
			target.lapseGraceUntil = undefined;
			target.isGone = true;
			expired.push(id);
		}
	}

	return expired;
}

/** Ends the grace of lapsed registrations and forgets targets that are gone and idle. */
export function updateTargets(targets: TargetState, now: number): void {
	let hasChanged = false;
	for (const [id, target] of targets.byId) {
		if (target.lapseGraceUntil !== undefined && now >= target.lapseGraceUntil) {
			target.lapseGraceUntil = undefined;
			target.isGone = true;
		}

		if (target.isGone && target.inFlight === 0 && !target.record.isLeaving) {
			targets.byId.delete(id);
			targets.departed.push({target, retainedUntil: now + departedRetentionMs});
			hasChanged = true;
		}
	}

	targets.departed = targets.departed.filter(({retainedUntil}) => now < retainedUntil);
	if (hasChanged) {
		indexPools(targets);
	}
}

function indexPools(targets: TargetState): void {
	targets.byPool = new Map();
	for (const target of targets.byId.values()) {
		const list = targets.byPool.get(target.record.pool) ?? [];
		list.push(target);
		targets.byPool.set(target.record.pool, list);
	}
}

/** Counts a request that is sent. */
export function recordSend(target: Target, now: number): void {
	target.inFlight++;
	target.recentSends.record(now);
	if (target.health.isOnProbation) {
		target.health.hasTrialInFlight = true;
	}
}

/** Counts a request that is over. */
export function recordSendEnd(target: Target): void {
	target.inFlight--;
}

/** Takes a target's word of `at` on its load; what this instance has in flight there is part of it. */
export function recordReportedLoad(target: Target, load: number, at: number): void {
	target.reportedLoad = {at, load, othersLoad: Math.max(0, load - target.inFlight)};
}

/** Age up to which loads are told to peers, in milliseconds. */
const sharedLoadMaxAgeMs = 2000;
/** Targets told in one message, the latest first: a choice by load would make the pool look busier than it is. */
const loadsPerMessage = 32;

/** Describes loads for peers: in a large fleet one instance hears of each target too rarely. */
export function describeLoads({byId}: TargetState, now: number): SharedTargetLoad[] {
	const loads: SharedTargetLoad[] = [];
	for (const [targetId, {reportedLoad}] of byId) {
		if (reportedLoad !== undefined && now - reportedLoad.at <= sharedLoadMaxAgeMs) {
			loads.push({targetId, load: reportedLoad.load, ageMs: Math.round(now - reportedLoad.at)});
		}
	}

	return loads.sort((a, b) => a.ageMs - b.ageMs).slice(0, loadsPerMessage);
}

/** Takes loads that a peer heard of, if they are newer than what is known; `madeAt` is a time before the peer's message. */
export function applyLoads({byId}: TargetState, loads: readonly SharedTargetLoad[], ageReferenceAt: number): void {
	for (const {targetId, load, ageMs} of loads) {
		const target = byId.get(targetId);
		const at = ageReferenceAt - ageMs;
		if (target !== undefined && at > (target.reportedLoad?.at ?? Number.NEGATIVE_INFINITY)) {
			recordReportedLoad(target, load, at);
		}
	}
}
