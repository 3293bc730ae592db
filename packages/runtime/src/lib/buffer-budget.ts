/**
 * Limits the memory that all exchanges together use for bytes that they cannot pass
 * on yet. A faulty target may send bytes without end, and several may do so at the
 * same time: if the memory is used up, the exchange that holds the most ends, because a
 * sound response is rarely the largest one.
 */

/** Largest number of bytes that are held for one exchange. */
export const maxBytesPerExchange = 16 * 1024 * 1024;
/** Share of the process's memory that all exchanges may use. The rest is for the program, callers' requests and buffers that wait for garbage collection. */
const memoryShare = 0.15;

/** The memory of all exchanges. */
export class BufferBudget {
	readonly #maxBytes: number;
	readonly #accounts = new Set<BufferAccount>();
	#usedBytes = 0;

	/** `memoryBytes` is the memory that the process may use for everything. */
	constructor(memoryBytes: number) {
		this.#maxBytes = memoryBytes * memoryShare;
	}

	/** Opens the account of one exchange; `onEvicted` has to end the exchange and release the account. */
	openAccount(onEvicted: () => void): BufferAccount {
		const account: BufferAccount = new BufferAccount({
			onEvicted,
			change: (delta, bytes) => this.#tryChange(account, delta, bytes),
		});
		return account;
	}

	/** Adds `delta` bytes to an account, which then holds `bytes`; returns false if no larger account makes room. */
	#tryChange(account: BufferAccount, delta: number, bytes: number): boolean {
		while (this.#isFull(delta)) {
			const largest = this.#findLargest();
			if (largest === undefined || largest.bytes <= bytes) {
				return false;
			}

			this.#accounts.delete(largest);
			largest.evict();
		}

		this.#usedBytes += delta;
		if (bytes > 0) {
			this.#accounts.add(account);
		} else {
			this.#accounts.delete(account);
		}

		return true;
	}

	#isFull(delta: number): boolean {
		return delta > 0 && this.#usedBytes + delta > this.#maxBytes;
	}

	#findLargest(): BufferAccount | undefined {
		let largest: BufferAccount | undefined;
		for (const account of this.#accounts) {
			if (largest === undefined || account.bytes > largest.bytes) {
				largest = account;
			}
		}

		return largest;
	}
}

type BufferAccountOptions = {
	readonly onEvicted: () => void;
	/** Changes the memory of all exchanges; returns false if it would exceed the limit. */
	readonly change: (delta: number, bytes: number) => boolean;
};

/** The memory of one exchange. */
export class BufferAccount {
	/** Number of bytes that the exchange holds. */
	bytes = 0;
	readonly #options: BufferAccountOptions;

	constructor(options: BufferAccountOptions) {
		this.#options = options;
	}

	/** Sets the number of bytes that the exchange holds; returns false if that exceeds a limit. */
	trySet(bytes: number): boolean {
		if (bytes > maxBytesPerExchange || !this.#options.change(bytes - this.bytes, bytes)) {
			return false;
		}

		this.bytes = bytes;
		return true;
	}

	/** Ends the exchange in favor of others. */
	evict(): void {
		this.#options.onEvicted();
	}

	/** Releases all bytes. */
	release(): void {
		this.trySet(0);
	}
}
