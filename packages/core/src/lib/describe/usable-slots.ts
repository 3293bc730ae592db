/**
 * Describes how many requests this instance may have in flight at a target,
 * without asking peers for more.
 */
import type {Pool} from '../configuration/configuration.js';
import type {Step} from '../state.js';
import {computeSlotShare} from '../targets/slot-share.js';
import {computeSlotsPerRequest} from '../targets/target-boot.js';
import type {Target} from '../targets/target-state.js';

/** Rounding of sums of shares must not cost a slot. */
const roundingTolerance = 1e-6;

/** Computes the slots that this instance may use now. */
export function computeUsableSlots(step: Step, pool: Pool, target: Target): number {
	return Math.floor((computeSlotShare(step, target) + roundingTolerance) / computeSlotsPerRequest(step, pool, target));
}
