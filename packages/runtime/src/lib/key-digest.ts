/**
 * Digests of client keys. Keys are compared, stored and forwarded only as
 * digests.
 */
import {createHash} from 'node:crypto';

/** Computes the digest of a key as listed in the configuration: SHA-256, in hexadecimal. */
export function computeKeyDigest(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}
