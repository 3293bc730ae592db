/**
 * A token bucket as plain data. The present time is always an argument.
 *
 * A token taken in one step may be spent as late as the next event, because
 * the process may pause before it sends. Until then the token still occupies
 * capacity. Otherwise the bucket would refill during a pause, and the delayed
 * burst could be followed at once by another.
 */

export type TokenBucket = {
	/** Tokens per second. */
	rate: number;
	/** Largest number of tokens that the bucket holds. */
	capacity: number;
	tokens: number;
	/** Tokens taken since `refilledAt`, which may be spent as late as the next event. */
	reservedTokens: number;
	/** Time for which `tokens` was last computed. */
	refilledAt: number;
};

/** Creates an empty bucket. If it were full, a replaced process and its successor could each spend the burst. */
export function createBucket(rate: number, capacity: number, now: number): TokenBucket {
	return {
		rate, capacity, tokens: 0, reservedTokens: 0, refilledAt: now,
	};
}

/** Adds the tokens that accrued since the last refill; capacity occupied by reserved tokens is not refilled. */
export function refillBucket(bucket: TokenBucket, now: number): void {
	if (now <= bucket.refilledAt) {
		return;
	}

	const elapsedSeconds = (now - bucket.refilledAt) / 1000;
	const availableCapacity = Math.max(0, bucket.capacity - bucket.reservedTokens);
	bucket.tokens = Math.min(availableCapacity, bucket.tokens + (bucket.rate * elapsedSeconds));
	bucket.reservedTokens = 0;
	bucket.refilledAt = now;
}

/**
 * Changes rate and capacity. Tokens beyond the new capacity are discarded, and
 * none are created. The time since the last refill counts at the lower of both
 * rates, because the change may have taken effect at any moment of it.
 */
export function resizeBucket(bucket: TokenBucket, rate: number, capacity: number, now: number): void {
	bucket.rate = Math.min(bucket.rate, rate);
	bucket.capacity = Math.min(bucket.capacity, capacity);
	bucket.tokens = Math.min(bucket.tokens, bucket.capacity);
	refillBucket(bucket, now);
	bucket.rate = rate;
	bucket.capacity = capacity;
}

/** Takes `amount` tokens if the bucket holds them; returns whether it did. */
export function tryTakeTokens(bucket: TokenBucket, amount: number, now: number): boolean {
	refillBucket(bucket, now);
	if (bucket.tokens < amount) {
		return false;
	}

	bucket.tokens -= amount;
	bucket.reservedTokens += amount;
	return true;
}

/** Estimates the time until the bucket holds `amount` tokens at its own rate, in milliseconds; infinite if the rate is 0. */
export function estimateWaitMs(bucket: TokenBucket, amount: number): number {
	const missing = amount - bucket.tokens;
	if (missing <= 0) {
		return 0;
	}

	return bucket.rate > 0 ? Math.ceil(missing / bucket.rate * 1000) : Number.POSITIVE_INFINITY;
}
