/**
 * Counts events in the span of time before now, exactly: the bounds that it
 * serves hold for every span of that length.
 */

export class SlidingWindow {
	readonly #windowMs: number;
	#times: number[] = [];
	#start = 0;

	/** `spanMs` is the length of the span in milliseconds. */
	constructor(windowMs: number) {
		this.#windowMs = windowMs;
	}

	record(now: number): void {
		this.#times.push(now);
	}

	/** Counts the events of the span that ends now. */
	count(now: number): number {
		const oldest = now - this.#windowMs;
		while (this.#start < this.#times.length && this.#times[this.#start]! <= oldest) {
			this.#start++;
		}

		if (this.#start > 256 && this.#start * 2 > this.#times.length) {
			this.#times = this.#times.slice(this.#start);
			this.#start = 0;
		}

		return this.#times.length - this.#start;
	}
}
