/**
 * What became of each request of a run, and the account of a whole run.
 */
import {answerKind, type Answer} from './caller.js';
import type {PlannedCall} from './call-schedule.js';

/** How a request of a run ended. */
export const recordOutcome = {
	whole: 'whole',
	refused: 'refused',
	/** The connection to the router broke, as when the router was killed. */
	lost: 'lost',
	/** An answer that is neither whole nor a typed refusal, or not the right one. */
	wrong: 'wrong',
	/** Still open at the end of the run. */
	unanswered: 'unanswered',
	/** Not sent: too many requests were open. */
	unsent: 'unsent',
} as const;
export type RecordOutcome = typeof recordOutcome[keyof typeof recordOutcome];

/** One request of the schedule and its answer. Times count from the start of the traffic, in milliseconds. */
export type AnswerRecord = {
	readonly call: PlannedCall;
	/** The router that it was sent to. */
	readonly routerId: string;
	readonly outcome: RecordOutcome;
	readonly endMs: number;
	readonly idempotencyKey?: string;
	readonly answer?: Answer;
};

/** What a target said of itself at the end of a run. */
export type TargetReport = {
	readonly id: string;
	readonly pool: string;
	readonly keySightings: number;
	readonly highestInFlight: number;
	readonly overrunCount: number;
	/** Plain services: runs by idempotency key or request identifier. */
	readonly runs: Readonly<Record<string, number>>;
};

/** Load of one target over the run: requests in flight at each sample. */
export type LoadSeries = Readonly<Record<string, readonly number[]>>;

/** Says how a request ended. */
export function toRecordOutcome({kind, isConnectionLost}: Answer): RecordOutcome {
	if (kind === answerKind.wrong) {
		return isConnectionLost ? recordOutcome.lost : recordOutcome.wrong;
	}

	return kind;
}
