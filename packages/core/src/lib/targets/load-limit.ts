/**
 * The load limit: keeps the load of each target below a multiple of the mean
 * load, which the pool's setting `loadMultiple` gives.
 *
 * The load of a target is the number of requests that the whole fleet has in
 * flight there. The mean is taken over the pool's targets that may receive new
 * requests and are not known to be cold. Each instance keeps its own requests at
 * a target within the multiple of its own mean plus its part of
 * `ownFloorMultiple` times the pool's floor. Summed over the instances, these
 * bounds give the multiple of the mean plus `ownFloorMultiple` times the floor,
 * even if the instances know nothing of each other. The loads that peers report
 * only tighten the bound, so in normal operation the load stays well below it.
 */
import {computeDemandRate} from '../allowance/demand-meter.js';
import type {Pool} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {computeSlotShare} from './slot-share.js';
import {isKnownCold, isWarm} from './target-boot.js';
import type {Target} from './target-state.js';

/**
 * Margin for load that peers' reports do not show yet, in standard deviations
 * of this load. A larger margin admits less excess load while reports are fresh,
 * but chats that several instances move away at once meet again at their next
 * targets.
 */
const unreportedLoadDeviations = 1;
/** Age above which a peer's load report is ignored, in milliseconds. */
const peerReportMaxAgeMs = 4000;

/**
 * Floor of the bound on an instance's own load, as a multiple of the pool's
 * floor. This bound does not depend on what peers report.
 */
const ownFloorMultiple = 3;

/** Loads of a pool's targets: those of this instance and those reported by peers. */
export type PoolLoad = {
	/** Number of targets over which the mean is taken: eligible and not known to be cold. */
	readonly targetCount: number;
	/** Requests that this instance has in flight at the targets in `targetCount`. */
	readonly ownInFlight: number;
	/** Requests per second that this instance places in the pool. */
	readonly ownRate: number;
	/** Requests that peers have in flight by target, from their latest summaries. */
	readonly peerInFlight: ReadonlyMap<string, number>;
	/** Requests that peers have in flight at the targets in `targetCount`. */
	readonly peerInFlightTotal: number;
	/** Mean age of the peers' reports, in milliseconds. */
	readonly reportAgeMs: number;
};

/** Sums the loads of a pool's eligible targets. */
export function computePoolLoad(step: Step, pool: Pool, eligible: readonly Target[]): PoolLoad {
	const {inFlight: peerInFlight, meanAgeMs: reportAgeMs} = sumPeerLoads(step);
	let targetCount = 0;
	let ownInFlight = 0;
	let peerInFlightTotal = 0;
	for (const target of eligible) {
		if (!isKnownCold(target, pool, step.now)) {
			targetCount += 1;
			ownInFlight += target.inFlight;
			peerInFlightTotal += peerInFlight.get(target.listed.id) ?? 0;
		}
	}

	return {
		targetCount, ownInFlight, ownRate: computeDemandRate(step.state.targets.placements.get(pool.name), step.now), peerInFlight, peerInFlightTotal,
		reportAgeMs,
	};
}

/** True when one more request keeps the target within the load limit, both for this instance and for the fleet as far as it is known. */
export function isWithinLoadLimit(step: Step, pool: Pool, target: Target, load: PoolLoad): boolean {
	if (!isWarm(target, pool, step.now)) {
		// The few slots of a cold target already bound its load.
		return true;
	}

	const ownAfter = target.inFlight + 1;
	const ownMean = (load.ownInFlight + 1) / load.targetCount;
	const ownFloor = ownFloorMultiple * pool.loadFloor * computeSlotShare(step, target) / pool.slotsPerTarget;
	const fleetAfter = ownAfter + (load.peerInFlight.get(target.listed.id) ?? 0);
	const fleetMean = (load.ownInFlight + load.peerInFlightTotal + 1) / load.targetCount;
	const fleetBound = Math.max(pool.loadFloor, pool.loadMultiple * fleetMean) - estimateUnreportedLoad(load, fleetMean);
	return ownAfter <= ownFloor + (pool.loadMultiple * ownMean) && fleetAfter <= Math.max(1, fleetBound);
}

/**
 * Estimates by how much a target's load may have grown since peers reported it.
 * The load changes randomly by the requests that start and end in the meantime,
 * so the growth is of the order of the square root of their number.
 */
function estimateUnreportedLoad({ownInFlight, ownRate, peerInFlightTotal, reportAgeMs}: PoolLoad, fleetMean: number): number {
	if (ownInFlight === 0 || peerInFlightTotal === 0) {
		return 0;
	}

	const turnover = ownRate / ownInFlight * reportAgeMs / 1000;
	return unreportedLoadDeviations * Math.sqrt(fleetMean * Math.min(1, turnover));
}

function sumPeerLoads({state, now}: Step): {readonly inFlight: ReadonlyMap<string, number>; readonly meanAgeMs: number} {
	const inFlight = new Map<string, number>();
	let ageSum = 0;
	let count = 0;
	for (const {summary, receivedAt} of state.membership.peers.values()) {
		if (now - receivedAt > peerReportMaxAgeMs) {
			continue;
		}

		ageSum += now - receivedAt;
		count += 1;
		for (const load of summary.targets) {
			inFlight.set(load.targetId, (inFlight.get(load.targetId) ?? 0) + load.inFlight);
		}
	}

	return {inFlight, meanAgeMs: count === 0 ? 0 : ageSum / count};
}
