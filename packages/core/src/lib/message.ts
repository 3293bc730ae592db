/**
 * Messages between routers, as used by the reducer. The router package maps
 * them to and from the generated wire types.
 */

/** Newest protocol version that this program supports; peers ignore unknown fields. */
export const protocolVersion = 1;

/** State of a target as known to one router. */
export type TargetLoad = {
	readonly targetId: string;
	/** Requests that the sender has in flight at the target. */
	readonly inFlight: number;
	readonly bootId: string;
	readonly uptimeMs: number;
	readonly evidenceAgeMs: number;
};

/** Share of a limit that the sender does not currently need and may lend. */
export type SpareShare = {
	readonly limitId: string;
	readonly tokens: number;
	/** Tokens per second. */
	readonly rate: number;
};

/**
 * State that a router reports to a peer in each exchange. Ages are in
 * milliseconds; an age is `undefined` if the document was never read.
 */
export type Summary = {
	readonly protocolVersion: number;
	readonly instanceId: string;
	readonly incarnation: string;
	readonly tablesVersion: number;
	readonly listAsOf: number;
	readonly tablesAgeMs?: number;
	readonly listAgeMs?: number;
	readonly draining: boolean;
	readonly targets: readonly TargetLoad[];
	readonly spare: readonly SpareShare[];
	/** Hash of the list without its `asOf`. */
	readonly listHash?: number;
	/** Whether `absent` names every vanished instance that may still own share, up to `listAsOf`. */
	readonly isHistoryComplete?: boolean;
	readonly absent?: readonly AbsentInstance[];
};

/** An instance that vanished from the list without having been listed as leaving. */
export type AbsentInstance = {
	readonly id: string;
	/** Platform time at which the instance started, in milliseconds. */
	readonly since: number;
	/** Time for which the instance has been absent from the sender's lists, in milliseconds. */
	readonly absentMs: number;
};

/** Part of a limit that a lender transfers to a borrower for a term. */
export type LoanAmount = {
	readonly limitId: string;
	/** Tokens per second. */
	readonly rate: number;
	/** Capacity: largest content of the token bucket in tokens, or slots of a target. */
	readonly room: number;
	/** Tokens transferred immediately; never more than `room`. */
	readonly tokens: number;
};

/** A request to borrow parts of several limits. */
export type BorrowRequest = {
	readonly loanId: string;
	readonly instanceId: string;
	readonly incarnation: string;
	readonly termMs: number;
	readonly amounts: readonly LoanAmount[];
};
