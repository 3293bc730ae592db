/**
 * Limits the retries of each pool across the whole fleet without coordination:
 * each instance retries at most a fixed ratio of its own first sends, and the
 * fixed allowance is divided by the number of instances that may exist.
 */
import {SlidingWindow} from '../sliding-window.js';

/** Fraction of the allowed ratio in use; the margin covers that targets count first sends and retries on arrival, slightly later. */
const usedRatioFraction = 0.8;
/**
 * Fraction of the fixed allowance in use: a killed instance loses its count, and
 * its replacement can spend the same share again.
 */
const usedAllowanceFraction = 0.4;

export type RetryBounds = {
	/** Retries allowed for each first send. */
	readonly ratio: number;
	/** Retries in one pool that are allowed in the whole fleet in addition to the ratio. */
	readonly allowance: number;
	/** Length of the window in which both are counted, in milliseconds; written to the log under this name. */
	readonly spanMs: number;
};

/** The retry budget of one pool at one instance. */
export class RetryBudget {
	readonly #bounds: RetryBounds;
	readonly #firstSends: SlidingWindow;
	readonly #retries: SlidingWindow;

	constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
		this.#firstSends = new SlidingWindow(bounds.spanMs);
		this.#retries = new SlidingWindow(bounds.spanMs);
	}

	recordFirstSend(now: number): void {
		this.#firstSends.record(now);
	}

	recordRetry(now: number): void {
		this.#retries.record(now);
	}

	/** Returns the number of retries in the window. */
	countRetries(now: number): number {
		return this.#retries.count(now);
	}

	/** True when the budget allows one more retry; `fleetSize` is the number of instances that may exist. */
	mayRetry(fleetSize: number, now: number): boolean {
		const {ratio, allowance} = this.#bounds;
		const share = Math.floor(allowance * usedAllowanceFraction / fleetSize);
		return this.#retries.count(now) + 1 <= (this.#firstSends.count(now) * ratio * usedRatioFraction) + share;
	}
}
