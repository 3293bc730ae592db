/**
 * Rendezvous hashing, mostly of prompts to targets. Every instance computes the same
 * ranking from the same targets, and adding or removing a target moves only the
 * prompts that rank this target first.
 */
import {mixHashes} from '@sequoiatally/core';

/** Finds the target, or member, that ranks first for a prompt or another key; `undefined` if there is none. */
export function findFirstRanked<T extends {readonly hash: number}>(items: readonly T[], keyHash: number): T | undefined {
	let first: T | undefined;
	let firstScore = -1;
	for (const item of items) {
		const score = mixHashes(keyHash, item.hash);
		if (score > firstScore) {
			first = item;
			firstScore = score;
		}
	}

	return first;
}

/** Lists the `count` targets, or members, that rank first for a prompt or another key. */
export function listFirstRanked<T extends {readonly hash: number}>(items: readonly T[], keyHash: number, count: number): T[] {
	return [...items].sort((a, b) => mixHashes(keyHash, b.hash) - mixHashes(keyHash, a.hash)).slice(0, count);
}
