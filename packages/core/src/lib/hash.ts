/**
 * Non-cryptographic hashing for placement, with the `xxhash-wasm` library.
 */
/* eslint-disable no-bitwise -- mixing hashes requires bitwise operators */
import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Hashes text to an unsigned 32-bit number, identical on every instance. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}

/**
 * Mixes two hashes into one unsigned 32-bit number with the finalizer of
 * MurmurHash3, so that ranking a pool's targets hashes no text per target.
 */
export function mixHashes(a: number, b: number): number {
	let mixed = a ^ b;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
}
