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
	/** In the order in which they run. */
	const steps: Array<{readonly at: number; readonly step: () => void}> = [];
	let now = 0;
	return {
		get now() {
			return now;
		},
		random: createRandom(seed),
		schedule(delayMs, step) {
			const at = now + delayMs;
			steps.splice(steps.findLastIndex(other => other.at <= at) + 1, 0, {at, step});
		},
		run() {
			for (let next = steps.shift(); next !== undefined; next = steps.shift()) {
				now = next.at;
				next.step();
			}
		},
	};
}
