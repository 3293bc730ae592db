/**
 * The retry budget limits retries to a fixed fraction of this instance's own
 * first attempts. A failing pool thus receives little more than its ordinary
 * load from the whole fleet, without any exchange between instances.
 */
import type {Step} from '../state.js';

/** Retries that each first attempt adds to the budget. */
export const retryFraction = 0.2;
/** Largest budget, in retries: enough to absorb the failure of a single target. */
export const maxRetryBudget = 50;

/** Adds the retries for one first attempt to the budget. */
export function recordFirstAttempt({state: {requests}}: Step): void {
	requests.retryBudget = Math.min(maxRetryBudget, requests.retryBudget + retryFraction);
}

/** Takes one retry from the budget if it holds one; returns whether it did. */
export function tryTakeRetry({state: {requests}}: Step): boolean {
	if (requests.retryBudget < 1) {
		return false;
	}

	requests.retryBudget -= 1;
	return true;
}
