/**
 * Measures recent demand by two exponentially weighted moving averages. The
 * slow average is little affected by noise. The fast average is used instead
 * once it differs from the slow one by more than noise explains.
 */

/** Time constant of the slow average, in milliseconds. */
const slowTimeConstantMs = 6000;
/** Time constant of the fast average, in milliseconds. */
const fastTimeConstantMs = 1500;
/** Standard deviations of the fast average up to which a difference is attributed to noise. */
const noiseDeviations = 3;
/** Lower bound of the rate from which the noise is estimated, in requests per second. */
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

/** Adds `amount` requests to the demand at `now`. */
export function recordDemand(meter: DemandMeter, amount: number, now: number): void {
	const elapsedMs = now - meter.updatedAt;
	meter.slowRate = (meter.slowRate * Math.exp(-elapsedMs / slowTimeConstantMs)) + (amount * 1000 / slowTimeConstantMs);
	meter.fastRate = (meter.fastRate * Math.exp(-elapsedMs / fastTimeConstantMs)) + (amount * 1000 / fastTimeConstantMs);
	meter.updatedAt = now;
}

/** Computes the demand at `now`, in requests per second; 0 without a meter. */
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
