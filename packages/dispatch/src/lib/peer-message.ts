/**
 * What instances tell each other: who is there, and what the platform
 * published. Ages count from the moment the message was made.
 */
import type {DirectoryUpdate} from './directory.js';

export type MemberEntry = {
	/** Name of the instance. */
	readonly id: string;
	/** Different after each start. */
	readonly incarnation: string;
	/** Address for peers, IP and port. */
	readonly address: string;
	readonly zone: string;
	/** Time since it was heard of last, in milliseconds. */
	readonly ageMs: number;
};

/** What a target told of its load. */
export type SharedTargetLoad = {
	readonly targetId: string;
	/** Requests that it ran or kept waiting. */
	readonly load: number;
	readonly ageMs: number;
};

/** A target that has read the shared parts of a prompt. */
export type SharedCacheEntry = {
	/** The shared parts, the first part first. */
	readonly partIds: readonly string[];
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds: what it read before a restart is lost. */
	readonly bornAt: number;
	readonly ageMs: number;
};

export type PeerMessage = {
	readonly from: MemberEntry;
	/** Some of the members that the sender knows. */
	readonly members: readonly MemberEntry[];
	/** The sender knows the directory up to here. */
	readonly revision: number;
	/** Time since the sender's directory was certainly current, in milliseconds; undefined: never. */
	readonly directoryAgeMs?: number;
	/** Loads that targets told lately. */
	readonly loads: readonly SharedTargetLoad[];
	/** Targets that were lately found to have read a prompt. */
	readonly readings: readonly SharedCacheEntry[];
	/** True: the sender does not read the platform now, and wants what it lacks. */
	readonly wantsUpdate: boolean;
	/** True: the sender reads the platform, or tries to. */
	readonly isWatching?: boolean;
	/** Time for which the sender has read the platform without a break, in milliseconds; undefined: it does not read it now. */
	readonly readingMs?: number;
	/** Time for which registrations that lapsed may still come back, in milliseconds. */
	readonly lapseGraceMs?: number;
	/** What the receiver is thought not to know yet. */
	readonly update?: DirectoryUpdate;
	/** True: the sender is about to end. */
	readonly isLeaving?: boolean;
};
