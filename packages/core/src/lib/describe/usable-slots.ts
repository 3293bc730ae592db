/**
 * Computes how many requests this instance may have in flight at a target,
 * without borrowing more slots from peers.
 */
import type {Pool} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {computeSlotShare} from '../targets/slot-share.js';
import {computeSlotsPerRequest} from '../targets/target-boot.js';
import type {Target} from '../targets/target-state.js';

/** Tolerance for rounding errors in sums of shares, which must not cost a slot. */
const roundingTolerance = 1e-6;

/** Computes the number of requests that this instance may have in flight at the target now. */
export function computeUsableSlots(step: Step, pool: Pool, target: Target): number {
	return Math.floor((computeSlotShare(step, target) + roundingTolerance) / computeSlotsPerRequest(step, pool, target));
}
