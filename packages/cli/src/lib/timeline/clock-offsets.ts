/**
 * Estimates the offsets between the wall clocks of processes from requests: a
 * request is received after it was sent, and answered after it was received.
 *
 * Each such pair of entries bounds the offset between two processes. If the
 * bounds allow an offset of zero, zero is chosen, so that the order of entries
 * changes only where clocks are known to be wrong.
 */
import {timelineKind} from '@sequoiatally/core';
import type {TimedLine} from './timed-line.js';

/** Bounds of the clock of a second process minus the clock of a first one, in milliseconds. */
type OffsetBounds = {lowest: number; highest: number};

/** Bounds by the keys of the first and the second process. */
type BoundsByPair = Map<string, Map<string, OffsetBounds>>;

/** Estimates the offset of the clock of each process, in milliseconds by process key. */
export function estimateOffsets(lines: readonly TimedLine[]): Map<string, number> {
	const bounds = collectBounds(lines);
	const offsets = new Map<string, number>();
	// The process with the most neighbors is the reference of all processes connected with it.
	const keys = [...bounds.keys()].sort((a, b) => bounds.get(b)!.size - bounds.get(a)!.size);
	for (const key of keys) {
		if (!offsets.has(key)) {
			propagateOffsets(key, bounds, offsets);
		}
	}

	return offsets;
}

function propagateOffsets(referenceKey: string, bounds: BoundsByPair, offsets: Map<string, number>): void {
	offsets.set(referenceKey, 0);
	const reached = [referenceKey];
	for (const key of reached) {
		for (const [neighbour, pair] of bounds.get(key) ?? []) {
			if (!offsets.has(neighbour)) {
				offsets.set(neighbour, offsets.get(key)! + chooseOffset(pair));
				reached.push(neighbour);
			}
		}
	}
}

function chooseOffset({lowest, highest}: OffsetBounds): number {
	// Both bounds are excluded: at a bound, an entry would have the same time as its cause.
	if (lowest < 0 && highest > 0) {
		return 0;
	}

	if (Number.isFinite(lowest) && Number.isFinite(highest)) {
		return (lowest + highest) / 2;
	}

	return Number.isFinite(lowest) ? lowest : highest;
}

function collectBounds(lines: readonly TimedLine[]): BoundsByPair {
	const bounds: BoundsByPair = new Map();
	for (const requestLines of groupByRequest(lines).values()) {
		for (const [before, after] of listOrderedPairs(requestLines)) {
			tightenBounds(bounds, before, after);
		}
	}

	return bounds;
}

function tightenBounds(bounds: BoundsByPair, before: TimedLine, after: TimedLine): void {
	const difference = after.atMs - before.atMs;
	const forward = findBounds(bounds, before.processKey, after.processKey);
	forward.highest = Math.min(forward.highest, difference);
	const backward = findBounds(bounds, after.processKey, before.processKey);
	backward.lowest = Math.max(backward.lowest, -difference);
}

function findBounds(bounds: BoundsByPair, first: string, second: string): OffsetBounds {
	const bySecond = bounds.get(first) ?? new Map<string, OffsetBounds>();
	bounds.set(first, bySecond);
	const pair = bySecond.get(second) ?? {lowest: Number.NEGATIVE_INFINITY, highest: Number.POSITIVE_INFINITY};
	bySecond.set(second, pair);
	return pair;
}

/** Lists pairs of entries of different processes whose first entry is certain to have happened first. */
function listOrderedPairs(lines: readonly TimedLine[]): Array<[TimedLine, TimedLine]> {
	const findLines = (kind: string) => lines.filter(line => line.kind === kind);
	const pairs: Array<[TimedLine, TimedLine]> = [];
	for (const received of findLines(timelineKind.requestReceived)) {
		pairs.push(
			...findLines(timelineKind.callerSent).map(sent => [sent, received] as [TimedLine, TimedLine]),
			...findLines(timelineKind.callerAnswered).map(answered => [received, answered] as [TimedLine, TimedLine]),
		);
	}

	for (const targetReceived of findLines(timelineKind.targetReceived)) {
		const isSameTarget = (line: TimedLine) => line.targetId === targetReceived.instanceId;
		const dispatches = findLines(timelineKind.requestDispatched).filter(line => isSameTarget(line));
		const ends = findLines(timelineKind.attemptEnded).filter(line => isSameTarget(line));
		// With several attempts at one target, the entries of the target cannot be matched to attempts.
		if (dispatches.length === 1 && ends.length === 1) {
			pairs.push([dispatches[0]!, targetReceived], [targetReceived, ends[0]!]);
		}
	}

	return pairs;
}

function groupByRequest(lines: readonly TimedLine[]): Map<string, TimedLine[]> {
	const groups = new Map<string, TimedLine[]>();
	for (const line of lines) {
		const {requestId} = line;
		if (typeof requestId !== 'string') {
			continue;
		}

		const group = groups.get(requestId) ?? [];
		group.push(line);
		groups.set(requestId, group);
	}

	return groups;
}
