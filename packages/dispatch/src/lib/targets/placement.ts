/**
 * Chooses the target of a request. Requests that share a prompt go to the same
 * target within its load limit, by a ranking that is equal on every instance, or to as
 * many targets of the ranking as the demand of the whole fleet needs; all others go to
 * the least loaded of a few targets, preferably in this availability zone, or are spread over all
 * zones if the pool has few slots and its load is unknown.
 */
import {hashText, mixHashes} from '@sequoiatally/core';
import {
	computeColdShare, computeWarmShare, type ColdBounds, type FleetView,
} from './target-limits.js';
import type {Pool} from '../directory/directory-facts.js';
import {PoolLoad} from './pool-load.js';
import {findFirstRanked, listFirstRanked} from './ranking.js';
import {chooseBySlots, computeScarceSlots} from './scarce-slots.js';
import {isAwaitingTrial, isUsable, verdict} from './target-health.js';
import {PoolBrittleness} from './target-room.js';
import {findStatedLimitsEnd, isWithinStatedLimits, type Target} from './target-state.js';

/** A limit for the load of a target: a multiple of its pool's mean load plus a constant. */
type LoadLimit = {readonly multiple: number; readonly floor: number};

/** The platform's bound for the load of a target. */
const fleetLoadLimit: LoadLimit = {multiple: 2, floor: 3};
/** Number of standard deviations from the estimate of a load up to which the bound has to hold without asking for the present load. */
const certainDeviations = 3;
/** Limits for the load of a target with the new request. Prompts that are cheap to copy have a lower one and leave a busy target first. */
const longPromptLoadLimit: LoadLimit = {multiple: 2, floor: 3};
const shortPromptLoadLimit: LoadLimit = {multiple: 1.6, floor: 3};
/** Shared tokens from which a prompt is long: about 50 ms for an engine that reads 38 tokens per millisecond, the rate in the users' data sheets. */
const longPromptMinTokens = 2000;
/** Fraction of the targets that may run the request, of the pool or of a software version, that have to be healthy; below it, health is ignored, but for targets that cannot be reached. */
const minHealthyFraction = 0.4;
/** Cost of a target in another zone, as a fraction of its slots. */
const otherZonePenalty = 0.35;
/** Largest such cost, as a fraction of the room between the mean load and the platform's bound. */
const zonePenaltyRoomFraction = 0.3;
/** Number of targets among which a request chooses by load. */
const drawnTargetCount = 6;
/** Hash seed that makes the draws of loads independent of the choice of these targets. */
const loadDrawSeed = hashText('load');
/** Number of different hashes. */
const hashRange = 2 ** 32;
/** Scale of the logistic distribution with a standard deviation of 1. */
const logisticScale = Math.sqrt(3) / Math.PI;
/** Part of the room between the mean load and the load limit that the requests of one prefix may take: the rest is for variations and other prompts. */
const prefixRoomFraction = 0.3;

/** State that the choice of a target depends on. */
export type PlacementView = {
	readonly pool: Pool;
	/** The pool's registered targets. */
	readonly targets: readonly Target[];
	readonly closedZones: ReadonlySet<string>;
	readonly zone: string;
	readonly fleet: FleetView;
	readonly coldBounds: ColdBounds;
	/** Software version of the targets that may run the request; `undefined` if all may. */
	readonly softwareVersion?: string;
};

/** A prompt prefix that requests share. */
export type PromptPrefix = {
	readonly key: string;
	readonly tokenCount: number;
	/** Estimated number of requests with the prefix that the whole fleet has in progress. */
	readonly demand: number;
	/** True for a target that is known to have cached the prefix. */
	readonly isHolder: (target: Target) => boolean;
};

export type PlacementRequest = {
	readonly requestId: string;
	/** The longest shared prefix of the prompt; `undefined` if there is nothing to reuse. */
	readonly prefix?: PromptPrefix;
	/** Targets to which the request was already sent. */
	readonly triedTargetIds: ReadonlySet<string>;
	/** True if the request can be sent again after a failure. */
	readonly isRetryable: boolean;
	/** True if a brittle target has rejected the request. */
	readonly wasRejected?: boolean;
};

