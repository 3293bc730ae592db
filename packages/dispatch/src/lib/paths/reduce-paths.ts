/**
 * Applies what sends, checks and probes show about the paths of this instance to the targets, and
 * decides when requests are relayed by a peer.
 */
import {effectKind, logLevel} from '../effect.js';
import {probeResult, type TargetProbedEvent} from '../event.js';
import {takeQueriedAddresses} from '../members/members.js';
import {callPeers, hasPausedSince} from '../members/reduce-fleet.js';
import type {PendingSend} from './path-silence.js';
import type {PeerMessage} from '../members/peer-message.js';
import {
	recordLog, type CurrentSend, type OpenRequest, type Step,
} from '../state.js';
import {pathState, TargetPath, type PathState} from './target-paths.js';
import {listReceivingIds, type Target} from '../targets/target-state.js';

/** Time between two rounds of questions to peers while a path is suspect, which doubles with each round without an answer, and while one is lost, in milliseconds. */
const suspectQueryIntervalMs = 150;
const maxQueryIntervalMs = 1200;
const lostQueryIntervalMs = 1000;
/** Number of requests of peers that this instance relays at the same time. */
export const relayedRequestLimit = 256;

/** Finds the path to a pool and creates it on first use. */
export function findPath({state}: Step, poolName: string): TargetPath {
	let path = state.paths.get(poolName);
	if (path === undefined) {
		path = new TargetPath();
		state.paths.set(poolName, path);
	}

	return path;
}

export function findPathState(step: Step, poolName: string): PathState {
	const path = step.state.paths.get(poolName);
	return path === undefined ? pathState.open : path.findState(listReceivingIds(step.state.targets, poolName).length, step.now);
}

/** True if this instance probably reaches no target of the pool; what the checks of the path show is known soon. */
export function isPathProbablyLost(step: Step, poolName: string): boolean {
	return step.state.paths.get(poolName)?.isProbablyLost(listReceivingIds(step.state.targets, poolName).length, step.now) ?? false;
}

export function recordReached(step: Step, {record}: Target): void {
	findPath(step, record.pool).recordReached(record.id, step.now);
}

/** Records that no connection to a target could be opened, unless this process did not run in between, which explains it. */
export function recordUnreached(step: Step, {record}: Target, startedAt: number): void {
	if (hasPausedSince(step, startedAt)) {
		return;
	}

	findPath(step, record.pool).recordUnreached(record.id, startedAt);
	updatePaths(step);
}

/** Records that a target responded to this instance. */
export function recordServed(step: Step, target: Target): void {
	target.heardAt = step.now;
	recordAnswered(step, target);
}

/** Records that something at a target's address responded, which shows the path. */
export function recordAnswered(step: Step, {record}: Target): void {
	findPath(step, record.pool).recordAnswered(step.now);
}

/** Records a send that was lost, or a stream that fell silent, without an answer from `since` on. */
export function recordLostSend(step: Step, {target: {record}}: CurrentSend, since: number): void {
	if (!hasPausedSince(step, since)) {
		findPath(step, record.pool).silence.recordLostSend(record.id, since);
	}
}

/** Applies the result of a probe; a failure says nothing if this process did not run in between. */
export function applyTargetProbed(step: Step, {targetId, startedAt, result}: TargetProbedEvent): void {
	const target = step.state.targets.byId.get(targetId);
	if (target === undefined) {
		return;
	}

	const path = findPath(step, target.record.pool);
	if (result === probeResult.answered) {
		path.recordProbeAnswered(targetId, step.now);
	} else if (hasPausedSince(step, startedAt)) {
		path.silence.recordVoid(targetId);
	} else {
		path.recordProbeUnanswered(targetId, startedAt);
		if (result === probeResult.unreached) {
			path.recordUnreached(targetId, startedAt);
		}
	}

	updatePaths(step);
}

/** Chooses the peer that relays the request because this instance has lost its path to the pool; `undefined` if the request is sent by itself. */
export function chooseRelayPeer(step: Step, {poolName, triedTargetIds, isRelayed}: OpenRequest): Target | undefined {
	const {state, now} = step;
	const since = state.paths.get(poolName)?.lostSince;
	return isRelayed || since === undefined
		? undefined
		: state.relayPeers.choose({
			pool: poolName, since, zone: state.self.zone, triedIds: triedTargetIds,
		}, now);
}

/** Brings the silence of each pool up to date with the sends to it that wait for an answer; those from before a pause of this process do not count. */
function updateSilences(step: Step): void {
	const {state, now} = step;
	const pendingByPool = new Map<string, PendingSend[]>();
	for (const {poolName, currentSend, hasResponseStarted, route: {latencyTargetMs}} of state.openRequests.values()) {
		if (currentSend?.hasOpened && !currentSend.isRelayed && !hasResponseStarted && !hasPausedSince(step, currentSend.sentAt)) {
			const pending = pendingByPool.get(poolName) ?? [];
			pending.push({targetId: currentSend.target.record.id, sentAt: currentSend.sentAt, latencyTargetMs});
			pendingByPool.set(poolName, pending);
		}
	}

	for (const [poolName, path] of state.paths) {
		path.updateSilence(pendingByPool.get(poolName) ?? [], listReceivingIds(state.targets, poolName).length, now);
	}
}

