/**
 * Membership: who else is there, by the platform's list and by the peers
 * themselves. It is a hint for everything but the shares, which state their
 * own rules for it.
 */
import type {InstanceList} from '../configuration/instance-list.js';
import type {Summary} from '../message.js';

/** A peer as this instance last heard it. */
export type PeerState = {
	summary: Summary;
	/** Time of the last summary. */
	heardAt: number;
};

export type MembershipState = {
	list?: InstanceList;
	/** Latest time at which the list was certainly current, lag not counted. */
	listCurrentAt?: number;
	peers: Map<string, PeerState>;
	/** Time of the last exchange started with each peer. */
	exchangedAt: Map<string, number>;
	/** True: this instance takes no new work and ends when its requests have. */
	isDraining: boolean;
	/** True: the drained process does not end, so that it can be undrained. */
	staysAfterDrain: boolean;
	/** Time at which draining began. */
	drainStartedAt?: number;
	/** Time of the last event, to notice that the process was paused. */
	lastEventAt: number;
};

export function createMembershipState(): MembershipState {
	return {
		peers: new Map(), exchangedAt: new Map(), isDraining: false, staysAfterDrain: false, lastEventAt: 0,
	};
}
