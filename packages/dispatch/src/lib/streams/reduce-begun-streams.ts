/**
 * Shares which software version began a stream with the peers that a later take-up asks. Peers
 * are ranked for each stream by rendezvous hashing, so that the instance at which a stream is
 * taken up finds them without knowing where it began.
 *
 * They are told only while the versions in service may not tell later which one began the
 * stream: several of them serve the pool or did so a moment ago, or this instance does not know
 * which did.
 */
import {hashText} from '@sequoiatally/core';
import {computeStreamKey, type SharedStream} from './begun-streams.js';
import {hasResumableStreams} from '../directory/directory-facts.js';
import {effectKind} from '../effect.js';
import type {StreamPeerAnsweredEvent, StreamPeerCalledEvent} from '../event.js';
import {isMember} from '../members/members.js';
import {listFirstRanked} from '../targets/ranking.js';
import {computeNeededHistoryMs} from '../versions/reduce-history.js';
import {recordLog, type OpenRequest, type Step} from '../state.js';
import type {StreamMessage} from './stream-message.js';

/** Number of peers that are told of a stream, and that are asked for it: more, since lists of members differ. */
const toldPeerCount = 3;
const askedPeerCount = 6;
/** Largest number of streams of a pool that peers are told of at a time; the others follow. */
const streamsPerNotice = 100;
/** Hash seed that makes the ranking of peers for a stream independent of other rankings. */
const peerHashSeed = 5;

/** Remembers the version of a stream whose response has begun. */
export function recordBegunStream({state, now}: Step, {route, streamId, account, poolName, boundVersion}: OpenRequest): void {
	if (hasResumableStreams(route) && boundVersion !== undefined) {
		state.begunStreams.record(computeStreamKey(streamId, account), boundVersion, poolName, now);
	}
}

type OutgoingMessage = {readonly streams: SharedStream[]; readonly askedKeys: string[]};

/** Tells peers of streams that have begun, and asks them for those that callers take up. */
export function exchangeStreams(step: Step): void {
	const {state, now, effects} = step;
	const {begunStreams, pendingTakeUps} = state;
	begunStreams.expire(now - computeNeededHistoryMs(state));
	const unsharedPools = begunStreams.listUnsharedPools().filter(poolName => isVersionUnsure(step, poolName));
	const unasked = [...pendingTakeUps].map(({takeUp}) => takeUp!).filter(({awaitedPeers}) => awaitedPeers === undefined);
	const messages = new Map<string, OutgoingMessage>();
	const findMessages = (key: string, count: number) => listRankedAddresses(step, key, count).map(address => {
		const message = messages.get(address) ?? {streams: [], askedKeys: []};
		messages.set(address, message);
		return {address, message};
	});

	for (const stream of unsharedPools.flatMap(poolName => begunStreams.takeUnshared(poolName, streamsPerNotice))) {
		for (const {message} of findMessages(stream[0], toldPeerCount)) {
			message.streams.push(stream);
		}
	}

	for (const takeUp of unasked) {
		const asked = findMessages(takeUp.streamKey!, askedPeerCount);
		takeUp.awaitedPeers = new Set(asked.map(({address}) => address));
		takeUp.askedPeerCount = asked.length;
		for (const {message} of asked) {
			message.askedKeys.push(takeUp.streamKey!);
		}
	}

	for (const [address, message] of messages) {
		effects.push({kind: effectKind.callStreamPeer, address, message: {...createSender(step), ...message}});
	}
}

/** True if the versions in service may not tell later which of them began a stream now. */
function isVersionUnsure({state, now}: Step, poolName: string): boolean {
	const states = state.versionHistory.listCounts(poolName, now - computeNeededHistoryMs(state));
	const versions = new Set(states?.flatMap(counts => [...counts.keys()]));
	const directoryAgeMs = now - (state.directory.confirmedAt ?? Number.NEGATIVE_INFINITY);
	return states === undefined || versions.size > 1 || directoryAgeMs > state.timing.extraWatchersAgeMs;
}

function listRankedAddresses({state}: Step, key: string, count: number): string[] {
	return listFirstRanked([...state.members.byId.values()], hashText(key, peerHashSeed), count).map(({address}) => address);
}

function createSender({state: {self: {id, incarnation}}}: Step): Pick<StreamMessage, 'from'> {
	return {from: {id, incarnation}};
}

/** Remembers what a member tells, and responds with the versions that the sender asks for. */
export function applyStreamPeerCalled(step: Step, {callId, message}: StreamPeerCalledEvent): void {
	applyStreamMessage(step, message);
	const streams = step.state.begunStreams.describe(message.askedKeys);
	step.effects.push({kind: effectKind.answerStreamPeer, callId, message: {...createSender(step), streams, askedKeys: []}});
}

/** Remembers what a peer that was asked knows; a failed call is like an answer without streams. */
export function applyStreamPeerAnswered(step: Step, {address, askedKeys, message, fault}: StreamPeerAnsweredEvent): void {
	if (message === undefined) {
		recordLog(step, 'stream-peer-failed', {address, detail: fault});
	} else {
		applyStreamMessage(step, message);
	}

	const keys = new Set<string | undefined>(askedKeys);
	for (const {takeUp} of step.state.pendingTakeUps) {
		if (keys.has(takeUp!.streamKey)) {
			takeUp!.awaitedPeers?.delete(address);
		}
	}
}

function applyStreamMessage({state, now}: Step, {from, streams}: StreamMessage): void {
	if (isMember(state.members, from)) {
		state.begunStreams.applyShared(streams, now);
	}
}
