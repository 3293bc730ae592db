/**
 * Membership: who else is there, by the platform's list and by the peers
 * themselves. It is a hint for everything but the shares, which state their
 * own rules for it.
 */
import type {InstanceList} from '../configuration/instance-list.js';
import type {Summary} from '../message.js';
import {createListHistory, type ListHistory} from './list-history.js';
import type {OwnedFractionCache} from './owned-fraction.js';
import type {ExchangePartner} from './peers.js';

/** A peer as this instance last heard it. */
export type PeerState = {
	summary: Summary;
	/** Time of the last summary. */
	receivedAt: number;
};

export type MembershipState = {
	list?: InstanceList;
	/** Hash of the list without its `asOf`: equal lists need not be sent. */
	listHash: number;
	/** Latest time at which the list was certainly current, lag not counted. */
	listCurrentAt?: number;
	history: ListHistory;
	ownedFraction: OwnedFractionCache;
	/** Time of the first list. */
	firstListAt?: number;
	/** Peers that answered an exchange, or failed to, since the start. */
	contactedPeers: Set<string>;
	/** True: this instance has heard from its peers what version is in force, or waited long enough. */
	mayServe: boolean;
	/** True: the list shows so many instances that this one owns no share. */
	isOverCeiling: boolean;
	/** Peers to exchange with, and what they were chosen from. */
	exchangePartners?: {readonly listHash: number; readonly mayServe: boolean; readonly partners: readonly ExchangePartner[]};
	/** Time of the last request for a list, to ask for one at a time. */
	listRequestedAt: number;
	peers: Map<string, PeerState>;
	/** Time of the last exchange started with each peer. */
	lastExchangeAt: Map<string, number>;
	/** True: this instance takes no new work and ends when its requests have. */
	isDraining: boolean;
	/** True: the drained process does not end, so that it can be undrained. */
	keepsRunningAfterDrain: boolean;
	/** Time at which draining began. */
	drainStartedAt?: number;
	/** Time until which a draining instance still takes new work. */
	acceptsUntil?: number;
	/** Time of the last event, to notice that the process was paused; undefined: there was none yet. */
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
