/**
 * Membership state: which instances exist according to the platform's list and
 * to the summaries of peers. Membership is only a hint, except for the shares,
 * which have their own rules for using it (`owned-fraction.ts`).
 */
import type {InstanceList} from '../configuration/instance-list.js';
import type {Summary} from '../message.js';
import {createListHistory, type ListHistory} from './list-history.js';
import type {OwnedFractionCache} from './owned-fraction.js';
import type {ExchangePartner} from './peers.js';

/** A peer as described by its latest summary. */
export type PeerState = {
	summary: Summary;
	/** Time at which the latest summary was received. */
	receivedAt: number;
};

export type MembershipState = {
	list?: InstanceList;
	/** Hash of the list without its `asOf`, so that equal lists are not sent again. */
	listHash: number;
	/** Latest time at which the list is known to have been current, apart from its lag. */
	listCurrentAt?: number;
	history: ListHistory;
	ownedFraction: OwnedFractionCache;
	/** Time at which the first list was received. */
	firstListAt?: number;
	/** Peers with which an exchange has completed or failed since the start. */
	contactedPeers: Set<string>;
	/** Set once all peers have answered, failed or timed out and the highest known configuration version is in force. */
	mayServe: boolean;
	/** Whether the list shows so many instances that this one owns no share. */
	isOverCeiling: boolean;
	/** Cached peers to exchange with, and the inputs from which they were chosen. */
	exchangePartners?: {readonly listHash: number; readonly mayServe: boolean; readonly partners: readonly ExchangePartner[]};
	/** Time at which a list was last requested from a peer, to limit the rate of these requests. */
	listRequestedAt: number;
	peers: Map<string, PeerState>;
	/** Time of the latest exchange with each peer: its start or its failure. */
	lastExchangeAt: Map<string, number>;
	/** Whether this instance is draining: it accepts no new work and stops when its requests have ended. */
	isDraining: boolean;
	/** Whether the process keeps running after the drain, so that it can be undrained. */
	keepsRunningAfterDrain: boolean;
	/** Time at which draining began. */
	drainStartedAt?: number;
	/** Time until which a draining instance still accepts new work. */
	acceptsUntil?: number;
	/** Time of the latest event, used to detect pauses of the process; `undefined` before the first event. */
	lastEventAt?: number;
	/** End of the latest pause. */
	resumedAt?: number;
};

export function createMembershipState(): MembershipState {
	return {
		listHash: 0,
		history: createListHistory(),
		ownedFraction: {computedAt: Number.NaN, value: 0},
		contactedPeers: new Set(),
		mayServe: false,
		isOverCeiling: false,
		listRequestedAt: Number.NEGATIVE_INFINITY,
		peers: new Map(),
		lastExchangeAt: new Map(),
		isDraining: false,
		keepsRunningAfterDrain: false,
	};
}
