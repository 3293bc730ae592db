/**
 * Explains where a request would go, as a dry run: the same decisions as for
 * a real request, without changing the state.
 */
import type {Pool} from '../configuration/configuration.js';
import {listedState} from '../configuration/instance-list.js';
import {eventKind, type RequestArrived} from '../event.js';
import type {Refusal} from '../refusal.js';
import {admitRequest} from '../requests/admit-request.js';
import type {State, Step} from '../state.js';
import {chooseTarget, listEligibleTargets} from '../targets/choose-target.js';
import {computePoolLoad, isWithinMultiple} from '../targets/load-multiple.js';
import {hasFreeSlot} from '../targets/slot-share.js';
import {isWarm} from '../targets/target-boot.js';
import {Room} from '../targets/target-choice.js';
import type {Target} from '../targets/target-state.js';
import {describeAccount, type AccountDescription} from './describe-accounts.js';
import {computeUsableSlots} from './usable-slots.js';

/** The request that is asked about. */
export type ChoiceQuestion = {
	readonly method: string;
	readonly path: string;
	readonly model?: string;
	readonly chatId: string;
	/** Client account whose first key stands in for the caller's; undefined: no key. */
	readonly account?: string;
	readonly priority?: number;
};

export const targetStanding = {
	/** The request would go here. */
	chosen: 'chosen',
	/** Has room, but stands after the chosen one in the order. */
	later: 'later',
	/** This instance has no free slot there. */
	noSlot: 'no-slot',
	/** One more request would bring it over the pool's load multiple. */
	overMultiple: 'over-multiple',
	leaving: 'leaving',
	zoneDrained: 'zone-drained',
	/** Left alone for a while after failed attempts. */
	avoided: 'avoided',
	/** Not eligible for a reason that the list and the tables do not show. */
	notEligible: 'not-eligible',
} as const;

/** Ranks that are computed; operators ask for the first few of many. */
const rankLimit = 64;

/** Why one target would or would not get the request. */
export type TargetExplanation = {
	readonly targetId: string;
	readonly zone: string;
	readonly standing: typeof targetStanding[keyof typeof targetStanding];
	/** Place in the chat's order, from 1; undefined: may not take new work, or stands far behind. */
	readonly rank?: number;
	/** True: bears only its cold slots until it is old enough, and fresh evidence says so. */
	readonly isCold: boolean;
	/** Requests that this instance has in flight there. */
	readonly inFlight: number;
	/** Requests that this instance may have in flight there. */
	readonly usableSlots: number;
};

export type ChoiceExplanation = {
	/** Why the request would be refused before a target is chosen. */
	readonly refusal?: Refusal;
	readonly route?: string;
	readonly pool?: string;
	readonly account?: AccountDescription;
	/** Undefined: refused, or no target has room now. */
	readonly chosenTargetId?: string;
	/** In the order in which they would be tried, those that may not be tried last. */
	readonly targets: readonly TargetExplanation[];
};

/** Explains where a request would go at `now`. */
export function explainChoice(state: State, question: ChoiceQuestion, now: number): ChoiceExplanation {
	const step: Step = {state: copyForDryRun(state, question.chatId), now, effects: []};
	const admission = admitRequest(step, toArrival(state, question));
	if (admission.isErr()) {
		return {refusal: admission.error, targets: []};
	}

	const {route, account} = admission.value;
	const pool = state.tables.configuration?.pools.find(({name}) => name === route.pool);
	const targets = pool === undefined ? [] : explainTargets(step, pool, question.chatId);
	return {
		route: route.name,
		pool: route.pool,
		account: describeAccount(state, account, now),
		chosenTargetId: targets.find(({standing}) => standing === targetStanding.chosen)?.targetId,
		targets,
	};
}

function toArrival({tables}: State, question: ChoiceQuestion): RequestArrived {
	const {
		method, path, model, chatId, account, priority = 0,
	} = question;
	const digests = tables.configuration?.accounts.find(({name}) => name === account)?.keyDigests;
	return {
		kind: eventKind.requestArrived, requestId: 'explain', method, path, model, keyDigest: digests?.[0], chatKey: chatId, priority,
	};
}

/** Copies the parts of the state that a choice changes. */
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

/** Room everywhere, to find the order in which a chat prefers targets. */
class AnyRoom extends Room {
	override hasSlot(): boolean {
		return true;
	}

	override isWithinMultiple(): boolean {
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

		return isWithinMultiple(step, pool, target, load) ? targetStanding.later : targetStanding.overMultiple;
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
	const others = [...state.targets.targets.values()].filter(target => target.listed.pool === pool.name && !standings.has(target));
	return [
		...ordered.map((target, index) => describe(target, target === chosen ? targetStanding.chosen : standings.get(target)!, index + 1)),
		...unranked.map(target => describe(target, target === chosen ? targetStanding.chosen : standings.get(target)!)),
		...others.map(target => describe(target, describeObstacle(step, target))),
	];
}

/** Orders targets as a chat prefers them, by taking away its home again and again. */
function orderTargets({policies, self}: State, eligible: readonly Target[], chatKey: string): Target[] {
	const remaining = new Set(eligible);
	const ordered: Target[] = [];
	while (remaining.size > 0 && ordered.length < rankLimit) {
		const {home} = policies.targetChoice.chooseTarget([...remaining], {chatKey, zone: self.zone}, new AnyRoom());
		if (home === undefined) {
			break;
		}

		remaining.delete(home);
		ordered.push(home);
	}

	return ordered;
}

function describeObstacle({state, now}: Step, {listed, avoidUntil}: Target): TargetExplanation['standing'] {
	if (listed.state !== listedState.live) {
		return targetStanding.leaving;
	}

	if (state.tables.configuration?.drainedZones.includes(listed.zone)) {
		return targetStanding.zoneDrained;
	}

	return avoidUntil > now ? targetStanding.avoided : targetStanding.notEligible;
}
