/**
 * The order of targets for a prompt. Every instance computes the same order
 * from the same targets, and a target that comes or goes moves only the prompts
 * that rank it first.
 */
import {mixHashes} from '@sequoiatally/core';
import type {Target} from './target-state.js';

/** Finds the target that ranks first for a prompt; undefined: there is none. */
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
