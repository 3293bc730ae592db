/**
 * Small limits are gathered: divided by the instances they come to a few
 * tokens each, which overflow at idle instances while a busy one has none. One
 * instance, chosen by rendezvous hashing, borrows the shares of all and lends
 * tokens for each request. Where lists differ there are two gatherers, and no
 * harm: what either holds was subtracted elsewhere.
 */
import {listedState} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import type {Step} from '../state.js';
import {findLimit, findLimitAccount} from './limit.js';

/** Room of one instance's share below which an account's limit is gathered, in tokens. */
const consolidateBelowTokens = 12;
/** Room of one instance's share below which even a token's room is returned at once, in tokens. */
const scarceBelowTokens = 4;

/** Finds the instance that gathers a limit; undefined: the limit is large enough to stay spread. */
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

/** True: the room that a loan of tokens locks until its term has passed would be missed. */
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
