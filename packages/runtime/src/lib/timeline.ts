/**
 * The timeline: typed events of one process as JSON lines. A tool merges the
 * lines of all processes. A bounded number of recent entries is also kept in
 * memory for the administration API, because an instance has no disk.
 */
import {constants, createWriteStream, type WriteStream} from 'node:fs';
import {finished} from 'node:stream/promises';
import {readMonotonicMs, readWallMs} from './clock.js';
import {describeError} from './errors.js';

/** Number of entries kept in memory. */
const maxRecentEntries = 5000;

/** Opens without blocking, so that opening a pipe without a reader fails at once and cannot delay the exit of the process. */
const fileOpenFlags = constants.O_WRONLY | constants.O_APPEND | constants.O_CREAT | constants.O_NONBLOCK; // eslint-disable-line no-bitwise
/** Buffered bytes beyond which lines are dropped because the file or pipe is too slow. */
const maxBufferedBytes = 4 * 1024 * 1024;
/** Longest time for which a close waits for buffered bytes to be written. */
const closeTimeoutMs = 2000;

/** Identifies the process that writes; part of each line. */
export type TimelineOrigin = {readonly process: string; readonly instanceId: string; readonly incarnation: string; readonly zone?: string};

/** Fields of an entry; `cause` correlates related entries across processes. */
export type TimelineFields = {readonly kind: string; readonly cause: string} & Readonly<Record<string, unknown>>;

/** A line of the timeline: an entry with its origin and its time on both clocks, in milliseconds. */
export type TimelineLine = TimelineOrigin & {
	readonly wallMs: number;
	readonly monotonicMs: number;
	readonly kind: string;
	readonly cause: string;
} & Readonly<Record<string, unknown>>;

/** Writes the timeline of one process. */
export class TimelineWriter {
	/** Lines dropped from the file because it, or the reader of the pipe, was too slow. */
	droppedCount = 0;
	readonly #origin: TimelineOrigin;
	#stream?: WriteStream;
	readonly #recent: TimelineLine[] = [];
	#nextIndex = 0;

	/**
	 * If `path` is given, lines are also appended to that file or named pipe. On
	 * a failure, `onFailure` is called, and later lines are kept in memory only.
	 */
	constructor(origin: TimelineOrigin, path?: string, onFailure?: (detail: string) => void) {
		this.#origin = origin;
		if (path !== undefined) {
			this.#stream = createWriteStream(path, {flags: fileOpenFlags as unknown as string});
			this.#stream.on('error', error => {
				this.#stream = undefined;
				onFailure?.(describeError(error));
			});
		}
	}

	/**
	 * Writes an entry with the present time of both clocks. An entry for an event
	 * that could not be written when it happened gets the time `ageMs` earlier.
	 */
	write(entry: TimelineFields, ageMs = 0): void {
		const line: TimelineLine = {
			wallMs: readWallMs() - Math.round(ageMs), monotonicMs: Math.round((readMonotonicMs() - ageMs) * 1000) / 1000, ...this.#origin, ...entry,
		};
		this.#recent[this.#nextIndex] = line;
		this.#nextIndex = (this.#nextIndex + 1) % maxRecentEntries;
		this.#append(line);
	}

	/** Lists the entries kept in memory, oldest first. */
	listRecent(): TimelineLine[] {
		return [...this.#recent.slice(this.#nextIndex), ...this.#recent.slice(0, this.#nextIndex)];
	}

	/** Flushes the buffered lines and closes the file; lines that are not written within `closeTimeoutMs` are lost. */
	async close(): Promise<void> {
		const stream = this.#stream;
		if (stream === undefined) {
			return;
		}

		this.#stream = undefined;
		stream.end();
		const timer = setTimeout(() => {
			stream.destroy();
		}, closeTimeoutMs);
		try {
			await finished(stream);
		} catch {
			// A failed write has been reported to `onFailure`; lines left after the timeout are lost.
		} finally {
			clearTimeout(timer);
		}
	}

	#append(line: TimelineLine): void {
		if (this.#stream === undefined) {
			return;
		}

		if (this.#stream.writableLength > maxBufferedBytes) {
			this.droppedCount++;
			return;
		}

		this.#stream.write(`${JSON.stringify(line)}\n`);
	}
}
