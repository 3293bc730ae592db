/**
 * Targets as this instance knows them: what the list says, what it has in
 * flight there itself, and the latest evidence of each target's boot.
 */
import type {DemandMeter} from '../allowance/demand-meter.js';
import {listedState, type ListedTarget} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import type {TargetLoad} from '../message.js';
import type {Step} from '../state.js';
import type {MovedChats} from './moved-chats.js';

export type Target = {
	listed: ListedTarget;
	/** Hash of the identifier, for ranking. */
	readonly hash: number;
	/** Requests that this instance has in flight there. */
	inFlight: number;
	/** The engine's boot identifier by the latest evidence. */
	bootId: string;
	/** Time of that boot, on this process's clock; undefined: not known. */
	bootedAt?: number;
	/** Time at which the latest evidence was certainly true; undefined: none, or a failure came after it. */
	evidenceAt?: number;
	/** Time of the latest probe. */
	probedAt?: number;
	/** Time at which a slot was wanted last that this instance did not have. */
	slotRequestedAt?: number;
	/** Time until which failed connects keep new work away. */
	ejectedUntil: number;
};

export type TargetState = {
	targets: Map<string, Target>;
	movedChats: MovedChats;
	/** Recent placements by pool. */
	placements: Map<string, DemandMeter>;
};

export function createTargetState(): TargetState {
	return {targets: new Map(), movedChats: new Map(), placements: new Map()};
}

/** Takes the targets of a new list; a target that it no longer names is forgotten once idle. */
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

/** Describes the targets on which this instance has requests in flight. */
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
