/**
 * Merges the lines of several processes into one timeline.
 */
import type {TimelineLine} from '@sequoiatally/runtime';
import {estimateOffsets} from './clock-offsets.js';
import {computeLineTimes, type TimedLine} from './timed-line.js';

export type MergedTimeline = {
	/** Lines on a common clock, oldest first. */
	readonly lines: readonly TimedLine[];
	/** Clock offsets that are not zero, in milliseconds by process key; they have been subtracted from the times of the lines. */
	readonly offsets: ReadonlyMap<string, number>;
};

/** Merges lines in any order; duplicate lines are kept once. */
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
