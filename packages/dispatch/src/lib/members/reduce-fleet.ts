/**
 * Synchronization of the fleet: instances receive the directory from the
 * platform and from each other, and maintain the member list.
 */
import {
	applyNewerTables, applyUpdate, describeTablesFor, describeTablesWithRanks, describeUpdate, expireRetainedFacts, recordEpochBegin, tablesSubject,
	type DirectoryUpdate,
} from '../directory/directory.js';
import {isEarlier, isSamePosition} from '../directory/directory-position.js';
import {factKind, type FactChange} from '../directory/directory-facts.js';
import {effectKind, logLevel} from '../effect.js';
import type {
	DirectoryLostEvent, DirectoryReadEvent, PeerAnsweredEvent, PeerCalledEvent, PeerFailedEvent,
} from '../event.js';
import {
	applyMembers, choosePeers, computeInstanceCount, describeMembers, isMember, removeUnreachableMember, listWatchers, expireMembers, type Watchers,
} from './members.js';
import {ejectIfFaulty} from '../requests/end-request.js';
import {describeAccountLoads} from '../requests/reduce-account-share.js';
import type {PeerMessage, SharedService} from './peer-message.js';
import {recordLog, type State, type Step} from '../state.js';
import {computeNeededHistoryMs, scheduleHistoryRead} from '../versions/reduce-history.js';
import {updatePoolVersions} from '../versions/reduce-versions.js';
import {pathState} from '../paths/target-paths.js';
import {
	applyLeavingTargets, applyLoads, applyNamedLimits, applyTargetChanges, applyTargetRenewals, describeLoads, expireLapsedTargets,
	listReceivingIds, updateTargets,
} from '../targets/target-state.js';

/**
 * How an instance calls its peers: the time between two calls in milliseconds, the
 * jitter of this time as a fraction, which keeps instances from calling in step, and the
 * fraction of the calls that go to a random peer instead of a watcher.
 */
const callPlan = {
	withoutFollowers: {intervalMs: 1000, jitter: 0.5, randomPeerFraction: 1},
	/** Watchers call each other often, because they pass on what their followers report. */
	watcher: {intervalMs: 500, jitter: 0.5, randomPeerFraction: 0.25},
	/** The interval of followers follows from the time limit for changes. */
	follower: {intervalMs: 0, jitter: 0.2, randomPeerFraction: 0.1},
} as const;
/** Longest time from a failed call to the next call, in milliseconds. */
const failedCallRetryDelayMs = 100;
/** Fraction of a follower's calls to watchers that stay in its zone if there is a watcher. */
const sameZoneFraction = 0.8;
/** Number of further watchers when the directory is too old; the platform may refuse some instances, but hardly that many in a row. */
const extraWatcherCount = 15;
/** Number of watchers that have to report that they cannot read the platform before an instance with an old directory does not try it itself. */
const failingWatcherQuorum = 3;
/** Time between two calls to watchers while the directory is stale, in milliseconds; short, because the platform may refuse most watchers. */
const staleCallIntervalMs = 150;
/** Time for which an instance keeps reading the platform itself after the directory was too old, in milliseconds. */
const fallbackWatchDurationMs = 4000;
/**
 * Time after the platform's return in which lapsed registrations are renewed, in
 * milliseconds: two seconds according to the platform's documentation, and the
 * time until the renewals are read.
 */
const lapseGraceDurationMs = 2300;
/** Time within which targets and operators write again what the platform lost, according to its documentation, in milliseconds. */
const rewriteDurationMs = 2000;
/** Number of peers that are notified of a crash at once, and shortest time between two such notices, in milliseconds. */
const noticeCount = 2;
const noticeIntervalMs = 200;
/** Time between two ticks above which the process counts as paused, in milliseconds. */
const pauseThresholdMs = 1000;
/** Shortest time in which a target can be killed and another process listen at its address, in milliseconds: the start of a model target alone takes longer. */
const minRestartMs = 1000;
/** Time between two ticks above which calls may have waited for the process, in milliseconds, and the time after it in which they are handled. */
export const tickGapMs = 150;
const callWaitMs = 1000;

