/**
 * Explains the choice of a target with a dry run, which makes the same decisions
 * as for a real request without changing the state.
 */
import type {Pool} from '../configuration/configuration.js';
import {listedState} from '../configuration/instance-list.js';
import {eventKind, type RequestArrivedEvent} from '../event.js';
import type {Refusal} from '../refusal.js';
import {admitRequest} from '../requests/admit-request.js';
import type {State, Step} from '../state.js';
import {chooseTarget, listEligibleTargets} from '../targets/choose-target.js';
import {computePoolLoad, isWithinLoadLimit} from '../targets/load-limit.js';
import {hasFreeSlot} from '../targets/slot-share.js';
import {isWarm} from '../targets/target-boot.js';
import {CapacityCheck} from '../targets/target-choice.js';
import type {Target} from '../targets/target-state.js';
import {describeAccount, type AccountDescription} from './describe-accounts.js';
import {computeUsableSlots} from './usable-slots.js';

/** The request whose target is to be explained. */
export type ExplainRequest = {
	readonly method: string;
	readonly path: string;
	readonly model?: string;
	readonly chatId: string;
	/** Client account whose first key is used as the caller's key; `undefined` for a request without a key. */
	readonly account?: string;
	readonly priority?: number;
};

export const targetStanding = {
	/** The request would be sent to this target. */
	chosen: 'chosen',
	/** Has capacity, but another target is preferred. */
	later: 'later',
	/** This instance has no free slot at the target. */
	noSlot: 'no-slot',
	/** One more request would exceed the pool's load limit. */
	overMultiple: 'over-multiple',
	leaving: 'leaving',
	zoneDrained: 'zone-drained',
	/** Ejected for a while after failed attempts. */
	avoided: 'avoided',
	/** Not eligible for a reason that neither the list nor the configuration tables show. */
	notEligible: 'not-eligible',
} as const;

/** Largest number of ranks that are computed; operators need only the first few. */
const maxRankedTargets = 64;

/** Why a target would or would not receive the request. */
export type TargetExplanation = {
	readonly targetId: string;
	readonly zone: string;
	readonly standing: typeof targetStanding[keyof typeof targetStanding];
	/** Rank in the chat's order of preference, from 1; `undefined` if the target is not eligible or its rank was not computed. */
	readonly rank?: number;
	/** Whether the target is limited to its cold slots, until fresh evidence shows that its warm-up is over. */
	readonly isCold: boolean;
	/** Requests that this instance has in flight at the target. */
	readonly inFlight: number;
	/** Requests that this instance may have in flight at the target. */
	readonly usableSlots: number;
};

export type ChoiceExplanation = {
	/** The refusal, if the request would be refused before a target is chosen. */
	readonly refusal?: Refusal;
	readonly route?: string;
	readonly pool?: string;
	readonly account?: AccountDescription;
	/** `undefined` if the request would be refused or no target has capacity now. */
	readonly chosenTargetId?: string;
	/** Targets in the chat's order of preference, followed by those that are not eligible. */
	readonly targets: readonly TargetExplanation[];
};

/** Explains which target a request would be sent to at `now`. */
export function explainChoice(state: State, request: ExplainRequest, now: number): ChoiceExplanation {
	const step: Step = {state: copyForDryRun(state, request.chatId), now, effects: []};
	const admission = admitRequest(step, toRequestArrivedEvent(state, request));
	if (admission.isErr()) {
		return {refusal: admission.error, targets: []};
	}

	const {route, account} = admission.value;
	const pool = state.tables.configuration?.pools.find(({name}) => name === route.pool);
	const targets = pool === undefined ? [] : explainTargets(step, pool, request.chatId);
	return {
		route: route.name,
		pool: route.pool,
		account: describeAccount(state, account, now),
		chosenTargetId: targets.find(({standing}) => standing === targetStanding.chosen)?.targetId,
		targets,
	};
}

