/**
 * Measures recent demand by two exponentially weighted rates: a slow one, which
 * chance moves little, and a fast one, which counts once it differs from the
 * slow one by more than chance explains.
 */

/** Time constant of the slow average, in milliseconds. */
const slowOverMs = 6000;
/** Time constant of the fast average, in milliseconds. */
const fastOverMs = 1500;
/** Standard deviations of the fast average within which a difference counts as chance. */
const chanceDeviations = 3;
/** Least rate for which chance is reckoned, in requests per second. */
const smallestRate = 0.5;

export type DemandMeter = {
	/** Requests per second by the slow average. */
	slow: number;
	/** Requests per second by the fast average. */
	fast: number;
	updatedAt: number;
};

export function createDemandMeter(now: number): DemandMeter {
	return {slow: 0, fast: 0, updatedAt: now};
}

/** Counts demand at `now`. */
export function recordDemand(meter: DemandMeter, amount: number, now: number): void {
	const elapsedMs = now - meter.updatedAt;
	meter.slow = (meter.slow * Math.exp(-elapsedMs / slowOverMs)) + (amount * 1000 / slowOverMs);
	meter.fast = (meter.fast * Math.exp(-elapsedMs / fastOverMs)) + (amount * 1000 / fastOverMs);
	meter.updatedAt = now;
}

/** Computes the demand at `now`, in requests per second. */
export function computeDemandRate(meter: DemandMeter | undefined, now: number): number {
	if (meter === undefined) {
		return 0;
	}

	const elapsedMs = now - meter.updatedAt;
	const slow = meter.slow * Math.exp(-elapsedMs / slowOverMs);
	const fast = meter.fast * Math.exp(-elapsedMs / fastOverMs);
	const deviation = Math.sqrt(Math.max(slow, smallestRate) * 1000 / (2 * fastOverMs));
	return Math.abs(fast - slow) > chanceDeviations * deviation ? fast : slow;
}
