/**
 * Bounds repeats so that they hold over the whole fleet without agreement:
 * each instance repeats no more than a share of its own first sends, and the
 * fixed allowance is divided by the number of instances that may exist.
 */
import {SlidingWindow} from './sliding-window.js';

/** Part of the allowed ratio that is used: first sends and repeats are counted where they arrive, a little later. */
const usedRatioFraction = 0.8;
/**
 * Part of the fixed allowance that is used: an instance that is killed forgets
 * what it spent, and its successor spends its part again.
 */
const usedAllowanceFraction = 0.4;

export type RetryBounds = {
	/** Repeats allowed for each first send. */
	readonly ratio: number;
	/** Repeats of the whole fleet allowed beside the ratio. */
	readonly allowance: number;
	/** Length of the span that both are counted in, in milliseconds. */
	readonly windowMs: number;
};

/** The budget of one pool at one instance. */
export class RetryBudget {
	readonly #bounds: RetryBounds;
	readonly #firstSends: SlidingWindow;
	readonly #retries: SlidingWindow;

	constructor(bounds: RetryBounds) {
		this.#bounds = bounds;
		this.#firstSends = new SlidingWindow(bounds.windowMs);
		this.#retries = new SlidingWindow(bounds.windowMs);
	}

	recordFirstSend(now: number): void {
		this.#firstSends.record(now);
	}

	recordRetry(now: number): void {
		this.#retries.record(now);
	}

	/** True when one more repeat keeps to the budget; `fleetSize` is the number of instances that may exist. */
	mayRetry(fleetSize: number, now: number): boolean {
		const {ratio, allowance} = this.#bounds;
		const share = Math.floor(allowance * usedAllowanceFraction / fleetSize);
		return this.#retries.count(now) + 1 <= (this.#firstSends.count(now) * ratio * usedRatioFraction) + share;
	}
}
