/**
 * Seeded random numbers, by the `pure-rand` library.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
export {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Draws values of several distributions from one seed. */
export class RandomSource {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Draws a whole number from `min` to `max`, both included. */
	drawInteger(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/** Draws a number from 0 up to, but not including, 1. */
	drawUniform(): number {
		return uniformFloat64(this.#generator);
	}

	/** Draws whether something of this probability happens. */
	drawBoolean(probability: number): boolean {
		return this.drawUniform() < probability;
	}

	/** Draws the time to the next event of a Poisson process with this mean gap. */
	drawExponential(mean: number): number {
		return -mean * Math.log(1 - this.drawUniform());
	}

	/** Draws a value of at least `least` whose tail falls with the power `shape`. */
	drawPareto(minimum: number, shape: number): number {
		return minimum / ((1 - this.drawUniform()) ** (1 / shape));
	}
}
