/**
 * Cuts a stream of server-sent events at their borders. A target may stop in
 * the middle of an event; what is passed on always ends with a whole one, so
 * that another target can go on after it.
 */
import {Buffer} from 'node:buffer';

const lineFeed = 10;
const carriageReturn = 13;

export class EventSplitter {
	/** Identifier of the last whole event. */
	lastEventId?: string;
	/** Identifier of the first whole event. */
	firstEventId?: string;
	#partialEvent: Uint8Array = new Uint8Array(0);

	/** True when the stream stands at the border of an event. */
	get isAtEventBoundary(): boolean {
		return this.#partialEvent.length === 0;
	}

	/** Takes bytes; returns those that end with a whole event, which may be none. */
	push(chunk: Uint8Array): Uint8Array {
		const bytes = this.#partialEvent.length === 0 ? chunk : Buffer.concat([this.#partialEvent, chunk]);
		const end = findLastBoundary(bytes);
		this.#partialEvent = bytes.subarray(end);
		const whole = bytes.subarray(0, end);
		if (end > 0) {
			this.#readIds(whole);
		}

		return whole;
	}

	#readIds(events: Uint8Array): void {
		const matches = [...Buffer.from(events).toString('latin1').matchAll(/^id: ?([^\r\n]*)/gm)];
		if (matches.length > 0) {
			this.firstEventId ??= matches[0]![1];
			this.lastEventId = matches.at(-1)![1];
		}
	}
}

/** Finds the end of the last empty line: the border after the last whole event. */
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
