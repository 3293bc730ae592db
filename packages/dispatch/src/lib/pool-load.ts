/**
 * The load of a pool's targets, as far as one instance can tell: what it has in
 * flight itself, and what targets told of the others' requests. That word ages
 * fast, and fades into what the pool's targets have on average.
 */
import type {Target} from './target-state.js';

/** Age at which a target's word has lost two thirds of its weight, in milliseconds: about as long as requests last. */
const evidenceMs = 1200;

export class PoolLoad {
	/** Mean load of the pool's targets. */
	readonly mean: number;
	readonly #othersMean: number;
	readonly #now: number;

	/** `closed` are targets of the pool that get no new work: they empty, and count in the mean. */
	constructor(open: readonly Target[], closed: readonly Target[], now: number) {
		this.#now = now;
		this.#othersMean = computeOthersMean(open, now);
		let sum = 0;
		for (const target of open) {
			sum += this.estimate(target);
		}

		for (const {inFlight} of closed) {
			sum += inFlight;
		}

		const count = open.length + closed.length;
		this.mean = count === 0 ? 0 : sum / count;
	}

	/** Estimates the requests at a target from all instances. */
	estimate({inFlight, told}: Target): number {
		if (told === undefined) {
			return inFlight + this.#othersMean;
		}

		const weight = computeWeight(told.at, this.#now);
		return inFlight + (told.others * weight) + (this.#othersMean * (1 - weight));
	}
}

function computeOthersMean(targets: readonly Target[], now: number): number {
	let sum = 0;
	let total = 0;
	for (const {told} of targets) {
		if (told !== undefined) {
			const weight = computeWeight(told.at, now);
			sum += told.others * weight;
			total += weight;
		}
	}

	return total === 0 ? 0 : sum / total;
}

function computeWeight(at: number, now: number): number {
	return Math.exp((at - now) / evidenceMs);
}
