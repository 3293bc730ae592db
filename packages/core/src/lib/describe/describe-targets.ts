/**
 * Describes the targets for the administration API: load, slots and whether a
 * target is cold, as known to this instance.
 */
import type {Pool} from '../configuration/configuration.js';
import {listedState} from '../configuration/instance-list.js';
import type {State} from '../state.js';
import {isWarm} from '../targets/target-boot.js';
import type {Target} from '../targets/target-state.js';
import {computeUsableSlots} from './usable-slots.js';

export type TargetDescription = {
	readonly targetId: string;
	readonly pool: string;
	readonly address: string;
	readonly zone: string;
	/** Whether the target is listed as leaving or is no longer listed. */
	readonly isLeaving: boolean;
	readonly isZoneDrained: boolean;
	/** Time for which the target stays ejected after failed attempts, in milliseconds. */
	readonly avoidedForMs: number;
	/** Time since the target's boot, in milliseconds; `undefined` if the boot is unknown. */
	readonly uptimeMs?: number;
	/** Age of the latest evidence of the boot, in milliseconds; `undefined` if there is none or an attempt failed since. */
	readonly evidenceAgeMs?: number;
	/** Whether the uptime is below the pool's `warmAfterMs`, or there is no fresh evidence of it. */
	readonly isCold: boolean;
	/** Requests that this instance has in flight at the target. */
	readonly inFlight: number;
	/** Requests that peers have in flight at the target, by their latest summaries. */
	readonly peerInFlight: number;
	/** Requests that the whole fleet may have in flight at the target in its present state. */
	readonly fleetSlots: number;
	/** Requests that this instance may have in flight at the target. */
	readonly usableSlots: number;
};

/** Describes all known targets. */
export function describeTargets(state: State, now: number): TargetDescription[] {
	const peerInFlight = countPeerInFlight(state);
	return [...state.targets.targets.values()]
		.map(target => describeTarget(state, target, peerInFlight.get(target.listed.id) ?? 0, now));
}

function describeTarget(state: State, target: Target, peerInFlight: number, now: number): TargetDescription {
	const {
		listed, bootedAt, evidenceAt, ejectedUntil, inFlight,
	} = target;
	const {configuration} = state.tables;
	const pool = configuration?.pools.find(({name}) => name === listed.pool);
	const isCold = pool === undefined || !isWarm(target, pool, now);
	return {
		targetId: listed.id,
		pool: listed.pool,
		address: listed.address,
		zone: listed.zone,
		isLeaving: listed.state !== listedState.live,
		isZoneDrained: configuration?.drainedZones.includes(listed.zone) ?? false,
		avoidedForMs: Math.max(0, Math.round(ejectedUntil - now)),
		uptimeMs: computeAge(bootedAt, now),
		evidenceAgeMs: computeAge(evidenceAt, now),
		isCold,
		inFlight,
		peerInFlight,
		fleetSlots: computeFleetSlots(pool, isCold),
		usableSlots: pool === undefined ? 0 : computeUsableSlots({state, now, effects: []}, pool, target),
	};
}

function computeAge(since: number | undefined, now: number): number | undefined {
	return since === undefined ? undefined : Math.round(now - since);
}

function computeFleetSlots(pool: Pool | undefined, isCold: boolean): number {
	if (pool === undefined) {
		return 0;
	}

	return isCold ? pool.coldSlots : pool.slotsPerTarget;
}

function countPeerInFlight({membership}: State): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {summary} of membership.peers.values()) {
		for (const {targetId, inFlight} of summary.targets) {
			counts.set(targetId, (counts.get(targetId) ?? 0) + inFlight);
		}
	}

	return counts;
}
