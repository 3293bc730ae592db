/**
 * Where a request goes. Requests that share a prompt go to the same target as
 * long as it keeps to the load cap, in an order that every instance computes
 * alike; all others go where the least is in flight, in this zone if it makes
 * no difference.
 */
import {hashText, mixHashes} from '@sequoiatally/core';
import {
	computeColdShare, computeWarmShare, type ColdBounds, type FleetView,
} from './cold-target-limits.js';
import type {Pool} from './directory.js';
import {PoolLoad} from './pool-load.js';
import {findFirstRanked} from './ranking.js';
import {isUsable} from './target-health.js';
import type {Target} from './target-state.js';

/**
 * What a target may hold: a multiple of its pool's mean load, and a floor
 * beside it. The platform's bound is 2 x mean + 3; the rest is for what other
 * instances send meanwhile (`load_cap_test`). Prompts that cost little to copy
 * leave a busy target first.
 */
const longPromptLoadLimit = {multiple: 1.8, floor: 2.5};
const shortPromptLoadLimit = {multiple: 1.4, floor: 1.5};
/** Shared tokens from which a prompt is long: 50 ms of an engine that reads 38 tokens a millisecond, as on the users' sheets. */
const longPromptMinTokens = 2000;
/** Part of a pool's targets that has to be in good health; below it, health is no longer looked at. */
const minHealthyFraction = 0.4;
/** What another zone counts for, as a part of a target's slots. */
const otherZonePenalty = 0.35;

/** What the choice may look at. */
export type PlacementView = {
	readonly pool: Pool;
	/** The pool's registered targets. */
	readonly targets: readonly Target[];
	readonly closedZones: ReadonlySet<string>;
	readonly zone: string;
	readonly fleet: FleetView;
	readonly coldBounds: ColdBounds;
};

/** A prefix that requests share. */
export type PromptPrefix = {
	readonly key: string;
	readonly tokenCount: number;
	/** True for a target that is known to have read it. */
	readonly isHolder: (target: Target) => boolean;
};

export type PlacementRequest = {
	readonly requestId: string;
	/** The longest shared prefix of the prompt; undefined: there is nothing to reuse. */
	readonly prefix?: PromptPrefix;
	/** Targets that were tried already. */
	readonly triedTargetIds: ReadonlySet<string>;
};

/** Why a request does not go where its prompt would be found. */
export const skipReason = {
	health: 'health', cold: 'cold', load: 'load', tried: 'tried',
} as const;
export type SkipReason = typeof skipReason[keyof typeof skipReason];

export type Placement = {
	readonly target: Target;
	/** Requests at the target from all instances, as estimated. */
	readonly load: number;
	/** Mean of that over the pool's targets. */
	readonly meanLoad: number;
	/** Why the target that ranks first for the prompt was passed over; undefined: it was not. */
	readonly preferredSkipReason?: SkipReason;
};

/** Chooses the target of a request; undefined: none may get one now. */
export function choosePlacement(view: PlacementView, {requestId, prefix, triedTargetIds}: PlacementRequest, now: number): Placement | undefined {
	const accepting: Target[] = [];
	const draining: Target[] = [];
	for (const target of view.targets) {
		const isAccepting = !target.isGone && !view.closedZones.has(target.record.zone);
		(isAccepting ? accepting : draining).push(target);
	}

	const healthy = accepting.filter(target => isUsable(target.health, now));
	const usable = new Set(healthy.length >= Math.max(1, accepting.length * minHealthyFraction) ? healthy : accepting);
	const candidates = [...usable].filter(target => !triedTargetIds.has(target.record.id) && hasColdCapacity(view, target, now));
	if (candidates.length === 0) {
		return undefined;
	}

	const load = new PoolLoad(accepting, draining, now);
	if (prefix === undefined) {
		const target = chooseLeastLoaded(view, candidates, load, requestId);
		return {target, load: load.estimate(target), meanLoad: load.mean};
	}

	const keyHash = hashText(prefix.key);
	const preferred = findFirstRanked(accepting, keyHash)!;
	const loadLimit = computeLoadLimit(load.mean, prefix);
	const belowLimit = candidates.filter(target => load.estimate(target) + 1 <= loadLimit);
	const warm = belowLimit.filter(({coldUntil}) => coldUntil <= now);
	// A cold target is slow and has nothing to reuse: it starts with what the others cannot take.
	const target = warm.find(other => other === preferred)
		?? findFirstRanked(warm.filter(other => prefix.isHolder(other)), keyHash)
		?? findFirstRanked(warm, keyHash)
		?? findFirstRanked(belowLimit, keyHash)
		?? chooseLeastLoaded(view, candidates, load, requestId);
	const preferredSkipReason = target === preferred ? undefined : explainSkip(preferred, {usable, candidates, triedTargetIds});
	return {
		target, load: load.estimate(target), meanLoad: load.mean, preferredSkipReason,
	};
}

/** Computes the most requests that a target may hold with this one. */
function computeLoadLimit(meanLoad: number, {tokenCount}: PromptPrefix): number {
	const {multiple, floor} = tokenCount >= longPromptMinTokens ? longPromptLoadLimit : shortPromptLoadLimit;
	return (multiple * meanLoad) + floor;
}

type CandidateSets = {readonly usable: ReadonlySet<Target>; readonly candidates: readonly Target[]; readonly triedTargetIds: ReadonlySet<string>};

function explainSkip(preferred: Target, {usable, candidates, triedTargetIds}: CandidateSets): SkipReason {
	if (triedTargetIds.has(preferred.record.id)) {
		return skipReason.tried;
	}

	if (!usable.has(preferred)) {
		return skipReason.health;
	}

	return candidates.includes(preferred) ? skipReason.load : skipReason.cold;
}

/** Chooses the target with the least in flight; among equals each request draws its own, or all instances would choose the same. */
function chooseLeastLoaded({zone}: PlacementView, candidates: readonly Target[], load: PoolLoad, requestId: string): Target {
	const requestHash = hashText(requestId);
	const [first, ...rest] = candidates.map(target => {
		const {record} = target;
		const cost = (load.estimate(target) / Math.max(1, record.slots)) + (record.zone === zone ? 0 : otherZonePenalty);
		return {target, cost, tieBreak: mixHashes(requestHash, target.hash)};
	});
	let best = first!;
	for (const candidate of rest) {
		if (candidate.cost < best.cost || (candidate.cost === best.cost && candidate.tieBreak > best.tieBreak)) {
			best = candidate;
		}
	}

	return best.target;
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
