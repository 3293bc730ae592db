/**
 * Keeps callers' keys away from targets. A key is taken from one place only,
 * the `Authorization` header, which is never forwarded; a request that carries
 * a key anywhere else is refused, because forwarding would show it.
 */
import {Buffer} from 'node:buffer';
import {computeKeyDigest} from '@sequoiatally/runtime';

/** What a request shows of itself before it is forwarded. */
export type ShownRequest = {
	/** Path with query. */
	readonly target: string;
	/** Values of the headers that would be forwarded, the chat's identifier included. */
	readonly values: readonly string[];
	readonly body: Uint8Array;
};

/** Finds the key in a header of the form `Bearer <key>`. */
export function findKey(authorization: string | undefined): string | undefined {
	return /^bearer +(\S+)$/i.exec(authorization ?? '')?.[1];
}

/** Says whether anything that would be forwarded holds the caller's key, or any key that the tables know. */
export function isKeyShown({target, values, body}: ShownRequest, key: string | undefined, isKnownDigest: (digest: string) => boolean): boolean {
	const texts = [target, decodeText(target), ...values];
	if (key !== undefined && (texts.some(text => text.includes(key)) || Buffer.from(body).includes(key))) {
		return true;
	}

	return [...listQueryValues(target), ...values.flatMap(value => [value, findKey(value) ?? ''])].some(value => isKnownDigest(computeKeyDigest(value)));
}

function listQueryValues(target: string): string[] {
	const query = target.indexOf('?');
	if (query === -1) {
		return [];
	}

	const parameters = new URLSearchParams(target.slice(query + 1));
	return [...parameters].flatMap(([name, value]) => [name, value, findKey(value) ?? '']);
}

function decodeText(text: string): string {
	try {
		return decodeURIComponent(text.replaceAll('+', ' '));
	} catch {
		return text;
	}
}
