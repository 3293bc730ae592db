/**
 * A log that never blocks its process: JSON lines on the standard output,
 * written asynchronously in batches. The lines per second of each event and
 * the pending bytes are bounded; dropped lines are counted, and the count is
 * logged.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';
import {describeError} from './errors.js';
import type {LifecycleManager} from './lifecycle-manager.js';
import type {LogFields, LogLevel} from './logger.js';

/** Most lines of one event per second; enough for one line per request of a busy instance. */
const maxLinesPerSecond = 400;
/** Pending bytes beyond which lines are dropped because the reader of the log is too slow. */
const maxPendingBytes = 1024 * 1024;
/** Interval between batches. */
const flushIntervalMs = 200;
/** Time after which a write is repeated if the reader of the log has left no room, in milliseconds. */
const writeRetryMs = 10;
/** Time for which the end of the process waits for the reader of the log, in milliseconds. */
const closeTimeoutMs = 200;
const standardOutputFd = 1;

type EventBudget = {second: number; lines: number};

export class BoundedLog {
	/** Lines dropped since the start. */
	droppedTotal = 0;
	readonly #fixedFields: Readonly<Record<string, string>>;
	readonly #readWallClock: () => number;
	readonly #budgets = new Map<string, EventBudget>();
	#pendingLines: string[] = [];
	#pendingBytes = 0;
	#unreportedDropCount = 0;
	/** Resolves when the batch that is being written is written; `undefined` if there is none. */
	#currentWrite?: Promise<void>;
	/** True if the rest of the log is given up because its reader has stopped. */
	#isGivenUp = false;

	constructor(fixedFields: Readonly<Record<string, string>>, readWallClock: () => number, lifecycle: LifecycleManager) {
		this.#fixedFields = fixedFields;
		this.#readWallClock = readWallClock;
		lifecycle.ownInterval('log batches', flushIntervalMs, () => {
			if (this.#currentWrite === undefined) {
				void this.#flush();
			}
		});
		lifecycle.own('log', async () => this.close());
	}

	/** Queues a line, or drops it if its event has reached the limit for this second or too many bytes are pending. */
	write(level: LogLevel, {event, ...fields}: LogFields): void {
		const wallMs = this.#readWallClock();
		if (!this.#consumeBudget(event, Math.floor(wallMs / 1000)) || this.#pendingBytes > maxPendingBytes) {
			this.#unreportedDropCount++;
			this.droppedTotal++;
			return;
		}

		this.#enqueue(wallMs, level, event, fields);
	}

	/** Writes the pending lines, after the batch that is being written; resolves when they are written, a write has failed, or the reader has stopped. */
	async close(): Promise<void> {
		await Promise.race([this.#writePending(), delay(closeTimeoutMs, undefined, {ref: false})]);
		this.#isGivenUp = this.#currentWrite !== undefined;
	}

	async #writePending(): Promise<void> {
		await this.#currentWrite;
		await this.#flush();
	}

	#consumeBudget(event: string, second: number): boolean {
		const budget = this.#budgets.get(event);
		if (budget?.second !== second) {
			this.#budgets.set(event, {second, lines: 1});
			return true;
		}

		budget.lines++;
		return budget.lines <= maxLinesPerSecond;
	}

	#enqueue(wallMs: number, level: LogLevel, event: string, fields: Readonly<Record<string, unknown>>): void {
		const line = `${JSON.stringify({
			time: new Date(wallMs).toISOString(), level, event, ...this.#fixedFields, ...fields,
		})}\n`;
		this.#pendingBytes += line.length;
		this.#pendingLines.push(line);
	}

	async #flush(): Promise<void> {
		if (this.#unreportedDropCount > 0) {
			const count = this.#unreportedDropCount;
			this.#unreportedDropCount = 0;
			this.#enqueue(this.#readWallClock(), 'warn', 'log-lines-dropped', {count});
		}

		if (this.#pendingLines.length === 0) {
			return;
		}

		const batch = Buffer.from(this.#pendingLines.join(''));
		this.#pendingLines = [];
		this.#currentWrite = new Promise(resolve => {
			this.#writeBatch(batch, resolve);
		});
		await this.#currentWrite;
	}

	#writeBatch(remaining: Uint8Array, done: () => void): void {
		write(standardOutputFd, remaining, (error, written) => {
			if (error === null && written < remaining.length) {
				this.#writeBatch(remaining.subarray(written), done);
				return;
			}

			// The standard output may be in non-blocking mode; a write to a full pipe then fails.
			if (error?.code === 'EAGAIN' && !this.#isGivenUp) {
				setTimeout(() => {
					this.#writeBatch(remaining, done);
				}, writeRetryMs);
				return;
			}

			this.#currentWrite = undefined;
			this.#pendingBytes = 0;
			for (const line of this.#pendingLines) {
				this.#pendingBytes += line.length;
			}

			if (error !== null) {
				this.#enqueue(this.#readWallClock(), 'warn', 'log-not-written', {detail: describeError(error)});
			}

			done();
		});
	}
}