function toRequestArrivedEvent({tables}: State, request: ExplainRequest): RequestArrivedEvent {
	const {
		method, path, model, chatId, account, priority = 0,
	} = request;
	const digests = tables.configuration?.accounts.find(({name}) => name === account)?.keyDigests;
	return {
		kind: eventKind.requestArrived, requestId: 'explain', method, path, model, keyDigest: digests?.[0], chatKey: chatId, priority,
	};
}

/** Copies the parts of the state that a dry run would change. */
function copyForDryRun(state: State, chatKey: string): State {
	const targets = new Map([...state.targets.targets].map(([id, target]) => [id, {...target}]));
	const lastTargetId = state.targets.movedChats.get(chatKey);
	const movedChats = new Map(lastTargetId === undefined ? [] : [[chatKey, lastTargetId]]);
	const {allowances} = state;
	return {
		...state,
		targets: {
			...state.targets, targets, movedChats, placements: structuredClone(state.targets.placements),
		},
		allowances: {
			...allowances,
			rateDemands: structuredClone(allowances.rateDemands),
			capacityDemands: structuredClone(allowances.capacityDemands),
			pendingLoans: structuredClone(allowances.pendingLoans),
		},
	};
}

/** Reports capacity at all targets, to determine a chat's order of preference. */
class UnlimitedCapacityCheck extends CapacityCheck {
	override hasSlot(): boolean {
		return true;
	}

	override isWithinLoadLimit(): boolean {
		return true;
	}
}

function explainTargets(step: Step, pool: Pool, chatKey: string): TargetExplanation[] {
	const {state} = step;
	const eligible = listEligibleTargets(step, pool.name);
	const ordered = orderTargets(state, eligible, chatKey);
	const load = computePoolLoad(step, pool, eligible);
	const describeStanding = (target: Target) => {
		if (!hasFreeSlot(step, pool, target)) {
			return targetStanding.noSlot;
		}

		return isWithinLoadLimit(step, pool, target, load) ? targetStanding.later : targetStanding.overMultiple;
	};

	const standings = new Map(eligible.map(target => [target, describeStanding(target)]));
	const chosen = chooseTarget(step, pool, chatKey, new Set());
	const describe = (target: Target, standing: TargetExplanation['standing'], rank?: number) => ({
		targetId: target.listed.id,
		zone: target.listed.zone,
		standing,
		rank,
		isCold: !isWarm(target, pool, step.now),
		inFlight: target.inFlight,
		usableSlots: computeUsableSlots(step, pool, target),
	});
	const ranked = new Set(ordered);
	const unranked = eligible.filter(target => !ranked.has(target));
	const ineligible = [...state.targets.targets.values()].filter(target => target.listed.pool === pool.name && !standings.has(target));
	return [
		...ordered.map((target, index) => describe(target, target === chosen ? targetStanding.chosen : standings.get(target)!, index + 1)),
		...unranked.map(target => describe(target, target === chosen ? targetStanding.chosen : standings.get(target)!)),
		...ineligible.map(target => describe(target, describeIneligibility(step, target))),
	];
}

/** Orders targets by a chat's preference, by repeatedly removing the chat's first-ranked target from the candidates. */
function orderTargets({policies, self}: State, eligible: readonly Target[], chatKey: string): Target[] {
	const remaining = new Set(eligible);
	const ordered: Target[] = [];
	while (remaining.size > 0 && ordered.length < maxRankedTargets) {
		const {firstRanked} = policies.targetChoice.chooseTarget([...remaining], {chatKey, zone: self.zone}, new UnlimitedCapacityCheck());
		if (firstRanked === undefined) {
			break;
		}

		remaining.delete(firstRanked);
		ordered.push(firstRanked);
	}

	return ordered;
}

function describeIneligibility({state, now}: Step, {listed, ejectedUntil}: Target): TargetExplanation['standing'] {
	if (listed.state !== listedState.live) {
		return targetStanding.leaving;
	}

	if (state.tables.configuration?.drainedZones.includes(listed.zone)) {
		return targetStanding.zoneDrained;
	}

	return ejectedUntil > now ? targetStanding.avoided : targetStanding.notEligible;
}
