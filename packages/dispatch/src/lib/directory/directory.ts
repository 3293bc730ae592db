/**
 * The directory: what the platform publishes, as known to this instance. It is
 * a set of facts, each with the revision of its last change. Facts arrive from
 * the platform and from peers in any order; a fact never returns to an older
 * revision, so both sources can be combined.
 *
 * The platform may be restored from an older copy of itself and give out revisions
 * again: each restore starts a new epoch. Revisions are ordered within their epoch only,
 * and a later epoch replaces the facts of an earlier one (`restored-facts.ts` decides what
 * remains in force meanwhile). Configuration tables have an order of their own, their
 * version, which holds across epochs.
 */
import {ChangeOrder} from './change-order.js';
import {isEarlier, type DirectoryPosition} from './directory-position.js';
import {
	findRetention, isRetainedOver, type RestoreTiming, type RetainedFact,
} from './restored-facts.js';
import {createRouteIndex, type RouteIndex} from '../requests/route-index.js';
import {
	factKind, type Account, type Fact, type FactChange, type Pool, type Tables, type TargetProcess,
} from './directory-facts.js';

/** Subject of the configuration tables. */
export const tablesSubject = 'tables';

/** A change as the directory stores it. */
type StoredChange = FactChange & {
	/** True if the subject was not removed by a change, but was missing in a complete update. */
	readonly isMissing?: boolean;
};

/** A fact of the current epoch as stored in the directory. */
type KnownFact = StoredChange & {
	/** Revision of the last change of the fact's content; renewals raise only `revision`. */
	readonly changeRevision: number;
};

/** Facts that bring a directory up to a revision. */
export type DirectoryUpdate = {
	/** Epoch that the revisions belong to; absent if the platform or the peer states none, which counts as 0. */
	readonly epoch?: number;
	readonly changes: readonly FactChange[];
	/** Revision up to which the changes are complete. */
	readonly revision: number;
	/** Revision after which the changes are complete; 0 if they contain the whole directory. */
	readonly since: number;
};

/** Number of removed subjects that are kept for peers with an older directory. */
const tombstoneLimit = 500;

export type DirectoryState = {
	/** Number of the platform's current history; rises with each restore from a copy. */
	epoch: number;
	/** Revision of the current epoch up to which all changes are known. */
	revision: number;
	/** Latest time at which the directory is known to have been current. */
	confirmedAt?: number;
	/** The platform's facts in the current epoch. */
	facts: Map<string, KnownFact>;
	/** The order in which the content of these facts changed. */
	changeOrder: ChangeOrder;
	/** Facts of earlier epochs that are in force instead of the platform's. */
	retained: Map<string, RetainedFact>;
	/**
	 * Revision up to which this instance may not know which subjects were removed,
	 * because it dropped tombstones or read the directory as a whole; updates for peers
	 * with an older directory have to be complete.
	 */
	unknownRemovalsUntil: number;
	tables?: Tables;
	/** Number of routes and client accounts of the tables that state a rank. */
	rankCount: number;
	routes: RouteIndex;
	accountByDigest: Map<string, Account>;
	poolByName: Map<string, Pool>;
	closedZones: Set<string>;
};

export function createDirectory(): DirectoryState {
	return {
		epoch: 0,
		revision: 0,
		facts: new Map(),
		changeOrder: new ChangeOrder(),
		retained: new Map(),
		unknownRemovalsUntil: 0,
		rankCount: 0,
		routes: createRouteIndex([]),
		accountByDigest: new Map(),
		poolByName: new Map(),
		closedZones: new Set(),
	};
}

/** Result of an update. */
export type AppliedUpdate = {
	/** Facts in force whose content changed. */
	readonly changes: FactChange[];
	/** Facts that were written again with the same content. */
	readonly renewals: FactChange[];
	/** Facts except tables that were ignored although their content differs from the known facts, because these have no earlier revision. */
	readonly ignored: FactChange[];
	/** True if revisions are missing between the directory and the update, so that the directory's revision was not advanced. */
	hasGap: boolean;
	/** The epoch of the known facts if the update began a later one. */
	endedEpoch?: number;
};

/** Times of an update: up to which it certainly contains all changes, and the present time. */
export type UpdateTimes = {readonly confirmedAt: number; readonly now: number};

/**
 * Applies all facts of an update that are later than the known facts. `timing` bounds how
 * long facts of an earlier epoch stay in force if the update begins a new one.
 */
