/**
 * Timelines of the callers, one for each client account. The identifier of a
 * request is only known from its answer, so the entries for sending and
 * answering are both written when the answer has arrived.
 */
import {randomUUID} from 'node:crypto';
import path from 'node:path';
import {timelineKind} from '@sequoiatally/core';
import {TimelineWriter} from '@sequoiatally/runtime';
import {answerKind, type Answer} from './caller.js';

/** Writes the requests and answers of the callers to timelines. */
export class CallerTimelines {
	readonly #directory: string;
	readonly #writers = new Map<string, TimelineWriter>();

	constructor(directory: string) {
		this.#directory = directory;
	}

	/** Records when a request was sent and how it was answered. */
	record(account: string, {requestId, totalMs, kind, reason, outcome, targetId}: Answer): void {
		const writer = this.#findWriter(account);
		const cause = requestId ?? 'unknown-request';
		const detail = kind === answerKind.refused ? `${reason} (${outcome})` : kind;
		writer.write({kind: timelineKind.callerSent, cause, requestId}, totalMs);
		writer.write({
			kind: timelineKind.callerAnswered, cause, requestId, targetId, detail: kind === answerKind.whole ? undefined : detail,
		});
	}

	/** Flushes and closes all timelines. */
	async close(): Promise<void> {
		await Promise.all([...this.#writers.values()].map(async writer => writer.close()));
	}

	#findWriter(account: string): TimelineWriter {
		const instanceId = `caller-${account}`;
		const writer = this.#writers.get(account)
			?? new TimelineWriter({process: 'caller', instanceId, incarnation: randomUUID()}, path.join(this.#directory, `${instanceId}.jsonl`));
		this.#writers.set(account, writer);
		return writer;
	}
}
