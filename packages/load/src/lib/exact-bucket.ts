/**
 * The one exact counter that an account's limit means: used to find overrun,
 * and requests refused although inside the limit.
 */

/** Computes by how many requests the given times exceed `burst + rate × time` over any window. */
export function computeOverrun(times: readonly number[], rate: number, burst: number): number {
	let level = 0;
	let previous = times[0] ?? 0;
	let worst = 0;
	for (const time of times) {
		level = Math.max(0, level - ((time - previous) * rate / 1000)) + 1;
		previous = time;
		worst = Math.max(worst, level - burst);
	}

	// Rounding of sums of shares is not an overrun.
	return worst < 1e-6 ? 0 : worst;
}

/** Computes for each arrival whether one exact bucket, full at first, admits it. */
export function admitExactly(times: readonly number[], rate: number, burst: number): boolean[] {
	let tokens = burst;
	let previous = times[0] ?? 0;
	return times.map(time => {
		tokens = Math.min(burst, tokens + ((time - previous) * rate / 1000));
		previous = time;
		const isAdmitted = tokens >= 1;
		tokens -= isAdmitted ? 1 : 0;
		return isAdmitted;
	});
}
