/**
 * Latency distributions, computed with the `hdr-histogram-js` library. Latencies
 * are measured from the intended send time, so that a slow answer does not hide
 * the delay of the requests behind it (coordinated omission).
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Histograms hold microseconds. */
const microsecondsPerMs = 1000;
/** In microseconds, 10 minutes; longer latencies are recorded as this value. */
const highestTrackableValue = 600_000_000;

/** Percentiles in summaries and reports. */
export const reportedPercentiles = [50, 75, 90, 95, 99, 99.9, 100] as const;

/** Summary of a latency distribution, in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly meanMs: number;
	/** In the order of `reportedPercentiles`. */
	readonly percentilesMs: readonly number[];
};

/** Summarizes the distribution of the given latencies; all values are 0 if there are none. */
export function describeLatencies(latenciesMs: readonly number[]): LatencySummary {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue, numberOfSignificantValueDigits: 3});
	for (const latencyMs of latenciesMs) {
		histogram.recordValue(Math.min(highestTrackableValue, Math.max(1, Math.round(latencyMs * microsecondsPerMs))));
	}

	return {
		count: latenciesMs.length,
		meanMs: latenciesMs.length === 0 ? 0 : roundMs(histogram.mean),
		percentilesMs: reportedPercentiles.map(percentile => readPercentile(histogram, percentile)),
	};
}

/** Finds one of the reported percentiles in a summary, in milliseconds. */
export function findPercentile({percentilesMs}: LatencySummary, percentile: typeof reportedPercentiles[number]): number {
	return percentilesMs[reportedPercentiles.indexOf(percentile)]!;
}

function readPercentile(histogram: Histogram, percentile: number): number {
	return histogram.totalCount === 0 ? 0 : roundMs(histogram.getValueAtPercentile(percentile));
}

function roundMs(microseconds: number): number {
	return Math.round(microseconds / microsecondsPerMs * 100) / 100;
}
