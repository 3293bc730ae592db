/**
 * The targets as known to this instance: their registrations, the requests in
 * flight from this instance, their reported load and their health.
 */
import {
	computeNamedLimitShare, computeRankHash, namedLimitWindowMs, type FleetView,
} from './target-limits.js';
import {factKind, type FactChange, type TargetRecord} from '../directory/directory-facts.js';
import type {SharedLeavingTarget, SharedTargetLimit, SharedTargetLoad} from '../members/peer-message.js';
import {SlidingWindow} from '../sliding-window.js';
import {createRejectionWindows} from './target-room.js';
import {createHealth, type TargetHealth} from './target-health.js';
import {
	recordLeaving, recordNamedLimits, recordStatement, TargetStatements, type ProcessStatements, type StatementKind, type TargetReport,
} from './target-statements.js';

/** Time by which sends can arrive closer together at the target than they were sent, in milliseconds. */
const arrivalSpreadMs = 150;
/** Window in which sends to a target are counted, in milliseconds: the limits of cold targets apply to one second at the target. */
const sendWindowMs = 1000 + arrivalSpreadMs;

/** Longest time from the announcement of a send to its arrival at the target, in milliseconds. */
const announcedSendDelayMs = 30;
/** Time for which an announced send counts if no report arrives, in milliseconds: by then the request has probably ended. */
const announcedSendLifetimeMs = 1000;

/** A load report of a target. */
type ReportedLoad = {
	readonly at: number;
	/** Number of requests from all instances that the target ran or queued. */
	readonly load: number;
	/** Number of requests from other instances that the target ran or queued. */
	readonly othersLoad: number;
	/** True if the target responded to a request of another instance, which the load counts too. */
	readonly isFromPeer?: boolean;
};

export type Target = {
	record: TargetRecord;
	readonly hash: number;
	/** Time at which this instance first received the target's registration. */
	readonly registeredAt: number;
	/** Number of requests from this instance in flight at the target. */
	inFlight: number;
	/** Time at which the target last responded to this instance. */
	heardAt: number;
	readonly recentSends: SlidingWindow;
	/** The sends that count for a limit that the target names, now or later. */
	readonly recentLimitedSends: SlidingWindow;
	/** The requests of this instance that the target rejected. */
	readonly rejections: SlidingWindow;
	/** The sends that the target may still reject. */
	readonly undecidedSends: SlidingWindow;
	/** Time until which the target counts as cold. */
	coldUntil: number;
	/** True if the target receives no new requests, because it is leaving or no longer registered. */
	isGone: boolean;
	/** False if the target's registration was removed. */
	isRegistered: boolean;
	/** Time until which the target stays in use without a registration; set while a missing registration may be renewed. */
	lapseGraceUntil?: number;
	health: TargetHealth;
	reportedLoad?: ReportedLoad;
	/** Times of the sends that peers have announced and that the load report does not contain. */
	announcedSends: readonly number[];
	/** What the target's process stated in its responses. */
	readonly statements: ProcessStatements;
};

/** Time for which a target keeps running after its registration is removed, in milliseconds; other targets can copy from it meanwhile. */
const departedRetentionMs = 2000;

type DepartedTarget = {readonly target: Target; readonly retainedUntil: number};

export type TargetState = {
	byId: Map<string, Target>;
	byPool: Map<string, Target[]>;
	/** Targets whose registration was removed, but that may still be running. */
	departed: DepartedTarget[];
	readonly statements: TargetStatements;
};

export function createTargetState(): TargetState {
	return {
		byId: new Map(), byPool: new Map(), departed: [], statements: new TargetStatements(),
	};
}

/** Lists the targets of a pool that may be reachable, including targets without a registration. */
export function listReachable({byPool, departed}: TargetState, poolName: string): Target[] {
	return [
		...(byPool.get(poolName) ?? []),
		...departed.filter(({target}) => target.record.pool === poolName).map(({target}) => target),
	];
}

/**
 * Applies changed registrations. Shortly after the platform returns, a missing
 * registration may have lapsed although its target still runs, so the target is
 * kept until `lapseGraceUntil`.
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

		known.isRegistered = false;
		if (now < lapseGraceUntil && !known.isGone) {
			known.lapseGraceUntil = lapseGraceUntil;
		} else {
			known.isGone = true;
		}
	}

	indexPools(targets);
}

/** Updates the remaining cold time of targets from renewed registrations. */
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

/** Prefix of the subjects of targets, followed by the target's id. */
export const targetSubjectPrefix = 'target/';

