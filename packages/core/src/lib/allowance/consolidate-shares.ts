/**
 * Consolidates the shares of small limits at one instance. Divided among all
 * instances, a small limit yields a few tokens each; buckets of idle instances
 * overflow while a busy instance has no tokens. The consolidator of a limit,
 * chosen by rendezvous hashing, borrows the shares of the other instances and
 * lends them tokens as requests arrive. Instances with different lists may
 * choose two consolidators. The limit still holds, because the lenders have
 * subtracted whatever either consolidator holds.
 */
import {listedState} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import type {Step} from '../state.js';
import {findLimit, findLimitAccount} from './limit.js';

/** Capacity of one instance's share below which an account's limit is consolidated, in tokens. */
const consolidateBelowTokens = 12;
/** Capacity of one instance's share below which unused token loans are returned before their term ends, in tokens. */
const scarceBelowTokens = 4;

/**
 * Finds the instance that consolidates a limit. Returns `undefined` if the limit
 * is not an account's, is large enough to stay divided, or no instance is live.
 */
export function findConsolidator(step: Step, limitId: string): string | undefined {
	const {state} = step;
	const ceiling = state.tables.configuration?.fleet.ceiling ?? 1;
	const limit = findLimit(step, limitId);
	if (limit === undefined || findLimitAccount(limitId) === undefined || limit.capacity / ceiling >= consolidateBelowTokens) {
		return undefined;
	}

	const {consolidators} = state.allowances;
	const cached = consolidators.get(limitId);
	if (cached?.listHash === state.membership.listHash) {
		return cached.instanceId;
	}

	const instanceId = chooseConsolidator(step, limitId);
	consolidators.set(limitId, {listHash: state.membership.listHash, instanceId});
	return instanceId;
}

/** Says whether an account's limit is so small that capacity tied up in a token loan until the end of its term would be missed. */
export function isCapacityScarce(step: Step, limitId: string): boolean {
	const ceiling = step.state.tables.configuration?.fleet.ceiling ?? 1;
	const limit = findLimit(step, limitId);
	return limit !== undefined && findLimitAccount(limitId) !== undefined && limit.capacity / ceiling < scarceBelowTokens;
}

function chooseConsolidator({state}: Step, limitId: string): string | undefined {
	let chosenId: string | undefined;
	let chosenScore = -1;
	for (const {id, state: listed} of state.membership.list?.instances ?? []) {
		const score = listed === listedState.live ? hashText(`${limitId}/${id}`) : -1;
		if (score > chosenScore) {
			chosenId = id;
			chosenScore = score;
		}
	}

	return chosenId;
}
