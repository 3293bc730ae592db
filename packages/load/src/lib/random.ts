/**
 * Seeded random numbers, by the `pure-rand` library.
 */
export {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
export {uniformInt} from 'pure-rand/distribution/uniformInt';
