/**
 * Functions for the parts of a prompt that requests share.
 */
import type {PromptPart} from '../event.js';

/** Lists the parts that other requests may share, in prompt order; the last of several parts belongs to the request alone. */
export function listSharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.length > 1 ? parts.slice(0, -1) : parts;
}

/** Finds the identifier of the longest prefix that other requests may share; `undefined` if the request has no prompt. */
export function findPromptKey(parts: readonly PromptPart[]): string | undefined {
	return listSharedParts(parts).at(-1)?.id;
}

/** Counts the tokens of the parts that other requests may share. */
export function countSharedTokens(parts: readonly PromptPart[]): number {
	let count = 0;
	for (const {tokenCount} of listSharedParts(parts)) {
		count += tokenCount;
	}

	return count;
}
