/**
 * Which software versions may have served the pools before this instance started, from the
 * history that the platform keeps. The history tells the order of changes, but neither their
 * times nor what it has dropped. The number of registrations in between bounds the time from
 * below; what is derived here is rather incomplete than wrong.
 */
import {
	factKind, type Fact, type FactChange, type TargetRecord,
} from '../directory/directory-facts.js';
import type {SharedPoolVersions} from '../members/peer-message.js';
import {parseTargetSubject} from '../targets/target-state.js';
import {createCountsKey} from './version-history.js';

/** A change in the platform's history. */
export type PastChange = FactChange & {
	/** Revision at which the subject was last written after it had been missing. */
	readonly createdRevision?: number;
	/** Number of registrations of the target's process up to this one. */
	readonly renewalCount?: number;
};

/** A part of the platform's history. */
export type PlatformHistory = {
	/** All changes after `since`. */
	readonly changes: readonly PastChange[];
	readonly since: number;
	/** Time between two registrations of a target, in milliseconds. */
	readonly renewalIntervalMs: number;
};

/** Number of registrations that are missing between two of a process from which on changes may have been lost: a registration expires before. */
const lostRenewalCount = 3;
/** Number of steps into which the history is divided to estimate when its states ended. */
const timeStepCount = 64;
/** Fraction of the renewal interval that certainly passes between two registrations. */
const leastIntervalFraction = 0.8;

/**
 * Lists the states that may have held during the history, for each pool. `facts` is the
 * present directory, which names the targets that have not changed since.
 */
export function listPastVersions({changes, since, renewalIntervalMs}: PlatformHistory, facts: ReadonlyMap<string, FactChange>): SharedPoolVersions[] {
	const ordered = [...changes].sort((a, b) => a.revision - b.revision);
	const firstIndex = findCompleteIndex(ordered);
	const changesSince = ordered.slice(firstIndex);
	const stepLength = Math.max(1, Math.ceil(changesSince.length / timeStepCount));
	const durationsMs = estimateDurationsMs(changesSince, stepLength, renewalIntervalMs);
	const knownMs = durationsMs[0] ?? 0;
	if (knownMs <= 0) {
		return [];
	}

	const pools = new PastPools();
	for (const fact of listFactsBefore(ordered, firstIndex, facts, since)) {
		pools.apply(fact.subject, fact.fact);
	}

	pools.recordStates(knownMs);
	for (let first = 0; first < changesSince.length; first += stepLength) {
		// A state that ends in this step certainly has ended for as long as the later changes span.
		const leastAgeMs = Math.max(0, durationsMs[(first / stepLength) + 1] ?? 0);
		for (const {subject, fact} of changesSince.slice(first, first + stepLength)) {
			if (pools.apply(subject, fact)) {
				pools.recordStates(leastAgeMs);
			}
		}
	}

	return pools.list(knownMs);
}

/**
 * Finds the index of the first change before which all facts are known: later than each change
 * of a subject whose fact before is unknown, and than each gap in the registrations of a
 * process, over which a restore of the platform may have lost changes.
 */
function findCompleteIndex(changes: readonly PastChange[]): number {
	const lastBySubject = new Map<string, PastChange>();
	let index = 0;
	for (const [position, change] of changes.entries()) {
		const last = lastBySubject.get(change.subject);
		if (last === undefined ? !isFactBeforeKnown(change) : hasGap(last, change)) {
			index = position + 1;
		}

		lastBySubject.set(change.subject, change);
	}

	return index;
}

/** True if the first change of a subject in the history tells what was in force before it. */
function isFactBeforeKnown(change: PastChange): boolean {
	const {subject, revision, createdRevision, renewalCount, fact} = change;
	if (createdRevision === revision) {
		return true;
	}

	if (parseTargetSubject(subject) === undefined) {
		return fact === undefined || createdRevision !== undefined;
	}

	// A process that has registered before had the same version, and does not return from leaving.
	return createdRevision !== undefined && fact?.kind === factKind.target && !fact.target.isLeaving && renewalCount !== undefined && renewalCount > 1;
}

function hasGap(last: PastChange, {fact, renewalCount}: PastChange): boolean {
	return fact?.kind === factKind.target && last.fact?.kind === factKind.target && fact.target.bornAt === last.fact.target.bornAt
		&& renewalCount !== undefined && last.renewalCount !== undefined && renewalCount - last.renewalCount >= lostRenewalCount;
}

type SubjectFact = {readonly subject: string; readonly fact: Fact | undefined};

/** Lists the facts that were in force before the change with an index. */
function listFactsBefore(changes: readonly PastChange[], index: number, facts: ReadonlyMap<string, FactChange>, since: number): SubjectFact[] {
	const before = new Map<string, Fact | undefined>();
	for (const [position, {subject, revision, createdRevision, fact}] of changes.entries()) {
		if (position < index) {
			before.set(subject, fact);
		} else if (!before.has(subject)) {
			before.set(subject, createdRevision === revision ? undefined : fact ?? findClosedZone(subject));
		}
	}

	for (const [subject, {revision, fact}] of facts) {
		if (!before.has(subject) && revision <= since) {
			before.set(subject, fact);
		}
	}

	return [...before].map(([subject, fact]) => ({subject, fact}));
}

/** Prefix of the subjects of closed zones, followed by the name of the zone. */
const zoneSubjectPrefix = 'zone/';

/** Finds the fact that a removal of its subject ends, if the subject alone tells it. */
function findClosedZone(subject: string): Fact | undefined {
	return subject.startsWith(zoneSubjectPrefix) ? {kind: factKind.zoneClosed, zone: subject.slice(zoneSubjectPrefix.length)} : undefined;
}

