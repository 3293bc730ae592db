/**
 * The time line: typed events of one process as JSON lines. A tool merges the
 * lines of all processes. The newest entries also stay in memory, bounded, for
 * the administration API, because an instance has no disk.
 */
import {constants, createWriteStream, type WriteStream} from 'node:fs';
import {finished} from 'node:stream/promises';
import {readMonotonicMs, readWallMs} from './clock.js';
import {describeError} from './errors.js';

/** Entries kept in memory. */
const maxRecentEntries = 5000;

/** Opens without waiting, so that a pipe that nobody reads fails at once and cannot hold up the end of the process. */
const fileOpenFlags = constants.O_WRONLY | constants.O_APPEND | constants.O_CREAT | constants.O_NONBLOCK; // eslint-disable-line no-bitwise
/** Most bytes that wait for a slow file or pipe. */
const maxBufferedBytes = 4 * 1024 * 1024;
/** Time for the last bytes to be written, in milliseconds. */
const closeTimeoutMs = 2000;

/** Who writes: part of each line. */
export type TimelineOrigin = {readonly process: string; readonly instanceId: string; readonly incarnation: string; readonly zone?: string};

/** What an entry says; `cause` joins the entries of one matter over all processes. */
export type TimelineFields = {readonly kind: string; readonly cause: string} & Readonly<Record<string, unknown>>;

/** A line of the time line: the entry, who wrote it and when. */
export type TimelineLine = TimelineOrigin & {
	readonly wallMs: number;
	readonly monotonicMs: number;
	readonly kind: string;
	readonly cause: string;
} & Readonly<Record<string, unknown>>;

/** Writes the time line of one process. */
export class TimelineWriter {
	/** Lines that were not written because the file or its reader was too slow. */
	droppedCount = 0;
	readonly #origin: TimelineOrigin;
	#stream?: WriteStream;
	readonly #recent: TimelineLine[] = [];
	#nextIndex = 0;

	/**
	 * With a path, lines are also appended to that file (or named pipe). When
	 * that fails, `onFailure` is told, and lines stay in memory only.
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
	 * Writes one entry with the present time of both clocks, or with the time
	 * `ageMs` earlier, for what could not be told when it happened.
	 */
	write(entry: TimelineFields, ageMs = 0): void {
		const line: TimelineLine = {
			wallMs: readWallMs() - Math.round(ageMs), monotonicMs: Math.round((readMonotonicMs() - ageMs) * 1000) / 1000, ...this.#origin, ...entry,
		};
		this.#recent[this.#nextIndex] = line;
		this.#nextIndex = (this.#nextIndex + 1) % maxRecentEntries;
		this.#append(line);
	}

	/** Lists the newest entries, oldest first. */
	listRecent(): TimelineLine[] {
		return [...this.#recent.slice(this.#nextIndex), ...this.#recent.slice(0, this.#nextIndex)];
	}

	/** Writes out what is buffered and closes the file; a reader that does not read is not waited for. */
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
			// What could not be written was told, or is given up.
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
