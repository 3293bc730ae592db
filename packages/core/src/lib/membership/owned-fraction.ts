/**
 * The fraction of every limit that this instance owns. The fractions of all
 * instances that run at one time add up to one at most, although nobody agrees
 * on who they are.
 *
 * Assumed: at most `fleet.ceiling` instances run at once; a read whose `asOf`
 * advanced shows the list as it was at most `fleet.listLagMs` before the read
 * began; clocks run alike within the margins; an instance that the list showed
 * as leaving has stopped when it vanishes.
 */
import type {Fleet} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {
	computeSettleDurationMs, countRecentMembers, isOwnershipExpired, isHistoryComplete, isListFresh, listAbsentOwners,
} from './list-history.js';

/** What the fraction was last computed from, so that one event computes it once. */
export type OwnedFractionCache = {computedAt: number; value: number};

/** Computes the fraction of every limit that this instance owns now. */
export function computeOwnedFraction(step: Step): number {
	const {state, now} = step;
	const {ownedFraction: cached} = state.membership;
	if (cached.computedAt !== now) {
		cached.value = computeFraction(step);
		cached.computedAt = now;
	}

	return cached.value;
}

/** Makes the next computation start anew; to be called when the list or the tables change. */
export function resetOwnedFraction({state}: Step): void {
	state.membership.ownedFraction.computedAt = Number.NaN;
}

/** Finds the place of this instance in the list's order of start; undefined: it is not listed. */
export function findOwnRank({state}: Step): number | undefined {
	const instances = [...state.membership.list?.instances ?? []];
	instances.sort((a, b) => a.since - b.since || (a.id < b.id ? -1 : 1));
	const rank = instances.findIndex(({id}) => id === state.self.instanceId);
	return rank === -1 ? undefined : rank;
}

function computeFraction(step: Step): number {
	const {state, now} = step;
	const fleet = state.tables.configuration?.fleet;
	const {history} = state.membership;
	if (fleet === undefined || !history.hasJoined) {
		return 0;
	}

	const rank = findOwnRank(step);
	if (isOwnershipExpired(history, fleet, now) || (rank !== undefined && rank >= fleet.ceiling)) {
		return 0;
	}

	const minFraction = 1 / fleet.ceiling;
	return isSettled(step, fleet) ? Math.max(minFraction, computeFractionByList(step, fleet)) : minFraction;
}

/** True: this instance knows of everybody that may own share, and everybody knows of it. */
function isSettled({state, now}: Step, fleet: Fleet): boolean {
	const {history} = state.membership;
	const settleDurationMs = computeSettleDurationMs(fleet);
	return isListFresh(history, fleet, now)
		&& now - (history.freshSince ?? now) > settleDurationMs
		&& now - (history.presentSince ?? now) > settleDurationMs
		&& isHistoryComplete(history, fleet, now);
}

function computeFractionByList({state, now}: Step, fleet: Fleet): number {
	const {history} = state.membership;
	const settleDurationMs = computeSettleDurationMs(fleet);
	const reservedCount = listAbsentOwners(history, fleet, now).filter(({absentSince}) => now - absentSince! > settleDurationMs).length;
	return (1 - (reservedCount / fleet.ceiling)) / countRecentMembers(history, fleet, now);
}

/** Computes the fraction that this instance owns of a limit that does not follow the list. */
export function computeCeilingFraction(step: Step): number {
	const ceiling = step.state.tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY;
	return Math.min(1 / ceiling, computeOwnedFraction(step));
}
