/**
 * A seeded random source, based on the `pure-rand` library.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
export {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Draws values of several distributions from one seeded generator. */
export class RandomSource {
	readonly #generator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Draws an integer between `min` and `max`, both inclusive. */
	drawInteger(min: number, max: number): number {
		return uniformInt(this.#generator, min, max);
	}

	/** Draws a number in [0, 1). */
	drawUniform(): number {
		return uniformFloat64(this.#generator);
	}

	/** Returns `true` with the given probability. */
	drawBoolean(probability: number): boolean {
		return this.drawUniform() < probability;
	}

	/** Draws from the exponential distribution with the given mean, such as the interarrival times of a Poisson process. */
	drawExponential(mean: number): number {
		return -mean * Math.log(1 - this.drawUniform());
	}

	/** Draws from the Pareto distribution with the given minimum and shape. */
	drawPareto(minimum: number, shape: number): number {
		return minimum / ((1 - this.drawUniform()) ** (1 / shape));
	}
}
