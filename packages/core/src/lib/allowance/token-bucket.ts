/**
 * A token bucket as plain data. The present time is always an argument.
 */

export type TokenBucket = {
	/** Tokens per second. */
	rate: number;
	/** Most tokens that the bucket holds. */
	room: number;
	tokens: number;
	/** Time at which `tokens` was true. */
	refilledAt: number;
};

/** Creates an empty bucket, so that a replaced process cannot spend a burst twice. */
export function createBucket(rate: number, room: number, now: number): TokenBucket {
	return {
		rate, room, tokens: 0, refilledAt: now,
	};
}

/** Adds the tokens that came since the last refill. */
export function refillBucket(bucket: TokenBucket, now: number): void {
	const elapsedSeconds = Math.max(0, now - bucket.refilledAt) / 1000;
	bucket.tokens = Math.min(bucket.room, bucket.tokens + (bucket.rate * elapsedSeconds));
	bucket.refilledAt = Math.max(bucket.refilledAt, now);
}

/** Changes rate and room; tokens beyond the new room are lost, none are created. */
export function resizeBucket(bucket: TokenBucket, rate: number, room: number, now: number): void {
	refillBucket(bucket, now);
	bucket.rate = rate;
	bucket.room = room;
	bucket.tokens = Math.min(bucket.tokens, room);
}

/** Takes tokens if there are enough. */
export function tryTakeTokens(bucket: TokenBucket, amount: number, now: number): boolean {
	refillBucket(bucket, now);
	if (bucket.tokens < amount) {
		return false;
	}

	bucket.tokens -= amount;
	return true;
}

/** Time until the bucket holds `amount` at its own rate, in milliseconds; infinite if never. */
export function estimateWaitMs(bucket: TokenBucket, amount: number): number {
	const missing = amount - bucket.tokens;
	if (missing <= 0) {
		return 0;
	}

	return bucket.rate > 0 ? Math.ceil(missing / bucket.rate * 1000) : Number.POSITIVE_INFINITY;
}
