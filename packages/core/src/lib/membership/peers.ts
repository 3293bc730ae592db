/**
 * Which peers this instance talks to. A few watchers in each availability zone
 * read the configuration service; the others hear from them.
 */
import {listedState, type ListedInstance} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import type {State, Step} from '../state.js';

/** Time without a summary after which a peer is not asked for anything, in milliseconds. */
const peerTimeoutMs = 4000;
/** Time between two exchanges with a watcher, in milliseconds. */
const watcherIntervalMs = 800;
/** Time between two exchanges with any other peer, in milliseconds. */
const peerIntervalMs = 3000;
/** Time between two exchanges until a starting instance may serve, in milliseconds. */
const startUpIntervalMs = 300;
/** Fewest watchers in an availability zone. */
const minWatcherCount = 2;
/** Instances for which one watcher reads; it bounds the exchanges of a watcher. */
const instancesPerWatcher = 12;
/** Peers other than watchers with which an instance exchanges at most. */
const maxOtherPartnerCount = 8;

/** A peer to exchange with, and how often. */
export type ExchangePartner = {readonly id: string; readonly address: string; readonly intervalMs: number};

/** Finds the address of a peer on the list. */
export function findPeerAddress({state}: Step, peerId: string): string | undefined {
	return state.membership.list?.instances.find(instance => instance.id === peerId)?.peerAddress;
}

/** Lists the peers on the list that were heard lately. */
export function listReachablePeers({state, now}: Step): string[] {
	const {membership, self} = state;
	const reachable: string[] = [];
	for (const {id} of membership.list?.instances ?? []) {
		const peer = membership.peers.get(id);
		if (id !== self.instanceId && peer !== undefined && now - peer.receivedAt < peerTimeoutMs) {
			reachable.push(id);
		}
	}

	return reachable;
}

/** True: this instance is one of those that watch the configuration service for its zone. */
export function isWatcher(state: State): boolean {
	const {self} = state;
	return listWatchers(state).some(({id}) => id === self.instanceId);
}

/** Lists the peers to exchange with: two watchers often, a bounded number of others seldom. */
export function listExchangePartners({state}: Step): readonly ExchangePartner[] {
	const {membership, self} = state;
	const {list} = membership;
	if (list === undefined) {
		return [];
	}

	const cached = membership.exchangePartners;
	if (cached?.listHash === membership.listHash && cached.mayServe === membership.mayServe) {
		return cached.partners;
	}

	const watchers = sortByRendezvousHash(self.instanceId, listWatchers(state)).slice(0, minWatcherCount);
	const others = sortByRendezvousHash(self.instanceId, list.instances)
		.filter(instance => !watchers.includes(instance))
		.slice(0, maxOtherPartnerCount);
	const createPartner = (intervalMs: number) => ({id, peerAddress}: ListedInstance): ExchangePartner =>
		({id, address: peerAddress, intervalMs: membership.mayServe ? intervalMs : startUpIntervalMs});
	const partners = [...watchers.map(createPartner(watcherIntervalMs)), ...others.map(createPartner(peerIntervalMs))]
		.filter(({id}) => id !== self.instanceId);
	membership.exchangePartners = {listHash: membership.listHash, mayServe: membership.mayServe, partners};
	return partners;
}

function listWatchers({membership, self}: State): ListedInstance[] {
	const zoneInstances = membership.list?.instances.filter(({zone, state}) => zone === self.zone && state === listedState.live) ?? [];
	const count = Math.max(minWatcherCount, Math.ceil(zoneInstances.length / instancesPerWatcher));
	return sortByRendezvousHash(self.zone, zoneInstances).slice(0, count);
}

/** Orders instances by rendezvous hashing, so that everybody finds the same ones for a key. */
function sortByRendezvousHash(key: string, instances: readonly ListedInstance[]): ListedInstance[] {
	return instances
		.map(instance => ({instance, score: hashText(`${key}/${instance.id}`)}))
		.sort((a, b) => b.score - a.score)
		.map(({instance}) => instance);
}
