/**
 * Authenticates operators by their tokens. Only digests of the tokens are kept;
 * a presented token is compared with each digest in constant time.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {NamedToken} from '@sequoiatally/runtime';

/** Tokens that one process accepts. */
export class OperatorTokens {
	readonly #digests: ReadonlyArray<{readonly name: string; readonly digest: Uint8Array}>;

	constructor(tokens: readonly NamedToken[]) {
		this.#digests = tokens.map(({name, token}) => ({name, digest: computeDigest(`Bearer ${token}`)}));
	}

	/** Finds the name of the operator whose token the `authorization` header contains; returns `undefined` if no token matches. */
	findOperator(authorization: string): string | undefined {
		const presentedDigest = computeDigest(authorization);
		let matchedName: string | undefined;
		// Every token is compared, so that the duration does not reveal which one matched.
		for (const {name, digest} of this.#digests) {
			if (timingSafeEqual(presentedDigest, digest)) {
				matchedName = name;
			}
		}

		return matchedName;
	}
}

function computeDigest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
