/**
 * Keys are compared, kept and relayed as digests only.
 */
import {createHash} from 'node:crypto';

/** Computes the digest by which the tables know a key: SHA-256, in hexadecimal. */
export function computeKeyDigest(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}
