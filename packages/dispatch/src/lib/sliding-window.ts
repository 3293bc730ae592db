/**
 * Counts the events of a sliding time window exactly, because the limits that
 * depend on it apply to every window of that length.
 */

export class SlidingWindow {
	readonly #windowMs: number;
	#times: number[] = [];
	#start = 0;

	/** `windowMs` is the length of the window in milliseconds. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	/** Number of events in memory, including some that have expired. */
	get storedCount(): number {
		return this.#times.length;
	}

	record(now: number): void {
		this.#removeExpired(now);
		this.#times.push(now);
	}

	/** Finds the time from which the window contains fewer than `limit` events, if none is added; `limit` is at least 1. */
	findFreeAt(limit: number, now: number): number {
		const excess = this.count(now) - limit;
		return excess < 0 ? now : this.#times[this.#start + excess]! + this.#windowMs;
	}

	/** Counts the events of the window that ends at `now`. */
	count(now: number): number {
		this.#removeExpired(now);
		return this.#times.length - this.#start;
	}

	/** Skips expired events, and frees their memory when they are the larger part. */
	#removeExpired(now: number): void {
		const oldest = now - this.#windowMs;
		while (this.#start < this.#times.length && this.#times[this.#start]! <= oldest) {
			this.#start++;
		}

		if (this.#start > 256 && this.#start * 2 > this.#times.length) {
			this.#times = this.#times.slice(this.#start);
			this.#start = 0;
		}
	}
}
