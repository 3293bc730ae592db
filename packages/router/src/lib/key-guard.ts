/**
 * Keeps callers' keys from reaching targets. A key is read only from the
 * `Authorization` header, which is never forwarded. A request is refused if any
 * forwarded part contains its key, or if its query or a forwarded header holds
 * any known key, because forwarding would expose that key.
 */
import {Buffer} from 'node:buffer';
import {computeKeyDigest} from '@sequoiatally/runtime';

/** Parts of a request that would be forwarded to a target. */
export type ForwardedContent = {
	/** Path with the query string. */
	readonly requestTarget: string;
	/** Values of the forwarded headers, including the chat's identifier. */
	readonly headerValues: readonly string[];
	readonly body: Uint8Array;
};

/** Finds the key in an `Authorization` header of the form `Bearer <key>`. */
export function findKey(authorization: string | undefined): string | undefined {
	return /^bearer +(\S+)$/i.exec(authorization ?? '')?.[1];
}

/**
 * Whether a forwarded part contains the caller's key, or a name or value in the
 * query or a forwarded header is any key of the configuration tables.
 */
export function isKeyExposed(
	{requestTarget, headerValues, body}: ForwardedContent,
	key: string | undefined,
	isKnownDigest: (digest: string) => boolean,
): boolean {
	const texts = [requestTarget, decodeText(requestTarget), ...headerValues];
	if (key !== undefined && (texts.some(text => text.includes(key)) || Buffer.from(body).includes(key))) {
		return true;
	}

	return [...listQueryValues(requestTarget), ...headerValues.flatMap(value => [value, findKey(value) ?? ''])].some(value => isKnownDigest(computeKeyDigest(value)));
}

function listQueryValues(requestTarget: string): string[] {
	const queryStart = requestTarget.indexOf('?');
	if (queryStart === -1) {
		return [];
	}

	const parameters = new URLSearchParams(requestTarget.slice(queryStart + 1));
	return [...parameters].flatMap(([name, value]) => [name, value, findKey(value) ?? '']);
}

function decodeText(text: string): string {
	try {
		return decodeURIComponent(text.replaceAll('+', ' '));
	} catch {
		return text;
	}
}
