/**
 * Rendezvous hashing, mostly of prompts to targets. Every instance computes the same
 * ranking from the same targets, and adding or removing a target moves only the
 * prompts that rank this target first.
 */
import {mixHashes} from '@sequoiatally/core';
import type {Target} from './target-state.js';

/** Finds the target that ranks first for a prompt; `undefined` if there are no targets. */
export function findFirstRanked(targets: readonly Target[], keyHash: number): Target | undefined {
	let first: Target | undefined;
	let firstScore = -1;
	for (const target of targets) {
		const score = mixHashes(keyHash, target.hash);
		if (score > firstScore) {
			first = target;
			firstScore = score;
		}
	}

	return first;
}

/** Lists the `count` targets, or members, that rank first for a prompt or another key. */
export function listFirstRanked<T extends {readonly hash: number}>(items: readonly T[], keyHash: number, count: number): T[] {
	return [...items].sort((a, b) => mixHashes(keyHash, b.hash) - mixHashes(keyHash, a.hash)).slice(0, count);
}