export function applyUpdate(directory: DirectoryState, update: DirectoryUpdate, {confirmedAt, now}: UpdateTimes, timing: RestoreTiming): AppliedUpdate {
	const applied: AppliedUpdate = {
		changes: [], renewals: [], ignored: [], hasGap: false,
	};
	const {epoch = 0, revision, since} = update;
	const isComplete = since === 0;
	// Changes since a revision of another epoch do not connect to this directory.
	if (epoch < directory.epoch || (epoch > directory.epoch && !isComplete)) {
		applied.hasGap = true;
		for (const {subject, fact} of update.changes) {
			if (fact?.kind === factKind.tables && applyNewerTables(directory, fact.tables)) {
				applied.changes.push({subject, fact, revision: directory.facts.get(subject)?.revision ?? 0});
			}
		}

		return applied;
	}

	applied.hasGap = epoch === directory.epoch && since > directory.revision;
	if (epoch > directory.epoch) {
		beginEpoch({directory, applied}, update, timing, now);
	} else {
		const changes = listCurrentChanges(directory, update);
		for (const change of isComplete ? [...changes, ...listMissingSubjects(directory, update)] : changes) {
			applyChange(directory, change, applied);
		}
	}

	if (isComplete) {
		directory.unknownRemovalsUntil = Math.max(directory.unknownRemovalsUntil, revision);
	}

	if (!applied.hasGap) {
		if (revision >= directory.revision) {
			directory.confirmedAt = Math.max(directory.confirmedAt ?? Number.NEGATIVE_INFINITY, confirmedAt);
		}

		directory.revision = Math.max(directory.revision, revision);
	}

	if (applied.changes.length > 0) {
		dropOldestTombstones(directory);
	}

	return applied;
}

/**
 * Lists the changes of an update without the facts that were removed since. A directory that was read as a whole, or that dropped tombstones,
 * does not know all removals from before, but it contains all that was left at its revision. Otherwise the older response of a peer would bring a
 * removed target back.
 */
function listCurrentChanges({facts, revision}: DirectoryState, update: DirectoryUpdate): readonly StoredChange[] {
	return update.revision >= revision
		? update.changes
		: update.changes.filter(({subject, fact, revision: changedAt}) =>
			fact === undefined || subject === tablesSubject || changedAt > revision || facts.get(subject)?.fact !== undefined);
}

/** Applies a change of the current epoch, unless a later one of its subject is known. */
function applyChange(directory: DirectoryState, change: StoredChange, applied: AppliedUpdate): void {
	const {subject, fact} = change;
	const known = directory.facts.get(subject);
	if (known !== undefined && known.revision >= change.revision) {
		if (fact?.kind === factKind.tables) {
			// Their version decides, and older ones are no loss.
			if (applyNewerTables(directory, fact.tables)) {
				applied.changes.push({...change, revision: known.revision});
			}
		} else if (!isSameFact(known.fact, fact)) {
			applied.ignored.push(change);
		}

		return;
	}

	if (subject === tablesSubject) {
		applyTablesChange(directory, change, known, applied);
		return;
	}

	const isSame = known !== undefined && isSameFact(known.fact, fact);
	const retained = directory.retained.get(subject);
	storeFact(directory, change, isSame ? Math.max(known.changeRevision, change.changeRevision ?? 0) : change.revision, known);
	if (retained !== undefined && isRetainedOver(retained, fact)) {
		return;
	}

	directory.retained.delete(subject);
	if (retained === undefined ? isSame : isSameFact(retained.fact, fact)) {
		applied.renewals.push(change);
	} else {
		applied.changes.push(putInForce(directory, change, retained === undefined ? known?.fact : retained.fact));
	}
}

function storeFact(directory: DirectoryState, change: StoredChange, changeRevision: number, before: KnownFact | undefined): void {
	const removedProcess = change.fact === undefined ? change.removedProcess ?? findProcess(before) : undefined;
	setFact(directory, {...change, changeRevision, ...(removedProcess !== undefined && {removedProcess})});
}

function setFact({facts, changeOrder}: DirectoryState, fact: KnownFact): void {
	const isReordered = facts.get(fact.subject)?.changeRevision !== fact.changeRevision;
	facts.set(fact.subject, fact);
	if (isReordered) {
		changeOrder.record(fact.subject, fact.changeRevision, facts);
	}
}

/** Finds the process of a target that is registered, or whose registration was removed. */
function findProcess(known: KnownFact | undefined): TargetProcess | undefined {
	if (known?.fact?.kind !== factKind.target) {
		return known?.removedProcess;
	}

	const {bornAt, isLeaving} = known.fact.target;
	return {bornAt, isLeaving};
}

