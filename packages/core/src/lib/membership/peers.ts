/**
 * Selects the peers with which this instance exchanges summaries. A few
 * watchers in each availability zone read the configuration service; the
 * followers receive its documents from them.
 */
import {listedState, type ListedInstance} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import type {State, Step} from '../state.js';

/** Time without a summary after which a peer is considered unreachable. */
const peerTimeoutMs = 4000;
/** Interval between exchanges with a watcher. */
const watcherIntervalMs = 800;
/** Interval between exchanges with any other peer. */
const peerIntervalMs = 3000;
/** Interval between exchanges until a starting instance may serve. */
const startUpIntervalMs = 300;
/** Fewest watchers of an availability zone, and most watchers with which an instance exchanges. */
const minWatcherCount = 2;
/** Instances per watcher; bounds the number of exchanges that a watcher handles. */
const instancesPerWatcher = 12;
/** Most peers, apart from the chosen watchers, with which an instance exchanges. */
const maxOtherPartnerCount = 8;

/** A peer to exchange with, its address and the interval between exchanges. */
export type ExchangePartner = {readonly id: string; readonly address: string; readonly intervalMs: number};

/** Finds the address of a listed peer; `undefined` if the peer is not listed. */
export function findPeerAddress({state}: Step, peerId: string): string | undefined {
	return state.membership.list?.instances.find(instance => instance.id === peerId)?.peerAddress;
}

/** Lists the identifiers of listed peers whose latest summary is younger than `peerTimeoutMs`. */
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

/** Whether this instance is one of the watchers of its availability zone. */
export function isWatcher(state: State): boolean {
	const {self} = state;
	return listWatchers(state).some(({id}) => id === self.instanceId);
}

/** Lists the peers to exchange with: two watchers at short intervals, and a bounded number of other peers at longer ones. */
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

/** Sorts instances by rendezvous hashing, so that all instances with the same list select the same ones for a key. */
function sortByRendezvousHash(key: string, instances: readonly ListedInstance[]): ListedInstance[] {
	return instances
		.map(instance => ({instance, score: hashText(`${key}/${instance.id}`)}))
		.sort((a, b) => b.score - a.score)
		.map(({instance}) => instance);
}