/** Reason why a request is not sent to the target that ranks first for its prompt. */
export const skipReason = {
	health: 'health', cold: 'cold', limit: 'limit', load: 'load', tried: 'tried',
} as const;
export type SkipReason = typeof skipReason[keyof typeof skipReason];

export type Placement = {
	readonly target: Target;
	/** Estimated requests at the target from all instances. */
	readonly load: number;
	/** Mean estimated load of the pool's targets. */
	readonly meanLoad: number;
	/** Largest number of requests, with this one, that the target may hold. */
	readonly loadLimit: number;
	/** True if the present load of the target may exceed the platform's bound, as far as this instance knows. */
	readonly isLoadUncertain: boolean;
	/** Reason why the target that ranks first for the prompt was skipped; `undefined` if it, or one that shares its requests, was chosen. */
	readonly preferredSkipReason?: SkipReason;
	/** Number of targets that share the requests with the prompt; `undefined` if it is one. */
	readonly sharerCount?: number;
};

/** Chooses the target of a request; returns `undefined` if no target may receive the request now. */
export function choosePlacement(view: PlacementView, {
	requestId, prefix, triedTargetIds, isRetryable, wasRejected = false,
}: PlacementRequest, now: number): Placement | undefined {
	let accepting: Target[] = [];
	const draining: Target[] = [];
	for (const target of view.targets) {
		const isAccepting = !target.isGone && !view.closedZones.has(target.record.zone);
		(isAccepting ? accepting : draining).push(target);
	}

	// Without registrations for most of the pool, the platform was probably unavailable; otherwise the other targets are probably leaving.
	const registered = accepting.filter(({isRegistered}) => isRegistered);
	if (registered.length * 2 > accepting.length) {
		draining.push(...accepting.filter(({isRegistered}) => !isRegistered));
		accepting = registered;
	}

	const fitting = view.softwareVersion === undefined ? accepting : accepting.filter(target => isOfVersion(target, view));
	const healthy = fitting.filter(target => isUsable(target.health, now));
	const usable = new Set(healthy.length >= Math.max(1, fitting.length * minHealthyFraction) ? healthy : listConnectable(fitting, triedTargetIds, now));
	const brittleness = new PoolBrittleness(view.targets, view.fleet, now);
	const load = new PoolLoad(accepting, draining, now);
	const loads = {load, isDrawn: !brittleness.isStated};
	const isWithinLimits = (target: Target) => isWithinStatedLimits(target, view.fleet, now)
		&& brittleness.mayReject(target)
		// What one brittle target has rejected would make the next one that is as full reject it too.
		&& (!wasRejected || load.estimate(target) < target.record.slots || brittleness.findLimit(target) === undefined);
	let candidates = [...usable].filter(target => !triedTargetIds.has(target.record.id) && hasColdCapacity(view, target, now) && isWithinLimits(target));
	if (candidates.length === 0) {
		return undefined;
	}

	if (!isRetryable && prefix === undefined) {
		// A request that cannot be repeated is not used to find out whether a target has recovered. One with a prompt is, since its prompt would be read elsewhere.
		const proven = candidates.filter(({health}) => !isAwaitingTrial(health, now));
		candidates = proven.length > 0 ? proven : candidates;
	}

	if (prefix === undefined) {
		const target = chooseWithoutPrompt(view, candidates, accepting, loads, requestId);
		return {target, ...describeLoad(target, load, computeFleetLoadLimit(load.mean))};
	}

	const keyHash = hashText(prefix.key);
	const preferred = findFirstRanked(fitting, keyHash)!;
	const loadLimit = computeLoadLimit(load.mean, prefix);
	const belowLimit = candidates.filter(target => load.estimate(target) + 1 <= loadLimit);
	const warm = belowLimit.filter(({coldUntil}) => coldUntil <= now);
	const sharerCount = computeSharerCount(prefix, loadLimit - load.mean, brittleness);
	const sharers = sharerCount > 1 ? listFirstRanked(fitting, keyHash, sharerCount) : [preferred];
	// A cold target is slow and has nothing to reuse, so it receives only requests that exceed the limits of warm targets.
	const target = findFirstRanked(warm.filter(other => sharers.includes(other)), hashText(requestId))
		?? findFirstRanked(warm.filter(other => prefix.isHolder(other)), keyHash)
		?? findFirstRanked(warm, keyHash)
		?? findFirstRanked(belowLimit, keyHash)
		?? chooseLeastLoaded(view, candidates, loads, requestId);
	const preferredSkipReason = sharers.includes(target)
		? undefined
		: explainSkip(preferred, {
			usable, candidates, triedTargetIds, isWithinLimit: isWithinLimits(preferred),
		});
	return {
		target, ...describeLoad(target, load, loadLimit), preferredSkipReason, sharerCount: sharers.length > 1 ? sharers.length : undefined,
	};
}

