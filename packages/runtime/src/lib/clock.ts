/**
 * The two clocks of a process. Decisions never call these: they get the
 * present time as an argument.
 */

/** Reads the monotonic clock, in milliseconds. */
export function readMonotonicMs(): number {
	return performance.now();
}

/** Reads the wall clock, in milliseconds since 1970. */
export function readWallMs(): number {
	return Date.now();
}
