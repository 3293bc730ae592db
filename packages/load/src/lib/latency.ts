/**
 * Latency distributions, by the `hdr-histogram-js` library. Latencies count
 * from the intended time of each send, so that a slow answer cannot hide the
 * waiting of those behind it.
 */
import {build, type Histogram} from 'hdr-histogram-js';

/** Histograms count microseconds. */
const microsecondsPerMs = 1000;
/** Longest latency that is told apart, in microseconds: ten minutes. */
const highestTrackableValue = 600_000_000;

/** Percentiles that a report shows. */
export const reportedPercentiles = [50, 75, 90, 95, 99, 99.9, 100] as const;

/** A distribution as data. Latencies are milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly meanMs: number;
	/** In the order of `shownPercentiles`. */
	readonly percentilesMs: readonly number[];
};

/** Describes the distribution of these latencies. */
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

/** Finds a shown percentile of a summary. */
export function findPercentile({percentilesMs}: LatencySummary, percentile: typeof reportedPercentiles[number]): number {
	return percentilesMs[reportedPercentiles.indexOf(percentile)]!;
}

function readPercentile(histogram: Histogram, percentile: number): number {
	return histogram.totalCount === 0 ? 0 : roundMs(histogram.getValueAtPercentile(percentile));
}

function roundMs(microseconds: number): number {
	return Math.round(microseconds / microsecondsPerMs * 100) / 100;
}