/**
 * Finds the time from which a target may receive the request if the limits that targets
 * name are the only reason why none may now; `undefined` if there is another reason,
 * and infinite if this instance has no share of any limit.
 */
export function findLimitEnd(view: PlacementView, triedTargetIds: ReadonlySet<string>, now: number): number | undefined {
	const {targets, closedZones, fleet} = view;
	const accepting = targets.filter(target => !target.isGone && !closedZones.has(target.record.zone) && !triedTargetIds.has(target.record.id)
		&& isOfVersion(target, view));
	if (accepting.length === 0 || accepting.some(target => isWithinStatedLimits(target, fleet, now))) {
		return undefined;
	}

	return Math.min(...accepting.map(target => findStatedLimitsEnd(target, fleet, now)));
}

function isOfVersion({record}: Target, {softwareVersion}: PlacementView): boolean {
	return softwareVersion === undefined || record.softwareVersion === softwareVersion;
}

/** Lists the targets that this instance has not failed to connect to just now, even if they are ejected; all if the request was sent to each of these. */
function listConnectable(targets: readonly Target[], triedTargetIds: ReadonlySet<string>, now: number): readonly Target[] {
	const connectable = targets.filter(({health}) => isUsable(health, now) || health.lastVerdict !== verdict.connectionFailed);
	return connectable.some(({record}) => !triedTargetIds.has(record.id)) ? connectable : targets;
}

/** Computes among how many targets the requests of a prefix are divided, with `room` requests between the mean load and the load limit. */
function computeSharerCount({demand}: PromptPrefix, room: number, brittleness: PoolBrittleness): number {
	// The slots of brittle targets are divided among the instances already, and each rejection there costs the others.
	return brittleness.isStated ? 1 : Math.ceil(demand / (prefixRoomFraction * Math.max(1, room)));
}

function computeLimit({multiple, floor}: LoadLimit, meanLoad: number): number {
	return (multiple * meanLoad) + floor;
}

/** Computes the platform's bound for the load of a target. */
function computeFleetLoadLimit(meanLoad: number): number {
	return computeLimit(fleetLoadLimit, meanLoad);
}

/** Describes what is known about the load of the target that was chosen. */
function describeLoad(target: Target, load: PoolLoad, loadLimit: number): Pick<Placement, 'load' | 'meanLoad' | 'loadLimit' | 'isLoadUncertain'> {
	return {
		load: load.estimate(target), meanLoad: load.mean, loadLimit, isLoadUncertain: isUncertain(target, load),
	};
}

/** True if the present load of the target, with another request, may exceed the platform's bound before its slots are taken. */
function isUncertain(target: Target, load: PoolLoad): boolean {
	const loadLimit = computeFleetLoadLimit(load.mean);
	return loadLimit < target.record.slots && load.estimate(target) + 1 + (certainDeviations * load.estimateDeviation(target)) > loadLimit;
}

