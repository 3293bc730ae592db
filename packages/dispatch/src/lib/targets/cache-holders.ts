/**
 * Tracks which targets hold which parts of prompts in their caches, from the
 * requests that this instance placed and from the entries that peers report. A
 * target that lacks a part can copy it from a holder, which costs a fraction of
 * reading it again.
 *
 * The entries are hints: if a holder has evicted a part meanwhile, nothing is
 * copied and the target reads the part itself.
 */
import type {PromptPart} from '../event.js';
import {evictOldest} from '../evict-oldest.js';
import type {SharedCacheEntry} from '../members/peer-message.js';
import {listSharedParts} from './prompt.js';
import type {Target} from './target-state.js';

/** Number of parts that are tracked; the least recently used part is evicted first. */
const partLimit = 8192;
/** Number of latest holders that are tracked for each part. */
const holdersPerPart = 64;
/** Number of latest prompt cache entries in one message. */
const entriesPerMessage = 16;
/** Number of recent prompt cache entries that are kept for messages to peers. */
const recentEntryLimit = 64;
/** Age up to which prompt cache entries are reported, in milliseconds: by then most prompts have been requested again. */
const entryMaxAgeMs = 4000;

/** A target that has read the shared parts of a prompt. */
type CacheEntry = {readonly partIds: readonly string[]; readonly target: Target; readonly at: number};

export class CacheHolders {
	/** Recently added entries, in the order in which they were added. */
	#recentEntries: CacheEntry[] = [];
	/** Holders of each part, the latest last; the parts are in the order of their last use. */
	readonly #byPart = new Map<string, Target[]>();

	/** Records that the target has read the shared parts of a prompt. */
	record(parts: readonly PromptPart[], target: Target, now: number): void {
		this.#add({partIds: listSharedParts(parts).map(({id}) => id), target, at: now});
	}

	/** Describes the latest entries for peers. */
	describeRecentEntries(now: number): SharedCacheEntry[] {
		this.#recentEntries = this.#recentEntries.filter(({at}) => now - at <= entryMaxAgeMs);
		return this.#recentEntries.slice(-entriesPerMessage).map(({partIds, target, at}) => ({
			partIds, targetId: target.record.id, bornAt: target.record.bornAt, ageMs: Math.round(now - at),
		}));
	}

	/** Applies the entries of a peer's message; their ages are subtracted from `messageCreatedAt`. */
	applyEntries(entries: readonly SharedCacheEntry[], targets: ReadonlyMap<string, Target>, messageCreatedAt: number): void {
		for (const {
			partIds, targetId, bornAt, ageMs,
		} of entries) {
			const target = targets.get(targetId);
			if (target?.record.bornAt === bornAt) {
				this.#add({partIds, target, at: messageCreatedAt - ageMs});
			}
		}
	}

	/** True when the target is known to have read the part. */
	has(partId: string, target: Target): boolean {
		return this.#byPart.get(partId)?.includes(target) ?? false;
	}

	/** Finds the latest holder of the part among the targets that `canCopy` accepts. */
	findHolder(partId: string, canCopy: (target: Target) => boolean): Target | undefined {
		return this.#byPart.get(partId)?.findLast(target => canCopy(target));
	}

	#add(entry: CacheEntry): void {
		const {partIds, target} = entry;
		const longestPartId = partIds.at(-1);
		if (longestPartId !== undefined && !this.has(longestPartId, target)) {
			this.#recentEntries.push(entry);
			this.#recentEntries = this.#recentEntries.slice(-recentEntryLimit);
		}

		for (const id of partIds) {
			const holders = this.#byPart.get(id)?.filter(holder => holder !== target) ?? [];
			holders.push(target);
			this.#byPart.delete(id);
			this.#byPart.set(id, holders.slice(-holdersPerPart));
		}

		evictOldest(this.#byPart, partLimit);
	}
}
