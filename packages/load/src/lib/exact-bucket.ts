/**
 * The one exact counter that an account's limit means: used to find overrun,
 * and requests refused although inside the limit.
 */

/** Computes by how many requests the given times exceed `burst + rate × time` over any window. */
export function computeOverrun(timesMs: readonly number[], rate: number, burst: number): number {
	let level = 0;
	let previousMs = timesMs[0] ?? 0;
	let maxExcess = 0;
	for (const timeMs of timesMs) {
		level = Math.max(0, level - ((timeMs - previousMs) * rate / 1000)) + 1;
		previousMs = timeMs;
		maxExcess = Math.max(maxExcess, level - burst);
	}

	// Rounding of sums of shares is not an overrun.
	return maxExcess < 1e-6 ? 0 : maxExcess;
}

/** Computes for each arrival whether one exact bucket, full at first, admits it. */
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
