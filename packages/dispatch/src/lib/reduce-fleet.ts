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
	applyMembers, choosePartners, describeMembers, updateMembers,
} from './members.js';
import type {PeerMessage} from './peer-message.js';
import {recordLog, type Step} from './state.js';
import {applyTargetChanges, applyTargetRenewals, updateTargets} from './target-state.js';

/** Time between two calls to peers, in milliseconds; a part of it is drawn, so that instances do not call in step. */
const callIntervalMs = 1000;
const callIntervalDraw = 0.5;
/** Peers that are told at once of a change. */
const pushFanout = 3;
/**
 * Time after the platform's return in which lapsed registrations come back, in
 * milliseconds: two seconds by its pages, and the time until they are read.
 */
const lapseGraceMs = 2600;
/** Gap between two ticks from which the process counts as paused, in milliseconds. */
const pauseMs = 1000;

export function applyDirectoryRead(step: Step, {update, askedAt}: DirectoryRead): void {
	const {state, now} = step;
	if (state.directoryLostAt !== undefined) {
		recordLog(step, 'platform-regained', {lostForMs: Math.round(now - state.directoryLostAt), revision: update.revision});
		state.directoryLostAt = undefined;
		state.lapseGraceUntil = now + lapseGraceMs;
	}

	const changes = learnUpdate(step, update, askedAt, 'platform');
	if (changes.length > 0) {
		pushChanges(step, changes);
	}
}

export function applyDirectoryLost(step: Step, {detail}: DirectoryLost): void {
	const {state, now} = step;
	if (state.directoryLostAt === undefined) {
		state.directoryLostAt = now;
		recordLog(step, 'platform-lost', {detail, revision: state.directory.revision, tables: state.directory.tables?.version}, logLevel.warn);
	}
}

/** Takes an update; returns what changed by it. */
function learnUpdate(step: Step, update: DirectoryUpdate, confirmedAt: number, source: string): readonly FactChange[] {
	const {state, now} = step;
	const {changes, renewals} = applyUpdate(state.directory, update, confirmedAt);
	applyTargetRenewals(state.targets, renewals, now);
	if (changes.length === 0) {
		return changes;
	}

	applyTargetChanges(state.targets, changes, state.lapseGraceUntil, now);
	for (const change of changes) {
		recordLog(step, 'directory-changed', {...describeChange(change), revision: change.revision, source});
	}

	return changes;
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

/** Tells a few peers of changes at once; they tell others. */
function pushChanges(step: Step, changes: readonly FactChange[]): void {
	const {state} = step;
	const {revision} = state.directory;
	const update = {changes, revision, since: revision};
	for (const address of choosePartners(state.members, state.self.address, pushFanout, state.draw)) {
		callPeer(step, address, update);
	}
}

function callPeer(step: Step, address: string, update?: DirectoryUpdate): void {
	step.effects.push({kind: effectKind.callPeer, address, message: createMessage(step, update)});
}

function createMessage({state, now}: Step, update?: DirectoryUpdate): PeerMessage {
	const {self, directory, members, drainStartedAt} = state;
	return {
		from: {...self, ageMs: 0},
		members: describeMembers(members, now),
		revision: directory.revision,
		directoryAgeMs: directory.confirmedAt === undefined ? undefined : Math.round(now - directory.confirmedAt),
		update,
		isLeaving: drainStartedAt === undefined ? undefined : true,
	};
}

/** Answers a peer's call; with what it does not know yet, if there is something. */
export function applyPeerCalled(step: Step, {callId, message}: PeerCalled): void {
	learnMessage(step, message, step.now);
	const {directory} = step.state;
	const update = message.revision < directory.revision ? describeUpdate(directory, message.revision) : undefined;
	step.effects.push({kind: effectKind.answerPeer, callId, message: createMessage(step, update)});
}

export function applyPeerAnswered(step: Step, {address, message, askedAt}: PeerAnswered): void {
	learnMessage(step, message, askedAt);
	const {directory} = step.state;
	if (message.revision < directory.revision && !step.state.drainStartedAt) {
		const update = describeUpdate(directory, message.revision);
		if (update.changes.length > 0) {
			callPeer(step, address, update);
		}
	}
}

/** `madeAt` is a time before the message was made: its ages count from there. */
function learnMessage(step: Step, message: PeerMessage, madeAt: number): void {
	const {state, now} = step;
	const added = applyMembers(state.members, message, state.self.id, now);
	if (added.length > 0) {
		recordLog(step, 'members-added', {members: added, from: message.from.id, size: state.members.byId.size + 1});
	}

	const {update, directoryAgeMs} = message;
	if (update === undefined) {
		if (message.revision === state.directory.revision && directoryAgeMs !== undefined) {
			state.directory.confirmedAt = Math.max(state.directory.confirmedAt ?? Number.NEGATIVE_INFINITY, madeAt - directoryAgeMs);
		}

		return;
	}

	const changes = learnUpdate(step, update, madeAt - (directoryAgeMs ?? Number.POSITIVE_INFINITY), message.from.id);
	if (changes.length > 0 && state.directoryLostAt !== undefined) {
		pushChanges(step, changes);
	}
}

export function applyPeerFailed(step: Step, {address, detail}: PeerFailed): void {
	recordLog(step, 'peer-failed', {address, detail});
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
	}

	state.lastTickAt = now;
	updateTargets(state.targets, now);
	const expired = updateMembers(state.members, now);
	if (expired.length > 0) {
		recordLog(step, 'members-expired', {members: expired, size: state.members.byId.size + 1});
	}

	if (now >= state.nextCallAt) {
		state.nextCallAt = now + (callIntervalMs * (1 - callIntervalDraw + (2 * callIntervalDraw * state.draw())));
		for (const address of choosePartners(state.members, state.self.address, 1, state.draw)) {
			callPeer(step, address);
		}
	}
}
