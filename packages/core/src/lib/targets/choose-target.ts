/**
 * Chooses the target of a request. Determines which targets may receive new
 * requests, which of these have capacity, and which of those the chat prefers.
 */
import {createDemandMeter, recordDemand} from '../allowance/demand-meter.js';
import type {Pool} from '../configuration/configuration.js';
import {listedState} from '../configuration/instance-list.js';
import {isRecovering} from '../membership/pause.js';
import type {Step} from '../state.js';
import {computePoolLoad, isWithinLoadLimit, type PoolLoad} from './load-limit.js';
import {recordPlacement} from './moved-chats.js';
import {hasFreeSlot, requestSlot} from './slot-share.js';
import {isProbePending, probeIfDue} from './target-boot.js';
import {CapacityCheck} from './target-choice.js';
import type {Target} from './target-state.js';

/**
 * Chooses a target with capacity for one more request. Returns `undefined` if
 * there is none now, if the chat's first-ranked target may soon gain capacity, or
 * if the configuration has not been confirmed since a pause of the process.
 */
export function chooseTarget(step: Step, pool: Pool, chatKey: string, excludedIds: ReadonlySet<string>): Target | undefined {
	if (isRecovering(step)) {
		return undefined;
	}

	const {targets, policies, self} = step.state;
	const eligible = listEligibleTargets(step, pool.name);
	const preferred = eligible.filter(target => !excludedIds.has(target.listed.id));
	const candidates = preferred.length > 0 ? preferred : eligible;
	const capacityCheck = new PoolCapacityCheck(step, pool, computePoolLoad(step, pool, eligible));
	const request = {chatKey, zone: self.zone, lastTargetId: targets.movedChats.get(chatKey)};
	const {target, firstRanked} = policies.targetChoice.chooseTarget(candidates, request, capacityCheck);
	if (firstRanked !== undefined) {
		probeIfDue(step, firstRanked, pool);
	}

	if (firstRanked !== undefined && firstRanked !== target && mayGainCapacity(step, pool, firstRanked, capacityCheck)) {
		return undefined;
	}

	if (target !== undefined) {
		recordPlacement(targets.movedChats, chatKey, target.listed.id, firstRanked?.listed.id);
		countPlacement(step, pool);
	}

	return target;
}

function countPlacement({state, now}: Step, pool: Pool): void {
	const meter = state.targets.placements.get(pool.name) ?? createDemandMeter(now);
	recordDemand(meter, 1, now);
	state.targets.placements.set(pool.name, meter);
}

/** True when a pending probe or loan may soon give the target capacity, so that the request should wait for the answer. */
function mayGainCapacity(step: Step, pool: Pool, target: Target, capacityCheck: CapacityCheck): boolean {
	if (isProbePending(target, pool, step.now)) {
		return true;
	}

	return !capacityCheck.hasSlot(target) && capacityCheck.isWithinLoadLimit(target) && requestSlot(step, pool, target);
}

/** Lists the pool's targets that may receive new requests: live, not in a drained zone and not ejected. */
export function listEligibleTargets(step: Step, poolName: string): Target[] {
	const {state, now} = step;
	const drainedZones = state.tables.configuration?.drainedZones ?? [];
	const eligible: Target[] = [];
	for (const target of state.targets.targets.values()) {
		const {listed} = target;
		const isEligible = listed.pool === poolName
			&& listed.state === listedState.live
			&& !drainedZones.includes(listed.zone)
			&& target.ejectedUntil <= now;
		if (isEligible) {
			eligible.push(target);
		}
	}

	return eligible;
}

/** Checks the capacity of the targets of one pool, for one decision. Probes the targets that it checks if their evidence is due for renewal. */
class PoolCapacityCheck extends CapacityCheck {
	readonly #step: Step;
	readonly #pool: Pool;
	readonly #load: PoolLoad;

	constructor(step: Step, pool: Pool, load: PoolLoad) {
		super();
		this.#step = step;
		this.#pool = pool;
		this.#load = load;
	}

	override hasSlot(target: Target): boolean {
		probeIfDue(this.#step, target, this.#pool);
		return hasFreeSlot(this.#step, this.#pool, target);
	}

	override isWithinLoadLimit(target: Target): boolean {
		return isWithinLoadLimit(this.#step, this.#pool, target, this.#load);
	}
}
