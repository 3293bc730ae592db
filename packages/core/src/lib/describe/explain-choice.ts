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
import type {Target} from '../targets/target-state.js';
import {describeAccount, type AccountDescription} from './describe-accounts.js';

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
	/** May take new work, but stands after the chosen one in the order. */
	later: 'later',
	/** May take new work, stands before the chosen one, and has no room now. */
	noRoom: 'no-room',
	leaving: 'leaving',
	zoneDrained: 'zone-drained',
	/** Left alone for a while after failed attempts. */
	avoided: 'avoided',
	/** Not eligible for a reason that the list and the tables do not show. */
	notEligible: 'not-eligible',
} as const;

/** Why one target would or would not get the request. */
export type TargetExplanation = {
	readonly targetId: string;
	readonly zone: string;
	readonly standing: typeof targetStanding[keyof typeof targetStanding];
	/** Place in the chat's order, from 1; undefined: may not take new work. */
	readonly rank?: number;
	/** Requests that this instance has in flight there. */
	readonly inFlight: number;
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
	const step: Step = {state, now, effects: []};
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

function explainTargets(step: Step, pool: Pool, chatKey: string): TargetExplanation[] {
	const {state} = step;
	const eligible = listEligibleTargets(step, pool.name);
	const chosen = chooseTarget(step, pool, chatKey, new Set());
	const ordered = state.policies.targetChoice.orderTargets([...eligible], {chatKey, zone: state.self.zone});
	const chosenIndex = chosen === undefined ? ordered.length : ordered.indexOf(chosen);
	const others = [...state.targets.targets.values()].filter(target => target.listed.pool === pool.name && !eligible.includes(target));
	return [
		...ordered.map((target, index) => describeTarget(target, describeRank(index, chosenIndex), index + 1)),
		...others.map(target => describeTarget(target, describeObstacle(step, target))),
	];
}

function describeTarget({listed, inFlight}: Target, standing: TargetExplanation['standing'], rank?: number): TargetExplanation {
	return {
		targetId: listed.id, zone: listed.zone, standing, rank, inFlight,
	};
}

function describeRank(index: number, chosenIndex: number): TargetExplanation['standing'] {
	if (index === chosenIndex) {
		return targetStanding.chosen;
	}

	return index < chosenIndex ? targetStanding.noRoom : targetStanding.later;
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