/** Times between two questions for earlier software versions, in milliseconds; after the first ones the time doubles with each, since a peer that knows more may not exist. */
const minVersionQueryIntervalMs = 250;
const frequentVersionQueryCount = 8;
const maxVersionQueryIntervalMs = 30_000;

/** Age up to which peers are told that this instance reached a pool, in milliseconds. */
const sharedServiceMaxAgeMs = 3000;

/** Source of changes that this instance read itself, in log lines; other sources are names of peers. */
export const platformSource = 'platform';

export function applyDirectoryRead(step: Step, {update, confirmedAt}: DirectoryReadEvent): void {
	const {state, now} = step;
	if (state.directoryLostAt !== undefined) {
		recordLog(step, 'platform-regained', {lostForMs: Math.round(now - state.directoryLostAt), revision: update.revision});
		state.directoryLostAt = undefined;
		if (hasLapseSilence(step)) {
			startLapseGrace(step, now + lapseGraceDurationMs);
		}
	}

	state.platformReadableSince ??= confirmedAt;
	applyDirectoryUpdate(step, update, confirmedAt, platformSource);
	scheduleHistoryRead(step);
}

/** True after a time without updates in which registrations may have lapsed. */
function hasLapseSilence({state, now}: Step): boolean {
	return now - (state.directory.confirmedAt ?? now) > state.timing.lapseSilenceMs;
}

function startLapseGrace({state, now}: Step, until: number): void {
	state.lapseSilenceStartedAt = state.directory.confirmedAt ?? now;
	state.lapseGraceUntil = Math.max(state.lapseGraceUntil, until);
}

/**
 * Ends the grace period when a peer read the platform during the whole silence:
 * only this instance was cut off, so no registration has lapsed.
 */
function endLapseGraceIfPeerRead(step: Step, peerReadableSince: number, peer: string): void {
	const {state, now} = step;
	if (now >= state.lapseGraceUntil || peerReadableSince > state.lapseSilenceStartedAt) {
		return;
	}

	state.lapseGraceUntil = 0;
	const gone = expireLapsedTargets(state.targets);
	updatePoolVersions(step);
	recordLog(step, 'lapse-grace-ended', {
		peer, peerReadingMs: Math.round(now - peerReadableSince), silentForMs: Math.round(now - state.lapseSilenceStartedAt),
		gone,
	});
}

export function applyDirectoryLost(step: Step, {detail}: DirectoryLostEvent): void {
	const {state, now} = step;
	state.platformReadableSince = undefined;
	if (state.directoryLostAt === undefined) {
		state.directoryLostAt = now;
		recordLog(step, 'platform-lost', {detail, revision: state.directory.revision, tables: state.directory.tables?.version}, logLevel.warn);
	}
}

/** Applies an update; returns whether the directory contains all changes up to `confirmedAt` now. */
export function applyDirectoryUpdate(step: Step, update: DirectoryUpdate, confirmedAt: number, source: string): boolean {
	const {state, now} = step;
	const isGapless = source === platformSource && update.since > 0 && update.since <= state.directory.revision;
	const mayHideVersions = !isGapless && mayHideTargets(state, update, now);
	const {
		changes, renewals, ignored, endedEpoch, hasGap,
	} = applyUpdate(state.directory, update, {confirmedAt, now}, {
		rewriteMs: rewriteDurationMs, registrationExpiryMs: state.bounds.registrationExpiryMs,
	});
	if (endedEpoch !== undefined) {
		// Reads before a restore do not prove that no registration was lost.
		state.platformReadableSince = state.platformReadableSince === undefined ? undefined : confirmedAt;
		recordRestore(step, endedEpoch, source);
	}

	if (source === platformSource) {
		for (const change of ignored) {
			recordLog(step, 'change-ignored', {...describeChange(change), revision: change.revision, knownRevision: state.directory.facts.get(change.subject)?.revision}, logLevel.warn);
		}
	}

	applyTargetRenewals(state.targets, renewals, now);
	// What the platform wrote one after another held one after another.
	for (const batch of isGapless ? changes.map(change => [change]) : [changes]) {
		applyChanges(step, batch, source);
	}

	if (mayHideVersions && changes.some(({subject}) => subject !== tablesSubject)) {
		recordLog(step, 'versions-interrupted', {source, revision: state.directory.revision});
		state.versionHistory.recordInterruption(now);
		state.nextVersionQueryAt = now;
		state.versionQueryCount = 0;
	}

	return !hasGap;
}