/** Replaces the facts of the earlier epoch by a complete update of a later one; keeps in force what the platform may only have lost. */
function beginEpoch(
	{directory, applied}: {readonly directory: DirectoryState; readonly applied: AppliedUpdate},
	update: DirectoryUpdate,
	timing: RestoreTiming,
	now: number,
): void {
	const {facts: factsBefore, retained: retainedBefore} = directory;
	applied.endedEpoch = factsBefore.size > 0 ? directory.epoch : undefined;
	directory.epoch = update.epoch!;
	directory.revision = 0;
	directory.unknownRemovalsUntil = 0;
	directory.facts = new Map();
	directory.changeOrder = new ChangeOrder();
	directory.retained = new Map();
	const changes = new Map<string, StoredChange>(update.changes.map(change => [change.subject, change]));
	for (const subject of factsBefore.keys()) {
		if (!changes.has(subject)) {
			changes.set(subject, {subject, revision: update.revision, isMissing: true});
		}
	}

	for (const [subject, change] of changes) {
		const before = factsBefore.get(subject);
		if (subject === tablesSubject) {
			applyTablesChange(directory, change, before, applied);
			continue;
		}

		storeFact(directory, change, change.revision, before);
		const retainedFact = retainedBefore.get(subject);
		const factBefore = retainedFact === undefined ? before?.fact : retainedFact.fact;
		const process = retainedFact?.process ?? findProcess(before);
		const isSame = before !== undefined && isSameFact(factBefore, change.fact);
		const retention = before === undefined || isSame ? undefined : findRetention({fact: factBefore, process}, change, timing, now);
		if (retention !== undefined) {
			directory.retained.set(subject, retention);
		} else if (!isSame) {
			applied.changes.push(putInForce(directory, change, factBefore));
		} else if (!isSameEntry(before, change)) {
			applied.renewals.push(change);
		}
	}
}

/** True if a change is the entry that was known before the restore, which states nothing new about the remaining cold time. */
function isSameEntry(before: KnownFact, {revision, fact}: FactChange): boolean {
	return before.revision === revision
		&& (fact?.kind !== factKind.target || before.fact?.kind !== factKind.target || before.fact.target.coldMs === fact.target.coldMs);
}

/** Applies the knowledge of a peer that the current epoch began at `beganAt` or before. */
export function recordEpochBegin({retained}: DirectoryState, beganAt: number): void {
	for (const [subject, fact] of retained) {
		if (beganAt < fact.since) {
			retained.set(subject, {...fact, since: beganAt});
		}
	}
}

/** Ends the retention of facts that the platform, as of the end of their time, still contradicts; returns the changes that come into force. */
export function expireRetainedFacts(directory: DirectoryState): FactChange[] {
	const changes: FactChange[] = [];
	for (const [subject, {since, durationMs, fact}] of directory.retained) {
		if ((directory.confirmedAt ?? Number.NEGATIVE_INFINITY) >= since + durationMs) {
			directory.retained.delete(subject);
			changes.push(putInForce(directory, directory.facts.get(subject)!, fact));
		}
	}

	return changes;
}

/** True when two facts have the same content; the remaining cold time is ignored while it stays above zero, since it decreases by itself. */
function isSameFact(a: Fact | undefined, b: Fact | undefined): boolean {
	if (a?.kind === factKind.target && b?.kind === factKind.target) {
		const {target: targetA} = a;
		const {target: targetB} = b;
		return targetA.pool === targetB.pool && targetA.address === targetB.address && targetA.zone === targetB.zone && targetA.slots === targetB.slots
			&& targetA.isLeaving === targetB.isLeaving && targetA.bornAt === targetB.bornAt && (targetA.coldMs > 0) === (targetB.coldMs > 0)
			&& targetA.softwareVersion === targetB.softwareVersion;
	}

	if (a?.kind === factKind.tables && b?.kind === factKind.tables) {
		return a.tables.version === b.tables.version;
	}

	return a?.kind === b?.kind;
}

/** Lists removals of the subjects that a complete update no longer contains. */
function listMissingSubjects({facts}: DirectoryState, update: DirectoryUpdate): StoredChange[] {
	const listedSubjects = new Set(update.changes.map(({subject}) => subject));
	const missing: StoredChange[] = [];
	for (const [subject, {revision, fact}] of facts) {
		if (!listedSubjects.has(subject) && fact !== undefined && revision <= update.revision) {
			missing.push({subject, revision: update.revision, isMissing: true});
		}
	}

	return missing;
}

/** Stores a change of the tables. Tables are never removed or replaced by an older version, whatever the revision. */
function applyTablesChange(directory: DirectoryState, {revision, fact}: FactChange, known: KnownFact | undefined, applied: AppliedUpdate): void {
	const isReplaced = fact?.kind === factKind.tables && applyNewerTables(directory, fact.tables);
	const inForce: Fact | undefined = directory.tables === undefined ? undefined : {kind: factKind.tables, tables: directory.tables};
	const isSame = known !== undefined && isSameFact(known.fact, fact);
	const change = {subject: tablesSubject, revision, fact: inForce};
	// At the start of an epoch nothing is stored yet, and the last change counts from there.
	const changeRevision = isSame && directory.facts.has(tablesSubject) ? known.changeRevision : revision;
	setFact(directory, {...change, changeRevision});
	(isReplaced || !isSame ? applied.changes : applied.renewals).push(change);
}

