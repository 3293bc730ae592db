/**
 * Failures that this instance answers with itself. The statuses 429 and 503
 * promise that the request has not run and will not; 502 and 504 promise
 * nothing.
 */

export const failureReason = {
	badRequest: 'bad-request',
	keyUnknown: 'key-unknown',
	noRoute: 'no-route',
	bodyTooLarge: 'body-too-large',
	headTooLarge: 'head-too-large',
	/** No tables are known yet. */
	notReady: 'not-ready',
	/** What is known may be out of date, and says no. */
	directoryStale: 'directory-stale',
	draining: 'draining',
	/** No target may get the request now. */
	noTarget: 'no-target',
	/** Targets were asked, and none ran the request. */
	notRun: 'not-run',
	/** The request may have run; its answer is lost. */
	answerLost: 'answer-lost',
	deadlineExceeded: 'deadline-exceeded',
} as const;
export type FailureReason = typeof failureReason[keyof typeof failureReason];

export type Failure = {
	readonly reason: FailureReason;
	/** HTTP status. */
	readonly status: number;
	/** Time after which a repeat can succeed, in milliseconds. */
	readonly retryAfterMs?: number;
};

const statusByReason: Readonly<Record<FailureReason, number>> = {
	[failureReason.badRequest]: 400,
	[failureReason.keyUnknown]: 401,
	[failureReason.noRoute]: 404,
	[failureReason.bodyTooLarge]: 413,
	[failureReason.headTooLarge]: 431,
	[failureReason.notReady]: 503,
	[failureReason.directoryStale]: 503,
	[failureReason.draining]: 503,
	[failureReason.noTarget]: 503,
	[failureReason.notRun]: 503,
	[failureReason.answerLost]: 502,
	[failureReason.deadlineExceeded]: 504,
};

export function createFailure(reason: FailureReason, retryAfterMs?: number): Failure {
	return {reason, status: statusByReason[reason], retryAfterMs};
}
