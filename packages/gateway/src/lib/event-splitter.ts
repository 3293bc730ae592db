/**
 * Splits a stream of server-sent events at event boundaries. A target may fail in
 * the middle of an event. Callers receive complete events only, so that another
 * target can resume the stream after the last of them.
 */
import {Buffer} from 'node:buffer';
import {ByteCollector} from './byte-collector.js';

const lineFeed = 10;
const carriageReturn = 13;
/** Status line of HTTP, which no line of an event looks like. */
const statusLinePattern = /^HTTP\/\d\.\d \d{3}/m;

export class EventSplitter {
	/** Identifier of the last complete event. */
	lastEventId?: string;
	/** Identifier of the first complete event. */
	firstEventId?: string;
	/** Why the bytes are not the events of one response; `undefined` if nothing shows it. */
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
		this.#readIds(completeEvents);
		return completeEvents;
	}

	#readIds(events: Uint8Array): void {
		const text = Buffer.from(events).toString('latin1');
		if (statusLinePattern.test(text)) {
			this.fault ??= `head of another response after event ${this.lastEventId}`;
		}

		for (const [, eventId] of text.matchAll(/^id: ?([^\r\n]*)/gm)) {
			this.firstEventId ??= eventId;
			if (Number(eventId) <= Number(this.lastEventId)) {
				this.fault ??= `event ${eventId} after event ${this.lastEventId}`;
			}

			this.lastEventId = eventId;
		}
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
