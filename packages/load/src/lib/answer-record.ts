/**
 * The record of each request of a run, and the statistics of the targets.
 */
import {answerKind, type Answer} from './caller.js';
import type {PlannedCall} from './call-schedule.js';

export const recordOutcome = {
	whole: 'whole',
	refused: 'refused',
	/** The connection to the router broke, for example because the router was killed. */
	lost: 'lost',
	/** The answer is neither whole nor a typed refusal, or has unexpected content. */
	wrong: 'wrong',
	/** No answer by the end of the run. */
	unanswered: 'unanswered',
	/** Not sent, because too many requests were open or no router was available. */
	unsent: 'unsent',
} as const;
export type RecordOutcome = typeof recordOutcome[keyof typeof recordOutcome];

/** One request of the schedule and its answer. Times are in milliseconds from the start of the traffic. */
export type AnswerRecord = {
	readonly call: PlannedCall;
	/** Router to which the request was sent; empty if no router was available. */
	readonly routerId: string;
	readonly outcome: RecordOutcome;
	readonly endMs: number;
	readonly idempotencyKey?: string;
	readonly answer?: Answer;
};

/** Statistics that one process of a target last reported about itself. */
export type TargetReport = {
	readonly id: string;
	readonly pool: string;
	readonly keySightings: number;
	readonly highestInFlight: number;
	readonly overrunCount: number;
	/** Number of executions by idempotency key or request identifier; only plain services report them. */
	readonly runs: Readonly<Record<string, number>>;
};

/** Requests in flight at each sample, by target. */
export type LoadSeries = Readonly<Record<string, readonly number[]>>;

/** Converts an answer to the outcome of its record. */
export function toRecordOutcome({kind, isConnectionLost}: Answer): RecordOutcome {
	if (kind === answerKind.wrong) {
		return isConnectionLost ? recordOutcome.lost : recordOutcome.wrong;
	}

	return kind;
}
