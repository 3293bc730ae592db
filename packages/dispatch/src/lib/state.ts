/**
 * The state of one gateway. The reducer owns the state and changes it in place.
 * Each part is typed by its own module; only this module combines them.
 */
import {computeRankHash, type ColdBounds, type FleetView} from './targets/target-limits.js';
import {createDirectory, type DirectoryState} from './directory/directory.js';
import {type Route} from './directory/directory-facts.js';
import {effectKind, logLevel, type Effect} from './effect.js';
import {
	computeFleetView, createMemberState, type MemberState, type SelfInfo,
} from './members/members.js';
import type {PromptPart, ResponseForm} from './event.js';
import {BegunStreams} from './streams/begun-streams.js';
import {AccountShare} from './requests/account-share.js';
import {CacheHolders} from './targets/cache-holders.js';
import {FailureReports} from './targets/failure-reports.js';
import {CrashQuarantine, type LostRequest} from './quarantine/crash-quarantine.js';
import {PromptDemand} from './targets/prompt-demand.js';
import {RelayPeers} from './paths/relay-peers.js';
import {RouteDurations} from './requests/route-durations.js';
import {RetryBudget, type RetryBounds} from './requests/retry-budget.js';
import type {SendDurations} from './requests/waiting-order.js';
import {computeSyncTiming, type SyncTiming} from './members/sync-timing.js';
import type {TargetPath} from './paths/target-paths.js';
import {createTargetState, type Target, type TargetState} from './targets/target-state.js';
import {VersionHistory, type VersionCounts} from './versions/version-history.js';

/** Bounds that apply to the whole fleet, from the settings. */
export type FleetBounds = {
	readonly retry: RetryBounds;
	readonly cold: ColdBounds;
	/** Time within which changes of the platform have to be in force, in milliseconds. */
	readonly changeLimitMs: number;
	/** Time after which the platform removes the registration of a target that has ended, in milliseconds. */
	readonly registrationExpiryMs: number;
	/** Longest time from the start of the drain until the requests that are still open are ended, in milliseconds. */
	readonly drainLimitMs: number;
	/** True if client accounts have fair shares of contended pools. */
	readonly hasFairShares?: boolean;
};

/** A send in progress. */
export type CurrentSend = {
	readonly sendId: number;
	/** The process that the request was sent to; a later process may be registered under the same id. */
	readonly target: Target;
	readonly sentAt: number;
	/** True once the connection is open; until then the target cannot have received the request. */
	hasOpened: boolean;
	/** True if `target` is a peer that relays the request. */
	readonly isRelayed: boolean;
	/** Number of targets on which the request may run by this send: more than one if a peer relays it. */
	readonly runLimit: number;
	/** Number of times that a timeout of the send has expired. */
	silenceCount: number;
	/** True once the silence of a stream has waited for what shows that others are silent too. */
	hasSettled?: boolean;
	/** True if a silence was reported while it was not known whether the whole pool is silent: then it is reported again. */
	hasDeferredSilence?: boolean;
};

/** Why a request is not sent again. */
export const retryObstacle = {
	/** Too little time is left, or too many sends were refused. */
	time: 'time',
	/** The request is likely to end another target. */
	crashes: 'crashes',
	/** The route allows no further run. */
	route: 'route',
	/** It has run on as many targets as it may. */
	runLimit: 'run limit',
	/** The retry budget of its pool is used up. */
	budget: 'budget',
	/** No target may receive it now, or this instance has lost its path to them. */
	noTarget: 'no target',
} as const;
export type RetryObstacle = typeof retryObstacle[keyof typeof retryObstacle];

/** The end of a stream without length and chunks, at the end of an event. */
export type UnprovedEnd = {
	readonly target: Target;
	readonly sendId: number;
	readonly endedAt: number;
	/** True once a check has shown that the target's process runs. */
	isTargetRunning: boolean;
	/** True once the stream was resumed there, to find out whether it goes on. */
	isResumedThere: boolean;
	/** True once a resume has ended without showing more of the stream. */
	hasNothingLeft: boolean;
};