/** True if targets may have joined and left since the directory was last confirmed that the update does not contain. */
function mayHideTargets({directory, timing}: State, {changes}: DirectoryUpdate, now: number): boolean {
	const {confirmedAt, facts} = directory;
	return confirmedAt !== undefined
		&& (now - confirmedAt > timing.extraWatchersAgeMs || changes.some(({subject, fact}) => fact === undefined && !facts.has(subject)));
}

function applyChanges(step: Step, changes: readonly FactChange[], source: string): void {
	const {state, now} = step;
	if (changes.length === 0) {
		return;
	}

	applyTargetChanges(state.targets, changes, state.lapseGraceUntil, now);
	updatePoolVersions(step);
	for (const change of changes) {
		recordLog(step, 'directory-changed', {...describeChange(change), revision: change.revision, source});
	}
}

/** Logs that the platform was restored from a copy, and which facts stay in force although the copy contradicts them. */
function recordRestore(step: Step, endedEpoch: number, source: string): void {
	const {directory} = step.state;
	recordLog(step, 'platform-restored', {
		epoch: directory.epoch,
		endedEpoch,
		revision: directory.revision,
		tables: directory.tables?.version,
		retained: directory.retained.size,
		source,
	}, logLevel.warn);
	for (const [subject, {fact, durationMs}] of directory.retained) {
		recordLog(step, 'fact-retained', {...describeChange({subject, revision: 0, fact}), forMs: Number.isFinite(durationMs) ? durationMs : undefined});
	}
}

function describeChange({subject, fact}: FactChange): Record<string, unknown> {
	if (fact?.kind === factKind.tables) {
		return {subject, version: fact.tables.version, routes: fact.tables.routes.length};
	}

	return fact?.kind === factKind.target
		? {
			subject, state: fact.target.isLeaving ? 'leaving' : 'live', coldMs: fact.target.coldMs, pool: fact.target.pool, softwareVersion: fact.target.softwareVersion,
		}
		: {subject, state: fact === undefined ? 'gone' : 'present'};
}

/** What a peer lacks, and what it is asked for. */
type Supplement = Pick<PeerMessage, 'update' | 'tables' | 'versions' | 'versionsKnownMs'>;

function callPeer(step: Step, address: string, supplement: Supplement = {}): void {
	step.effects.push({kind: effectKind.callPeer, address, message: createMessage(step, {...supplement, ...createVersionQuery(step)})});
}

/** True if this instance lacks earlier software versions of the pools, and a peer may be asked for them again. */
function isVersionQueryDue({state, now}: Step): boolean {
	const {versionHistory, nextVersionQueryAt} = state;
	return now >= nextVersionQueryAt && versionHistory.computeKnownMs(now) < computeNeededHistoryMs(state);
}

/** Creates the question for earlier software versions if it is due. */
function createVersionQuery(step: Step): Supplement {
	const {state, now} = step;
	if (!isVersionQueryDue(step)) {
		return {};
	}

	const doublings = Math.max(0, state.versionQueryCount - frequentVersionQueryCount);
	state.nextVersionQueryAt = now + Math.min(maxVersionQueryIntervalMs, minVersionQueryIntervalMs * (2 ** doublings));
	state.versionQueryCount++;
	return {versionsKnownMs: Math.floor(state.versionHistory.computeKnownMs(now))};
}

