/**
 * Estimates the load of a pool's targets: the requests that this instance has in
 * flight, and the load from other instances that targets report. Reports become
 * outdated quickly, so the weight of a report decays with its age in favor of the
 * mean of the pool.
 */
import type {Target} from './target-state.js';

/** Age at which a load report has lost two thirds of its weight, in milliseconds: about the duration of a request. */
const reportDecayMs = 1200;

export class PoolLoad {
	/** Mean load of the pool's targets. */
	readonly mean: number;
	readonly #meanOthersLoad: number;
	readonly #now: number;

	/** `draining` are targets of the pool that receive no new requests; they still count in the mean. */
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

	/** Estimates the number of requests at a target from all instances. */
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
