/**
 * Limits that apply to the fleet as a whole, by identifier: rate and burst of a
 * client account, slots of a target. The share ledger keeps both kinds in the
 * same way, but divides slots by the fleet ceiling only and lends them with a
 * longer grace.
 */
import type {Step} from '../state.js';
import {computeSlotsPerRequest} from '../targets/target-boot.js';

/** A limit of the whole fleet. A target's slots have a capacity only. */
export type Limit = {
	/** Tokens per second; 0 for slots. */
	readonly rate: number;
	/** Burst in tokens, or number of slots. */
	readonly capacity: number;
};

/** Slots of one target, shared by the whole fleet. */
export type SlotLimit = {
	readonly slots: number;
	/** Changes when the number of slots changes, so that loans of the former limit no longer count. */
	readonly generation: string;
};

const accountPrefix = 'account:';
const slotPrefix = 'slots:';

/** Formats the identifier of the limit on a client account's rate and burst. */
export function formatAccountLimitId(account: string): string {
	return `${accountPrefix}${account}`;
}

/** Formats the identifier of the limit on a target's slots in one generation. */
export function formatSlotLimitId(targetId: string, generation: string): string {
	return `${slotPrefix}${targetId}:${generation}`;
}

/** Finds the client account of a limit; `undefined` if the limit is not an account's. */
export function findLimitAccount(limitId: string): string | undefined {
	return limitId.startsWith(accountPrefix) ? limitId.slice(accountPrefix.length) : undefined;
}

/** Finds the target of a limit; `undefined` if the limit is not a target's or belongs to another generation. */
export function findLimitTarget(step: Step, limitId: string): string | undefined {
	if (!limitId.startsWith(slotPrefix)) {
		return undefined;
	}

	const separatorIndex = limitId.lastIndexOf(':');
	const targetId = limitId.slice(slotPrefix.length, separatorIndex);
	return findSlotLimit(step, targetId)?.generation === limitId.slice(separatorIndex + 1) ? targetId : undefined;
}

/** Finds a limit; `undefined` if no current limit has this identifier. */
export function findLimit(step: Step, limitId: string): Limit | undefined {
	const name = findLimitAccount(limitId);
	if (name !== undefined) {
		const account = step.state.tables.accountByName.get(name);
		return account === undefined ? undefined : {rate: account.rate, capacity: account.burst};
	}

	const targetId = findLimitTarget(step, limitId);
	const slots = targetId === undefined ? undefined : findSlotLimit(step, targetId)?.slots;
	return slots === undefined ? undefined : {rate: 0, capacity: slots};
}

/** Finds the slots of a target; `undefined` if the target or its pool is unknown. */
export function findSlotLimit({state}: Step, targetId: string): SlotLimit | undefined {
	const target = state.targets.targets.get(targetId);
	const pool = state.tables.configuration?.pools.find(({name}) => name === target?.listed.pool);
	return pool === undefined ? undefined : {slots: pool.slotsPerTarget, generation: String(pool.slotsPerTarget)};
}

/** Computes the slots of a target that this instance's requests occupy and that it therefore cannot lend. */
export function computeSlotsInUse(step: Step, targetId: string): number {
	const target = step.state.targets.targets.get(targetId);
	const pool = step.state.tables.configuration?.pools.find(({name}) => name === target?.listed.pool);
	return target === undefined || pool === undefined ? 0 : target.inFlight * computeSlotsPerRequest(step, pool, target);
}

/** Computes the longest time for which a request may hold a slot of a target, in milliseconds. */
export function computeMaxSlotUseMs({state}: Step, targetId: string): number {
	const poolName = state.targets.targets.get(targetId)?.listed.pool;
	const routes = state.tables.configuration?.routes ?? [];
	return Math.max(0, ...routes.filter(({pool}) => pool === poolName).map(({deadlineMs}) => deadlineMs));
}
