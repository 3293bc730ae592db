/**
 * Messages between instances: known members, target loads and statements, prompt cache entries,
 * failures of targets, pools that can be reached, what may crash targets, and directory updates. Ages are relative to the creation of the message.
 */
import type {DirectoryUpdate} from '../directory/directory.js';
import type {Tables} from '../directory/directory-facts.js';
import type {FailureKind} from '../targets/failure-kind.js';

export type MemberEntry = {
	/** Name of the instance. */
	readonly id: string;
	/** Identifier that changes with each start of the instance. */
	readonly incarnation: string;
	/** Address for peers, IP and port. */
	readonly address: string;
	readonly zone: string;
	/** Time since the member was last seen, in milliseconds. */
	readonly ageMs: number;
};

/** Load that a target reported. */
export type SharedTargetLoad = {
	readonly targetId: string;
	/** Number of requests that the target ran or queued. */
	readonly load: number;
	readonly ageMs: number;
};

/** Limits that a target named in a response, or that it named none any more. */
export type SharedTargetLimit = {
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds. */
	readonly bornAt: number;
	/** Requests a second from all instances together; `undefined` if the limit has ended. */
	readonly requestsPerS?: number;
	/** Rejections a second that the target survives; `undefined` if it states none. */
	readonly rejectionsPerS?: number;
	/** Time since that response, in milliseconds. */
	readonly ageMs: number;
};

/** A process of a target that stated in a response that it leaves. */
export type SharedLeavingTarget = {
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds. */
	readonly bornAt: number;
	/** Time since the first such response, in milliseconds. */
	readonly ageMs: number;
};

/** A target that holds the shared parts of a prompt in its cache. */
export type SharedCacheEntry = {
	/** Identifiers of the shared parts, in prompt order. */
	readonly partIds: readonly string[];
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds; a restart empties the cache. */
	readonly bornAt: number;
	readonly ageMs: number;
};

/** A failed send to a target. */
export type SharedFailure = {
	/** Identifier of the send, unique in the fleet. */
	readonly id: string;
	readonly kind: FailureKind;
	/** Identifier of the process that sent it. */
	readonly instance: string;
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds. */
	readonly bornAt: number;
	readonly ageMs: number;
};

/** A prompt part or a request that was present at crashes of targets. */
export type SharedSuspect = {
	/** Identifier of the prompt part, or that of the request with a prefix. */
	readonly partId: string;
	/** The processes that crashed; `bornAt` is the Unix time of their start in milliseconds. */
	readonly crashes: ReadonlyArray<{
		readonly targetId: string;
		readonly bornAt: number;
		readonly ageMs: number;
		/** Time since the lost request was sent to the target, in milliseconds; only for suspects that are requests. */
		readonly sentAgeMs?: number;
	}>;
	/** Time since a response to a request with the part last began; `undefined` if none is known. */
	readonly begunAgeMs?: number;
};

/** Requests with a prompt prefix that many callers share. */
export type SharedDemand = {
	/** Identifier of the last part of the prefix. */
	readonly prefix: string;
	/** Estimated number of such requests that the whole fleet has in progress. */
	readonly requests: number;
	/** Number of instances whose requests the estimate follows from; absent from builds that estimate from their own requests alone. */
	readonly instances?: number;
};

/** Requests with a prompt prefix that the sender itself received from callers lately. */
export type SharedArrivals = {
	/** Identifier of the last part of the prefix. */
	readonly prefix: string;
	/** Number of requests in the last two seconds. */
	readonly count: number;
	/** Usual time from the arrival of such a request to the end of its response, in milliseconds. */
	readonly durationMs: number;
};

/** Requests of client accounts to a contended pool: those of the sender, or the sum over several instances. */
export type SharedAccountLoads = {
	readonly pool: string;
	/** Number of instances whose requests these are; 1 if they are the sender's. */
	readonly instances: number;
	/** Requests that targets of the pool completed, in each second. */
	readonly completionsPerS: number;
	/** Requests of all accounts. */
	readonly requestsPerS: number;
	/** The accounts with the most requests. */
	readonly accounts: ReadonlyArray<{readonly name: string; readonly requestsPerS: number}>;
};

