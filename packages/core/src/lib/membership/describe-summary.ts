/**
 * Builds the summary of this instance that peers receive in each exchange.
 */
import {protocolVersion, type Summary} from '../message.js';
import type {State} from '../state.js';
import {describeTargetLoads} from '../targets/target-state.js';
import {describeSpare} from '../allowance/allowance-state.js';
import {isHistoryComplete, isListFresh, listAbsentOwners} from './list-history.js';

/** Builds the summary to send in an exchange at `now`. */
export function describeSummary(state: State, now: number): Summary {
	const {tables, membership} = state;
	return {
		protocolVersion,
		instanceId: state.self.instanceId,
		incarnation: state.self.incarnation,
		tablesVersion: tables.configuration?.version ?? 0,
		listAsOf: membership.list?.asOf ?? 0,
		tablesAgeMs: computeAgeMs(tables.currentAt, now),
		listAgeMs: computeAgeMs(membership.listCurrentAt, now),
		draining: membership.isDraining,
		targets: describeTargetLoads(state.targets, now),
		spare: describeSpare(state.allowances, now),
		listHash: membership.listHash,
		...describeHistory(state, now),
	};
}

function describeHistory({tables, membership}: State, now: number): Pick<Summary, 'isHistoryComplete' | 'absent'> {
	const fleet = tables.configuration?.fleet;
	const {history} = membership;
	if (fleet === undefined || !isHistoryComplete(history, fleet, now) || !isListFresh(history, fleet, now)) {
		return {isHistoryComplete: false, absent: []};
	}

	const absent = listAbsentOwners(history, fleet, now)
		.map(({id, since, absentSince}) => ({id, since, absentMs: Math.floor(now - absentSince!)}));
	return {isHistoryComplete: true, absent};
}

function computeAgeMs(currentAt: number | undefined, now: number): number | undefined {
	return currentAt === undefined ? undefined : Math.ceil(now - currentAt);
}
