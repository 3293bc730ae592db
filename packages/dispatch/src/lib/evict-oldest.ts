/**
 * Bounds the size of a map whose entries are in the order of their last use.
 */

/** Evicts the oldest entries until at most `limit` remain. */
export function evictOldest(map: Map<string, unknown>, limit: number): void {
	for (const key of map.keys()) {
		if (map.size <= limit) {
			return;
		}

		map.delete(key);
	}
}
