/**
 * Slots: how many requests this instance may have in flight at a target. The
 * shares of all instances add up to the target's slots at most, and move
 * between instances as loans.
 *
 * One ledger serves warm and cold targets. While a target is cold, a request
 * takes up `slotsPerTarget / coldSlots` of it, so that all shares together bear
 * `coldSlots` requests, and a share that moved stays valid when the target turns
 * warm.
 */
import {
	extendLoan, giveBackRoom, isLoanExpected, requestShare,
} from '../allowance/borrow-share.js';
import {describeSlotLimitId, findSlotLimit} from '../allowance/limit.js';
import {computeNetShare} from '../allowance/share-ledger.js';
import type {Pool} from '../configuration/configuration.js';
import {hashText} from '../hash.js';
import {listReachablePeers} from '../membership/peers.js';
import type {Step} from '../state.js';
import {computeShareOfRequest, isWarm} from './target-boot.js';
import type {Target} from './target-state.js';

/** Rounding of sums of shares must not cost a slot. */
const roundingTolerance = 1e-6;
/** Requests for which slots are borrowed beyond those that are needed now. */
const borrowedAhead = 1;
/** Time that borrowed slots are kept without use, in milliseconds. */
const keepUnusedMs = 1000;

/** Computes this instance's share of the target's slots, loans counted. */
export function computeSlotShare(step: Step, target: Target): number {
	return computeNetShare(step, describeLimitId(step, target)).room;
}

/** True when this instance may have one more request in flight at the target. */
export function hasFreeSlot(step: Step, pool: Pool, target: Target): boolean {
	const neededShare = (target.inFlight + 1) * computeShareOfRequest(step, pool, target);
	return neededShare <= computeSlotShare(step, target) + roundingTolerance;
}

/** Asks peers for the share that one more request needs; returns whether an answer may come soon. */
export function requestSlot(step: Step, pool: Pool, target: Target): boolean {
	if (!mayGather(step, pool, target)) {
		return false;
	}

	const limitId = describeLimitId(step, target);
	const perRequest = computeShareOfRequest(step, pool, target);
	const ahead = isWarm(target, pool, step.now) ? borrowedAhead : 0;
	const missing = ((target.inFlight + 1 + ahead) * perRequest) - computeSlotShare(step, target);
	target.slotWantedAt = step.now;
	requestShare(step, limitId, {rate: 0, room: missing, tokens: 0});
	return isLoanExpected(step, limitId);
}

/** Keeps the borrowed slots that are in use and returns the others; called at each tick. */
export function updateSlotLoans(step: Step): void {
	const {targets} = step.state.targets;
	for (const target of targets.values()) {
		const limitId = describeLimitId(step, target);
		const pool = step.state.tables.configuration?.pools.find(({name}) => name === target.listed.pool);
		if (pool === undefined) {
			continue;
		}

		const isWanted = step.now - (target.slotWantedAt ?? Number.NEGATIVE_INFINITY) < keepUnusedMs;
		if (!isWanted) {
			giveBackRoom(step, limitId, target.inFlight * computeShareOfRequest(step, pool, target));
		}

		for (const loan of step.state.allowances.borrowed.listOpen(limitId, step.now)) {
			extendLoan(step, loan);
		}
	}
}

/**
 * True when this instance may gather share of the target. A cold target bears
 * fewer requests than there are instances, so only as many gather as it bears;
 * if lists differ, others gather too, and less is gathered by each.
 */
function mayGather(step: Step, pool: Pool, target: Target): boolean {
	if (isWarm(target, pool, step.now)) {
		return true;
	}

	const ownRank = computeRank(target, step.state.self.instanceId);
	let before = 0;
	for (const peerId of listReachablePeers(step)) {
		before += computeRank(target, peerId) > ownRank ? 1 : 0;
	}

	return before < pool.coldSlots;
}

function computeRank({hash}: Target, instanceId: string): number {
	return hashText(instanceId, hash);
}

function describeLimitId(step: Step, {listed}: Target): string {
	return describeSlotLimitId(listed.id, findSlotLimit(step, listed.id)?.era ?? '');
}
