/**
 * Measures recent demand as an exponentially weighted rate.
 */

/** Time constant of the average, in milliseconds. */
const averageOverMs = 3000;

export type DemandMeter = {
	/** Requests per second. */
	rate: number;
	updatedAt: number;
};

export function createDemandMeter(now: number): DemandMeter {
	return {rate: 0, updatedAt: now};
}

/** Counts demand at `now`. */
export function recordDemand(meter: DemandMeter, amount: number, now: number): void {
	meter.rate = computeDemandRate(meter, now) + (amount * 1000 / averageOverMs);
	meter.updatedAt = now;
}

/** Computes the average at `now`, in requests per second. */
export function computeDemandRate(meter: DemandMeter | undefined, now: number): number {
	return meter === undefined ? 0 : meter.rate * Math.exp((meter.updatedAt - now) / averageOverMs);
}
