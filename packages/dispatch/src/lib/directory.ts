/**
 * The directory: what the platform publishes, as known to this instance. It is
 * a set of facts, each with the revision of its last change. Facts arrive from
 * the platform and from peers in any order; a fact never returns to an older
 * revision, so both sources can be combined.
 */
import {createRouteIndex, type RouteIndex} from './route-index.js';

export const routeKind = {
	/** A request may run more than once. */
	repeatable: 'repeatable',
	/** A request may run at most once. */
	once: 'once',
	/** The response is a stream of events. */
	stream: 'stream',
} as const;
export type RouteKind = typeof routeKind[keyof typeof routeKind];

/** One of the pools that serve a route, with its relative share of the requests. */
export type Split = {readonly pool: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** True if an interrupted stream may resume at another target. */
	readonly canResume: boolean;
	/** Longest time that a request may take, in milliseconds. */
	readonly timeLimitMs: number;
	/** Time within which a response, or the first event of a stream, has to arrive to be on time, in milliseconds. */
	readonly latencyTargetMs: number;
	/** Time within which the next event of a stream has to arrive to be on time, in milliseconds; 0 if the configuration tables set none, as for other kinds. */
	readonly eventGapMs: number;
	readonly splits: readonly Split[];
	/** Largest number of targets on which one request may run. */
	readonly targetLimit: number;
	/** True if requests need no key. */
	readonly isPublic: boolean;
	/** True if requests list the parts of their prompts. */
	readonly hasPrompts: boolean;
};

export type Pool = {
	readonly name: string;
	/** Requests per second that a cold target can serve; 0 if the pool's targets are never cold. */
	readonly coldRatePerS: number;
};

export type Account = {
	readonly name: string;
	/** SHA-256 of each key, in hexadecimal. */
	readonly keyDigests: readonly string[];
};

/** Limits on the size of requests and on idle caller connections. */
export type CallerLimits = {
	readonly headBytes: number;
	readonly bodyBytes: number;
	/** Time after which an idle caller connection may be closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** The operators' configuration tables; a new version replaces the previous version completely. */
export type Tables = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly Pool[];
	/** The client accounts; `undefined` if no request needs a key. */
	readonly accounts?: readonly Account[];
	readonly limits: CallerLimits;
};

/** The registration of a target. */
export type TargetRecord = {
	readonly id: string;
	readonly pool: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Time for which the target stays cold, counted from the arrival of the record, in milliseconds. */
	readonly coldMs: number;
	/** Unix time of the target's start in milliseconds; distinguishes restarts under the same id. */
	readonly bornAt: number;
};

export const factKind = {tables: 'tables', zoneClosed: 'zone-closed', target: 'target'} as const;
export type Fact =
	| {readonly kind: typeof factKind.tables; readonly tables: Tables}
	| {readonly kind: typeof factKind.zoneClosed; readonly zone: string}
	| {readonly kind: typeof factKind.target; readonly target: TargetRecord};

/** The latest state of one subject; a change without a fact removes the subject. */
export type FactChange = {
	/** Key of the subject in the directory, for example `target/` with the id of a target. */
	readonly subject: string;
	readonly revision: number;
	readonly fact?: Fact;
};

/** A fact as stored in the directory. */
type KnownFact = FactChange & {
	/** Revision of the last change of the fact's content; renewals raise only `revision`. */
	readonly changeRevision: number;
};

/** Facts that bring a directory up to a revision. */
export type DirectoryUpdate = {
	/** Epoch of the platform's history that the revisions belong to; absent if the platform or the peer states none. */
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
	/** Revision up to which all changes are known. */
	revision: number;
	/** Latest time at which the directory is known to have been current. */
	confirmedAt?: number;
	facts: Map<string, KnownFact>;
	/**
	 * Revision up to which this instance may not know which subjects were removed,
	 * because it dropped tombstones or read the directory as a whole; updates for peers
	 * with an older directory have to be complete.
	 */
	unknownRemovalsUntil: number;
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
		unknownRemovalsUntil: 0,
		routes: createRouteIndex([]),
		accountByDigest: new Map(),
		poolByName: new Map(),
		closedZones: new Set(),
	};
}

/** Result of an update. */
export type AppliedUpdate = {
	/** Facts whose content changed. */
	readonly changes: readonly FactChange[];
	/** Facts that were written again with the same content. */
	readonly renewals: readonly FactChange[];
	/** Facts that were ignored although their content differs from the known facts, because these have a later revision. */
	readonly ignored: readonly FactChange[];
	/** True if revisions are missing between the directory and the update, so that the directory's revision was not advanced. */
	readonly hasGap: boolean;
};

/** Applies all facts of an update that are newer than the known facts. */
export function applyUpdate(directory: DirectoryState, update: DirectoryUpdate, confirmedAt: number): AppliedUpdate {
	const hasGap = update.since > directory.revision;
	const appliedChanges: FactChange[] = [];
	const renewals: FactChange[] = [];
	const ignored: FactChange[] = [];
	const changes = update.since === 0 ? [...update.changes, ...listMissingSubjects(directory, update)] : update.changes;
	for (const change of changes) {
		const known = directory.facts.get(change.subject);
		if (known !== undefined && known.revision >= change.revision) {
			if (!isSameFact(known.fact, change.fact)) {
				ignored.push(change);
			}

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

	if (update.since === 0) {
		directory.unknownRemovalsUntil = Math.max(directory.unknownRemovalsUntil, update.revision);
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

	return {
		changes: appliedChanges, renewals, ignored, hasGap,
	};
}

/** True when two facts have the same content; the remaining cold time is ignored while it stays above zero, since it decreases by itself. */
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

/** Lists removals of the subjects that a complete update no longer contains. */
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

/** Accepts a change, but never replaces configuration tables with an older version, whatever the revision, and never removes them. */
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
		directory.unknownRemovalsUntil = Math.max(directory.unknownRemovalsUntil, revision);
	}
}

/** Describes the changes that a peer at revision `since` lacks, or the whole directory if these are no longer known. */
export function describeUpdate(directory: DirectoryState, since: number): DirectoryUpdate {
	const isComplete = since < directory.unknownRemovalsUntil || since === 0;
	const changes = [...directory.facts.values()]
		.filter(({changeRevision, fact}) => isComplete ? fact !== undefined : changeRevision > since)
		.map(({subject, revision, fact}) => ({subject, revision, fact}));
	return {changes, revision: directory.revision, since: isComplete ? 0 : since};
}
