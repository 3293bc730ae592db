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
	/** The engine's own boot identifier, as last received by the sender. */
	readonly bootId: string;
	/** Time since that boot, in milliseconds. */
	readonly uptimeMs: number;
	/** Age of the sender's evidence of that boot, in milliseconds. */
	readonly evidenceAgeMs: number;
};

/** Share of a limit that the sender does not currently need and may lend. Routers send none at present. */
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
	/** Whether `absent` names every absent instance that may still own share, up to `listAsOf`. */
	readonly isHistoryComplete?: boolean;
	readonly absent?: readonly AbsentInstance[];
};

/** An instance that is no longer listed and was never listed as leaving. */
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

/** A request for a loan or its extension. Borrowers send one amount; lenders consider only the first. */
export type BorrowRequest = {
	readonly loanId: string;
	readonly instanceId: string;
	readonly incarnation: string;
	readonly termMs: number;
	readonly amounts: readonly LoanAmount[];
};