/** Finds the id of the target that a subject names; `undefined` if it names none. */
export function parseTargetSubject(subject: string): string | undefined {
	return subject.startsWith(targetSubjectPrefix) ? subject.slice(targetSubjectPrefix.length) : undefined;
}

function applyTargetRecord(targets: TargetState, record: TargetRecord, now: number): void {
	const known = targets.byId.get(record.id);
	if (known?.record.bornAt !== record.bornAt) {
		targets.byId.set(record.id, createTarget(record, targets.statements.claim(record), now));
		return;
	}

	known.record = record;
	known.isGone = isLeaving(known);
	known.isRegistered = true;
	known.lapseGraceUntil = undefined;
	known.coldUntil = now + record.coldMs;
}

/** True if the target's registration or the target itself says that it is leaving. */
export function isLeaving({record, statements}: Pick<Target, 'record' | 'statements'>): boolean {
	return record.isLeaving || statements.leavingSince !== undefined;
}

export function createTarget(record: TargetRecord, statements: ProcessStatements, now: number): Target {
	return {
		record,
		hash: computeRankHash(record.id),
		registeredAt: now,
		inFlight: 0,
		heardAt: Number.NEGATIVE_INFINITY,
		recentSends: new SlidingWindow(sendWindowMs),
		recentLimitedSends: new SlidingWindow(namedLimitWindowMs + arrivalSpreadMs),
		...createRejectionWindows(),
		coldUntil: now + record.coldMs,
		isGone: isLeaving({record, statements}),
		isRegistered: true,
		announcedSends: [],
		health: createHealth(),
		statements,
	};
}

/** Marks all targets with lapsed registrations as gone; returns their ids. */
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

/** Ends the grace period of lapsed registrations, and removes idle targets without a registration; returns whether there were any. */
export function updateTargets(targets: TargetState, now: number): boolean {
	let hasChanged = false;
	let hasRemoved = false;
	for (const [id, target] of targets.byId) {
		if (target.lapseGraceUntil !== undefined && now >= target.lapseGraceUntil) {
			target.lapseGraceUntil = undefined;
			target.isGone = true;
			hasChanged = true;
		}

		if (target.isGone && target.inFlight === 0 && !target.isRegistered) {
			targets.byId.delete(id);
			targets.departed.push({target, retainedUntil: now + departedRetentionMs});
			hasRemoved = true;
		}
	}

	targets.departed = targets.departed.filter(({retainedUntil}) => now < retainedUntil);
	if (hasRemoved) {
		indexPools(targets);
	}

	return hasChanged || hasRemoved;
}

function indexPools(targets: TargetState): void {
	targets.byPool = new Map();
	for (const target of targets.byId.values()) {
		const list = targets.byPool.get(target.record.pool) ?? [];
		list.push(target);
		targets.byPool.set(target.record.pool, list);
	}
}

/** Lists the ids of the targets of a pool that may receive requests. */
export function listReceivingIds({byPool}: TargetState, poolName: string): string[] {
	return (byPool.get(poolName) ?? []).filter(({isGone}) => !isGone).map(({record}) => record.id);
}

/** Counts a request that is sent to the target. */
export function recordSend(target: Target, now: number): void {
	target.inFlight++;
	target.recentSends.record(now);
	target.recentLimitedSends.record(now);
	target.undecidedSends.record(now);
	if (target.health.isOnProbation) {
		target.health.hasTrialInFlight = true;
	}
}

/** Counts the end of a request that was sent to the target. */
export function recordSendEnd(target: Target): void {
	target.inFlight--;
}

/** Records a load report that the target made at time `at`; the report includes the requests in flight from this instance. */
export function recordReportedLoad(target: Target, load: number, at: number, isFromPeer = false): void {
	target.reportedLoad = {
		at, load, othersLoad: Math.max(0, load - target.inFlight), isFromPeer,
	};
	target.announcedSends = target.announcedSends.filter(sentAt => sentAt > at - announcedSendDelayMs);
}

/** Records the load that the tracker of the target states; unlike a report, it does not contain the request that was the reason for it. */
export function recordTrackedLoad(target: Target, load: number, at: number): void {
	target.reportedLoad = {at, load: load + 1, othersLoad: Math.max(0, load - target.inFlight)};
	target.announcedSends = [];
}

/** Counts a request that a peer is about to send to the target. */
export function recordAnnouncedSend(target: Target, now: number): void {
	target.announcedSends = [...target.announcedSends.filter(sentAt => now - sentAt < announcedSendLifetimeMs), now];
}

