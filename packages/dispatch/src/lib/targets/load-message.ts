/**
 * Messages between instances about the load of one target. The instance that ranks first for a
 * target tracks its load (`reduce-load-queries.ts`).
 */
import type {MemberEntry} from '../members/peer-message.js';

export type LoadMessage = {
	readonly from: Pick<MemberEntry, 'id' | 'incarnation'>;
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds. */
	readonly bornAt: number;
	/** Number of requests at the target: in calls, what it reported to the sender just now; in responses, what the sender estimates. */
	readonly load?: number;
	/** Largest load, with the new request, at which the sender of a call sends a request there; absent if it only reports. */
	readonly loadLimit?: number;
};
