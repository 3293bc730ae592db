/**
 * Where a request goes. Requests that share a prompt go to the same target as
 * long as it keeps to the load cap, in an order that every instance computes
 * alike; all others go where the least is in flight, in this zone if it makes
 * no difference.
 */
import {hashText, mixHashes} from '@sequoiatally/core';
import {
	computeColdShare, computeWarmShare, type ColdBounds, type FleetView,
} from './cold-guard.js';
import type {Pool} from './directory.js';
import {isUsable} from './target-health.js';
import {estimateLoad, type Target} from './target-state.js';

/** A target takes no more than this multiple of its pool's mean load, and the floor beside it. */
const loadMultiple = 1.6;
const loadFloor = 2.5;
/** Part of a pool's targets that has to be in good health; below it, health is no longer looked at. */
const healthyFloor = 0.4;
/** What another zone counts for, as a part of a target's slots. */
const otherZoneCost = 0.35;

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

export type PlacementRequest = {
	/** Identifies the shared part of the prompt; undefined: any target is as good. */
	readonly promptKey?: string;
	/** Targets that were tried already. */
	readonly avoidedIds: ReadonlySet<string>;
};

/** Lists the targets that may get new work, whatever their health. */
export function listOpenTargets({targets, closedZones}: PlacementView): Target[] {
	return targets.filter(target => !target.isGone && !closedZones.has(target.record.zone));
}

/** Chooses the target of a request; undefined: none may get one now. */
export function choosePlacement(view: PlacementView, {promptKey, avoidedIds}: PlacementRequest, now: number): Target | undefined {
	const open = listOpenTargets(view);
	const healthy = open.filter(target => isUsable(target.health, now));
	const usable = healthy.length >= Math.max(1, open.length * healthyFloor) ? healthy : open;
	const untried = usable.filter(target => !avoidedIds.has(target.record.id));
	const candidates = untried.filter(target => hasColdRoom(view, target, now));
	if (candidates.length === 0) {
		return undefined;
	}

	return promptKey === undefined
		? chooseLeastLoaded(view, candidates, now)
		: chooseByPrompt(view, promptKey, candidates, computeLoadCap(usable, now), now);
}

function computeLoadCap(targets: readonly Target[], now: number): number {
	let sum = 0;
	for (const target of targets) {
		sum += estimateLoad(target, now);
	}

	return (loadMultiple * sum / targets.length) + loadFloor;
}

function chooseByPrompt(view: PlacementView, promptKey: string, candidates: readonly Target[], cap: number, now: number): Target | undefined {
	const keyHash = hashText(promptKey);
	let chosen: Target | undefined;
	let chosenScore = -1;
	for (const target of candidates) {
		const score = mixHashes(keyHash, target.hash);
		if (score > chosenScore && estimateLoad(target, now) + 1 <= cap) {
			chosen = target;
			chosenScore = score;
		}
	}

	return chosen ?? chooseLeastLoaded(view, candidates, now);
}

function chooseLeastLoaded({zone}: PlacementView, candidates: readonly Target[], now: number): Target | undefined {
	let chosen: Target | undefined;
	let chosenCost = Number.POSITIVE_INFINITY;
	for (const target of candidates) {
		const {record} = target;
		const cost = (estimateLoad(target, now) / Math.max(1, record.slots)) + (record.zone === zone ? 0 : otherZoneCost);
		if (cost < chosenCost) {
			chosen = target;
			chosenCost = cost;
		}
	}

	return chosen;
}

function hasColdRoom({pool, fleet, coldBounds}: PlacementView, target: Target, now: number): boolean {
	if (pool.coldRatePerS === 0) {
		return true;
	}

	const share = target.coldUntil > now
		? computeColdShare(target.hash, pool.coldRatePerS, fleet)
		: computeWarmShare(pool.coldRatePerS, coldBounds, fleet);
	return target.recentSends.count(now) < share;
}
