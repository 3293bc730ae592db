/**
 * Result of an attempt at a target.
 */
import type {AttemptOutcome} from '@sequoiatally/core';

export type AttemptResult = {readonly outcome: AttemptOutcome; readonly detail?: string; readonly retryAfterMs?: number};

/** Error that ends an attempt with the given result. */
export class AttemptError extends Error {
	readonly result: AttemptResult;

	constructor(result: AttemptResult) {
		super(result.detail);
		this.name = 'AttemptError';
		this.result = result;
	}
}
