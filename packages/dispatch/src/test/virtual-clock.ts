/**
 * Runs scheduled steps in the order of their times, without waiting.
 */
import {createRandom} from './gateway-fixture.js';

export type VirtualClock = {
	/** Present time in milliseconds. */
	readonly now: number;
	readonly random: () => number;
	readonly schedule: (delayMs: number, step: () => void) => void;
	/** Runs all steps, including those that they schedule. */
	readonly run: () => void;
};

/** Creates a clock at time 0. */
export function createVirtualClock(seed: number): VirtualClock {
	// A binary heap: the earliest step is the first.
	const heap: Array<{readonly at: number; readonly order: number; readonly step: () => void}> = [];
	let now = 0;
	let order = 0;
	const isBefore = (a: number, b: number) => (heap[a]!.at - heap[b]!.at || heap[a]!.order - heap[b]!.order) < 0;
	const swap = (a: number, b: number) => {
		[heap[a], heap[b]] = [heap[b]!, heap[a]!];
	};

	const takeFirst = () => {
		const first = heap[0]!;
		const last = heap.pop()!;
		if (heap.length > 0) {
			heap[0] = last;
			for (let index = 0; ;) {
				const left = (2 * index) + 1;
				const child = left + 1 < heap.length && isBefore(left + 1, left) ? left + 1 : left;
				if (child >= heap.length || isBefore(index, child)) {
					break;
				}

				swap(index, child);
				index = child;
			}
		}

		return first;
	};

	return {
		get now() {
			return now;
		},
		random: createRandom(seed),
		schedule(delayMs, step) {
			heap.push({at: now + delayMs, order: order++, step});
			for (let index = heap.length - 1; index > 0;) {
				const parent = Math.floor((index - 1) / 2);
				if (!isBefore(index, parent)) {
					break;
				}

				swap(index, parent);
				index = parent;
			}
		},
		run() {
			while (heap.length > 0) {
				const {at, step} = takeFirst();
				now = at;
				step();
			}
		},
	};
}