function createMessage(step: Step, {
	update, tables, versions, versionsKnownMs,
}: Supplement): PeerMessage {
	const {state, now} = step;
	const {
		self, directory, members, drainStartedAt, lapseGraceUntil, platformReadableSince,
	} = state;
	const suspects = state.quarantine.describe(now);
	const demands = state.promptDemand.describe(computeInstanceCount(members), now);
	const accountLoads = describeAccountLoads(step);
	const arrivals = state.promptDemand.describeArrivals(now);
	const limits = state.targets.statements.describeLimits(now);
	const leaving = state.targets.statements.describeLeaving(now);
	const services = describeServices(state, now);
	const unreachedPools = listUnreachedPools(state, now);
	return {
		from: {...self, ageMs: 0},
		members: describeMembers(members, now, state.random),
		epoch: directory.epoch,
		revision: directory.revision,
		tablesVersion: directory.tables?.version,
		tablesRanks: directory.tables === undefined ? undefined : directory.rankCount,
		tables,
		directoryAgeMs: Number.isFinite(directory.confirmedAt) ? Math.round(now - directory.confirmedAt!) : undefined,
		loads: describeLoads(state.targets, now),
		...(limits.length > 0 && {limits}),
		...(leaving.length > 0 && {leaving}),
		readings: state.cacheHolders.describeRecentEntries(now),
		failures: state.failureReports.describe(now),
		services,
		...(unreachedPools.length > 0 && {unreachedPools}),
		...(suspects.length > 0 && {suspects}),
		...(demands.length > 0 && {demands}),
		...(accountLoads.length > 0 && {accountLoads}),
		...(arrivals !== undefined && {arrivals}),
		...(versionsKnownMs !== undefined && {versionsKnownMs}),
		...(versions !== undefined && versions.length > 0 && {versions}),
		wantsUpdate: !state.isWatching || state.directoryLostAt !== undefined || directory.tables === undefined,
		isWatching: state.isWatching,
		readingMs: platformReadableSince === undefined ? undefined : Math.round(now - platformReadableSince),
		lapseGraceMs: lapseGraceUntil > now ? Math.round(lapseGraceUntil - now) : undefined,
		update,
		isLeaving: drainStartedAt === undefined ? undefined : true,
	};
}

/** Describes the pools that this instance reached recently, unless it has no path to them now. */
function describeServices({paths, targets}: State, now: number): SharedService[] {
	const services: SharedService[] = [];
	for (const [pool, path] of paths) {
		const targetCount = listReceivingIds(targets, pool).length;
		if (now - path.servedAt <= sharedServiceMaxAgeMs && path.findState(targetCount, now) === pathState.open) {
			services.push({pool, ageMs: Math.round(now - path.servedAt)});
		}
	}

	return services;
}

function listUnreachedPools({paths, targets}: State, now: number): string[] {
	return [...paths].filter(([pool, path]) => path.findState(listReceivingIds(targets, pool).length, now) !== pathState.open).map(([pool]) => pool);
}

/** Finds a time before which a peer's call was certainly not created: it may have waited while this process did not run. */
function findCallCreatedAt({state: {lastTickAt, lastTickGap}, now}: Step): number {
	if (lastTickGap !== undefined && now - lastTickGap.endedAt <= callWaitMs) {
		return lastTickGap.startedAt;
	}

	return lastTickAt > 0 && now - lastTickAt > tickGapMs ? lastTickAt : now;
}

/** Responds to a peer's call, with the changes that the peer requests and does not know yet. */
export function applyPeerCalled(step: Step, {callId, message}: PeerCalledEvent): void {
	applyPeerMessage(step, message, findCallCreatedAt(step));
	const {state: {directory, versionHistory}, now} = step;
	const supplement = describeSupplement(step, message);
	// Stated in responses only, so that no peer that keeps fewer ranks causes more calls.
	const tables = supplement.tables ?? describeTablesWithRanks(directory, message);
	const versions = message.versionsKnownMs === undefined ? undefined : versionHistory.describe(now, message.versionsKnownMs);
	step.effects.push({kind: effectKind.answerPeer, callId, message: createMessage(step, {...supplement, tables, versions})});
}

