/**
 * Applies what sends and checks show about the paths of this instance to the targets, and
 * decides when requests are relayed by a peer.
 */
import {effectKind, logLevel} from './effect.js';
import {takeQueriedAddresses} from './members.js';
import {callPeers, hasPausedSince} from './reduce-fleet.js';
import type {PeerMessage} from './peer-message.js';
import {recordLog, type OpenRequest, type Step} from './state.js';
import {pathState, TargetPath, type PathState} from './target-paths.js';
import {listReceivingIds, type Target} from './target-state.js';

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
	findPath(step, target.record.pool).servedAt = step.now;
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

/** Checks paths that are suspect or lost, asks peers whether they are served, and logs what was lost or regained. */
export function updatePaths(step: Step): void {
	const {state, now} = step;
	state.relayPeers.expire(now);
	let interval: number | undefined;
	const suspectIntervalMs = Math.min(maxQueryIntervalMs, suspectQueryIntervalMs * (2 ** state.relayQueryCount));
	const isAnySuspect = [...state.paths.keys()].some(poolName => findPathState(step, poolName) === pathState.suspect);
	for (const [poolName, path] of state.paths) {
		const targetIds = listReceivingIds(step.state.targets, poolName);
		const peerServedAt = state.relayPeers.findServedAt(poolName);
		const change = path.update(targetIds.length, peerServedAt, now);
		if (change !== undefined) {
			recordLog(step, change === pathState.lost ? 'path-lost' : 'path-regained', {
				pool: poolName, targets: targetIds.length, servedMsAgo: Math.round(now - path.servedAt), peerServedMsAgo: Math.round(now - peerServedAt),
			}, logLevel.warn);
		}

		const current = path.findState(targetIds.length, now);
		// An instance that loses one path has probably lost the others too.
		if (current !== pathState.open || isAnySuspect) {
			checkTargets(step, path.takeChecks(targetIds, now));
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

/** Age of the last contact with a pool above which a peer's question about it is answered by a check, in milliseconds. */
const contactMaxAgeMs = 500;

/** Checks the pools that a peer cannot reach and asks about, unless this instance was in contact with them a moment ago; the peer's next call gets the result. */
export function checkPathsForPeer(step: Step, {unreachedPools = []}: PeerMessage): void {
	for (const poolName of unreachedPools) {
		const targetIds = listReceivingIds(step.state.targets, poolName);
		const path = targetIds.length > 0 ? findPath(step, poolName) : undefined;
		if (path !== undefined && step.now - path.contactAt > contactMaxAgeMs) {
			checkTargets(step, path.takeChecks(targetIds, step.now));
		}
	}
}

function checkTargets({state, effects}: Step, targetIds: readonly string[]): void {
	for (const targetId of targetIds) {
		const {address} = state.targets.byId.get(targetId)!.record;
		effects.push({kind: effectKind.checkTarget, targetId, address});
	}
}
