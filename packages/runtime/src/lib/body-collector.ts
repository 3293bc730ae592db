/**
 * Collects the parts of a body in blocks, so that a large body takes little more memory than its
 * bytes, whether it arrives in large parts, in tiny ones or in a mixture. A byte is copied at most twice.
 */
import {Buffer} from 'node:buffer';

/** Largest size of a block for small parts, in bytes. */
const blockBytes = 64 * 1024;
/** Size from which a part becomes a block of its own, in bytes. */
const minOwnBlockBytes = 16 * 1024;

export class BodyCollector {
	/** Number of bytes that the blocks take, used or not. */
	capacity = 0;
	readonly #blocks: Uint8Array[] = [];
	/** The last block, if small parts are copied into it. */
	#openBlock?: Uint8Array;
	#openLength = 0;
	readonly #expectedBytes: number;

	/** `expectedBytes` is the length of the body, or 0 if it is not known; the blocks take no more than that unless the body is longer. */
	constructor(expectedBytes = 0) {
		this.#expectedBytes = expectedBytes;
	}

	/** Adds a part, which must not change after that. */
	add(part: Uint8Array): void {
		if (this.#blocks.length === 0 || part.length >= minOwnBlockBytes) {
			this.#closeBlock();
			this.#blocks.push(part);
			this.capacity += part.length;
			return;
		}

		for (let rest = part; rest.length > 0;) {
			this.#openBlock ??= this.#addBlock();
			const copied = rest.subarray(0, this.#openBlock.length - this.#openLength);
			this.#openBlock.set(copied, this.#openLength);
			this.#openLength += copied.length;
			rest = rest.subarray(copied.length);
			if (this.#openLength === this.#openBlock.length) {
				this.#closeBlock();
			}
		}
	}

	/** Returns all bytes, in order; nothing can be added after that. */
	takeBlocks(): readonly Uint8Array[] {
		this.#closeBlock();
		return this.#blocks;
	}

	/** Adds a block for small parts; those before it are full, so that their capacity is the number of bytes so far. */
	#addBlock(): Uint8Array {
		const restBytes = this.#expectedBytes - this.capacity;
		const block = Buffer.allocUnsafeSlow(restBytes > 0 ? Math.min(restBytes, blockBytes) : blockBytes);
		this.#blocks.push(block);
		this.capacity += block.length;
		return block;
	}

	/** Closes the last block; if it is not full, a copy of its bytes takes its place, because a view would hold the whole block. */
	#closeBlock(): void {
		if (this.#openBlock !== undefined) {
			if (this.#openLength < this.#openBlock.length) {
				this.#blocks[this.#blocks.length - 1] = new Uint8Array(this.#openBlock.subarray(0, this.#openLength));
				this.capacity -= this.#openBlock.length - this.#openLength;
			}

			this.#openBlock = undefined;
			this.#openLength = 0;
		}
	}
}
