/**
 * Learns from the platform's history which software versions served the pools before this
 * instance started. Peers that ran before know that better; after all instances were
 * killed at once, none did.
 */
import {mixHashes} from '@sequoiatally/core';
import {hasResumableStreams, type Route} from '../directory/directory-facts.js';
import {effectKind, logLevel} from '../effect.js';
import type {HistoryReadEvent} from '../event.js';
import {listPastVersions} from './past-versions.js';
import {
	recordLog, type FleetBounds, type State, type Step,
} from '../state.js';
import {historyWindowMs} from './version-history.js';

/** Time after the first read of the directory until the history is read, before an addition that differs between instances, in milliseconds: peers have answered by then. */
const readDelayMs = 100;
const readJitterMs = 200;
/** Number of registered targets up to which all instances read the history at that time; the history grows with them, and the platform sends it to each. */
const maxTargetsForAll = 64;
/** The same times for the other instances of a larger deployment: by then, peers can tell what the first ones have read, and all instances still read the platform. */
const laterReadDelayMs = 700;
const laterReadJitterMs = 500;
/**
 * Number of registered targets above which the other instances wait longer, and the time for which they do, in milliseconds:
 * the history then takes longer to read than `laterReadDelayMs`, and by then only the watchers still read the platform.
 */
const maxTargetsForLater = 640;
const lastReadDelayMs = 5000;
/** Number of reads until the history is given up, and time between two, in milliseconds. */
const readLimit = 3;
const readRetryDelayMs = 500;
/** Hash seed that makes the order in which instances read the history independent of other rankings. */
const historyReadHashSeed = 0x41_57;

/** Computes a number in [0, 1) that differs between instances. */
function computeFraction(selfHash: number, seed: number): number {
	return mixHashes(selfHash, seed) / (2 ** 32);
}

/**
 * Computes the time within which a stream of the route that is taken up now has begun, in
 * milliseconds: it may have been taken up once before, and the instance that began it may have
 * had a directory as old as changes may take to be in force.
 */
export function computeStreamWindowMs({timeLimitMs}: Route, {changeLimitMs}: FleetBounds): number {
	return (2 * timeLimitMs) + changeLimitMs;
}

/** Computes how far back the versions of the pools have to be known, in milliseconds: as long as streams that can be taken up may take. */
export function computeNeededHistoryMs({directory, bounds}: State): number {
	if (directory.tables === undefined) {
		return historyWindowMs;
	}

	const windowsMs = directory.tables.routes.filter(route => hasResumableStreams(route)).map(route => computeStreamWindowMs(route, bounds));
	return Math.min(historyWindowMs, Math.max(0, ...windowsMs));
}

function hasNeededHistory({state, now}: Step): boolean {
	return state.versionHistory.computeKnownMs(now) >= computeNeededHistoryMs(state);
}

/** Schedules the read of the history after this instance has read the directory for the first time. */
export function scheduleHistoryRead(step: Step): void {
	const {state, now} = step;
	if (state.historyReadCount > 0 || state.historyReadAt !== undefined || hasNeededHistory(step)) {
		return;
	}

	const rank = computeFraction(state.selfHash, historyReadHashSeed);
	const targetCount = state.targets.byId.size;
	const isEarly = rank * targetCount < maxTargetsForAll;
	const otherDelayMs = targetCount > maxTargetsForLater ? lastReadDelayMs : laterReadDelayMs;
	const [delayMs, jitterMs] = isEarly ? [readDelayMs, readJitterMs] : [otherDelayMs, laterReadJitterMs];
	state.historyReadAt = now + delayMs + (jitterMs * rank);
}

/** Reads the history at the scheduled time if this instance reads the platform and has not learned from peers what it needs. */
export function updateHistoryRead(step: Step): void {
	const {state, now} = step;
	if (state.historyReadAt === undefined || now < state.historyReadAt || !state.isWatching) {
		return;
	}

	state.historyReadAt = undefined;
	state.historyReadCount++;
	if (hasNeededHistory(step)) {
		return;
	}

	const {epoch, revision} = state.directory;
	step.effects.push({
		kind: effectKind.readHistory, position: {epoch, revision}, spanMs: computeNeededHistoryMs(state), targetCount: state.targets.byId.size,
	});
}

/** Adds the states that follow from the platform's history to those that are known. */
export function applyHistoryRead(step: Step, {history, epoch, fault}: HistoryReadEvent): void {
	const {state, now} = step;
	const {directory, versionHistory} = state;
	if (history === undefined) {
		recordLog(step, 'versions-unknown', {fault, attempts: state.historyReadCount}, logLevel.warn);
		state.historyReadAt = state.historyReadCount < readLimit ? now + readRetryDelayMs : undefined;
		return;
	}

	// Facts that are retained after a restore differ from the platform's.
	const isUsable = epoch === directory.epoch && directory.retained.size === 0;
	const versions = isUsable ? listPastVersions(history, directory.facts) : [];
	versionHistory.applyShared(versions, 0, now);
	recordLog(step, 'versions-restored', {
		changes: history.changes.length, knownMs: versions[0]?.knownMs ?? 0, states: versions.reduce((sum, {states}) => sum + states.length, 0), isUsable,
	});
}
