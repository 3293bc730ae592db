/**
 * Splits a stream of server-sent events at event boundaries. A target may fail in
 * the middle of an event. Callers receive complete events only, so that another
 * target can resume the stream after the last of them.
 */
import {Buffer} from 'node:buffer';
import {ByteCollector} from './byte-collector.js';

const lineFeed = 10;
const carriageReturn = 13;
/** The line of an event with its identifier, or a status line of HTTP, which no line of an event looks like. */
const markPattern = /^(?:id: ?([^\r\n]*)|HTTP\/\d\.\d \d{3})/gm;

export class EventSplitter {
	/** Identifier of the last complete event. */
	lastEventId?: string;
	/** Identifier of the first complete event. */
	firstEventId?: string;
	/** Why the bytes after the events returned so far are not events of the same response; `undefined` if nothing shows it. */
	fault?: string;
	#partialEvent = new ByteCollector();

	/** Number of bytes of the partial event that is buffered. */
	get partialLength(): number {
		return this.#partialEvent.length;
	}

	/** Adds bytes; returns all complete events not returned before, or no bytes if there are none. */
	push(chunk: Uint8Array): Uint8Array {
		// An event ends with at most four bytes, of which at least one is new.
		const searchFrom = Math.max(0, this.partialLength - 3);
		this.#partialEvent.add(chunk);
		const bytes = this.#partialEvent.toBytes();
		const end = findLastBoundary(bytes, searchFrom);
		if (end === 0) {
			return new Uint8Array(0);
		}

		this.#partialEvent = new ByteCollector();
		if (end < bytes.length) {
			this.#partialEvent.add(bytes.subarray(end));
		}

		const completeEvents = bytes.subarray(0, end);
		return completeEvents.subarray(0, this.#readIds(completeEvents));
	}

	/** Reads the identifiers of events; returns the length of those before the first that belongs to another run or response. */
	#readIds(events: Uint8Array): number {
		for (const {0: line, 1: eventId, index} of Buffer.from(events).toString('latin1').matchAll(markPattern)) {
			if (eventId === undefined || Number(eventId) <= Number(this.lastEventId)) {
				this.fault = `${line} after event ${this.lastEventId}`;
				return findLastBoundary(events.subarray(0, index), 0);
			}

			this.firstEventId ??= eventId;
			this.lastEventId = eventId;
		}

		return events.length;
	}
}

/** Finds the offset after the last empty line, which ends the last complete event; 0 if there is none that ends after `from`. */
function findLastBoundary(bytes: Uint8Array, from: number): number {
	for (let index = bytes.length - 1; index > from; index--) {
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
