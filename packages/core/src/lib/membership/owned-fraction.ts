/**
 * Computes the fraction of every limit that this instance owns. The fractions
 * of all running instances add up to at most one, although the instances have
 * no agreed view of the membership.
 *
 * Assumptions: at most `fleet.ceiling` instances run at once; a read that
 * returns a newer `asOf` shows the list as of at most `fleet.listLagMs` before
 * the start of the read; clock rates differ by less than the margins; an
 * instance listed as leaving has stopped by the time it is no longer listed.
 */
import type {Fleet} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {
	computeSettleDurationMs, countRecentMembers, isOwnershipExpired, isHistoryComplete, isListFresh, listAbsentOwners,
} from './list-history.js';

/** The last computed fraction and the time of its computation, so that the fraction is computed once per event. */
export type OwnedFractionCache = {computedAt: number; value: number};

/** Computes the fraction, from 0 to 1, of every limit that this instance owns now. */
export function computeOwnedFraction(step: Step): number {
	const {state, now} = step;
	const {ownedFraction: cached} = state.membership;
	if (cached.computedAt !== now) {
		cached.value = computeFraction(step);
		cached.computedAt = now;
	}

	return cached.value;
}

/** Invalidates the cached fraction; to be called when the list or the configuration changes. */
export function resetOwnedFraction({state}: Step): void {
	state.membership.ownedFraction.computedAt = Number.NaN;
}

/** Finds the zero-based rank of this instance by start time; `undefined` if it is not listed. */
export function findOwnRank({state}: Step): number | undefined {
	const instances = [...state.membership.list?.instances ?? []];
	instances.sort((a, b) => a.since - b.since || (a.id < b.id ? -1 : 1));
	const rank = instances.findIndex(({id}) => id === state.self.instanceId);
	return rank === -1 ? undefined : rank;
}

/**
 * Computes the fraction without the cache. Once it has joined, this instance owns
 * at least `1 / fleet.ceiling` as long as its ownership has not expired: its peers
 * count it while it is listed, and reserve this fraction while it is absent.
 */
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

/** Whether this instance knows every instance that may own share, and all of them know this instance. */
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

/** Computes the fraction that this instance owns of a limit that is not divided by the list: at most `1 / fleet.ceiling`. */
export function computeCeilingFraction(step: Step): number {
	const ceiling = step.state.tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY;
	return Math.min(1 / ceiling, computeOwnedFraction(step));
}