/** Computes the largest number of requests that a target may hold, including the new request. */
function computeLoadLimit(meanLoad: number, {tokenCount}: PromptPrefix): number {
	return computeLimit(tokenCount >= longPromptMinTokens ? longPromptLoadLimit : shortPromptLoadLimit, meanLoad);
}

type SkipContext = {
	readonly usable: ReadonlySet<Target>;
	readonly candidates: readonly Target[];
	readonly triedTargetIds: ReadonlySet<string>;
	/** False if what the target states allows this instance no further request. */
	readonly isWithinLimit: boolean;
};

function explainSkip(preferred: Target, {
	usable, candidates, triedTargetIds, isWithinLimit,
}: SkipContext): SkipReason {
	if (triedTargetIds.has(preferred.record.id)) {
		return skipReason.tried;
	}

	if (!usable.has(preferred)) {
		return skipReason.health;
	}

	if (!isWithinLimit) {
		return skipReason.limit;
	}

	return candidates.includes(preferred) ? skipReason.load : skipReason.cold;
}

/** Chooses the target of a request without a prompt. */
function chooseWithoutPrompt(view: PlacementView, candidates: readonly Target[], accepting: readonly Target[], loads: LoadView, requestId: string): Target {
	const slotsPerInstance = computeScarceSlots(accepting, view.fleet);
	return slotsPerInstance === undefined
		? chooseLeastLoaded(view, candidates, loads, requestId)
		: chooseBySlots(candidates, view.zone, slotsPerInstance, requestId);
}

/** What is known of the loads of a pool, and whether some targets and loads are drawn; the slots of brittle targets are divided among the instances already. */
type LoadView = {readonly load: PoolLoad; readonly isDrawn: boolean};

/**
 * Chooses the target that is probably least loaded among some that a hash of the request draws. Each load is drawn too, from its estimate and deviation:
 * all instances that know the same outdated reports would choose the same target otherwise.
 */
function chooseLeastLoaded({zone}: PlacementView, candidates: readonly Target[], {load, isDrawn}: LoadView, requestId: string): Target {
	const requestHash = hashText(requestId);
	const zonePenaltyLimit = zonePenaltyRoomFraction * (computeFleetLoadLimit(load.mean) - load.mean);
	const drawn = isDrawn ? listFirstRanked(candidates, requestHash, drawnTargetCount) : candidates;
	const [first, ...rest] = drawn.map(target => {
		const {record, hash} = target;
		const slots = Math.max(1, record.slots);
		const zonePenalty = record.zone === zone ? 0 : Math.min(otherZonePenalty * slots, zonePenaltyLimit);
		const tieBreak = mixHashes(requestHash, hash);
		const estimate = isDrawn ? drawLoad(target, load, mixHashes(tieBreak, loadDrawSeed)) : load.estimate(target);
		return {target, cost: (estimate + zonePenalty) / slots, tieBreak};
	});
	let best = first!;
	for (const candidate of rest) {
		if (candidate.cost < best.cost || (candidate.cost === best.cost && candidate.tieBreak > best.tieBreak)) {
			best = candidate;
		}
	}

	return best.target;
}

/** Draws a load of the target from a logistic distribution with the mean and the deviation of its estimate; `draw` is a hash. */
function drawLoad(target: Target, load: PoolLoad, draw: number): number {
	const quantile = (draw + 0.5) / hashRange;
	return load.estimate(target) + (load.estimateDeviation(target) * logisticScale * Math.log(quantile / (1 - quantile)));
}

function hasColdCapacity({pool, fleet, coldBounds}: PlacementView, target: Target, now: number): boolean {
	if (pool.coldRatePerS === 0) {
		return true;
	}

	const share = target.coldUntil > now
		? computeColdShare(target.hash, pool.coldRatePerS, fleet)
		: computeWarmShare(pool.coldRatePerS, coldBounds, fleet);
	return target.recentSends.count(now) < share;
}
