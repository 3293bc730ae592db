/**
 * The directory: what the platform publishes, as this instance knows it. It is
 * a set of facts, each with the revision of its last change. Facts come from
 * the platform itself or from peers in any order; a fact never goes back to an
 * older revision, so both sources can be mixed.
 */
import {createRouteIndex, type RouteIndex} from './route-index.js';

export const routeKind = {
	/** May run more than once. */
	repeatable: 'repeatable',
	/** May run at most once. */
	once: 'once',
	/** Answers with a series of events. */
	stream: 'stream',
} as const;
export type RouteKind = typeof routeKind[keyof typeof routeKind];

/** One of the pools that serve a route, with its part of the requests. */
export type Split = {readonly pool: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** True: a broken stream may go on at another target. */
	readonly canResume: boolean;
	/** Longest time that a request may take, in milliseconds. */
	readonly timeLimitMs: number;
	/** Time within which an answer (or its first event) is on time, in milliseconds. */
	readonly latencyTargetMs: number;
	/** Longest pause between events of an answer that is on time, in milliseconds; 0 for other kinds. */
	readonly eventGapMs: number;
	readonly splits: readonly Split[];
	/** Most targets on which one request may run. */
	readonly targetLimit: number;
	/** True: no key is needed. */
	readonly isPublic: boolean;
	/** True: requests tell the parts of their prompts. */
	readonly hasPrompts: boolean;
};

export type Pool = {
	readonly name: string;
	/** Requests a second that a cold target bears; 0: its targets are never cold. */
	readonly coldRatePerS: number;
};

export type Account = {
	readonly name: string;
	/** SHA-256 of each key, in hexadecimal. */
	readonly keyDigests: readonly string[];
};

/** What callers may send, and how long they may stay idle. */
export type CallerLimits = {
	readonly headBytes: number;
	readonly bodyBytes: number;
	/** Time after which an idle caller connection may be closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** The operators' tables; a new version replaces all of the one before. */
export type Tables = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly Pool[];
	/** Undefined: no request needs a key. */
	readonly accounts?: readonly Account[];
	readonly limits: CallerLimits;
};

/** A target as it registered itself. */
export type TargetRecord = {
	readonly id: string;
	readonly pool: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Time for which it stays cold, counted from the arrival of the record, in milliseconds. */
	readonly coldMs: number;
	/** Unix time of its start in milliseconds; tells a restart under the same id. */
	readonly bornAt: number;
};

export const factKind = {tables: 'tables', zoneClosed: 'zone-closed', target: 'target'} as const;
export type Fact =
	| {readonly kind: typeof factKind.tables; readonly tables: Tables}
	| {readonly kind: typeof factKind.zoneClosed; readonly zone: string}
	| {readonly kind: typeof factKind.target; readonly target: TargetRecord};

/** The latest state of one subject; without a fact it is gone. */
export type FactChange = {
	/** Key of the subject at the platform. */
	readonly subject: string;
	readonly revision: number;
	readonly fact?: Fact;
};

/** A fact as the directory keeps it. */
type KnownFact = FactChange & {
	/** Revision of the last change of what the fact says; heartbeats only raise `revision`. */
	readonly changeRevision: number;
};

/** Facts that bring a directory up to a revision. */
export type DirectoryUpdate = {
	readonly changes: readonly FactChange[];
	/** The changes are complete up to here. */
	readonly revision: number;
	/** The changes are complete from here on; 0: they are all there is. */
	readonly since: number;
};

/** How many forgotten subjects are kept for peers that are behind. */
const tombstoneLimit = 500;

export type DirectoryState = {
	/** All changes up to here are known. */
	revision: number;
	/** Time at which the directory was certainly current. */
	confirmedAt?: number;
	facts: Map<string, KnownFact>;
	/** Updates from before this revision have to be whole: tombstones were dropped. */
	droppedTombstoneRevision: number;
	tables?: Tables;
	routes: RouteIndex;
	accountByDigest: Map<string, Account>;
	poolByName: Map<string, Pool>;
	closedZones: Set<string>;
};

export function createDirectory(): DirectoryState {
	return {
		revision: 0,
		facts: new Map(),
		droppedTombstoneRevision: 0,
		routes: createRouteIndex([]),
		accountByDigest: new Map(),
		poolByName: new Map(),
		closedZones: new Set(),
	};
}

/** What an update changed. */
export type AppliedUpdate = {
	/** Facts that say something else than before. */
	readonly changes: readonly FactChange[];
	/** Facts that were written again and say the same. */
	readonly renewals: readonly FactChange[];
	/** True: the update left a gap and was not taken as complete. */
	readonly hasGap: boolean;
};

