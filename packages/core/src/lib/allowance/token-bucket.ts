/**
 * A token bucket as plain data. The present time is always an argument.
 *
 * A taken token counts as spent between the step that took it and the next
 * event, because the process may pause before it sends. Until then it keeps
 * its room, so that a pause never lets a bucket's burst go out late and whole
 * while the bucket has filled up again behind it.
 */

export type TokenBucket = {
	/** Tokens per second. */
	rate: number;
	/** Most tokens that the bucket holds. */
	capacity: number;
	tokens: number;
	/** Tokens taken since `refilledAt`, which may not have been spent before the next event. */
	reservedTokens: number;
	/** Time at which `tokens` was true. */
	refilledAt: number;
};

/** Creates an empty bucket, so that a replaced process cannot spend a burst twice. */
export function createBucket(rate: number, capacity: number, now: number): TokenBucket {
	return {
		rate, capacity, tokens: 0, reservedTokens: 0, refilledAt: now,
	};
}

/** Adds the tokens that came since the last refill; room of unsettled tokens does not fill. */
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
 * Changes rate and room; tokens beyond the new room are lost, none are created.
 * The time since the last refill counts at the lower of both rates, because the
 * change may have been due at any moment of it.
 */
export function resizeBucket(bucket: TokenBucket, rate: number, capacity: number, now: number): void {
	bucket.rate = Math.min(bucket.rate, rate);
	bucket.capacity = Math.min(bucket.capacity, capacity);
	bucket.tokens = Math.min(bucket.tokens, bucket.capacity);
	refillBucket(bucket, now);
	bucket.rate = rate;
	bucket.capacity = capacity;
}

/** Takes tokens if there are enough. */
export function tryTakeTokens(bucket: TokenBucket, amount: number, now: number): boolean {
	refillBucket(bucket, now);
	if (bucket.tokens < amount) {
		return false;
	}

	bucket.tokens -= amount;
	bucket.reservedTokens += amount;
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
