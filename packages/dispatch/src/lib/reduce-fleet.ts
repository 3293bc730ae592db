/**
 * What instances do together: they learn the directory from the platform and
 * from each other, and keep the member list.
 */
import {
	applyUpdate, describeUpdate, factKind, type DirectoryUpdate, type FactChange,
} from './directory.js';
import {effectKind, logLevel} from './effect.js';
import type {
	DirectoryLost, DirectoryRead, PeerAnswered, PeerCalled, PeerFailed,
} from './event.js';
import {
	applyMembers, choosePartners, describeMembers, forgetMember, listWatchers, updateMembers, type Watchers,
} from './members.js';
import type {PeerMessage} from './peer-message.js';
import {recordLog, type State, type Step} from './state.js';
import {
	applyLoads, applyTargetChanges, applyTargetRenewals, describeLoads, endLapses, updateTargets,
} from './target-state.js';

/** Time between two calls to peers, in milliseconds; a part of it is drawn, so that instances do not call in step. */
const callIntervalMs = 1000;
const callIntervalDraw = 0.5;
const followIntervalDraw = 0.2;
/** The same for instances that leave reading the platform to others: they have to hear of changes in time. */
const followIntervalMs = 700;
/** Time from a call that failed to the next one, in milliseconds. */
const againMs = 100;
/** Part of such calls that goes to any member instead. */
const anyMemberPart = 0.1;
/**
 * Age of the directory from which more instances than usual read the platform,
 * in milliseconds, and how many times as many: those that do may be turned away.
 */
const widenAfterMs = 2300;
const widenedMultiple = 4;
/** Age from which an instance reads it, in milliseconds, unless so many watchers said since that they cannot. */
const longestUnreadMs = 2800;
const lostWatcherCount = 3;
/** Time between two calls to watchers while news is old, in milliseconds: most of them may be turned away. */
const hurriedIntervalMs = 150;
/** Time for which an instance then goes on, in milliseconds. */
const watchesAloneMs = 4000;
/**
 * Time after the platform's return in which lapsed registrations come back, in
 * milliseconds: two seconds by its pages, and the time until they are read.
 */
const lapseGraceMs = 2300;
/** Time without news, from the platform or from peers that read it, after which registrations may have lapsed, in milliseconds. */
const lapseAfterMs = 2000;
/** Gap between two ticks from which the process counts as paused, in milliseconds. */
const pauseMs = 1000;

export function applyDirectoryRead(step: Step, {update, askedAt}: DirectoryRead): void {
	const {state, now} = step;
	if (state.directoryLostAt !== undefined) {
		recordLog(step, 'platform-regained', {lostForMs: Math.round(now - state.directoryLostAt), revision: update.revision});
		state.directoryLostAt = undefined;
		if (hasNewsGap(step)) {
			startLapseGrace(step, now + lapseGraceMs);
		}
	}

	state.readingSince ??= askedAt;
	learnUpdate(step, update, askedAt, 'platform');
}

/** True after a silence in which registrations may have lapsed. */
function hasNewsGap({state, now}: Step): boolean {
	return now - (state.directory.confirmedAt ?? now) > lapseAfterMs;
}

function startLapseGrace({state, now}: Step, until: number): void {
	state.lapseGapStartedAt = state.directory.confirmedAt ?? now;
	state.lapseGraceUntil = Math.max(state.lapseGraceUntil, until);
}

/**
 * Ends the grace when a peer read the platform through all of the silence: it
 * was this instance that was cut off, so nothing has lapsed.
 */
function endLapseGraceIfRead(step: Step, peerReadsSince: number, peer: string): void {
	const {state, now} = step;
	if (now >= state.lapseGraceUntil || peerReadsSince > state.lapseGapStartedAt) {
		return;
	}

	state.lapseGraceUntil = 0;
	recordLog(step, 'lapse-grace-ended', {
		peer, peerReadingMs: Math.round(now - peerReadsSince), silentForMs: Math.round(now - state.lapseGapStartedAt), gone: endLapses(state.targets),
	});
}

export function applyDirectoryLost(step: Step, {detail}: DirectoryLost): void {
	const {state, now} = step;
	state.readingSince = undefined;
	if (state.directoryLostAt === undefined) {
		state.directoryLostAt = now;
		recordLog(step, 'platform-lost', {detail, revision: state.directory.revision, tables: state.directory.tables?.version}, logLevel.warn);
	}
}

