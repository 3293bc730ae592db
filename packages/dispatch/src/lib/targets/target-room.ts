/**
 * Keeps targets that state that they are brittle from rejecting more requests in a second
 * than they survive.
 *
 * An instance knows only its own requests. A target's slots are divided among the instances,
 * and so are the rejections that it survives: beyond its share of the slots, an instance sends
 * as many requests as it may see rejected, and once it has seen more, it sends nothing until
 * the second is over. While no target of the pool rejects anything, a request that was not
 * rejected at once no longer counts, so that a calm pool is not limited by the shares.
 */
import {computeRejectionShare, computeSlotShare, type FleetView} from './target-limits.js';
import {SlidingWindow} from '../sliding-window.js';
import type {Target} from './target-state.js';

/** Window in which rejections are counted, in milliseconds: a second at the target, and the time by which they can arrive closer together there. */
const rejectionWindowMs = 1150;
/** Time after which a request that was sent is no longer expected to be rejected, in milliseconds: a rejection needs no work. */
const rejectionDelayMs = 60;
/** Time by which a target's latest response may be older than that of a brittle target of its pool to still tell that it is not brittle, in milliseconds. */
const statementLagMs = 2000;

/** Creates the windows of the requests that a target rejected, and of those that it may still reject. */
export function createRejectionWindows(): {readonly rejections: SlidingWindow; readonly undecidedSends: SlidingWindow} {
	return {rejections: new SlidingWindow(rejectionWindowMs), undecidedSends: new SlidingWindow(rejectionDelayMs)};
}

/**
 * What the targets of a pool state about rejections. What the brittle ones state is
 * assumed of those that have not responded for a time.
 */
export class PoolBrittleness {
	readonly #rejectionsPerS = Number.POSITIVE_INFINITY;
	readonly #statedAt = Number.NEGATIVE_INFINITY;
	readonly #fleet: FleetView;
	readonly #now: number;
	/** True if a target of the pool has rejected a request of this instance just now. */
	readonly #isFull: boolean = false;

	constructor(targets: readonly Target[], fleet: FleetView, now: number) {
		this.#fleet = fleet;
		this.#now = now;
		for (const {statements: {limit}} of targets) {
			if (limit?.rejectionsPerS !== undefined) {
				this.#rejectionsPerS = Math.min(this.#rejectionsPerS, limit.rejectionsPerS);
				this.#statedAt = Math.max(this.#statedAt, limit.at);
			}
		}

		this.#isFull = Number.isFinite(this.#rejectionsPerS) && targets.some(({rejections}) => rejections.count(now) > 0);
	}

	/** True if a target of the pool states that it is brittle. */
	get isStated(): boolean {
		return Number.isFinite(this.#rejectionsPerS);
	}

	/** Finds how many rejections a second a target survives; `undefined` if it is not brittle. */
	findLimit({statements: {limit}}: Target): number | undefined {
		if (limit?.rejectionsPerS !== undefined) {
			return limit.rejectionsPerS;
		}

		const isAssumed = this.#statedAt - (limit?.at ?? Number.NEGATIVE_INFINITY) > statementLagMs;
		return isAssumed ? this.#rejectionsPerS : undefined;
	}

	/** True if this instance may risk that the target rejects another request. */
	mayReject(target: Target): boolean {
		const rejectionsPerS = this.findLimit(target);
		if (rejectionsPerS === undefined) {
			return true;
		}

		const {hash, inFlight, record, rejections, undecidedSends} = target;
		const rejectionsLeft = computeRejectionShare(hash, rejectionsPerS, this.#fleet) - rejections.count(this.#now);
		const openCount = this.#isFull ? inFlight : Math.min(inFlight, undecidedSends.count(this.#now));
		return rejectionsLeft >= 0 && openCount < computeSlotShare(hash, record.slots, this.#fleet) + rejectionsLeft;
	}
}
