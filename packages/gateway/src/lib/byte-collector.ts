/**
 * Collects the parts of a message body. Bodies that arrive in many small parts are
 * copied into one growing buffer, so that memory depends on the number of bytes and
 * not on the number of parts.
 */
import {Buffer} from 'node:buffer';

const minCapacityBytes = 4096;

export class ByteCollector {
	/** Number of bytes collected. */
	length = 0;
	/** The only part so far, which is not copied. */
	#firstPart?: Uint8Array;
	#buffer: Uint8Array = new Uint8Array(0);

	add(part: Uint8Array): void {
		if (this.length === 0) {
			this.#firstPart = part;
			this.length = part.length;
			return;
		}

		this.#reserve(this.length + part.length);
		this.#buffer.set(part, this.length);
		this.length += part.length;
	}

	/** Returns all bytes collected so far; they change if further parts are added. */
	toBytes(): Uint8Array {
		return this.#firstPart ?? this.#buffer.subarray(0, this.length);
	}

	#reserve(size: number): void {
		if (this.#firstPart === undefined && size <= this.#buffer.length) {
			return;
		}

		const grown = Buffer.allocUnsafe(Math.max(minCapacityBytes, size, this.#buffer.length * 2));
		grown.set(this.toBytes());
		this.#firstPart = undefined;
		this.#buffer = grown;
	}
}
