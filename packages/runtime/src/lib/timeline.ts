/**
 * The time line: typed events of one process as JSON lines. A tool merges the
 * lines of all processes. The newest entries also stay in memory, bounded, for
 * the administration API, because an instance has no disk.
 */
import {createWriteStream, type WriteStream} from 'node:fs';
import {finished} from 'node:stream/promises';
import {readMonotonicMs, readWallMs} from './clock.js';

/** Entries kept in memory. */
const keptEntryCount = 5000;

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
	readonly #origin: TimelineOrigin;
	readonly #stream?: WriteStream;
	readonly #kept: TimelineLine[] = [];
	#nextIndex = 0;

	/** With a path, lines are also appended to that file (or named pipe). */
	constructor(origin: TimelineOrigin, path?: string) {
		this.#origin = origin;
		this.#stream = path === undefined ? undefined : createWriteStream(path, {flags: 'a'});
	}

	/**
	 * Writes one entry with the present time of both clocks, or with the time
	 * `ageMs` earlier, for what could not be told when it happened.
	 */
	write(entry: TimelineFields, ageMs = 0): void {
		const line: TimelineLine = {
			wallMs: readWallMs() - Math.round(ageMs), monotonicMs: Math.round((readMonotonicMs() - ageMs) * 1000) / 1000, ...this.#origin, ...entry,
		};
		this.#kept[this.#nextIndex] = line;
		this.#nextIndex = (this.#nextIndex + 1) % keptEntryCount;
		this.#stream?.write(`${JSON.stringify(line)}\n`);
	}

	/** Lists the newest entries, oldest first. */
	listKept(): TimelineLine[] {
		return [...this.#kept.slice(this.#nextIndex), ...this.#kept.slice(0, this.#nextIndex)];
	}

	/** Writes out what is buffered and closes the file. */
	async close(): Promise<void> {
		if (this.#stream !== undefined) {
			this.#stream.end();
			await finished(this.#stream);
		}
	}
}
