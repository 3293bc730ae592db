/**
 * A model of the prefix caches of targets. Each target caches the prompts of
 * its most recently served chats up to a capacity in tokens, and loses them when
 * it restarts.
 */

/** Cache of one boot of a target; `tokensByChat` is in order of use, least recently used first. */
type TargetCache = {bootId: string; usedTokens: number; readonly tokensByChat: Map<string, number>};

/** The caches of all targets. */
export class PrefixCaches {
	readonly #caches = new Map<string, TargetCache>();

	/** `capacityTokens` is the capacity of each target's cache. */
	constructor(readonly capacityTokens: number) {}

	/** Serves a turn of a chat with a prompt of `promptTokens`; returns the number of tokens found in the cache. */
	serve(targetId: string, bootId: string, chatKey: string, promptTokens: number): number {
		const cache = this.#findCache(targetId, bootId);
		const cached = cache.tokensByChat.get(chatKey) ?? 0;
		cache.tokensByChat.delete(chatKey);
		cache.tokensByChat.set(chatKey, promptTokens);
		cache.usedTokens += promptTokens - cached;
		this.#evict(cache);
		return Math.min(cached, promptTokens);
	}

	/** Counts the prompt tokens of a chat in the target's cache. */
	countCachedTokens(targetId: string, bootId: string, chatKey: string): number {
		return this.#findCache(targetId, bootId).tokensByChat.get(chatKey) ?? 0;
	}

	/** Finds the cache of a target; creates an empty one for a new target and for each new boot. */
	#findCache(targetId: string, bootId: string): TargetCache {
		let cache = this.#caches.get(targetId);
		if (cache?.bootId !== bootId) {
			cache = {bootId, usedTokens: 0, tokensByChat: new Map()};
			this.#caches.set(targetId, cache);
		}

		return cache;
	}

	#evict(cache: TargetCache): void {
		for (const [chatKey, tokens] of cache.tokensByChat) {
			if (cache.usedTokens <= this.capacityTokens) {
				return;
			}

			cache.tokensByChat.delete(chatKey);
			cache.usedTokens -= tokens;
		}
	}
}
