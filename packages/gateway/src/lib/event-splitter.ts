/**
 * Splits a stream of server-sent events at event boundaries. A target may fail in
 * the middle of an event. Callers receive complete events only, so that another
 * target can resume the stream after the last of them.
 */
import {Buffer} from 'node:buffer';

const lineFeed = 10;
const carriageReturn = 13;

export class EventSplitter {
	/** Identifier of the last complete event. */
	lastEventId?: string;
	/** Identifier of the first complete event. */
	firstEventId?: string;
	#partialEvent: Uint8Array = new Uint8Array(0);

	/** True if no partial event is buffered. */
	get isAtEventBoundary(): boolean {
		return this.#partialEvent.length === 0;
	}

	/** Adds bytes; returns all complete events not returned before, or no bytes if there are none. */
	push(chunk: Uint8Array): Uint8Array {
		const bytes = this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
		const end = findLastBoundary(bytes);
		this.#partialEvent = bytes.subarray(end);
		const completeEvents = bytes.subarray(0, end);
		if (end > 0) {
			this.#readIds(completeEvents);
		}

		return completeEvents;
	}

	#readIds(events: Uint8Array): void {
		const matches = [...Buffer.from(events).toString('latin1').matchAll(/^id: ?([^\r\n]*)/gm)];
		if (matches.length > 0) {
			this.firstEventId ??= matches[0]![1];
			this.lastEventId = matches.at(-1)![1];
		}
	}
}

/** Finds the offset after the last empty line, which ends the last complete event; 0 if there is none. */
function findLastBoundary(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const before = bytes[index - 1] === carriageReturn ? index - 2 : index - 1;
		if (bytes[before] === lineFeed) {
			return index + 1;
		}
	}

	return 0;
}
