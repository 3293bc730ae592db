/**
 * Limits that the whole fleet has to stay under together, by identifier. The
 * share ledger moves parts of them without knowing what they limit.
 */
import type {Step} from '../state.js';
import {computeShareOfRequest} from '../targets/target-boot.js';

/** A rate of tokens and the room for them; slots have room alone. */
export type Limit = {
	/** Tokens per second over the whole fleet; 0 for slots. */
	readonly rate: number;
	/** Burst in tokens, or slots, over the whole fleet. */
	readonly capacity: number;
};

/** Slots of one target over the whole fleet. */
export type SlotLimit = {
	readonly slots: number;
	/** Changes when the slots change, so that loans of an earlier limit do not count. */
	readonly generation: string;
};

const accountPrefix = 'account:';
const slotPrefix = 'slots:';

/** Describes the limit of a client account's rate and burst. */
export function formatAccountLimitId(account: string): string {
	return `${accountPrefix}${account}`;
}

/** Describes the limit of a target's slots in one era. */
export function formatSlotLimitId(targetId: string, generation: string): string {
	return `${slotPrefix}${targetId}:${generation}`;
}

/** Finds the client account of a limit; undefined: it is not an account's. */
export function findLimitAccount(limitId: string): string | undefined {
	return limitId.startsWith(accountPrefix) ? limitId.slice(accountPrefix.length) : undefined;
}

/** Finds the target of a limit; undefined: it is not a target's, or of an earlier era. */
export function findLimitTarget(step: Step, limitId: string): string | undefined {
	if (!limitId.startsWith(slotPrefix)) {
		return undefined;
	}

	const separatorIndex = limitId.lastIndexOf(':');
	const targetId = limitId.slice(slotPrefix.length, separatorIndex);
	return findSlotLimit(step, targetId)?.generation === limitId.slice(separatorIndex + 1) ? targetId : undefined;
}

/** Finds a limit; undefined: there is none of this identifier now. */
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

/** Finds the slots of a target; undefined: the target is not known. */
export function findSlotLimit({state}: Step, targetId: string): SlotLimit | undefined {
	const target = state.targets.targets.get(targetId);
	const pool = state.tables.configuration?.pools.find(({name}) => name === target?.listed.pool);
	return pool === undefined ? undefined : {slots: pool.slotsPerTarget, generation: String(pool.slotsPerTarget)};
}

/** Computes the part of a target's slots that this instance's requests take up, and that it cannot lend. */
export function computeSlotsInUse(step: Step, targetId: string): number {
	const target = step.state.targets.targets.get(targetId);
	const pool = step.state.tables.configuration?.pools.find(({name}) => name === target?.listed.pool);
	return target === undefined || pool === undefined ? 0 : target.inFlight * computeShareOfRequest(step, pool, target);
}

/** Computes the longest time that a request may hold a slot of a target, in milliseconds. */
export function computeMaxSlotUseMs({state}: Step, targetId: string): number {
	const poolName = state.targets.targets.get(targetId)?.listed.pool;
	const routes = state.tables.configuration?.routes ?? [];
	return Math.max(0, ...routes.filter(({pool}) => pool === poolName).map(({deadlineMs}) => deadlineMs));
}
