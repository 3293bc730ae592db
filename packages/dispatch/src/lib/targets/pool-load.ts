/**
 * Estimates the load of a pool's targets: the requests that this instance has in
 * flight, and the load from other instances that targets report. Reports become
 * outdated quickly, so the weight of a report decays with its age in favor of the
 * mean of the pool.
 *
 * The mean would be too large if it followed from all reports alike: a busy target reports more often than an idle
 * one, and each report counts the request that it responds to.
 */
import type {Target} from './target-state.js';

/** Age at which a load report has lost two thirds of its weight, in milliseconds: about the duration of a request. */
const reportDecayMs = 1200;
/** Age up to which a load report counts for the mean, in milliseconds: within it, a report of each busy target reaches this instance. */
const reportMaxAgeMs = 4000;
/** Fraction of the targets of which reports have to be known for the others to count as idle; in a large pool, most reports do not reach this instance. */
const minReportedFraction = 0.5;

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
	estimate(target: Target): number {
		const {inFlight, reportedLoad} = target;
		if (reportedLoad === undefined) {
			return inFlight + this.#meanOthersLoad;
		}

		const weight = computeReportWeight(reportedLoad.at, this.#now);
		return inFlight + (reportedLoad.othersLoad * weight) + (this.#meanOthersLoad * (1 - weight));
	}
}

/** Computes the mean load from other instances at targets; old reports count only if there are no others. */
function computeMeanOthersLoad(targets: readonly Target[], now: number): number {
	const reports = targets.flatMap(({reportedLoad, record: {slots}}) => reportedLoad === undefined ? [] : {...reportedLoad, slots});
	const recent = reports.filter(({at}) => now - at <= reportMaxAgeMs);
	const counted = recent.length > 0 ? recent : reports;
	const count = counted.length < targets.length * minReportedFraction ? counted.length : targets.length;
	if (count === 0) {
		return 0;
	}

	let sum = 0;
	for (const {othersLoad, isFromPeer, slots} of counted) {
		// Without the peer's request that the report responds to, unless others wait for its slot.
		sum += Math.max(0, othersLoad - (isFromPeer && othersLoad < slots ? 1 : 0));
	}

	return sum / count;
}

function computeReportWeight(at: number, now: number): number {
	return Math.exp((at - now) / reportDecayMs);
}