/** Describes what the sender of a message requests or cannot read from the platform. */
function describeSupplement({state: {directory}}: Step, {epoch = 0, revision, tablesVersion, wantsUpdate}: PeerMessage): Supplement {
	const position = {epoch, revision};
	return wantsUpdate && isEarlier(position, directory)
		? {update: describeUpdate(directory, position)}
		: {tables: describeTablesFor(directory, {...position, tablesVersion})};
}

export function applyPeerAnswered(step: Step, {address, message, requestedAt}: PeerAnsweredEvent): void {
	recordWatcherStatus(step.state, address, message, step.now);
	applyPeerMessage(step, message, requestedAt);
	const supplement = describeSupplement(step, message);
	const {update, tables} = supplement;
	if (tables !== undefined || (update !== undefined && (update.changes.length > 0 || update.epoch !== message.epoch))) {
		callPeer(step, address, supplement);
	}
}

function recordWatcherStatus({failingWatchers}: State, address: string, {isWatching, readingMs}: PeerMessage, now: number): void {
	if (isWatching && readingMs === undefined) {
		failingWatchers.set(address, now);
	} else if (readingMs !== undefined) {
		failingWatchers.clear();
	}
}

/** True when enough watchers reported recently that they cannot read the platform, and none reported since that it can. */
function isPlatformUnreachable({failingWatchers, timing}: State, now: number): boolean {
	let count = 0;
	for (const at of failingWatchers.values()) {
		count += now - at <= timing.fallbackWatchAgeMs ? 1 : 0;
	}

	return count >= failingWatcherQuorum;
}

/**
 * Applies a peer's message, in which ages are relative to `messageCreatedAt`. For a
 * response, this is the time at which the call was sent; for a call, it is the time
 * from `findCallCreatedAt`. Both are certainly before the message was created, so that
 * nothing appears more recent than it is.
 */
function applyPeerMessage(step: Step, message: PeerMessage, messageCreatedAt: number): void {
	const {state, now} = step;
	const added = applyMembers(state.members, message, {selfId: state.self.id, createdAt: messageCreatedAt}, now);
	if (added.length > 0) {
		recordLog(step, 'members-added', {members: added, from: message.from.id, size: state.members.byId.size + 1});
	}

	const {directoryAgeMs, lapseGraceMs, readingMs} = message;
	applySharedTargets(step, message, messageCreatedAt);

	// An instance that received updates throughout knows that the platform was available.
	if (lapseGraceMs !== undefined && hasLapseSilence(step)) {
		startLapseGrace(step, messageCreatedAt + lapseGraceMs);
	}

	if (readingMs !== undefined) {
		// `readingMs` counts back from the receipt of the message, so that the peer's start of reading can only appear too late.
		endLapseGraceIfPeerRead(step, now - readingMs, message.from.id);
		if (message.epoch === state.directory.epoch) {
			recordEpochBegin(state.directory, now - readingMs);
		}
	}

	if (message.tables !== undefined && applyNewerTables(state.directory, message.tables)) {
		const fact = {kind: factKind.tables, tables: message.tables};
		applyChanges(step, [{subject: tablesSubject, revision: state.directory.revision, fact}], message.from.id);
	}

	applyPeerDirectory(step, message, messageCreatedAt);
	// Pools have to be known first.
	if (message.versions !== undefined && directoryAgeMs !== undefined && isMember(state.members, message.from)) {
		state.versionHistory.applyShared(message.versions, directoryAgeMs, now, state.timing.extraWatchersAgeMs);
	}
}

/** Applies the changes of the directory that a peer reports, or its statement that there are none. */
function applyPeerDirectory(step: Step, {update, from, epoch, revision, directoryAgeMs}: PeerMessage, messageCreatedAt: number): void {
	const {state} = step;
	if (update === undefined) {
		if (isSamePosition({epoch: epoch ?? 0, revision}, state.directory) && directoryAgeMs !== undefined) {
			state.directory.confirmedAt = Math.max(state.directory.confirmedAt ?? Number.NEGATIVE_INFINITY, messageCreatedAt - directoryAgeMs);
		}

		return;
	}

	applyDirectoryUpdate(step, update, messageCreatedAt - (directoryAgeMs ?? Number.POSITIVE_INFINITY), from.id);
}

