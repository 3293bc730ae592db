/**
 * Measures recent demand by two exponentially weighted rates: a slow one, which
 * chance moves little, and a fast one, which counts once it differs from the
 * slow one by more than chance explains.
 */

/** Time constant of the slow average, in milliseconds. */
const slowTimeConstantMs = 6000;
/** Time constant of the fast average, in milliseconds. */
const fastTimeConstantMs = 1500;
/** Standard deviations of the fast average within which a difference counts as chance. */
const noiseDeviations = 3;
/** Least rate for which chance is reckoned, in requests per second. */
const minNoiseRatePerSecond = 0.5;

export type DemandMeter = {
	/** Requests per second by the slow average. */
	slowRate: number;
	/** Requests per second by the fast average. */
	fastRate: number;
	updatedAt: number;
};

export function createDemandMeter(now: number): DemandMeter {
	return {slowRate: 0, fastRate: 0, updatedAt: now};
}

/** Counts demand at `now`. */
export function recordDemand(meter: DemandMeter, amount: number, now: number): void {
	const elapsedMs = now - meter.updatedAt;
	meter.slowRate = (meter.slowRate * Math.exp(-elapsedMs / slowTimeConstantMs)) + (amount * 1000 / slowTimeConstantMs);
	meter.fastRate = (meter.fastRate * Math.exp(-elapsedMs / fastTimeConstantMs)) + (amount * 1000 / fastTimeConstantMs);
	meter.updatedAt = now;
}

/** Computes the demand at `now`, in requests per second. */
export function computeDemandRate(meter: DemandMeter | undefined, now: number): number {
	if (meter === undefined) {
		return 0;
	}

	const elapsedMs = now - meter.updatedAt;
	const slowRate = meter.slowRate * Math.exp(-elapsedMs / slowTimeConstantMs);
	const fastRate = meter.fastRate * Math.exp(-elapsedMs / fastTimeConstantMs);
	const deviation = Math.sqrt(Math.max(slowRate, minNoiseRatePerSecond) * 1000 / (2 * fastTimeConstantMs));
	return Math.abs(fastRate - slowRate) > noiseDeviations * deviation ? fastRate : slowRate;
}
