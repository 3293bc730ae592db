/**
 * Merges the lines of many processes into one time line.
 */
import type {TimelineLine} from '@sequoiatally/runtime';
import {estimateOffsets} from './clock-offsets.js';
import {computeLineTimes, type TimedLine} from './timed-line.js';

export type MergedTimeline = {
	/** Oldest first, on one clock. */
	readonly lines: readonly TimedLine[];
	/** Correction of each process's clock that is not zero, in milliseconds. */
	readonly offsets: ReadonlyMap<string, number>;
};

/** Merges lines; those given twice are kept once. */
export function mergeTimeline(lines: readonly TimelineLine[]): MergedTimeline {
	const timedLines = computeLineTimes(removeDuplicates(lines));
	const offsets = estimateOffsets(timedLines);
	const corrected = timedLines.map(line => ({...line, atMs: line.atMs - (offsets.get(line.processKey) ?? 0)}));
	corrected.sort((a, b) => a.atMs - b.atMs);
	return {lines: corrected, offsets: new Map([...offsets].filter(([, offset]) => offset !== 0))};
}

function removeDuplicates(lines: readonly TimelineLine[]): TimelineLine[] {
	const byText = new Map(lines.map(line => [JSON.stringify(line), line]));
	return [...byText.values()];
}
