/**
 * Limits the memory that all exchanges together use for bytes that they cannot pass
 * on yet. A faulty target may send bytes without end, and several may do so at the
 * same time.
 */

/** Largest number of bytes that are held for one exchange. */
const maxBytesPerExchange = 16 * 1024 * 1024;
/** Largest number of bytes that are held for all exchanges; the smallest instances have 250 MB. */
const maxBytes = 48 * 1024 * 1024;

/** The memory of all exchanges. */
export class BufferBudget {
	#usedBytes = 0;

	/** Opens the account of one exchange. */
	openAccount(): BufferAccount {
		return new BufferAccount(delta => {
			if (this.#usedBytes + delta > maxBytes) {
				return false;
			}

			this.#usedBytes += delta;
			return true;
		});
	}
}

/** The memory of one exchange. */
export class BufferAccount {
	readonly #change: (delta: number) => boolean;
	#bytes = 0;

	/** `change` adds to the memory of all exchanges, and returns false if it would exceed the limit. */
	constructor(change: (delta: number) => boolean) {
		this.#change = change;
	}

	/** Sets the number of bytes that the exchange holds; returns false if that exceeds a limit. */
	trySet(bytes: number): boolean {
		if (bytes > maxBytesPerExchange || !this.#change(bytes - this.#bytes)) {
			return false;
		}

		this.#bytes = bytes;
		return true;
	}

	/** Releases all bytes. */
	release(): void {
		this.trySet(0);
	}
}