/**
 * Estimates a duration that the changes from a certain one on span, in milliseconds: a quarter of the processes
 * have registered so often meanwhile. Those that started or ended meanwhile have registered less often.
 * Changes are added from the last one back, since each of the many steps of a history ends with the last change.
 */
class DurationEstimate {
	readonly #renewalIntervalMs: number;
	/** Numbers of registrations in the first and the last change of each process. */
	readonly #spans = new Map<string, {first: number; readonly last: number}>();

	constructor(renewalIntervalMs: number) {
		this.#renewalIntervalMs = renewalIntervalMs;
	}

	/** Adds the change before those that were added. */
	add({subject, fact, renewalCount}: PastChange): void {
		if (fact?.kind !== factKind.target || renewalCount === undefined) {
			return;
		}

		const key = `${fact.target.bornAt}/${subject}`;
		const span = this.#spans.get(key);
		if (span === undefined) {
			this.#spans.set(key, {first: renewalCount, last: renewalCount});
		} else {
			span.first = renewalCount;
		}
	}

	computeMs(): number {
		const counts = Float64Array.from(this.#spans.values(), ({first, last}) => last - first).filter(count => count > 0).sort();
		// One registration may have been written between two regular ones, when its content changed.
		const count = (counts[Math.floor((counts.length - 1) * 3 / 4)] ?? 0) - 1;
		return Math.floor(count * this.#renewalIntervalMs * leastIntervalFraction);
	}
}

/** Estimates the durations that the changes from each multiple of `stepLength` on span, in milliseconds; the first is that of all changes. */
function estimateDurationsMs(changes: readonly PastChange[], stepLength: number, renewalIntervalMs: number): number[] {
	const estimate = new DurationEstimate(renewalIntervalMs);
	const durationsMs: number[] = [];
	for (let index = changes.length - 1; index >= 0; index--) {
		estimate.add(changes[index]!);
		if (index % stepLength === 0) {
			durationsMs.push(estimate.computeMs());
		}
	}

	return durationsMs.reverse();
}

type PastState = {
	readonly counts: ReadonlyArray<readonly [string, number]>;
	/** Time since which the state has certainly not held, before now; 0 if it may hold now. */
	endedMs: number;
	/** True for the state that holds at the moment. */
	isLast: boolean;
};

/** The pools as the platform described them at a past moment. */
class PastPools {
	/** The states that were recorded, by pool and `createCountsKey`; the last one of a pool holds at the end. */
	readonly #states = new Map<string, Map<string, PastState>>();
	readonly #targets = new Map<string, TargetRecord>();
	readonly #closedZones = new Set<string>();
	readonly #counts = new Map<string, Map<string, number>>();
	readonly #changedPools = new Set<string>();

	/** Applies a change; returns true if it changes a state. */
	apply(subject: string, fact: Fact | undefined): boolean {
		const zone = findClosedZone(subject);
		if (zone?.kind === factKind.zoneClosed) {
			this.#setZoneClosed(zone.zone, fact !== undefined);
		} else {
			this.#setTarget(subject, fact?.kind === factKind.target ? fact.target : undefined);
		}

		return this.#changedPools.size > 0;
	}

	/** Records the states of the pools that have changed, at least `leastAgeMs` before now; the states before end here. */
	recordStates(leastAgeMs: number): void {
		for (const pool of this.#changedPools) {
			const counts = [...this.#counts.get(pool) ?? []].filter(([, count]) => count > 0);
			const states = this.#states.get(pool) ?? new Map<string, PastState>();
			this.#states.set(pool, states);
			for (const state of states.values()) {
				state.endedMs = Math.max(state.endedMs, state.isLast ? leastAgeMs : 0);
				state.isLast = false;
			}

			// It holds until the next change, or until now.
			states.set(createCountsKey(new Map(counts)), {counts, endedMs: 0, isLast: true});
		}

		this.#changedPools.clear();
	}

	/** Lists the states of all pools, which are known since `knownMs` before now. */
	list(knownMs: number): SharedPoolVersions[] {
		return [...this.#states].map(([pool, states]) => ({pool, knownMs, states: [...states.values()].map(({counts, endedMs}) => ({counts, endedMs}))}));
	}

	#setTarget(subject: string, target: TargetRecord | undefined): void {
		const before = this.#targets.get(subject);
		if (target === undefined) {
			this.#targets.delete(subject);
		} else {
			this.#targets.set(subject, target);
		}

		if (before !== undefined && target !== undefined && isCountedSame(before, target)) {
			return;
		}

		if (before !== undefined) {
			this.#count(before, -1);
		}

		if (target !== undefined) {
			this.#count(target, 1);
		}
	}

	#setZoneClosed(zone: string, isClosed: boolean): void {
		const inZone = [...this.#targets.values()].filter(target => target.zone === zone);
		for (const target of inZone) {
			this.#count(target, -1);
		}

		if (isClosed) {
			this.#closedZones.add(zone);
		} else {
			this.#closedZones.delete(zone);
		}

		for (const target of inZone) {
			this.#count(target, 1);
		}
	}

	#count({pool, softwareVersion, isLeaving, zone}: TargetRecord, change: number): void {
		const counts = this.#counts.get(pool) ?? new Map<string, number>();
		this.#counts.set(pool, counts);
		this.#changedPools.add(pool);
		if (!isLeaving && !this.#closedZones.has(zone)) {
			counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + change);
		}
	}
}

/** True if two registrations count as the same. */
function isCountedSame(a: TargetRecord, b: TargetRecord): boolean {
	return a.pool === b.pool && a.softwareVersion === b.softwareVersion && a.isLeaving === b.isLeaving && a.zone === b.zone;
}
