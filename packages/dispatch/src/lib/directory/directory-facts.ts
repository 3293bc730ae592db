/**
 * The facts that the platform publishes: configuration tables, closed zones and targets.
 */

export const routeKind = {
	/** A request may run more than once. */
	repeatable: 'repeatable',
	/** A request may run at most once. */
	once: 'once',
	/** The response is a stream of events. */
	stream: 'stream',
} as const;
export type RouteKind = typeof routeKind[keyof typeof routeKind];

/** One of the pools that serve a route, with its relative share of the requests. */
export type Split = {readonly pool: string; readonly weight: number};

export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly kind: RouteKind;
	/** True if an interrupted stream may resume at another target. */
	readonly canResume: boolean;
	/** Longest time that a request may take, in milliseconds. */
	readonly timeLimitMs: number;
	/** Time within which a response, or the first event of a stream, has to arrive to be on time, in milliseconds. */
	readonly latencyTargetMs: number;
	/** Time within which the next event of a stream has to arrive to be on time, in milliseconds; 0 if the configuration tables set none, as for other kinds. */
	readonly eventGapMs: number;
	readonly splits: readonly Split[];
	/** Largest number of targets on which one request may run. */
	readonly targetLimit: number;
	/** True if requests need no key. */
	readonly isPublic: boolean;
	/** True if requests list the parts of their prompts. */
	readonly hasPrompts: boolean;
	/** Urgency of the route's requests, a whole number; 0 is the most urgent. Absent if the tables state none. */
	readonly rank?: number;
};

/** True if callers may take up the route's streams after they were cut. */
export function hasResumableStreams({kind, canResume}: Route): boolean {
	return kind === routeKind.stream && canResume;
}

export type Pool = {
	readonly name: string;
	/** Requests per second that a cold target can serve; 0 if the pool's targets are never cold. */
	readonly coldRatePerS: number;
	/** Path of a request that shows whether a target answers; `undefined` if the configuration tables name none. */
	readonly probePath?: string;
};

export type Account = {
	readonly name: string;
	/** SHA-256 of each key, in hexadecimal. */
	readonly keyDigests: readonly string[];
	/** Urgency of the account's requests, in place of that of their routes; absent if the tables state none. */
	readonly rank?: number;
};

/** Limits on the size of requests and on idle caller connections. */
export type CallerLimits = {
	readonly headBytes: number;
	readonly bodyBytes: number;
	/** Time after which an idle caller connection may be closed, in milliseconds. */
	readonly idleTimeoutMs: number;
};

/** The operators' configuration tables; a new version replaces the previous version completely. */
export type Tables = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly pools: readonly Pool[];
	/** The client accounts; `undefined` if no request needs a key. */
	readonly accounts?: readonly Account[];
	readonly limits: CallerLimits;
};

/** The registration of a target. */
export type TargetRecord = {
	readonly id: string;
	readonly pool: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Time for which the target stays cold, counted from the arrival of the record, in milliseconds. */
	readonly coldMs: number;
	/** Unix time of the target's start in milliseconds; distinguishes restarts under the same id. */
	readonly bornAt: number;
	/** Version of the target's software, empty if the registration names none; streams of different versions do not fit together. */
	readonly softwareVersion: string;
};

/** What identifies a process of a target, and whether it was leaving. */
export type TargetProcess = Pick<TargetRecord, 'bornAt' | 'isLeaving'>;

export const factKind = {tables: 'tables', zoneClosed: 'zone-closed', target: 'target'} as const;
export type Fact =
	| {readonly kind: typeof factKind.tables; readonly tables: Tables}
	| {readonly kind: typeof factKind.zoneClosed; readonly zone: string}
	| {readonly kind: typeof factKind.target; readonly target: TargetRecord};

/** The latest state of one subject; a change without a fact removes the subject. */
export type FactChange = {
	/** Key of the subject in the directory, for example `target/` with the id of a target. */
	readonly subject: string;
	readonly revision: number;
	readonly fact?: Fact;
	/**
	 * Revision of the last change of the fact's content, as far as the sender knows; absent if it is `revision`.
	 * Only the platform's own changes show that a fact was removed and written again in between.
	 */
	readonly changeRevision?: number;
	/** The process whose registration was removed, as far as it is known, if the subject is a target without a registration. */
	readonly removedProcess?: TargetProcess;
};
