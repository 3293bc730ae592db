/**
 * Non-cryptographic hashing for placement, by the `xxhash-wasm` library.
 */
/* eslint-disable no-bitwise -- mixing hashes is bitwise by nature */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Hashes text to an unsigned 32-bit number that is the same on every instance. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
 * Mixes two hashes into one unsigned 32-bit number, by the finalizer of
 * MurmurHash3. Ranking a pool's targets this way costs no hash of text per target.
 */
export function mixHashes(a: number, b: number): number {
	let mixed = a ^ b;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
