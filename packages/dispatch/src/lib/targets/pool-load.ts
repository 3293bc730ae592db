/**
 * Estimates the load of a pool's targets: the requests that this instance has in
 * flight, and the load from other instances that targets report. Reports become
 * outdated quickly, so the weight of a report decays with its age in favor of the
 * mean of the pool.
 *
 * The mean would be too large if it followed from all reports alike: a busy target reports more often than an idle
 * one, and each report counts the request that it responds to.
 */
import {countAnnouncedSends, type Target} from './target-state.js';

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
	/** Variance of the loads from other instances among the targets. */
	readonly #othersLoadVariance: number;
	readonly #now: number;

	/** `draining` are targets of the pool that receive no new requests; they still count in the mean. */
	constructor(accepting: readonly Target[], draining: readonly Target[], now: number) {
		this.#now = now;
		const {mean, variance} = summarizeOthersLoads(accepting, now);
		this.#meanOthersLoad = mean;
		this.#othersLoadVariance = variance;
		// The estimates of the single targets do not sum up to the load of the pool: a target without a recent report counts as average in its own.
		let sum = mean * accepting.length;
		for (const {inFlight} of [...accepting, ...draining]) {
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
		return inFlight + countAnnouncedSends(target, this.#now) + (reportedLoad.othersLoad * weight) + (this.#meanOthersLoad * (1 - weight));
	}

	/** Estimates the standard deviation of the load of a target from its estimate. */
	estimateDeviation(target: Target): number {
		const {inFlight, reportedLoad} = target;
		const weight = reportedLoad === undefined ? 0 : computeReportWeight(reportedLoad.at, this.#now);
		// Independent arrivals vary by their number, also where all targets are equally popular.
		const variance = Math.max(this.#othersLoadVariance, this.estimate(target) - inFlight);
		return Math.sqrt(variance * (1 - (weight ** 2)));
	}
}

/** Computes the mean and the variance of the loads from other instances at targets; old reports count only if there are no others. */
function summarizeOthersLoads(targets: readonly Target[], now: number): {readonly mean: number; readonly variance: number} {
	const recent = sumOthersLoads(targets, now - reportMaxAgeMs);
	const {count: reportedCount, sum, squareSum} = recent.count > 0 ? recent : sumOthersLoads(targets, Number.NEGATIVE_INFINITY);
	const count = reportedCount < targets.length * minReportedFraction ? reportedCount : targets.length;
	if (count === 0) {
		return {mean: 0, variance: 0};
	}

	const mean = sum / count;
	return {mean, variance: (squareSum / count) - (mean ** 2)};
}

/** Sums the loads from other instances, and their squares, over the targets that have reported since a time. */
function sumOthersLoads(targets: readonly Target[], since: number): {readonly count: number; readonly sum: number; readonly squareSum: number} {
	let count = 0;
	let sum = 0;
	let squareSum = 0;
	for (const {reportedLoad, record} of targets) {
		if (reportedLoad !== undefined && reportedLoad.at >= since) {
			const {othersLoad, isFromPeer} = reportedLoad;
			// The peer's request that the report responds to does not count, unless the target is full: another request takes its slot.
			const load = isFromPeer && othersLoad < record.slots ? Math.max(0, othersLoad - 1) : othersLoad;
			count++;
			sum += load;
			squareSum += load ** 2;
		}
	}

	return {count, sum, squareSum};
}

function computeReportWeight(at: number, now: number): number {
	return Math.exp((at - now) / reportDecayMs);
}
