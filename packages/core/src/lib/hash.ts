/**
 * Non-cryptographic hashing for placement, by the `xxhash-wasm` library.
 */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Hashes text to an unsigned 32-bit number that is the same on every instance. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}
