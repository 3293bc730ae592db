/**
 * Which peers can be called: those on the list that were heard lately.
 */
import type {Step} from '../state.js';

/** Time without a summary after which a peer is not asked for anything, in milliseconds. */
const heardWithinMs = 4000;

/** Finds the address of a peer on the list. */
export function findPeerAddress({state}: Step, peerId: string): string | undefined {
	return state.membership.list?.instances.find(instance => instance.id === peerId)?.peerAddress;
}

/** Lists the peers on the list that were heard lately and are not known to have failed since. */
export function listHeardPeers({state, now}: Step): string[] {
	const {membership, self} = state;
	const heard: string[] = [];
	for (const {id} of membership.list?.instances ?? []) {
		const peer = membership.peers.get(id);
		if (id !== self.instanceId && peer !== undefined && now - peer.heardAt < heardWithinMs) {
			heard.push(id);
		}
	}

	return heard;
}
