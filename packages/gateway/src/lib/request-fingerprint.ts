/**
 * Identifies requests that are the same for a target: one that crashes its target does so
 * again when its caller repeats it, with another request id, deadline or order of headers.
 */
import {createHash} from 'node:crypto';

/** Length of a fingerprint in characters of six bits each: enough that no caller finds another request with the same one. */
const fingerprintLength = 20;

/** The parts of a request that make two requests the same. */
export type RequestIdentity = {
	readonly method: string;
	readonly host: string;
	/** Path and query. */
	readonly url: string;
	/** Digest of the caller's key: the requests of two client accounts are never the same. */
	readonly keyDigest?: string;
	/** The parts of the body, in order. */
	readonly body: readonly Uint8Array[];
};

/** Computes the fingerprint of a request, from which neither its content nor its caller's key can be told. */
export function computeFingerprint({method, host, url, keyDigest = '', body}: RequestIdentity): string {
	const hash = createHash('sha256');
	// In JSON, no text can continue into the next one.
	hash.update(JSON.stringify([method, host, url, keyDigest]));
	for (const part of body) {
		hash.update(part);
	}

	return hash.digest('base64url').slice(0, fingerprintLength);
}
