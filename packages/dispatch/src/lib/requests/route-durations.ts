/**
 * How long requests of each route have taken lately, between two moments that the user of the
 * class chooses. An instance that is about to end tells from it which requests can still end in
 * time, and the waiting order tells from it when a request has to be sent.
 */

/** Time for which durations count, in milliseconds: between this and twice as long. */
const periodMs = 30_000;
/** Number of requests from which the longest one says something about the next. */
const minCount = 20;
/** Margin for a request that takes longer than all recent ones: a multiple, and a time in milliseconds. */
const margin = {multiple: 1.5, ms: 200};

type Period = {readonly startedAt: number; count: number; sumMs: number; longestMs: number};

export class RouteDurations {
	/** The present period of each route, and the one before. */
	readonly #periods = new Map<string, readonly [Period, Period | undefined]>();

	/** Records that a request of the route took `durationMs`. */
	record(routeName: string, durationMs: number, now: number): void {
		let [current, previous] = this.#periods.get(routeName) ?? [createPeriod(now), undefined];
		if (now - current.startedAt >= periodMs) {
			previous = now - current.startedAt < 2 * periodMs ? current : undefined;
			current = createPeriod(now);
		}

		current.count++;
		current.sumMs += durationMs;
		current.longestMs = Math.max(current.longestMs, durationMs);
		this.#periods.set(routeName, [current, previous]);
	}

	/**
	 * Estimates the time within which a request of the route ends; `undefined` if too few have ended lately.
	 * `openMs` is the age of the oldest one that has not ended: it may be older than all that have.
	 */
	estimateMs(routeName: string, now: number, openMs = 0): number | undefined {
		const recent = this.#listRecent(routeName, now);
		const count = countRequests(recent);
		return count < minCount ? undefined : (Math.max(openMs, ...recent.map(({longestMs}) => longestMs)) * margin.multiple) + margin.ms;
	}

	/** Computes the mean time that requests of the route took; `undefined` if none has ended lately. */
	computeMeanMs(routeName: string, now: number): number | undefined {
		const recent = this.#listRecent(routeName, now);
		const count = countRequests(recent);
		return count === 0 ? undefined : recent.reduce((sum, period) => sum + period.sumMs, 0) / count;
	}

	#listRecent(routeName: string, now: number): Period[] {
		return (this.#periods.get(routeName) ?? []).filter(period => period !== undefined && now - period.startedAt < 2 * periodMs) as Period[];
	}
}

function countRequests(periods: readonly Period[]): number {
	return periods.reduce((sum, {count}) => sum + count, 0);
}

function createPeriod(startedAt: number): Period {
	return {
		startedAt, count: 0, sumMs: 0, longestMs: 0,
	};
}
