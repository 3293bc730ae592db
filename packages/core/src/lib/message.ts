/**
 * Messages between routers, as the reducer sees them. The router package maps
 * them to and from the generated wire types.
 */

/** Newest protocol that this program speaks; a peer ignores fields it does not know. */
export const protocolVersion = 1;

/** A target as one router sees it. */
export type TargetLoad = {
	readonly targetId: string;
	/** Requests that the sender has in flight there. */
	readonly inFlight: number;
	readonly bootId: string;
	readonly uptimeMs: number;
	readonly evidenceAgeMs: number;
};

/** Share that the sender does not need now and may lend. */
export type SpareShare = {
	readonly limitId: string;
	readonly tokens: number;
	/** Tokens per second. */
	readonly rate: number;
};

/** What one router tells another in each exchange. Ages are milliseconds; undefined: never. */
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
	/** True: `absent` names every vanished instance that may still own share, up to `listAsOf`. */
	readonly isHistoryComplete?: boolean;
	readonly absent?: readonly AbsentInstance[];
};

/** An instance that vanished from the list without having been shown as leaving. */
export type AbsentInstance = {
	readonly id: string;
	/** Platform time of its start, in milliseconds. */
	readonly since: number;
	/** Time for which the sender's lists have been without it, in milliseconds. */
	readonly absentMs: number;
};

/** Part of one limit that moves from a lender to a borrower for a term. */
export type LoanAmount = {
	readonly limitId: string;
	/** Tokens per second. */
	readonly rate: number;
	/** Bucket room in tokens, or slots of a target. */
	readonly room: number;
	/** Tokens that move at once; never more than the room. */
	readonly tokens: number;
};

/** A request for loans of several limits. */
export type BorrowRequest = {
	readonly loanId: string;
	readonly instanceId: string;
	readonly incarnation: string;
	readonly termMs: number;
	readonly amounts: readonly LoanAmount[];
};