/** Applies what a peer's message tells about targets. */
function applySharedTargets(step: Step, message: PeerMessage, messageCreatedAt: number): void {
	const {state, now} = step;
	if (message.services !== undefined) {
		state.relayPeers.applyServices(message.from, message.isLeaving ? [] : message.services, messageCreatedAt, now);
	}

	applyLoads(state.targets, message.loads, messageCreatedAt);
	applyNamedLimits(state.targets, message.limits ?? [], messageCreatedAt);
	for (const {record} of applyLeavingTargets(state.targets, message.leaving ?? [], messageCreatedAt)) {
		recordLog(step, 'target-leaving', {target: record.id, source: message.from.id});
	}

	state.promptDemand.applyShared(message.demands ?? [], messageCreatedAt);
	state.accountShare.applyShared(message.from.id, message.accountLoads ?? [], messageCreatedAt);
	if (message.arrivals !== undefined) {
		state.promptDemand.applyArrivals(message.from.incarnation, message.arrivals, messageCreatedAt);
	}

	state.cacheHolders.applyEntries(message.readings, state.targets.byId, messageCreatedAt);
	for (const target of state.failureReports.applyShared(message.failures ?? [], state.targets, messageCreatedAt, now)) {
		ejectIfFaulty(step, target);
	}

	if (state.quarantine.applyShared(message.suspects ?? [], messageCreatedAt, now) && state.isWatching) {
		state.hasUnreportedCrash = true;
	}
}

export function applyPeerFailed(step: Step, {address, detail}: PeerFailedEvent): void {
	const {state, now} = step;
	const wasMember = removeUnreachableMember(state.members, address, now);
	recordLog(step, 'peer-failed', {
		address, detail, wasMember, size: state.members.byId.size + 1,
	});
	// Another peer is called soon for the update that the failed call should have brought.
	state.nextPeerCallAt = Math.min(state.nextPeerCallAt, now + failedCallRetryDelayMs);
}

/** Calls peers without an update, to report this instance's state. */
export function callPeers(step: Step, addresses: readonly string[]): void {
	for (const address of addresses) {
		callPeer(step, address);
	}
}

/** True if the process was paused after `since`, a pause that has not been noticed by a tick yet included: timeouts since then say nothing about others. */
export function hasPausedSince({state: {lastTickAt, lastTickGap}, now}: Step, since: number): boolean {
	return (lastTickAt > 0 && now - lastTickAt > tickGapMs) || (lastTickGap !== undefined && since < lastTickGap.endedAt);
}

/** True if the process was paused after `since` for so long that a target may have been replaced unseen. */
export function hasPausedForRestart({state: {lastTickAt, lastLongPauseEndedAt}, now}: Step, since: number): boolean {
	return (lastTickAt > 0 && now - lastTickAt >= minRestartMs) || (lastLongPauseEndedAt !== undefined && since < lastLongPauseEndedAt);
}

/** Performs the periodic work of a tick: expiry, watching and peer calls. */
export function updateFleet(step: Step): void {
	const {state, now} = step;
	if (state.lastTickAt > 0 && now - state.lastTickAt > pauseThresholdMs) {
		recordLog(step, 'paused', {forMs: Math.round(now - state.lastTickAt)}, logLevel.warn);
		state.platformReadableSince = undefined;
	}

	if (state.lastTickAt > 0 && now - state.lastTickAt > tickGapMs) {
		state.lastTickGap = {startedAt: state.lastTickAt, endedAt: now};
		state.lastLongPauseEndedAt = now - state.lastTickAt >= minRestartMs ? now : state.lastLongPauseEndedAt;
	}

	state.lastTickAt = now;
	applyChanges(step, expireRetainedFacts(state.directory), 'retention');
	if (updateTargets(state.targets, now)) {
		updatePoolVersions(step);
	}

	const expired = expireMembers(state.members, now);
	if (expired.length > 0) {
		recordLog(step, 'members-expired', {members: expired, size: state.members.byId.size + 1});
	}

	const watchers = updateWatching(step);
	if (now >= state.nextPeerCallAt) {
		callNextPeer(step, watchers);
	}

	if (state.hasUnreportedCrash && now >= state.nextNoticeAt) {
		notifyOfCrash(step, watchers);
	}
}

