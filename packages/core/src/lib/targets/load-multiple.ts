/**
 * The load multiple: no target carries more than a set multiple of the mean.
 *
 * The load of a target is the number of requests in flight there, over the
 * fleet; the mean is taken over the pool's targets that may take new work and
 * are not known to be cold. Each instance keeps its own requests at a target under the multiple of
 * its own mean plus its part of the pool's floor. These bounds add up over the
 * instances to the multiple of the mean plus the floor, whatever the instances
 * know of each other. What peers say they have in flight only tightens the bound,
 * so that in ordinary running the load stays well below it.
 */
import {computeDemandRate} from '../allowance/demand-meter.js';
import type {Pool} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {computeSlotShare} from './slot-share.js';
import {isKnownCold, isWarm} from './target-boot.js';
import type {Target} from './target-state.js';

/**
 * Room left for what peers' reports do not show yet, as a multiple of its likely
 * size. More room lets less through while reports are fresh, but chats that
 * several instances turn away at once meet again at their next targets.
 */
const unseenDeviations = 1;
/** Time after which a peer's load report no longer counts, in milliseconds. */
const peerLoadLimitMs = 4000;

/** Floor of the bound that holds whatever the instances hear of each other, as a multiple of the pool's floor. */
const unheardFloorMultiple = 3;

/** Loads of a pool, of this instance and as estimated for the fleet. */
export type PoolLoad = {
	/** Targets that are not known to be cold. */
	readonly warmCount: number;
	/** Requests of this instance in flight at them. */
	readonly ownInFlight: number;
	/** Requests per second that this instance places. */
	readonly ownRate: number;
	/** Requests of peers by target, as they last said. */
	readonly peerInFlight: ReadonlyMap<string, number>;
	/** Requests of peers at them. */
	readonly peerTotal: number;
	/** Mean age of what the peers said, in milliseconds. */
	readonly reportAgeMs: number;
};

/** Sums the loads of a pool's eligible targets. */
export function computePoolLoad(step: Step, pool: Pool, eligible: readonly Target[]): PoolLoad {
	const {inFlight: peerInFlight, meanAgeMs: reportAgeMs} = sumPeerLoads(step);
	let warmCount = 0;
	let ownInFlight = 0;
	let peerTotal = 0;
	for (const target of eligible) {
		if (!isKnownCold(target, pool, step.now)) {
			warmCount += 1;
			ownInFlight += target.inFlight;
			peerTotal += peerInFlight.get(target.listed.id) ?? 0;
		}
	}

	return {
		warmCount, ownInFlight, ownRate: computeDemandRate(step.state.targets.placements.get(pool.name), step.now), peerInFlight, peerTotal, reportAgeMs,
	};
}

/** True when one more request keeps the target under the multiple, here and as far as is known in the fleet. */
export function isWithinMultiple(step: Step, pool: Pool, target: Target, load: PoolLoad): boolean {
	if (!isWarm(target, pool, step.now)) {
		// A cold target is bounded by its few slots.
		return true;
	}

	const ownAfter = target.inFlight + 1;
	const ownMean = (load.ownInFlight + 1) / load.warmCount;
	const ownFloor = unheardFloorMultiple * pool.loadFloor * computeSlotShare(step, target) / pool.slotsPerTarget;
	const fleetAfter = ownAfter + (load.peerInFlight.get(target.listed.id) ?? 0);
	const fleetMean = (load.ownInFlight + load.peerTotal + 1) / load.warmCount;
	const fleetBound = Math.max(pool.loadFloor, pool.loadMultiple * fleetMean) - estimateUnseen(load, fleetMean);
	return ownAfter <= ownFloor + (pool.loadMultiple * ownMean) && fleetAfter <= Math.max(1, fleetBound);
}

/**
 * Estimates how far a target's load may have grown since peers reported it: it
 * changes by as many requests as start and end meanwhile, at random.
 */
function estimateUnseen({ownInFlight, ownRate, peerTotal, reportAgeMs}: PoolLoad, fleetMean: number): number {
	if (ownInFlight === 0 || peerTotal === 0) {
		return 0;
	}

	const turnover = ownRate / ownInFlight * reportAgeMs / 1000;
	return unseenDeviations * Math.sqrt(fleetMean * Math.min(1, turnover));
}

function sumPeerLoads({state, now}: Step): {readonly inFlight: ReadonlyMap<string, number>; readonly meanAgeMs: number} {
	const inFlight = new Map<string, number>();
	let ageSum = 0;
	let count = 0;
	for (const {summary, receivedAt: heardAt} of state.membership.peers.values()) {
		if (now - heardAt > peerLoadLimitMs) {
			continue;
		}

		ageSum += now - heardAt;
		count += 1;
		for (const load of summary.targets) {
			inFlight.set(load.targetId, (inFlight.get(load.targetId) ?? 0) + load.inFlight);
		}
	}

	return {inFlight, meanAgeMs: count === 0 ? 0 : ageSum / count};
}