/** A request whose response is not complete yet. */
export type OpenRequest = {
	readonly openId: number;
	readonly requestId: string;
	readonly host: string;
	readonly path: string;
	readonly keyDigest?: string;
	readonly promptParts: readonly PromptPart[];
	readonly fingerprint: string;
	/** True if a peer received the request from its caller. */
	readonly isRelayed: boolean;
	/** Number of targets on which the request may run here, if the route allows as many; less than that if a peer has sent it before. */
	readonly runAllowance: number;
	readonly arrivedAt: number;
	deadlineAt: number;
	route: Route;
	account?: string;
	/** Urgency of the request; 0 is the most urgent. `undefined` if the configuration tables state none. */
	rank?: number;
	poolName: string;
	/** Identifier of the request that began the stream: this one, unless its caller takes up another one's. */
	readonly streamId: string;
	/** Software version to which the request is bound, since it has begun the stream; `undefined` while the version follows from `streamId`. */
	boundVersion?: string;
	/** Version of the configuration tables with which route and account were resolved. */
	tablesVersion: number;
	currentSend?: CurrentSend;
	/** The last target, or peer that relayed the request, and the form of its response if that has ended. */
	lastSend?: {readonly targetId: string; readonly isRelayed: boolean; form?: ResponseForm};
	/** Number of sends so far. */
	sendCount: number;
	/** Number of sends that may have arrived at a target. */
	arrivalCount: number;
	/** Number of targets that may have run the request; a current send counts as one, even if a peer relays it. */
	possibleRunCount: number;
	/** Number of these targets that have ended meanwhile, so that the request may run on as many others. */
	endedTargetCount: number;
	readonly triedTargetIds: Set<string>;
	/** True once part of a streamed response was delivered to the caller. */
	hasResponseStarted: boolean;
	/** The end of the stream that only a connection states; `undefined` once a later send has shown that the stream goes on, or its target turns out to have ended. */
	unprovedEnd?: UnprovedEnd;
	/** The last target that was given up because it was silent. */
	silentTargetId?: string;
	/** Why the request could not be sent again, when that was last tried. */
	retryObstacle?: RetryObstacle;
	/** True if a target's error response is held for the caller. */
	hasHeldFailure: boolean;
	/** True if a brittle target rejected the request. */
	wasRejectedBrittle: boolean;
	lastEventId?: string;
	/** Identifier of the last event that the caller has, if it takes up a stream. */
	readonly takesUpAfterEventId?: string;
	/** Time until which a stream that broke off, or is silent, waits for what shows whether streams at other targets do too. */
	settleUntil?: number;
	/** Time at which the request is refused if no target may receive it by then; set while it is queued. */
	queuedUntil?: number;
	/** Time at which the share of the account has room for the request again; set while the request is held back. */
	shareReturnAt?: number;
	/** Set once a target was chosen. */
	loadQuery?: LoadQuery;
	/** Set if the request takes up a stream whose software version has to be found. */
	takeUp?: TakeUp;
};

/** Questions for the present load of targets before a request is sent. */
export type LoadQuery = {
	/** Targets whose load was asked for, except those whose tracker was told of a report since. */
	readonly targetIds: Set<string>;
	/** Time up to which the request waits for a response; `undefined` if it does not. */
	pendingUntil?: number;
};

/** A request that takes up a stream. */
export type TakeUp = {
	/** Identifier of the request that began the stream, if the caller names it. */
	readonly resumedRequestId?: string;
	/** Key of the stream, if the caller names it. */
	readonly streamKey?: string;
	/** Addresses of the peers that were asked for the version and have not responded; `undefined` before they are asked. */
	awaitedPeers?: Set<string>;
	/** Number of peers that were asked. */
	askedPeerCount: number;
	/** Time at which the request is refused if its version is not known by then. */
	readonly decideBy: number;
	/** Number of reads of the platform that began after the request arrived and failed. */
	readFailureCount: number;
};

/** A check whether a target has crashed, with the requests that were lost there before it began to respond to them. */
export type CrashCheck = {
	readonly target: Target;
	/** The first of the lost sends. */
	readonly sendId: number;
	readonly losses: LostRequest[];
	/** Time at which the check was last started, and how often it was started again. */
	startedAt: number;
	restartCount: number;
	/** Time at which the target's address refused the connection. */
	refusedAt?: number;
	/** True once another target was checked, to find out whether this instance reaches any. */
	hasCheckedPath?: boolean;
};

