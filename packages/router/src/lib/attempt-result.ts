/**
 * How an attempt at a target ended.
 */
import type {AttemptOutcome} from '@sequoiatally/core';

export type AttemptResult = {readonly outcome: AttemptOutcome; readonly detail?: string; readonly retryAfterMs?: number};

/** Ends an attempt with a typed result. */
export class AttemptError extends Error {
	readonly result: AttemptResult;

	constructor(result: AttemptResult) {
		super(result.detail);
		this.name = 'AttemptError';
		this.result = result;
	}
}