/** Counts the announced sends that the load report does not contain. */
export function countAnnouncedSends({announcedSends}: Target, now: number): number {
	return announcedSends.length === 0 ? 0 : announcedSends.filter(sentAt => now - sentAt < announcedSendLifetimeMs).length;
}

/** Computes how many requests this instance may send to the target in `namedLimitWindowMs`; infinite if the target names no limit. */
function computeNamedShare({statements: {limit}, hash}: Target, fleet: FleetView): number {
	return limit?.requestsPerS === undefined ? Number.POSITIVE_INFINITY : computeNamedLimitShare(hash, limit.requestsPerS, fleet);
}

/** True if what the target states about limits and pauses allows this instance another request. */
export function isWithinStatedLimits(target: Target, fleet: FleetView, now: number): boolean {
	return now >= target.statements.pausedUntil && target.recentLimitedSends.count(now) < computeNamedShare(target, fleet);
}

/** Finds the time from which what the target states allows this instance another request; infinite if it never does. */
export function findStatedLimitsEnd(target: Target, fleet: FleetView, now: number): number {
	const share = computeNamedShare(target, fleet);
	const limitEnd = share === 0 ? Number.POSITIVE_INFINITY : target.recentLimitedSends.findFreeAt(share, now);
	return Math.max(limitEnd, target.statements.pausedUntil);
}

/** Age up to which load reports are shared with peers, in milliseconds. */
const sharedLoadMaxAgeMs = 2000;
/** Number of load reports in one message, the latest first: a choice by load would overstate the load of the pool. */
const loadsPerMessage = 32;

/** Describes recent load reports for peers: in a large fleet, one instance receives reports from each target too rarely. */
export function describeLoads({byId}: TargetState, now: number): SharedTargetLoad[] {
	const loads: SharedTargetLoad[] = [];
	for (const [targetId, {reportedLoad}] of byId) {
		if (reportedLoad !== undefined && now - reportedLoad.at <= sharedLoadMaxAgeMs) {
			loads.push({targetId, load: reportedLoad.load, ageMs: Math.round(now - reportedLoad.at)});
		}
	}

	return loads.sort((a, b) => a.ageMs - b.ageMs).slice(0, loadsPerMessage);
}

/**
 * Applies load reports from a peer that are newer than the known reports; their
 * ages are subtracted from `messageCreatedAt`.
 */
export function applyLoads({byId}: TargetState, loads: readonly SharedTargetLoad[], messageCreatedAt: number): void {
	for (const {targetId, load, ageMs} of loads) {
		const target = byId.get(targetId);
		const at = messageCreatedAt - ageMs;
		if (target !== undefined && at > (target.reportedLoad?.at ?? Number.NEGATIVE_INFINITY)) {
			recordReportedLoad(target, load, at, true);
		}
	}
}

/** Applies the limits of a peer's message that are newer than the known ones; their ages are subtracted from `messageCreatedAt`. */
export function applyNamedLimits({byId}: TargetState, limits: readonly SharedTargetLimit[], messageCreatedAt: number): void {
	for (const {
		targetId, bornAt, requestsPerS, rejectionsPerS, ageMs,
	} of limits) {
		const target = byId.get(targetId);
		if (target?.record.bornAt === bornAt) {
			recordNamedLimits(target.statements, {requestsPerS, rejectionsPerS, at: messageCreatedAt - ageMs});
		}
	}
}

/**
 * Applies the processes of a peer's message that leave, also those whose registration is not
 * known here yet; returns the targets for which this is new.
 */
export function applyLeavingTargets(targets: TargetState, leaving: readonly SharedLeavingTarget[], messageCreatedAt: number): Target[] {
	const changed: Target[] = [];
	for (const {targetId, bornAt, ageMs} of leaving) {
		const isNew = recordLeaving(targets.statements.claim({id: targetId, bornAt}), messageCreatedAt - ageMs);
		const target = targets.byId.get(targetId);
		if (isNew && target?.record.bornAt === bornAt) {
			target.isGone = true;
			changed.push(target);
		}
	}

	return changed;
}

/** Records what a response of the target stated; returns the kinds of statements that changed. */
export function recordTargetStatement(target: Target, report: TargetReport, now: number): StatementKind[] {
	if (report.load !== undefined) {
		const {running, waiting} = report.load;
		recordReportedLoad(target, running + waiting, now);
	}

	const changed = recordStatement(target.statements, report);
	target.isGone ||= target.statements.leavingSince !== undefined;
	return changed;
}