/** Takes all facts of an update that are newer than those known. */
export function applyUpdate(directory: DirectoryState, update: DirectoryUpdate, confirmedAt: number): AppliedUpdate {
	const hasGap = update.since > directory.revision;
	const appliedChanges: FactChange[] = [];
	const renewals: FactChange[] = [];
	const changes = update.since === 0 ? [...update.changes, ...listMissingSubjects(directory, update)] : update.changes;
	for (const change of changes) {
		const known = directory.facts.get(change.subject);
		if (known !== undefined && known.revision >= change.revision) {
			continue;
		}

		if (known !== undefined && isSameFact(known.fact, change.fact)) {
			directory.facts.set(change.subject, {...change, changeRevision: known.changeRevision});
			renewals.push(change);
			continue;
		}

		const acceptedChange = acceptChange(directory, change, known);
		directory.facts.set(change.subject, {...acceptedChange, changeRevision: change.revision});
		appliedChanges.push(acceptedChange);
	}

	if (!hasGap) {
		if (update.revision >= directory.revision) {
			directory.confirmedAt = Math.max(directory.confirmedAt ?? Number.NEGATIVE_INFINITY, confirmedAt);
		}

		directory.revision = Math.max(directory.revision, update.revision);
	}

	if (appliedChanges.length > 0) {
		dropOldestTombstones(directory);
	}

	return {changes: appliedChanges, renewals, hasGap};
}

/** True when two facts say the same; the rest of a cold start runs down by itself. */
function isSameFact(a: Fact | undefined, b: Fact | undefined): boolean {
	if (a?.kind === factKind.target && b?.kind === factKind.target) {
		const {target: targetA} = a;
		const {target: targetB} = b;
		return targetA.pool === targetB.pool && targetA.address === targetB.address && targetA.zone === targetB.zone && targetA.slots === targetB.slots
			&& targetA.isLeaving === targetB.isLeaving && targetA.bornAt === targetB.bornAt && (targetA.coldMs > 0) === (targetB.coldMs > 0);
	}

	if (a?.kind === factKind.tables && b?.kind === factKind.tables) {
		return a.tables.version === b.tables.version;
	}

	return a?.kind === b?.kind;
}

/** Subjects that a whole update no longer names. */
function listMissingSubjects({facts}: DirectoryState, update: DirectoryUpdate): FactChange[] {
	const listedSubjects = new Set(update.changes.map(({subject}) => subject));
	const missing: FactChange[] = [];
	for (const [subject, {revision, fact}] of facts) {
		if (!listedSubjects.has(subject) && fact !== undefined && revision <= update.revision) {
			missing.push({subject, revision: update.revision});
		}
	}

	return missing;
}

/** Tables never give way to an older version, whatever their revision says, and are never taken away. */
function acceptChange(directory: DirectoryState, change: FactChange, known: KnownFact | undefined): FactChange {
	const {fact} = change;
	if (known?.fact?.kind === factKind.tables) {
		const isNewer = fact?.kind === factKind.tables && fact.tables.version >= known.fact.tables.version;
		if (!isNewer) {
			return {...change, fact: known.fact};
		}
	}

	if (fact?.kind === factKind.tables) {
		applyTables(directory, fact.tables);
	} else if (fact?.kind === factKind.zoneClosed) {
		directory.closedZones.add(fact.zone);
	} else if (known?.fact?.kind === factKind.zoneClosed) {
		directory.closedZones.delete(known.fact.zone);
	}

	return change;
}

function applyTables(directory: DirectoryState, tables: Tables): void {
	directory.tables = tables;
	directory.routes = createRouteIndex(tables.routes);
	directory.poolByName = new Map(tables.pools.map(pool => [pool.name, pool]));
	directory.accountByDigest = new Map();
	for (const account of tables.accounts ?? []) {
		for (const digest of account.keyDigests) {
			directory.accountByDigest.set(digest, account);
		}
	}
}

function dropOldestTombstones(directory: DirectoryState): void {
	const tombstones = [...directory.facts.values()].filter(({fact}) => fact === undefined);
	if (tombstones.length <= tombstoneLimit) {
		return;
	}

	tombstones.sort((a, b) => a.revision - b.revision);
	for (const {subject, revision} of tombstones.slice(0, tombstones.length - tombstoneLimit)) {
		directory.facts.delete(subject);
		directory.droppedTombstoneRevision = Math.max(directory.droppedTombstoneRevision, revision);
	}
}

/** Lists what a peer at `since` does not have; whole if that is no longer known. */
export function describeUpdate(directory: DirectoryState, since: number): DirectoryUpdate {
	const isComplete = since < directory.droppedTombstoneRevision || since === 0;
	const changes = [...directory.facts.values()]
		.filter(({changeRevision, fact}) => isComplete ? fact !== undefined : changeRevision > since)
		.map(({subject, revision, fact}) => ({subject, revision, fact}));
	return {changes, revision: directory.revision, since: isComplete ? 0 : since};
}
