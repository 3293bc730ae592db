/**
 * The retry budget: retries are a fixed part of this instance's own first
 * attempts, so that over the whole fleet a failing pool gets little more than
 * its ordinary load, without any exchange between instances.
 */
import type {Step} from '../state.js';

/** Retries that each first attempt allows. */
export const retryFraction = 0.2;
/** Retries that an instance may save up, so that a single failed target is ridden out. */
export const maxRetryBudget = 50;

/** Counts a first attempt. */
export function recordFirstAttempt({state: {requests}}: Step): void {
	requests.retryBudget = Math.min(maxRetryBudget, requests.retryBudget + retryFraction);
}

/** Takes one retry from the budget if there is one. */
export function tryTakeRetry({state: {requests}}: Step): boolean {
	if (requests.retryBudget < 1) {
		return false;
	}

	requests.retryBudget -= 1;
	return true;
}
