/**
 * Keeps callers' keys away from targets. A key is taken from one place only,
 * the `Authorization` header, which is never forwarded; a request that carries
 * a key anywhere else is refused, because forwarding would show it.
 */
import {Buffer} from 'node:buffer';
import {computeKeyDigest} from '@sequoiatally/runtime';

/** What a request shows of itself before it is forwarded. */
export type ForwardedContent = {
	/** Path with query. */
	readonly requestTarget: string;
	/** Values of the headers that would be forwarded, the chat's identifier included. */
	readonly headerValues: readonly string[];
	readonly body: Uint8Array;
};

/** Finds the key in a header of the form `Bearer <key>`. */
export function findKey(authorization: string | undefined): string | undefined {
	return /^bearer +(\S+)$/i.exec(authorization ?? '')?.[1];
}

/** Says whether anything that would be forwarded holds the caller's key, or any key that the tables know. */
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