function learnUpdate(step: Step, update: DirectoryUpdate, confirmedAt: number, source: string): void {
	const {state, now} = step;
	const {changes, renewals} = applyUpdate(state.directory, update, confirmedAt);
	applyTargetRenewals(state.targets, renewals, now);
	if (changes.length === 0) {
		return;
	}

	applyTargetChanges(state.targets, changes, state.lapseGraceUntil, now);
	for (const change of changes) {
		recordLog(step, 'directory-changed', {...describeChange(change), revision: change.revision, source});
	}
}

function describeChange({subject, fact}: FactChange): Record<string, unknown> {
	if (fact?.kind === factKind.tables) {
		return {subject, version: fact.tables.version, routes: fact.tables.routes.length};
	}

	return fact?.kind === factKind.target
		? {
			subject, state: fact.target.isLeaving ? 'leaving' : 'live', coldMs: fact.target.coldMs, pool: fact.target.pool,
		}
		: {subject, state: fact === undefined ? 'gone' : 'present'};
}

function callPeer(step: Step, address: string, update?: DirectoryUpdate): void {
	step.effects.push({kind: effectKind.callPeer, address, message: createMessage(step, update)});
}

function createMessage({state, now}: Step, update?: DirectoryUpdate): PeerMessage {
	const {
		self, directory, members, drainStartedAt, lapseGraceUntil, readingSince,
	} = state;
	return {
		from: {...self, ageMs: 0},
		members: describeMembers(members, now, state.draw),
		revision: directory.revision,
		directoryAgeMs: directory.confirmedAt === undefined ? undefined : Math.round(now - directory.confirmedAt),
		loads: describeLoads(state.targets, now),
		readings: state.promptHolders.describeNews(now),
		wantsUpdate: !state.isWatching || state.directoryLostAt !== undefined || directory.tables === undefined,
		isWatching: state.isWatching,
		readingMs: readingSince === undefined ? undefined : Math.round(now - readingSince),
		lapseGraceMs: lapseGraceUntil > now ? Math.round(lapseGraceUntil - now) : undefined,
		update,
		isLeaving: drainStartedAt === undefined ? undefined : true,
	};
}

/** Answers a peer's call; with what it does not know yet, if there is something. */
export function applyPeerCalled(step: Step, {callId, message}: PeerCalled): void {
	learnMessage(step, message, step.now);
	const {directory} = step.state;
	const update = message.wantsUpdate && message.revision < directory.revision ? describeUpdate(directory, message.revision) : undefined;
	step.effects.push({kind: effectKind.answerPeer, callId, message: createMessage(step, update)});
}

export function applyPeerAnswered(step: Step, {address, message, askedAt}: PeerAnswered): void {
	recordWatcher(step.state, address, message, step.now);
	learnMessage(step, message, askedAt);
	const {directory} = step.state;
	if (message.wantsUpdate && message.revision < directory.revision) {
		const update = describeUpdate(directory, message.revision);
		if (update.changes.length > 0) {
			callPeer(step, address, update);
		}
	}
}

function recordWatcher({lostWatchers}: State, address: string, {isWatching, readingMs}: PeerMessage, now: number): void {
	if (isWatching && readingMs === undefined) {
		lostWatchers.set(address, now);
	} else if (readingMs !== undefined) {
		lostWatchers.clear();
	}
}

/** True when several watchers said lately that they cannot read the platform, and none that it can. */
function isAwayForAll({lostWatchers}: State, now: number): boolean {
	let count = 0;
	for (const at of lostWatchers.values()) {
		count += now - at <= longestUnreadMs ? 1 : 0;
	}

	return count >= lostWatcherCount;
}

/** `madeAt` is a time before the message was made: its ages count from there. */
function learnMessage(step: Step, message: PeerMessage, madeAt: number): void {
	const {state, now} = step;
	const added = applyMembers(state.members, message, state.self.id, now);
	if (added.length > 0) {
		recordLog(step, 'members-added', {members: added, from: message.from.id, size: state.members.byId.size + 1});
	}

	const {
		update, directoryAgeMs, lapseGraceMs, readingMs,
	} = message;
	applyLoads(state.targets, message.loads, madeAt);
	state.promptHolders.learn(message.readings, state.targets.byId, madeAt);
	// An instance that had news all the while knows that the platform was there.
	if (lapseGraceMs !== undefined && hasNewsGap(step)) {
		startLapseGrace(step, madeAt + lapseGraceMs);
	}

	if (readingMs !== undefined) {
		// Ages count back from when the message came: the peer's start of reading may only look later than it was.
		endLapseGraceIfRead(step, now - readingMs, message.from.id);
	}

	if (update === undefined) {
		if (message.revision === state.directory.revision && directoryAgeMs !== undefined) {
			state.directory.confirmedAt = Math.max(state.directory.confirmedAt ?? Number.NEGATIVE_INFINITY, madeAt - directoryAgeMs);
		}

		return;
	}

	learnUpdate(step, update, madeAt - (directoryAgeMs ?? Number.POSITIVE_INFINITY), message.from.id);
}

