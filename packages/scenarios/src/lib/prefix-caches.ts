/**
 * A model of the targets' prefix caches: each keeps the prefixes of the chats
 * that it served last, in limited memory, and loses them when it restarts.
 */

/** Prefixes in one target's memory, least recently used first. */
type TargetCache = {bootId: string; usedTokens: number; readonly tokensByChat: Map<string, number>};

/** The caches of all targets. */
export class PrefixCaches {
	readonly #caches = new Map<string, TargetCache>();

	/** `capacityTokens` is the memory of each target. */
	constructor(readonly capacityTokens: number) {}

	/** Serves a turn of a chat whose prompt has grown to `promptTokens`; returns the tokens that were reused. */
	serve(targetId: string, bootId: string, chatKey: string, promptTokens: number): number {
		const cache = this.#findCache(targetId, bootId);
		const cached = cache.tokensByChat.get(chatKey) ?? 0;
		cache.tokensByChat.delete(chatKey);
		cache.tokensByChat.set(chatKey, promptTokens);
		cache.usedTokens += promptTokens - cached;
		this.#evict(cache);
		return Math.min(cached, promptTokens);
	}

	/** Tokens of a chat that the target holds. */
	countCachedTokens(targetId: string, bootId: string, chatKey: string): number {
		return this.#findCache(targetId, bootId).tokensByChat.get(chatKey) ?? 0;
	}

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
