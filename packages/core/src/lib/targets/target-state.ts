/**
 * The targets known to this instance: their entries in the list, the requests
 * that this instance has in flight there, and the latest evidence of their boots.
 */
import type {DemandMeter} from '../allowance/demand-meter.js';
import {listedState, type ListedTarget} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import type {TargetLoad} from '../message.js';
import type {Step} from '../state.js';
import type {MovedChats} from './moved-chats.js';

export type Target = {
	listed: ListedTarget;
	/** Hash of the target's identifier, for ranking. */
	readonly hash: number;
	/** Requests that this instance has in flight at the target. */
	inFlight: number;
	/** Boot identifier of the engine in the latest evidence; empty if none was received. */
	bootId: string;
	/** Time of that boot on this process's clock; `undefined` if unknown. */
	bootedAt?: number;
	/** Time at which the latest evidence is known to have been valid; `undefined` if there is none or an attempt failed since. */
	evidenceAt?: number;
	/** Time of the latest probe. */
	probedAt?: number;
	/** Time at which this instance last requested slots from peers. */
	slotRequestedAt?: number;
	/** Time until which the target receives no new requests, because an attempt failed. */
	ejectedUntil: number;
};

export type TargetState = {
	targets: Map<string, Target>;
	movedChats: MovedChats;
	/** Meter of recent placements by pool name. */
	placements: Map<string, DemandMeter>;
};

export function createTargetState(): TargetState {
	return {targets: new Map(), movedChats: new Map(), placements: new Map()};
}

/** Applies the targets of a new list. A target that is no longer listed counts as leaving, and is removed once this instance has no request there. */
export function applyListedTargets(step: Step): void {
	const {targets} = step.state.targets;
	const listedTargets = step.state.membership.list?.targets ?? [];
	const listedIds = new Set(listedTargets.map(target => target.id));
	for (const [id, target] of targets) {
		if (!listedIds.has(id) && target.inFlight === 0) {
			targets.delete(id);
		} else if (!listedIds.has(id)) {
			target.listed = {...target.listed, state: listedState.leaving};
		}
	}

	for (const listed of listedTargets) {
		const known = targets.get(listed.id);
		if (known === undefined) {
			targets.set(listed.id, {
				listed, hash: hashText(listed.id), inFlight: 0, bootId: '', ejectedUntil: 0,
			});
		} else {
			known.listed = listed;
		}
	}
}

/** Describes the targets at which this instance has requests in flight. */
export function describeTargetLoads({targets}: TargetState, now: number): TargetLoad[] {
	const loads: TargetLoad[] = [];
	for (const [targetId, target] of targets) {
		if (target.inFlight === 0) {
			continue;
		}

		loads.push({
			targetId,
			inFlight: target.inFlight,
			bootId: target.bootId,
			uptimeMs: target.bootedAt === undefined ? 0 : Math.round(now - target.bootedAt),
			evidenceAgeMs: target.evidenceAt === undefined ? 0 : Math.round(now - target.evidenceAt),
		});
	}

	return loads;
}
