/**
 * Chooses a target from which another target may copy the parts of a prompt that
 * it has not read. Engines copy cached state many times faster than they compute
 * it, so a request that leaves its usual target, or shares only a prefix with
 * earlier prompts, names the cache holder of its longest cached prefix.
 */
import {hashText} from '@sequoiatally/core';
import type {PromptPart} from '../event.js';
import type {CacheHolders} from './cache-holders.js';
import {listSharedParts} from './prompt.js';
import {findFirstRanked} from './ranking.js';
import {isResponding} from './target-health.js';
import {listReachable, type Target, type TargetState} from './target-state.js';

/** Time after its registration in which a target takes over the prompts that rank it first, in milliseconds. */
const takeoverDurationMs = 20_000;
/** Largest time between two registrations that count as simultaneous, in milliseconds. */
const sameTimeToleranceMs = 3000;

/** State that the choice of a copy source depends on. */
export type CopySourceView = {
	readonly targets: TargetState;
	readonly holders: CacheHolders;
};

/** Chooses the target from which `target` may copy parts of the prompt; returns `undefined` if `target` needs no copy or no source is known. */
export function chooseCopySource({targets, holders}: CopySourceView, target: Target, promptParts: readonly PromptPart[], now: number): Target | undefined {
	const shared = listSharedParts(promptParts);
	const longestPart = shared.at(-1);
	if (longestPart === undefined || holders.has(longestPart.id, target)) {
		return undefined;
	}

	const reachable = new Set(listReachable(targets, target.record.pool).filter(other => other !== target && isResponding(other.health, now)));
	const canCopy = (other: Target) => reachable.has(other);
	return holders.findHolder(longestPart.id, canCopy)
		?? findPreviousTarget(reachable, target, longestPart.id, now)
		?? findHolderOfPrefix(holders, target, shared.slice(0, -1), canCopy);
}

/**
 * Finds the target that probably served the prompt until now, according to the
 * ranking of targets; returns `undefined` if that is `target` itself. Recently
 * registered targets take over prompts one by one, so earlier targets are
 * preferred.
 */
function findPreviousTarget(reachable: ReadonlySet<Target>, target: Target, partId: string, now: number): Target | undefined {
	const keyHash = hashText(partId);
	const isRecent = (other: Target) => now - other.registeredAt < takeoverDurationMs;
	// An earlier target that is cold now still holds the prompts that it read before.
	const candidates = [...reachable].filter(other => other.coldUntil <= now || !isRecent(other));
	const firstRanked = findFirstRanked([...candidates, target], keyHash);
	if (firstRanked === undefined || !isRecent(firstRanked)) {
		return firstRanked === target ? undefined : firstRanked;
	}

	const earlierCandidates = candidates.filter(({registeredAt}) => firstRanked.registeredAt - registeredAt > sameTimeToleranceMs);
	const wasFirstRanked = findFirstRanked(isRecent(target) ? earlierCandidates : [...earlierCandidates, target], keyHash) === target;
	return wasFirstRanked ? undefined : (findFirstRanked(earlierCandidates, keyHash) ?? (firstRanked === target ? undefined : firstRanked));
}

/** Finds a holder of the longest prefix that the target is not known to have. */
function findHolderOfPrefix(holders: CacheHolders, target: Target, parts: readonly PromptPart[], canCopy: (target: Target) => boolean): Target | undefined {
	for (const {id} of [...parts].reverse()) {
		if (holders.has(id, target)) {
			return undefined;
		}

		const holder = holders.findHolder(id, canCopy);
		if (holder !== undefined) {
			return holder;
		}
	}

	return undefined;
}
