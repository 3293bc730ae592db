/**
 * A single exact token bucket as the reference for an account's limit across
 * the whole fleet: finds overruns, and requests refused although within the limit.
 * Arrival times have to be in ascending order.
 */

/** Computes the largest number of requests by which the arrivals exceed `burst + rate × time` in any window. Times are in milliseconds, `rate` is per second. */
export function computeOverrun(timesMs: readonly number[], rate: number, burst: number): number {
	let level = 0;
	let previousMs = timesMs[0] ?? 0;
	let maxExcess = 0;
	for (const timeMs of timesMs) {
		level = Math.max(0, level - ((timeMs - previousMs) * rate / 1000)) + 1;
		previousMs = timeMs;
		maxExcess = Math.max(maxExcess, level - burst);
	}

	// Rounding errors in sums of shares do not count as an overrun.
	return maxExcess < 1e-6 ? 0 : maxExcess;
}

/** Returns for each arrival whether one exact bucket that starts full admits it. Times are in milliseconds, `rate` is per second. */
export function admitByExactBucket(timesMs: readonly number[], rate: number, burst: number): boolean[] {
	let tokens = burst;
	let previousMs = timesMs[0] ?? 0;
	return timesMs.map(timeMs => {
		tokens = Math.min(burst, tokens + ((timeMs - previousMs) * rate / 1000));
		previousMs = timeMs;
		const isAdmitted = tokens >= 1;
		tokens -= isAdmitted ? 1 : 0;
		return isAdmitted;
	});
}
