/**
 * Chooses the target of a request: which targets may take new work now, then
 * the first of them, in the chat's own order, that has room.
 */
import type {Pool} from '../configuration/configuration.js';
import {listedState} from '../configuration/instance-list.js';
import type {Step} from '../state.js';
import type {Target} from './target-state.js';

/** Finds a target with room for one more request; undefined: none has room now. */
export function chooseTarget(step: Step, pool: Pool, chatKey: string, avoidIds: ReadonlySet<string>): Target | undefined {
	const eligible = listEligibleTargets(step, pool.name);
	const preferred = eligible.filter(target => !avoidIds.has(target.listed.id));
	const candidates = preferred.length > 0 ? preferred : eligible;
	const ordered = step.state.policies.targetChoice.orderTargets([...candidates], {chatKey, zone: step.state.self.zone});
	const inFlight = eligible.reduce((sum, target) => sum + target.inFlight, 0);
	return ordered.find(target => hasRoom(step, pool, target, inFlight, eligible.length));
}

/** Lists the pool's targets that may take new work: live, in no drained zone, not failing. */
export function listEligibleTargets(step: Step, poolName: string): Target[] {
	const {state, now} = step;
	const drainedZones = state.tables.configuration?.drainedZones ?? [];
	const eligible: Target[] = [];
	for (const target of state.targets.targets.values()) {
		const {listed} = target;
		const isEligible = listed.pool === poolName
			&& listed.state === listedState.live
			&& !drainedZones.includes(listed.zone)
			&& target.avoidUntil <= now;
		if (isEligible) {
			eligible.push(target);
		}
	}

	return eligible;
}

function hasRoom(step: Step, pool: Pool, target: Target, poolInFlight: number, targetCount: number): boolean {
	const ceiling = step.state.tables.configuration?.fleet.ceiling ?? 1;
	const ownSlots = Math.max(1, Math.floor(pool.slotsPerTarget / ceiling));
	const meanAfter = (poolInFlight + 1) / targetCount;
	const bound = Math.max(1, Math.floor(pool.loadMultiple * meanAfter));
	return target.inFlight < Math.min(ownSlots, bound);
}