/** Checks paths that are suspect or lost, asks peers whether they are served, and logs what was lost or regained. */
export function updatePaths(step: Step): void {
	const {state, now} = step;
	state.relayPeers.expire(now);
	updateSilences(step);
	let interval: number | undefined;
	const suspectIntervalMs = Math.min(maxQueryIntervalMs, suspectQueryIntervalMs * (2 ** state.relayQueryCount));
	const suspicion = findSuspicion(step);
	for (const [poolName, path] of state.paths) {
		const targetIds = listReceivingIds(state.targets, poolName);
		const peerServedAt = state.relayPeers.findServedAt(poolName);
		const change = path.update(targetIds.length, peerServedAt, now);
		if (change !== undefined) {
			recordLog(step, change === pathState.lost ? 'path-lost' : 'path-regained', {
				pool: poolName, targets: targetIds.length, cause: path.cause,
				servedMsAgo: Math.round(now - path.servedAt), peerServedMsAgo: Math.round(now - peerServedAt),
			}, logLevel.warn);
		}

		const current = path.findState(targetIds.length, now);
		if (path.recordState(current) && current === pathState.suspect) {
			recordLog(step, 'path-suspect', {
				pool: poolName, targets: targetIds.length, cause: path.cause, servedMsAgo: Math.round(now - path.servedAt),
			});
		}

		if (current !== pathState.open || suspicion.isAny) {
			checkPath(step, path, targetIds, suspicion);
			interval = Math.min(interval ?? maxQueryIntervalMs, current === pathState.lost ? lostQueryIntervalMs : suspectIntervalMs);
		}
	}

	if (interval === undefined) {
		state.relayQueryCount = 0;
	} else if (now >= state.nextRelayQueryAt) {
		state.nextRelayQueryAt = now + interval;
		state.relayQueryCount++;
		callPeers(step, takeQueriedAddresses(state.members, state.self.zone, now));
	}
}

/** What makes paths of this instance suspect: an instance that loses one path has probably lost the others too. */
type Suspicion = {
	readonly isAny: boolean;
	/** True if the targets of a pool cannot be reached. */
	readonly isUnreached: boolean;
	/** Time since which a pool is silent that is not known yet to be silent to all. */
	readonly silentSince: number;
};

function findSuspicion({state, now}: Step): Suspicion {
	let isUnreached = false;
	let isSilent = false;
	let silentSince = Number.NEGATIVE_INFINITY;
	for (const [poolName, path] of state.paths) {
		isUnreached ||= path.isUnreached(listReceivingIds(state.targets, poolName).length, now);
		const {silenceDecisionAt, silence: {since}} = path;
		isSilent ||= silenceDecisionAt !== undefined;
		if (silenceDecisionAt !== undefined && now < silenceDecisionAt) {
			silentSince = Math.max(silentSince, since!);
		}
	}

	return {isAny: isUnreached || isSilent, isUnreached, silentSince};
}

/** Checks or probes targets of a pool if its path is suspect or lost, or that of another pool suspect. */
function checkPath(step: Step, path: TargetPath, targetIds: readonly string[], {isUnreached, silentSince}: Suspicion): void {
	const {now} = step;
	if (path.lostSince !== undefined || path.silence.since !== undefined || path.servedAt < silentSince) {
		probeTargets(step, path.takeProbes(sortByAnswer(step, targetIds), now));
	}

	if (isUnreached) {
		checkTargets(step, path.takeChecks(targetIds, now));
	}
}

/** Age of the last contact with a pool above which a peer's question about it is answered by a probe, in milliseconds. */
const contactMaxAgeMs = 500;

/** Probes the pools that a peer cannot reach and asks about, unless this instance was in contact with them a moment ago; the peer's next call gets the result. */
export function checkPathsForPeer(step: Step, {unreachedPools = []}: PeerMessage): void {
	for (const poolName of unreachedPools) {
		const targetIds = listReceivingIds(step.state.targets, poolName);
		const path = targetIds.length > 0 ? findPath(step, poolName) : undefined;
		if (path !== undefined && step.now - path.servedAt > contactMaxAgeMs) {
			probeTargets(step, path.takeProbes(sortByAnswer(step, targetIds), step.now));
		}
	}
}

function checkTargets({state, effects}: Step, targetIds: readonly string[]): void {
	for (const targetId of targetIds) {
		const {address} = state.targets.byId.get(targetId)!.record;
		effects.push({kind: effectKind.checkTarget, targetId, address});
	}
}

/** Sorts targets by the time of their last response, the latest first: these answer a probe most likely. */
function sortByAnswer({state: {targets: {byId}}}: Step, targetIds: readonly string[]): string[] {
	return [...targetIds].sort((a, b) => byId.get(b)!.heardAt - byId.get(a)!.heardAt);
}

function probeTargets({state, effects}: Step, targetIds: readonly string[]): void {
	for (const targetId of targetIds) {
		const {address, pool} = state.targets.byId.get(targetId)!.record;
		effects.push({
			kind: effectKind.probeTarget, targetId, address, path: state.directory.poolByName.get(pool)?.probePath,
		});
	}
}
