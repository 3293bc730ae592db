/**
 * The load of a pool's targets, as far as one instance can tell: what it has in
 * flight itself, and what targets told of the others' requests. That word ages
 * fast, and fades into what the pool's targets have on average.
 */
import type {Target} from './target-state.js';

/** Age at which a target's word has lost two thirds of its weight, in milliseconds: about as long as requests last. */
const reportDecayMs = 1200;

export class PoolLoad {
	/** Mean load of the pool's targets. */
	readonly mean: number;
	readonly #meanOthersLoad: number;
	readonly #now: number;

	/** `closed` are targets of the pool that get no new work: they empty, and count in the mean. */
	constructor(accepting: readonly Target[], draining: readonly Target[], now: number) {
		this.#now = now;
		this.#meanOthersLoad = computeMeanOthersLoad(accepting, now);
		let sum = 0;
		for (const target of accepting) {
			sum += this.estimate(target);
		}

		for (const {inFlight} of draining) {
			sum += inFlight;
		}

		const count = accepting.length + draining.length;
		this.mean = count === 0 ? 0 : sum / count;
	}

	/** Estimates the requests at a target from all instances. */
	estimate({inFlight, reportedLoad}: Target): number {
		if (reportedLoad === undefined) {
			return inFlight + this.#meanOthersLoad;
		}

		const weight = computeReportWeight(reportedLoad.at, this.#now);
		return inFlight + (reportedLoad.othersLoad * weight) + (this.#meanOthersLoad * (1 - weight));
	}
}

function computeMeanOthersLoad(targets: readonly Target[], now: number): number {
	let sum = 0;
	let totalWeight = 0;
	for (const {reportedLoad} of targets) {
		if (reportedLoad !== undefined) {
			const weight = computeReportWeight(reportedLoad.at, now);
			sum += reportedLoad.othersLoad * weight;
			totalWeight += weight;
		}
	}

	return totalWeight === 0 ? 0 : sum / totalWeight;
}

function computeReportWeight(at: number, now: number): number {
	return Math.exp((at - now) / reportDecayMs);
}