/** Puts tables in force if they are newer than the known ones, or of the same version with more ranks; returns whether they are. */
export function applyNewerTables(directory: DirectoryState, tables: Tables): boolean {
	const {version = Number.NEGATIVE_INFINITY} = directory.tables ?? {};
	const rankCount = countRanks(tables);
	if (tables.version < version || (tables.version === version && rankCount <= directory.rankCount)) {
		return false;
	}

	directory.tables = tables;
	directory.rankCount = rankCount;
	directory.routes = createRouteIndex(tables.routes);
	directory.poolByName = new Map(tables.pools.map(pool => [pool.name, pool]));
	directory.accountByDigest = new Map();
	for (const account of tables.accounts ?? []) {
		for (const digest of account.keyDigests) {
			directory.accountByDigest.set(digest, account);
		}
	}

	const known = directory.facts.get(tablesSubject);
	if (known !== undefined) {
		setFact(directory, {...known, fact: {kind: factKind.tables, tables}});
	}

	return true;
}

/**
 * Counts the routes and client accounts that state a rank. Builds that know no ranks drop them from the tables that they read
 * and pass on, so that of two tables of the same version, the one with more ranks is complete.
 */
function countRanks({routes, accounts = []}: Tables): number {
	return [...routes, ...accounts].filter(({rank}) => rank !== undefined).length;
}

/** Puts a change in force in place of the fact before; returns the change as it is reported. */
function putInForce(directory: DirectoryState, {subject, revision, fact}: FactChange, before: Fact | undefined): FactChange {
	if (fact?.kind === factKind.zoneClosed) {
		directory.closedZones.add(fact.zone);
	} else if (before?.kind === factKind.zoneClosed) {
		directory.closedZones.delete(before.zone);
	}

	return {subject, revision, fact};
}

function dropOldestTombstones(directory: DirectoryState): void {
	const tombstones = [...directory.facts.values()].filter(({subject, fact}) => fact === undefined && !directory.retained.has(subject));
	if (tombstones.length <= tombstoneLimit) {
		return;
	}

	tombstones.sort((a, b) => a.revision - b.revision);
	for (const {subject, revision} of tombstones.slice(0, tombstones.length - tombstoneLimit)) {
		directory.facts.delete(subject);
		directory.unknownRemovalsUntil = Math.max(directory.unknownRemovalsUntil, revision);
	}
}

/**
 * Describes the changes that a peer at an earlier position lacks, or the whole directory if
 * these are no longer known. A peer in an earlier epoch is also told which subjects
 * were removed since, as opposed to never written again.
 */
export function describeUpdate(directory: DirectoryState, {epoch, revision}: DirectoryPosition): DirectoryUpdate {
	const isSameEpoch = epoch === directory.epoch;
	const isComplete = !isSameEpoch || revision < directory.unknownRemovalsUntil || revision === 0;
	const facts = isComplete
		? [...directory.facts.values()].filter(({fact, isMissing}) => fact !== undefined || (!isSameEpoch && isMissing !== true))
		: directory.changeOrder.listSubjectsAfter(revision, directory.facts).map(subject => directory.facts.get(subject)!);
	const changes = facts.map(({isMissing, ...change}) => change);
	return {
		epoch: directory.epoch, changes, revision: directory.revision, since: isComplete ? 0 : revision,
	};
}

/** Describes the tables for a peer that has older ones although it knows the platform at least up to their revision; they are no longer there. */
export function describeTablesFor(directory: DirectoryState, peer: DirectoryPosition & {readonly tablesVersion?: number}): Tables | undefined {
	const known = directory.facts.get(tablesSubject);
	if (directory.tables === undefined || known === undefined || peer.tablesVersion === undefined || peer.tablesVersion >= directory.tables.version) {
		return undefined;
	}

	return isEarlier(peer, {epoch: directory.epoch, revision: known.revision}) ? undefined : directory.tables;
}

/** Describes the tables for a peer that has those of the same version with fewer ranks; one that does not state how many would drop them again. */
export function describeTablesWithRanks(
	{tables, rankCount}: DirectoryState,
	{tablesVersion, tablesRanks = Number.POSITIVE_INFINITY}: {readonly tablesVersion?: number; readonly tablesRanks?: number},
): Tables | undefined {
	return tables !== undefined && tables.version === tablesVersion && tablesRanks < rankCount ? tables : undefined;
}
