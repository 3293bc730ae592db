/**
 * Limits the memory that all exchanges together use for bytes that they hold: the bodies
 * of requests, and parts of responses that cannot be passed on yet. Each of the two has
 * its own share, so that no request that was passed on is cut for the body of another one.
 *
 * Bodies: one that does not fit is rejected, and large ones leave room for small ones. Only
 * bodies that arrive late give way.
 *
 * Responses: a faulty target may send bytes without end, and several may do so at the
 * same time. If the memory is used up, the exchange that holds the most ends, because a
 * sound response is rarely the largest one.
 */

/** Largest number of bytes that are held for one exchange. */
export const maxBytesPerExchange = 16 * 1024 * 1024;
/** Share of the process's memory that the responses of all exchanges may use. */
const memoryShare = 0.15;
/** Memory for the program, its state and buffers that wait for garbage collection, in bytes. */
const runtimeBytes = 170 * 1024 * 1024;
/** Share of the process's memory that the bodies of requests may use even if that leaves less for the program. */
const minBodyShare = 0.1;
/** Largest size of a small body, in bytes. */
const maxSmallBodyBytes = 64 * 1024;
/** Share of the bodies' memory that only small bodies may use. */
const smallBodyShare = 0.125;
/** Share of the bodies' memory below which bodies that were rejected fit again. */
const freeShare = 0.75;

/** The memory of all exchanges. */
export class BufferBudget {
	/** Largest number of bytes of all bodies. */
	readonly bodyBytesLimit: number;
	readonly #maxBytes: number;
	readonly #onBodiesFull: (isFull: boolean) => void;
	readonly #accounts = new Set<BufferAccount>();
	/** Bodies that give way to others. */
	readonly #lateBodies = new Set<BodyAccount>();
	#usedBytes = 0;
	#bodyBytes = 0;
	#areBodiesFull = false;

	/** `memoryBytes` is the memory that the process may use for everything; `onBodiesFull` is called when a body is rejected for the first time, and when there is room again. */
	constructor(memoryBytes: number, onBodiesFull: (isFull: boolean) => void = () => undefined) {
		this.#maxBytes = memoryBytes * memoryShare;
		this.bodyBytesLimit = Math.floor(Math.max(memoryBytes * minBodyShare, (memoryBytes * (1 - memoryShare)) - runtimeBytes));
		this.#onBodiesFull = onBodiesFull;
	}

	/** Number of bytes of all bodies, as far as they are reserved. */
	get bodyBytes(): number {
		return this.#bodyBytes;
	}

	/** Number of bytes that responses hold. */
	get responseBytes(): number {
		return this.#usedBytes;
	}

	/** Opens the account of one request's body. */
	openBodyAccount(): BodyAccount {
		const account: BodyAccount = new BodyAccount({
			lateBodies: this.#lateBodies,
			change: (delta, bytes) => this.#tryChangeBody(account, delta, bytes),
		});
		return account;
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

	/** Adds `delta` bytes to the account of a body, which then holds `bytes`; returns false if they do not fit, also if others give way. */
	#tryChangeBody(account: BodyAccount, delta: number, bytes: number): boolean {
		const limit = bytes <= maxSmallBodyBytes ? this.bodyBytesLimit : this.bodyBytesLimit * (1 - smallBodyShare);
		for (const late of this.#lateBodies) {
			if (this.#bodyBytes + Math.max(0, delta) <= limit) {
				break;
			}

			if (late !== account) {
				late.evict();
			}
		}

		const fits = delta <= 0 || this.#bodyBytes + delta <= limit;
		if (fits) {
			this.#bodyBytes += delta;
		}

		if (!this.#areBodiesFull && !fits) {
			this.#areBodiesFull = true;
			this.#onBodiesFull(true);
		} else if (this.#areBodiesFull && this.#bodyBytes < this.bodyBytesLimit * freeShare) {
			this.#areBodiesFull = false;
			this.#onBodiesFull(false);
		}

		return fits;
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

type BodyAccountOptions = {
	/** Bodies that give way to others. */
	readonly lateBodies: Set<BodyAccount>;
	/** Changes the memory of all bodies by `delta`, of which the account then holds `bytes`; returns false if they do not fit. */
	readonly change: (delta: number, bytes: number) => boolean;
};

/** The memory of one request's body. */
export class BodyAccount {
	#bytes = 0;
	#onEvicted?: () => void;
	readonly #options: BodyAccountOptions;

	constructor(options: BodyAccountOptions) {
		this.#options = options;
	}

	/** Extends the account to `bytes`; returns false if they do not fit. */
	tryExtend(bytes: number): boolean {
		if (bytes <= this.#bytes) {
			return true;
		}

		if (!this.#options.change(bytes - this.#bytes, bytes)) {
			return false;
		}

		this.#bytes = bytes;
		return true;
	}

	/** Lets the body give way to others from now on; `onEvicted` has to end the request and release the account. */
	giveWay(onEvicted: () => void): void {
		this.#onEvicted = onEvicted;
		this.#options.lateBodies.add(this);
	}

	/** Keeps the body from now on, until it is released. */
	keep(): void {
		this.#options.lateBodies.delete(this);
	}

	/** Ends the request in favor of others. */
	evict(): void {
		this.#onEvicted?.();
	}

	/** Releases all bytes. */
	release(): void {
		const bytes = this.#bytes;
		this.#bytes = 0;
		this.keep();
		this.#options.change(-bytes, 0);
	}
}
