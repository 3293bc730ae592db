/**
 * Failures that the gateway itself sends as responses. Status 503 guarantees that
 * the request has not run and will not run, as 429 would; 502 and 504 leave that
 * open.
 */

export const failureReason = {
	badRequest: 'bad-request',
	keyUnknown: 'key-unknown',
	noRoute: 'no-route',
	bodyTooLarge: 'body-too-large',
	headTooLarge: 'head-too-large',
	/** The body did not arrive within the route's time limit, and others need its memory. */
	bodyLate: 'body-late',
	/** The body does not fit into the memory beside those of the open requests. */
	memoryFull: 'memory-full',
	/** No configuration tables have been received yet. */
	notReady: 'not-ready',
	/** The directory has no matching entry but may be out of date. */
	directoryStale: 'directory-stale',
	draining: 'draining',
	/** The request was relayed by an instance that is no known member, or this instance relays too many requests. */
	relayRefused: 'relay-refused',
	/** No target may receive the request now. */
	noTarget: 'no-target',
	/** The caller takes up a stream, and it is not certain which software version began it. */
	versionUnknown: 'version-unknown',
	/** The caller takes up a stream, and no target has the software version that began it. */
	versionGone: 'version-gone',
	/** All targets name a limit, and this instance has used its share. */
	targetsLimited: 'targets-limited',
	/** The account exceeds its fair share of a pool that is contended, and the request was not sent. */
	accountShare: 'account-share',
	/** The request has prompt parts that crashed several targets, and was not sent. */
	promptQuarantined: 'prompt-quarantined',
	/** The request itself crashed several targets, and was not sent. */
	requestQuarantined: 'request-quarantined',
	/** The request was sent, but no target ran it. */
	notRun: 'not-run',
	/** The request may have run, but its response is lost. */
	answerLost: 'answer-lost',
	deadlineExceeded: 'deadline-exceeded',
} as const;
export type FailureReason = typeof failureReason[keyof typeof failureReason];

export type Failure = {
	readonly reason: FailureReason;
	/** HTTP status. */
	readonly status: number;
	/** Time after which a retry by the caller can succeed, in milliseconds. */
	readonly retryAfterMs?: number;
};

const statusByReason: Readonly<Record<FailureReason, number>> = {
	[failureReason.badRequest]: 400,
	[failureReason.keyUnknown]: 401,
	[failureReason.noRoute]: 404,
	[failureReason.bodyTooLarge]: 413,
	[failureReason.headTooLarge]: 431,
	[failureReason.bodyLate]: 408,
	[failureReason.memoryFull]: 503,
	[failureReason.notReady]: 503,
	[failureReason.directoryStale]: 503,
	[failureReason.draining]: 503,
	[failureReason.relayRefused]: 503,
	[failureReason.noTarget]: 503,
	[failureReason.versionUnknown]: 503,
	[failureReason.versionGone]: 503,
	[failureReason.targetsLimited]: 503,
	[failureReason.accountShare]: 503,
	[failureReason.promptQuarantined]: 503,
	[failureReason.requestQuarantined]: 503,
	[failureReason.notRun]: 503,
	[failureReason.answerLost]: 502,
	[failureReason.deadlineExceeded]: 504,
};

export function createFailure(reason: FailureReason, retryAfterMs?: number): Failure {
	return {reason, status: statusByReason[reason], retryAfterMs};
}
