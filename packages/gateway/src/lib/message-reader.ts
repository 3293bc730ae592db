/**
 * Reads the bodies of messages within a limit for each and one for all that are being read. If a message exceeds the
 * second one, those that were begun first are given up: a peer sends a message at once, and gives up after less than a second.
 */
import type {IncomingMessage} from 'node:http';
import {ByteCollector} from './byte-collector.js';

export type MessageReaderLimits = {
	readonly bytesPerMessage: number;
	/** Largest size of all messages that are being read. */
	readonly bytes: number;
};

type Reading = {readonly message: IncomingMessage; bytes: number};

export class MessageReader {
	readonly #limits: MessageReaderLimits;
	readonly #onGivenUp: (bytes: number) => void;
	/** In the order in which they were begun. */
	readonly #readings = new Set<Reading>();
	#bytes = 0;

	/** `onGivenUp` is called with the size of what had arrived of a message that is given up for others. */
	constructor(limits: MessageReaderLimits, onGivenUp: (bytes: number) => void) {
		this.#limits = limits;
		this.#onGivenUp = onGivenUp;
	}

	/** Reads a body to its end; fails if it is too large, ends early or is given up. */
	async read(message: IncomingMessage): Promise<Uint8Array> {
		const reading: Reading = {message, bytes: 0};
		const body = new ByteCollector();
		this.#readings.add(reading);
		try {
			for await (const chunk of message as AsyncIterable<Uint8Array>) {
				if (!this.#readings.has(reading)) {
					throw new PeerMessageError('the message was given up for others');
				}

				if (reading.bytes + chunk.length > this.#limits.bytesPerMessage) {
					throw new PeerMessageError('the message is too large');
				}

				body.add(chunk);
				reading.bytes += chunk.length;
				this.#bytes += chunk.length;
				this.#giveUpOldest();
			}

			return body.toBytes();
		} finally {
			this.#remove(reading);
		}
	}

	#giveUpOldest(): void {
		for (const reading of this.#readings) {
			if (this.#bytes <= this.#limits.bytes) {
				return;
			}

			this.#onGivenUp(reading.bytes);
			this.#remove(reading);
			reading.message.destroy(new PeerMessageError('the message was given up for others'));
		}
	}

	#remove(reading: Reading): void {
		if (this.#readings.delete(reading)) {
			this.#bytes -= reading.bytes;
		}
	}
}

/** A message that is too large or does not have the form that instances send. */
export class PeerMessageError extends Error {
	override readonly name = 'PeerMessageError';
}