export type State = {
	readonly self: SelfInfo;
	/** Hash that decides this instance's position in rankings. */
	readonly selfHash: number;
	readonly bounds: FleetBounds;
	readonly timing: SyncTiming;
	/** Random source in [0, 1). */
	readonly random: () => number;
	directory: DirectoryState;
	/** Time of the first failed read of the platform since the last successful read; not set while reads succeed or this instance does not read it. */
	directoryLostAt?: number;
	/** Time since which this instance has read the platform without interruption; not set while it does not read it. */
	platformReadableSince?: number;
	/** Time until which a missing registration may have lapsed although its target still runs. */
	lapseGraceUntil: number;
	/** Start of the period without updates in which registrations may have lapsed. */
	lapseSilenceStartedAt: number;
	members: MemberState;
	/** True if this instance reads the platform itself. */
	isWatching: boolean;
	/** Time until which this instance reads the platform because it received no recent directory from the watchers. */
	fallbackWatchUntil: number;
	/** Times at which watchers, by address, reported that they cannot read the platform; cleared as soon as one reports that it can. */
	failingWatchers: Map<string, number>;
	nextPeerCallAt: number;
	/** Software versions that served the pools. */
	readonly versionHistory: VersionHistory;
	/** Time from which a peer may be asked for earlier versions again, and number of such calls. */
	nextVersionQueryAt: number;
	versionQueryCount: number;
	/** Time at which the platform's history may be read; `undefined` before the directory is known, while a read is in progress, and once the history is known or given up. */
	historyReadAt?: number;
	/** Number of reads of the history so far. */
	historyReadCount: number;
	targets: TargetState;
	/** Number of targets by pool and software version. */
	poolVersions: ReadonlyMap<string, VersionCounts>;
	readonly cacheHolders: CacheHolders;
	readonly failureReports: FailureReports;
	readonly quarantine: CrashQuarantine;
	readonly routeDurations: RouteDurations;
	/** Times from the send of a request to the start and to the end of its response. */
	readonly sendDurations: SendDurations;
	readonly promptDemand: PromptDemand;
	readonly accountShare: AccountShare;
	/** Checks in progress by target. */
	crashChecks: Map<string, CrashCheck>;
	/** Targets that are checked because a stream ended there with its connection. */
	readonly endChecks: Set<string>;
	/** True if crashes became known that peers have not been notified of. */
	hasUnreportedCrash: boolean;
	/** Time from which peers may be notified of crashes again. */
	nextNoticeAt: number;
	/** Paths of this instance to the targets, by pool. */
	readonly paths: Map<string, TargetPath>;
	readonly relayPeers: RelayPeers;
	/** Time from which peers may be asked again whether targets can be reached. */
	nextRelayQueryAt: number;
	/** Number of such rounds since all paths were open. */
	relayQueryCount: number;
	/** Open requests that this instance relays for peers. */
	readonly relayedOpenIds: Set<number>;
	openRequests: Map<number, OpenRequest>;
	/** Requests for which no target was available yet, in order of arrival. */
	queuedRequests: Set<OpenRequest>;
	/** Requests that take up a stream whose software version is not known yet, in order of arrival. */
	readonly pendingTakeUps: Set<OpenRequest>;
	/** Time from which peers may be called again for a part of the directory that a take-up needs. */
	nextUpdateCallAt: number;
	/** Streams that callers may take up. */
	readonly begunStreams: BegunStreams;
	/** True while a read of the platform that was started for take-ups is in progress. */
	isRefreshing: boolean;
	/** Time from which the next such read may start. */
	nextRefreshAt: number;
	/** Start of the last of these reads that succeeded: everything that was written before is known. */
	provedAt: number;
	retryBudgets: Map<string, RetryBudget>;
	/** Times up to which peers are not asked for the load of targets, by address, because they did not respond. */
	readonly failedTrackers: Map<string, number>;
	nextSendId: number;
	drainStartedAt?: number;
	/** Time at which all open requests were ended, so that the process can end. */
	stopStartedAt?: number;
	lastTickAt: number;
	/** The last time between two ticks in which the process did not run. */
	lastTickGap?: {readonly startedAt: number; readonly endedAt: number};
	/** End of the last pause in which a target may have been replaced unseen. */
	lastLongPauseEndedAt?: number;
};

/** One step of the reducer. */
export type Step = {readonly state: State; readonly now: number; readonly effects: Effect[]};

export function createState(self: SelfInfo, bounds: FleetBounds, seedAddresses: readonly string[], random: () => number): State {
	return {
		self,
		selfHash: computeRankHash(self.id),
		bounds,
		timing: computeSyncTiming(bounds.changeLimitMs),
		random,
		directory: createDirectory(),
		lapseGraceUntil: 0,
		lapseSilenceStartedAt: 0,
		members: createMemberState(seedAddresses),
		isWatching: true,
		fallbackWatchUntil: 0,
		failingWatchers: new Map(),
		nextPeerCallAt: 0,
		versionHistory: new VersionHistory(),
		nextVersionQueryAt: 0,
		versionQueryCount: 0,
		historyReadCount: 0,
		targets: createTargetState(),
		poolVersions: new Map(),
		cacheHolders: new CacheHolders(),
		failureReports: new FailureReports(),
		quarantine: new CrashQuarantine(),
		routeDurations: new RouteDurations(),
		sendDurations: {toStart: new RouteDurations(), toEnd: new RouteDurations()},
		promptDemand: new PromptDemand(),
		accountShare: new AccountShare(),
		crashChecks: new Map(),
		endChecks: new Set(),
		hasUnreportedCrash: false,
		nextNoticeAt: 0,
		paths: new Map(),
		relayPeers: new RelayPeers(),
		nextRelayQueryAt: 0,
		relayQueryCount: 0,
		relayedOpenIds: new Set(),
		openRequests: new Map(),
		queuedRequests: new Set(),
		pendingTakeUps: new Set(),
		nextUpdateCallAt: 0,
		begunStreams: new BegunStreams(),
		isRefreshing: false,
		nextRefreshAt: 0,
		provedAt: Number.NEGATIVE_INFINITY,
		retryBudgets: new Map(),
		failedTrackers: new Map(),
		nextSendId: 1,
		lastTickAt: 0,
	};
}

/** Finds the retry budget of a pool and creates it on first use. */
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

/** True when callers should be directed to this instance: configuration tables are known and no drain has started. */
export function isReady({directory, drainStartedAt}: State): boolean {
	return directory.tables !== undefined && drainStartedAt === undefined;
}
