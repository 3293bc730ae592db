/**
 * Refusals: the ways in which a request ends without its complete answer.
 *
 * The outcome `not-run` is a guarantee: no byte of the request can have reached
 * a target, or the target reported that the request was not started. All other
 * refusals have the outcome `unknown`.
 */

/** Whether the request may have had an effect. */
export const runOutcome = {
	notRun: 'not-run',
	unknown: 'unknown',
} as const;
export type RunOutcome = typeof runOutcome[keyof typeof runOutcome];

export const refusalReason = {
	badRequest: 'bad-request',
	noRoute: 'no-route',
	keyMissing: 'key-missing',
	keyUnknown: 'key-unknown',
	notReady: 'not-ready',
	configurationStale: 'configuration-stale',
	draining: 'draining',
	rateExceeded: 'rate-exceeded',
	overloaded: 'overloaded',
	noTarget: 'no-target',
	targetUnreachable: 'target-unreachable',
	answerLost: 'answer-lost',
	deadlineExceeded: 'deadline-exceeded',
	duplicate: 'duplicate',
	ticketRequired: 'ticket-required',
	ticketLost: 'ticket-lost',
	ticketExpired: 'ticket-expired',
	ticketMismatch: 'ticket-mismatch',
	answerNotKept: 'answer-not-kept',
	stopped: 'stopped',
} as const;
export type RefusalReason = typeof refusalReason[keyof typeof refusalReason];

/** A typed refusal as sent to the caller. */
export type Refusal = {
	readonly reason: RefusalReason;
	readonly outcome: RunOutcome;
	/** Outcome of this call alone, if another call with the same ticket may have run. */
	readonly callOutcome?: RunOutcome;
	/** HTTP status code. */
	readonly status: number;
	/** The cause and the recommended action, in one or two sentences. */
	readonly message: string;
	/** Time after which a retry can succeed, in milliseconds; `undefined` if the request should not be retried unchanged. */
	readonly retryAfterMs?: number;
};

const statusByReason: Readonly<Record<RefusalReason, number>> = {
	[refusalReason.badRequest]: 400,
	[refusalReason.noRoute]: 404,
	[refusalReason.keyMissing]: 401,
	[refusalReason.keyUnknown]: 401,
	[refusalReason.notReady]: 503,
	[refusalReason.configurationStale]: 503,
	[refusalReason.draining]: 503,
	[refusalReason.rateExceeded]: 429,
	[refusalReason.overloaded]: 503,
	[refusalReason.noTarget]: 503,
	[refusalReason.targetUnreachable]: 502,
	[refusalReason.answerLost]: 502,
	[refusalReason.deadlineExceeded]: 504,
	[refusalReason.duplicate]: 409,
	[refusalReason.ticketRequired]: 428,
	[refusalReason.ticketLost]: 409,
	[refusalReason.ticketExpired]: 409,
	[refusalReason.ticketMismatch]: 422,
	[refusalReason.answerNotKept]: 409,
	[refusalReason.stopped]: 503,
};

/** Creates a refusal of a request that cannot have run. */
export function createNotRunRefusal(reason: RefusalReason, message: string, retryAfterMs?: number): Refusal {
	return {
		reason, outcome: runOutcome.notRun, status: statusByReason[reason], message, retryAfterMs,
	};
}

/** Creates a refusal of a request that may have run. */
export function createUnknownRefusal(reason: RefusalReason, message: string, retryAfterMs?: number): Refusal {
	return {
		reason, outcome: runOutcome.unknown, status: statusByReason[reason], message, retryAfterMs,
	};
}
