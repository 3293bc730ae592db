/**
 * Remembers which targets have read which parts of prompts, from the requests
 * that this instance placed and from what its peers tell. A target that lacks a part can copy it from one
 * that has it, which costs a small part of reading it again.
 *
 * The memory is a hint: a target that has dropped a part meanwhile copies
 * nothing and reads it.
 */
import type {PromptPart} from './event.js';
import type {SharedCacheEntry} from './peer-message.js';
import {listSharedParts} from './prompt.js';
import type {Target} from './target-state.js';

/** Parts that are remembered; the one used longest ago is forgotten first. */
const partLimit = 8192;
/** Holders that are remembered for each part, the latest. */
const holdersPerPart = 64;
/** Readings told in one message, the latest. */
const entriesPerMessage = 16;
/** Readings that are kept to be told. */
const recentEntryLimit = 64;
/** Age up to which readings are told, in milliseconds: by then most prompts have been asked for again. */
const entryMaxAgeMs = 4000;

/** A target that was found to have read a prompt. */
type CacheEntry = {readonly partIds: readonly string[]; readonly target: Target; readonly at: number};

export class CacheHolders {
	/** New holders, the latest last. */
	#recentEntries: CacheEntry[] = [];
	/** Holders of each part, the latest last; parts in the order of their last use. */
	readonly #byPart = new Map<string, Target[]>();

	/** Records that the target has read the shared parts of a prompt. */
	record(parts: readonly PromptPart[], target: Target, now: number): void {
		this.#add({partIds: listSharedParts(parts).map(({id}) => id), target, at: now});
	}

	/** Describes the latest news for peers. */
	describeRecentEntries(now: number): SharedCacheEntry[] {
		this.#recentEntries = this.#recentEntries.filter(({at}) => now - at <= entryMaxAgeMs);
		return this.#recentEntries.slice(-entriesPerMessage).map(({partIds, target, at}) => ({
			partIds, targetId: target.record.id, bornAt: target.record.bornAt, ageMs: Math.round(now - at),
		}));
	}

	/** Takes a peer's news; `madeAt` is a time before the peer's message. */
	applyEntries(entries: readonly SharedCacheEntry[], targets: ReadonlyMap<string, Target>, ageReferenceAt: number): void {
		for (const {
			partIds, targetId, bornAt, ageMs,
		} of entries) {
			const target = targets.get(targetId);
			if (target?.record.bornAt === bornAt) {
				this.#add({partIds, target, at: ageReferenceAt - ageMs});
			}
		}
	}

	/** True when the target is known to have read the part. */
	has(partId: string, target: Target): boolean {
		return this.#byPart.get(partId)?.includes(target) ?? false;
	}

	/** Finds the target that read the part last, among those that `canCopy` allows. */
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

		for (const id of this.#byPart.keys()) {
			if (this.#byPart.size <= partLimit) {
				break;
			}

			this.#byPart.delete(id);
		}
	}
}
