/**
 * The two clocks of a process. Code that makes decisions never reads them; it
 * receives the present time as an argument.
 */

/** Reads the monotonic clock, in milliseconds. */
export function readMonotonicMs(): number {
	return performance.now();
}

/** Reads the wall clock, in milliseconds since the Unix epoch. */
export function readWallMs(): number {
	return Date.now();
}