/** A pool that the sender reaches. */
export type SharedService = {
	readonly pool: string;
	/** Time since a target of the pool last responded to the sender or accepted a connection, in milliseconds. */
	readonly ageMs: number;
};

/** The software versions that served a pool. */
export type SharedPoolVersions = {
	readonly pool: string;
	/** Time back to which all states are known, in milliseconds. */
	readonly knownMs: number;
	readonly states: ReadonlyArray<{
		/** Numbers of targets by version. */
		readonly counts: ReadonlyArray<readonly [string, number]>;
		/** Time since the state last held, in milliseconds; absent if it holds now. */
		readonly endedMs?: number;
	}>;
};

export type PeerMessage = {
	readonly from: MemberEntry;
	/** Some of the members that the sender knows. */
	readonly members: readonly MemberEntry[];
	/** Epoch of the platform's history that `revision` belongs to; absent from builds that know no epochs, which counts as 0. */
	readonly epoch?: number;
	/** Revision up to which the sender knows the directory. */
	readonly revision: number;
	/** Version of the sender's configuration tables; absent if it has none. */
	readonly tablesVersion?: number;
	/** Number of routes and client accounts with a rank in these tables; absent from builds that know no ranks. */
	readonly tablesRanks?: number;
	/**
	 * Configuration tables that are newer than the receiver's and that it cannot read from the platform, which has lost them;
	 * or those of the receiver's version, with ranks that it lacks.
	 */
	readonly tables?: Tables;
	/** Time since the sender's directory was last known to be current, in milliseconds; `undefined` if it never was. */
	readonly directoryAgeMs?: number;
	/** Loads that targets reported recently. */
	readonly loads: readonly SharedTargetLoad[];
	/** Limits that targets named recently; absent if there are none. */
	readonly limits?: readonly SharedTargetLimit[];
	/** Targets that stated recently that they leave; absent if there are none. */
	readonly leaving?: readonly SharedLeavingTarget[];
	/** Recent prompt cache entries. */
	readonly readings: readonly SharedCacheEntry[];
	/** Recent failed sends to targets. */
	readonly failures?: readonly SharedFailure[];
	/** Prompt prefixes with the largest demands that the sender estimates; absent if there are none. */
	readonly demands?: readonly SharedDemand[];
	/** Requests of client accounts to pools that are contended at the sender; absent if there are none. */
	readonly accountLoads?: readonly SharedAccountLoads[];
	/** Prompt prefixes that the sender received itself; absent from builds that do not tell, and shortly after the sender's start. */
	readonly arrivals?: readonly SharedArrivals[];
	/** Prompt parts that may crash targets; absent if there are none. */
	readonly suspects?: readonly SharedSuspect[];
	/** Pools that the sender reached recently, without those to which it has no path now; absent from builds that do not relay. */
	readonly services?: readonly SharedService[];
	/** Pools that the sender cannot reach and asks the receiver about; absent if there are none. */
	readonly unreachedPools?: readonly string[];
	/** Time back to which the sender knows the software versions of all pools, in milliseconds, if it asks the receiver for more. */
	readonly versionsKnownMs?: number;
	/** Software versions that served pools, for a sender that asked for them; absent if there is nothing that it lacks. */
	readonly versions?: readonly SharedPoolVersions[];
	/** True if the sender cannot rely on its own reads of the platform and requests missing changes. */
	readonly wantsUpdate: boolean;
	/** True if the sender reads the platform or tries to. */
	readonly isWatching?: boolean;
	/** Time for which the sender has read the platform without interruption, in milliseconds; `undefined` if it does not read it now. */
	readonly readingMs?: number;
	/** Time for which lapsed registrations may still be renewed, in milliseconds. */
	readonly lapseGraceMs?: number;
	/** Changes that the receiver does not know, as far as the sender can tell. */
	readonly update?: DirectoryUpdate;
	/** True if the sender is about to end. */
	readonly isLeaving?: boolean;
};