export function applyPeerFailed(step: Step, {address, detail}: PeerFailed): void {
	const {state, now} = step;
	const wasMember = forgetMember(state.members, address, now);
	recordLog(step, 'peer-failed', {
		address, detail, wasMember, size: state.members.byId.size + 1,
	});
	// The news that this call should have brought is asked of another at once.
	state.nextCallAt = Math.min(state.nextCallAt, now + againMs);
}

/** Calls some peers without news, so that they hear how this instance stands. */
export function callPeers(step: Step, addresses: readonly string[]): void {
	for (const address of addresses) {
		callPeer(step, address);
	}
}

/** What has to be done as time passes. */
export function updateFleet(step: Step): void {
	const {state, now} = step;
	if (state.lastTickAt > 0 && now - state.lastTickAt > pauseMs) {
		recordLog(step, 'paused', {forMs: Math.round(now - state.lastTickAt)}, logLevel.warn);
		state.readingSince = undefined;
	}

	state.lastTickAt = now;
	updateTargets(state.targets, now);
	const expired = updateMembers(state.members, now);
	if (expired.length > 0) {
		recordLog(step, 'members-expired', {members: expired, size: state.members.byId.size + 1});
	}

	const watchers = updateWatching(step);
	if (now >= state.nextCallAt) {
		callNextPeer(step, watchers);
	}
}

/**
 * Reads the platform if this instance is a watcher, or while the news that it
 * gets from the watchers is old. When the platform is away for all, the
 * watchers say so, and most instances leave it alone.
 */
function updateWatching(step: Step): Watchers {
	const {state, now} = step;
	const {confirmedAt} = state.directory;
	const ageMs = now - (confirmedAt ?? Number.NEGATIVE_INFINITY);
	const usual = listWatchers(state.members, state.selfHash, 1, now);
	const watchers = ageMs > widenAfterMs ? listWatchers(state.members, state.selfHash, widenedMultiple, now) : usual;
	if ((ageMs > widenAfterMs && watchers.includesSelf) || (ageMs > longestUnreadMs && !isAwayForAll(state, now))) {
		state.watchesUntil = now + watchesAloneMs;
	}

	const isWatching = usual.includesSelf || now < state.watchesUntil;
	if (isWatching !== state.isWatching) {
		setWatching(step, isWatching);
	}

	return watchers;
}

function setWatching(step: Step, isWatching: boolean): void {
	const {state, now} = step;
	state.isWatching = isWatching;
	state.directoryLostAt = undefined;
	state.readingSince = undefined;
	step.effects.push({kind: effectKind.watch, isWatching, revision: state.directory.revision});
	recordLog(step, isWatching ? 'watch-started' : 'watch-stopped', {
		directoryAgeMs: Math.round(now - (state.directory.confirmedAt ?? 0)), revision: state.directory.revision, members: state.members.byId.size + 1,
	});
}

function callNextPeer(step: Step, {addresses}: Watchers): void {
	const {state, now} = step;
	const {draw} = state;
	const isFollowing = !state.isWatching && addresses.length > 0;
	const isOld = now - (state.directory.confirmedAt ?? now) > widenAfterMs;
	const intervalMs = isFollowing ? (isOld ? hurriedIntervalMs : followIntervalMs) : callIntervalMs;
	const spread = isFollowing ? followIntervalDraw : callIntervalDraw;
	state.nextCallAt = now + (intervalMs * (1 - spread + (2 * spread * draw())));
	const partners = isFollowing && draw() >= anyMemberPart
		? [addresses[Math.floor(draw() * addresses.length)]!]
		: choosePartners(state.members, state.self.address, 1, draw);
	for (const address of partners) {
		callPeer(step, address);
	}
}
