/**
 * A log that never makes its process wait: JSON lines on the standard output,
 * written in batches behind the caller's back, bounded in lines a second of
 * each event and in bytes that wait. What is dropped is counted and told.
 */
import {Buffer} from 'node:buffer';
import {write} from 'node:fs';
import {describeError} from './errors.js';
import type {LifecycleManager} from './lifecycle-manager.js';
import type {LogFields, LogLevel} from './logger.js';

/** Lines of one event and second; callers' requests of a busy instance fit. */
const maxLinesPerSecond = 400;
/** Bytes that may wait for the reader of the log; a slower reader loses lines. */
const maxPendingBytes = 1024 * 1024;
/** Time between two batches, in milliseconds. */
const flushIntervalMs = 200;
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
	#isWriting = false;

	constructor(fixedFields: Readonly<Record<string, string>>, readWallClock: () => number, lifecycle: LifecycleManager) {
		this.#fixedFields = fixedFields;
		this.#readWallClock = readWallClock;
		lifecycle.ownInterval('log batches', flushIntervalMs, () => {
			this.#flush();
		});
		lifecycle.own('log', async () => this.close());
	}

	/** Writes a line, unless its event has used up its lines of this second or too many bytes wait. */
	write(level: LogLevel, {event, ...fields}: LogFields): void {
		const wallMs = this.#readWallClock();
		if (!this.#consumeBudget(event, Math.floor(wallMs / 1000)) || this.#pendingBytes > maxPendingBytes) {
			this.#unreportedDropCount++;
			this.droppedTotal++;
			return;
		}

		this.#enqueue(wallMs, level, event, fields);
	}

	/** Writes what waits; resolves when it has left, or cannot. */
	async close(): Promise<void> {
		if (this.#isWriting || this.#pendingLines.length === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#flush(resolve);
		});
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

	#flush(done?: () => void): void {
		if (this.#isWriting) {
			return;
		}

		if (this.#unreportedDropCount > 0) {
			const count = this.#unreportedDropCount;
			this.#unreportedDropCount = 0;
			this.#enqueue(this.#readWallClock(), 'warn', 'log-lines-dropped', {count});
		}

		if (this.#pendingLines.length === 0) {
			done?.();
			return;
		}

		const batch = Buffer.from(this.#pendingLines.join(''));
		this.#pendingLines = [];
		this.#isWriting = true;
		this.#writeBatch(batch, done);
	}

	#writeBatch(remaining: Uint8Array, done?: () => void): void {
		write(standardOutputFd, remaining, (error, written) => {
			if (error === null && written < remaining.length) {
				this.#writeBatch(remaining.subarray(written), done);
				return;
			}

			this.#isWriting = false;
			this.#pendingBytes = 0;
			for (const line of this.#pendingLines) {
				this.#pendingBytes += line.length;
			}

			if (error !== null) {
				this.#enqueue(this.#readWallClock(), 'warn', 'log-not-written', {detail: describeError(error)});
			}

			done?.();
		});
	}
}
