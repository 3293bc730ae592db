/**
 * From where a target may copy the parts of a prompt that it has not read.
 * Engines copy cached state many times faster than they compute it, so a
 * prompt that leaves its usual target, or the first prompt with a known
 * beginning, names another target that has the longest part of it.
 */
import {hashText} from '@sequoiatally/core';
import type {PromptPart} from './event.js';
import type {CacheHolders} from './cache-holders.js';
import {listSharedParts} from './prompt.js';
import {findFirstRanked} from './ranking.js';
import {isResponding} from './target-health.js';
import {listReachable, type Target, type TargetState} from './target-state.js';

/** Time after which a target that came later has taken over the prompts that rank it first, in milliseconds. */
const takeoverDurationMs = 20_000;
/** Registrations closer together than this count as made at once, in milliseconds. */
const sameTimeToleranceMs = 3000;

/** What the choice may look at. */
export type CopySourceView = {
	readonly targets: TargetState;
	readonly holders: CacheHolders;
};

/** Chooses the target from which `target` may copy parts of the prompt; undefined: it needs none, or none is known. */
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
 * Finds the target that served the prompt until now, as far as the order of
 * targets tells; undefined: that is `target` itself. Those that came lately
 * take prompts over one by one, so the others are asked first.
 */
function findPreviousTarget(reachable: ReadonlySet<Target>, target: Target, partId: string, now: number): Target | undefined {
	const keyHash = hashText(partId);
	const isRecent = (other: Target) => now - other.registeredAt < takeoverDurationMs;
	// A target that turned cold later still has what it read.
	const previousHolders = [...reachable].filter(other => other.coldUntil <= now || !isRecent(other));
	const firstRanked = findFirstRanked([...previousHolders, target], keyHash);
	if (firstRanked === undefined || !isRecent(firstRanked)) {
		return firstRanked === target ? undefined : firstRanked;
	}

	const earlierHolders = previousHolders.filter(({registeredAt}) => firstRanked.registeredAt - registeredAt > sameTimeToleranceMs);
	const wasFirstRanked = findFirstRanked(isRecent(target) ? earlierHolders : [...earlierHolders, target], keyHash) === target;
	return wasFirstRanked ? undefined : (findFirstRanked(earlierHolders, keyHash) ?? (firstRanked === target ? undefined : firstRanked));
}

/** Finds a holder of the longest beginning that the target is not known to have. */
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
