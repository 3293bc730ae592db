/**
 * Slots: how many requests this instance may have in flight at a target. The
 * shares of all instances add up to at most the target's slots; instances lend
 * parts of their shares to each other.
 *
 * One ledger covers warm and cold targets. While a target is cold, each request
 * takes `slotsPerTarget / coldSlots` slots, so that all shares together allow
 * `coldSlots` requests, and a lent share stays valid when the target becomes
 * warm.
 */
import {
	requestExtension, returnCapacity, isLoanPending, requestShare,
} from '../allowance/borrow-share.js';
import {formatSlotLimitId, findSlotLimit} from '../allowance/limit.js';
import {computeNetShare} from '../allowance/share-ledger.js';
import type {Pool} from '../configuration/configuration.js';
import {hashText} from '../hash.js';
import {listReachablePeers} from '../membership/peers.js';
import type {Step} from '../state.js';
import {computeSlotsPerRequest, isWarm} from './target-boot.js';
import type {Target} from './target-state.js';

/** Tolerance for rounding errors in sums of shares, which must not cost a slot. */
const roundingTolerance = 1e-6;
/** Number of requests for which slots are borrowed beyond the current need. */
const extraBorrowedRequests = 1;
/** Time for which unused borrowed slots are kept after the last request for slots, in milliseconds. */
const unusedSlotRetentionMs = 1000;

/** Computes this instance's share of the target's slots, including loans. */
export function computeSlotShare(step: Step, target: Target): number {
	return computeNetShare(step, formatLimitId(step, target)).capacity;
}

/** True when this instance may have one more request in flight at the target. */
export function hasFreeSlot(step: Step, pool: Pool, target: Target): boolean {
	const neededSlots = (target.inFlight + 1) * computeSlotsPerRequest(step, pool, target);
	return neededSlots <= computeSlotShare(step, target) + roundingTolerance;
}

/** Asks peers for the slots that one more request needs; returns whether an answer may arrive soon. */
export function requestSlot(step: Step, pool: Pool, target: Target): boolean {
	if (!mayBorrowSlots(step, pool, target)) {
		return false;
	}

	const limitId = formatLimitId(step, target);
	const slotsPerRequest = computeSlotsPerRequest(step, pool, target);
	const extraRequests = isWarm(target, pool, step.now) ? extraBorrowedRequests : 0;
	const missingSlots = ((target.inFlight + 1 + extraRequests) * slotsPerRequest) - computeSlotShare(step, target);
	target.slotRequestedAt = step.now;
	requestShare(step, limitId, {rate: 0, room: missingSlots, tokens: 0});
	return isLoanPending(step, limitId);
}

/** Returns borrowed slots that are no longer needed and extends the remaining loans; called at each tick. */
export function updateSlotLoans(step: Step): void {
	const {targets} = step.state.targets;
	for (const target of targets.values()) {
		const limitId = formatLimitId(step, target);
		const pool = step.state.tables.configuration?.pools.find(({name}) => name === target.listed.pool);
		if (pool === undefined) {
			continue;
		}

		const isRecentlyRequested = step.now - (target.slotRequestedAt ?? Number.NEGATIVE_INFINITY) < unusedSlotRetentionMs;
		if (!isRecentlyRequested) {
			returnCapacity(step, limitId, target.inFlight * computeSlotsPerRequest(step, pool, target));
		}

		for (const loan of step.state.allowances.borrowed.listActive(limitId, step.now)) {
			requestExtension(step, loan);
		}
	}
}

/**
 * True when this instance may borrow slots of the target. A cold target can have
 * fewer slots than there are instances, so only as many instances borrow as
 * requests fit there. If the instances know different peers, more of them borrow
 * and each obtains less.
 */
function mayBorrowSlots(step: Step, pool: Pool, target: Target): boolean {
	if (isWarm(target, pool, step.now)) {
		return true;
	}

	const ownRank = computeRank(target, step.state.self.instanceId);
	let higherRankedCount = 0;
	for (const peerId of listReachablePeers(step)) {
		higherRankedCount += computeRank(target, peerId) > ownRank ? 1 : 0;
	}

	return higherRankedCount < pool.coldSlots;
}

function computeRank({hash}: Target, instanceId: string): number {
	return hashText(instanceId, hash);
}

function formatLimitId(step: Step, {listed}: Target): string {
	return formatSlotLimitId(listed.id, findSlotLimit(step, listed.id)?.generation ?? '');
}
