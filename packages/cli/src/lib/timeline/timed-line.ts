/**
 * Timeline lines on a common clock.
 */
import type {TimelineLine} from '@sequoiatally/runtime';

/** A line with the process that wrote it and its time on the common clock. */
export type TimedLine = TimelineLine & {
	readonly processKey: string;
	/** Milliseconds since the Unix epoch. */
	readonly atMs: number;
};

/**
 * Computes the times of the lines of each process from its monotonic clock, so
 * that a step of its wall clock does not change their order. The median
 * difference between the two clocks converts them to wall-clock time.
 */
export function computeLineTimes(lines: readonly TimelineLine[]): TimedLine[] {
	const byProcess = new Map<string, TimelineLine[]>();
	for (const line of lines) {
		const key = createProcessKey(line);
		const group = byProcess.get(key) ?? [];
		group.push(line);
		byProcess.set(key, group);
	}

	return [...byProcess].flatMap(([processKey, group]) => {
		const wallClockBaseMs = computeMedian(group.map(({wallMs, monotonicMs}) => wallMs - monotonicMs));
		return group.map(line => ({...line, processKey, atMs: wallClockBaseMs + line.monotonicMs}));
	});
}

function createProcessKey({process, instanceId, incarnation}: TimelineLine): string {
	return `${process} ${instanceId} ${incarnation}`;
}

function computeMedian(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
