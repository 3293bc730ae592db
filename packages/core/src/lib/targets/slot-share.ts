/**
 * Slots: how many requests this instance may have in flight at a target. The
 * shares of all instances add up to the target's slots at most.
 *
 * One ledger serves warm and cold targets. While a target is cold, each share
 * counts for `coldSlots / slotsPerTarget` of itself, so the sum is `coldSlots`
 * at most, and a share that moved stays valid when the target turns warm.
 */
import type {Pool} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {isWarm} from './target-boot.js';
import type {Target} from './target-state.js';

/** Rounding of sums of shares must not cost a slot. */
const roundingTolerance = 1e-9;

/** Computes how many requests this instance may have in flight at the target now. */
export function computeUsableSlots(step: Step, pool: Pool, target: Target): number {
	const share = computeSlotShare(step, pool);
	const borne = isWarm(target, pool, step.now) ? 1 : Math.min(1, pool.coldSlots / pool.slotsPerTarget);
	return Math.floor((share * borne) + roundingTolerance);
}

function computeSlotShare({state}: Step, pool: Pool): number {
	return pool.slotsPerTarget / (state.tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY);
}
