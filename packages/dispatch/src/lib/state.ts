/**
 * The state of one gateway. The reducer owns it and changes it in place. Each
 * part is typed by its own module; they meet only here.
 */
import {computeRankHash, type ColdBounds, type FleetView} from './cold-target-limits.js';
import {createDirectory, type DirectoryState, type Route} from './directory.js';
import {effectKind, logLevel, type Effect} from './effect.js';
import {
	computeFleetView, createMemberState, type MemberState, type SelfInfo,
} from './members.js';
import type {PromptPart} from './event.js';
import {CacheHolders} from './cache-holders.js';
import {RetryBudget, type RetryBounds} from './retry-budget.js';
import {createTargetState, type TargetState} from './target-state.js';

/** Bounds that hold over the whole fleet, from the settings. */
export type FleetBounds = {
	readonly retry: RetryBounds;
	readonly cold: ColdBounds;
	/** Longest time between the order to end and the end, in milliseconds. */
	readonly drainLimitMs: number;
};

/** The send of a request that is under way. */
export type CurrentSend = {readonly sendId: number; readonly targetId: string; readonly sentAt: number};

/** A request that has no whole answer yet. */
export type OpenRequest = {
	readonly openId: number;
	readonly requestId: string;
	readonly host: string;
	readonly path: string;
	readonly keyDigest?: string;
	readonly promptParts: readonly PromptPart[];
	readonly arrivedAt: number;
	deadlineAt: number;
	route: Route;
	account?: string;
	poolName: string;
	/** Version of the tables by which route and account were found. */
	tablesVersion: number;
	currentSend?: CurrentSend;
	/** Sends so far. */
	sendCount: number;
	/** Sends that may have run. */
	possibleRunCount: number;
	readonly triedTargetIds: Set<string>;
	/** Part of the answer was delivered. */
	hasAnswerStarted: boolean;
	/** A target's failure is held for the caller. */
	hasHeldFailure: boolean;
	lastEventId?: string;
	/** Set while no target may get it: time at which waiting ends. */
	queuedUntil?: number;
};

export type State = {
	readonly self: SelfInfo;
	/** Place of this instance in rankings. */
	readonly selfHash: number;
	readonly bounds: FleetBounds;
	/** Draws from [0, 1). */
	readonly random: () => number;
	directory: DirectoryState;
	/** Set while the platform does not answer. */
	directoryLostAt?: number;
	/** Since when this instance has read the platform without a break. */
	platformReadableSince?: number;
	/** Until then a registration that is missing may only have lapsed. */
	lapseGraceUntil: number;
	/** Start of the silence for which that is assumed. */
	lapseSilenceStartedAt: number;
	members: MemberState;
	/** True: this instance reads the platform itself. */
	isWatching: boolean;
	/** Until then it does, for lack of news from others. */
	fallbackWatchUntil: number;
	/** Watchers that said that they cannot read the platform, and when; empty as soon as one says that it can. */
	failingWatchers: Map<string, number>;
	nextPeerCallAt: number;
	targets: TargetState;
	readonly cacheHolders: CacheHolders;
	openRequests: Map<number, OpenRequest>;
	/** Requests for which no target was found yet, in the order of their arrival. */
	queuedRequests: Set<OpenRequest>;
	retryBudgets: Map<string, RetryBudget>;
	nextSendId: number;
	drainStartedAt?: number;
	lastTickAt: number;
};

/** One step of the reducer. */
export type Step = {readonly state: State; readonly now: number; readonly effects: Effect[]};

export function createState(self: SelfInfo, bounds: FleetBounds, seedAddresses: readonly string[], random: () => number): State {
	return {
		self,
		selfHash: computeRankHash(self.id),
		bounds,
		random,
		directory: createDirectory(),
		lapseGraceUntil: 0,
		lapseSilenceStartedAt: 0,
		members: createMemberState(seedAddresses),
		isWatching: true,
		fallbackWatchUntil: 0,
		failingWatchers: new Map(),
		nextPeerCallAt: 0,
		targets: createTargetState(),
		cacheHolders: new CacheHolders(),
		openRequests: new Map(),
		queuedRequests: new Set(),
		retryBudgets: new Map(),
		nextSendId: 1,
		lastTickAt: 0,
	};
}

/** Finds the retry budget of a pool. */
export function findRetryBudget({state}: Step, poolName: string): RetryBudget {
	let budget = state.retryBudgets.get(poolName);
	if (budget === undefined) {
		budget = new RetryBudget(state.bounds.retry);
		state.retryBudgets.set(poolName, budget);
	}

	return budget;
}

type LogFields = Readonly<Record<string, unknown>>;
type LogLevel = typeof logLevel[keyof typeof logLevel];

export function findFleetView({state, now}: Step): FleetView {
	return computeFleetView(state.members, state.selfHash, now);
}

export function recordLog(step: Step, event: string, fields: LogFields, level: LogLevel = logLevel.info): void {
	step.effects.push({
		kind: effectKind.log, level, event, fields,
	});
}

/** True when callers should be sent here: there are tables to serve by, and the process stays. */
export function isReady({directory, drainStartedAt}: State): boolean {
	return directory.tables !== undefined && drainStartedAt === undefined;
}