/**
 * Reads the platform if this instance is a watcher, or while the directory that
 * it receives from the watchers is too old. When the watchers report that they
 * cannot read the platform, most instances do not try it themselves.
 */
function updateWatching(step: Step): Watchers {
	const {state, now} = step;
	const {extraWatchersAgeMs, fallbackWatchAgeMs} = state.timing;
	const {confirmedAt} = state.directory;
	const ageMs = now - (confirmedAt ?? Number.NEGATIVE_INFINITY);
	const regularWatchers = listWatchers(state.members, state.selfHash, 0, now);
	const watchers = ageMs > extraWatchersAgeMs ? listWatchers(state.members, state.selfHash, extraWatcherCount, now) : regularWatchers;
	if ((ageMs > extraWatchersAgeMs && watchers.includesSelf) || (ageMs > fallbackWatchAgeMs && !isPlatformUnreachable(state, now))) {
		state.fallbackWatchUntil = now + fallbackWatchDurationMs;
	}

	const isWatching = regularWatchers.includesSelf || now < state.fallbackWatchUntil;
	if (isWatching !== state.isWatching) {
		setWatching(step, isWatching);
	}

	return watchers;
}

function setWatching(step: Step, isWatching: boolean): void {
	const {state, now} = step;
	state.isWatching = isWatching;
	state.directoryLostAt = undefined;
	state.platformReadableSince = undefined;
	step.effects.push({kind: effectKind.watch, isWatching, position: {epoch: state.directory.epoch, revision: state.directory.revision}});
	recordLog(step, isWatching ? 'watch-started' : 'watch-stopped', {
		directoryAgeMs: Math.round(now - (state.directory.confirmedAt ?? 0)), revision: state.directory.revision, members: state.members.byId.size + 1,
	});
}

/** Reports crashes to peers at once: to watchers, which forward them, since every instance calls a watcher often. */
function notifyOfCrash(step: Step, {others}: Watchers): void {
	const {state, now} = step;
	state.hasUnreportedCrash = false;
	state.nextNoticeAt = now + noticeIntervalMs;
	if (others.length === 0) {
		callPeers(step, choosePeers(state.members, state.self.address, noticeCount, state.random));
		return;
	}

	const addresses = Array.from({length: noticeCount}, () => chooseWatcher(state, others, false));
	callPeers(step, [...new Set(addresses)]);
}

function callNextPeer(step: Step, {others}: Watchers): void {
	const {state, now} = step;
	const {random, timing} = state;
	const isStale = now - (state.directory.confirmedAt ?? now) > timing.extraWatchersAgeMs;
	const plan = others.length === 0 ? callPlan.withoutFollowers : (state.isWatching ? callPlan.watcher : callPlan.follower);
	const followerIntervalMs = isStale ? staleCallIntervalMs : timing.followerCallIntervalMs;
	const intervalMs = plan === callPlan.follower ? followerIntervalMs : plan.intervalMs;
	state.nextPeerCallAt = now + (intervalMs * (1 - plan.jitter + (2 * plan.jitter * random())));
	const peers = random() < plan.randomPeerFraction
		? choosePeers(state.members, state.self.address, 1, random)
		: [chooseWatcher(state, others, plan === callPlan.follower && !isStale)];
	callPeers(step, peers);
}

/** Chooses a watcher; with `prefersZone` mostly one in the own zone, if there is one, since traffic between zones costs more. */
function chooseWatcher({self, random}: State, watchers: Watchers['others'], prefersZone: boolean): string {
	const near = prefersZone && random() < sameZoneFraction ? watchers.filter(({zone}) => zone === self.zone) : [];
	const candidates = near.length > 0 ? near : watchers;
	return candidates[Math.floor(random() * candidates.length)]!.address;
}
