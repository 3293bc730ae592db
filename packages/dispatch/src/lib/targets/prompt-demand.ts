/**
 * How many requests that share a prompt prefix the whole fleet has in progress. Each instance
 * estimates it from the requests that it receives itself, since the platform distributes callers over
 * all instances, and from the estimates of peers. Load reports of targets show the same demand too late:
 * by then, many instances have sent their requests to the same target.
 *
 * A prefix counts only if a peer receives requests with it too: those of one caller often come to one instance.
 */
import {evictOldest} from '../evict-oldest.js';
import type {SharedDemand} from '../members/peer-message.js';
import {SlidingWindow} from '../sliding-window.js';

/** Time over which requests are counted, and for which estimates of peers are used, in milliseconds. */
const windowMs = 2000;
/** Part of the first window after which an instance estimates, in milliseconds. */
const minWindowMs = 1000;
/** Number of requests in the window from which peers are told. */
const minSharedCount = 2;
/** Number of prefixes that are tracked, and of those that are requested often; the least recently used one is evicted first. */
const prefixLimit = 2048;
const frequentLimit = 256;
/** Number of estimates of peers that are kept for a prefix, the latest ones. */
const reportsPerPrefix = 8;
/** Number of prefixes in one message, those with the largest demand. */
const prefixesPerMessage = 8;

type PrefixDemand = {
	readonly window: SlidingWindow;
	/** Usual time from the arrival of a request to the end of its response, in milliseconds. */
	durationMs: number;
	/** Estimates of peers, the latest last. */
	reports: ReadonlyArray<{readonly requests: number; readonly at: number}>;
};

export class PromptDemand {
	readonly #byPrefix = new Map<string, PrefixDemand>();
	/** The prefixes that were requested often lately, of which peers may have to be told. */
	readonly #frequent = new Map<string, PrefixDemand>();
	/** Time of the first request, at which the first window begins. */
	#startedAt = Number.POSITIVE_INFINITY;

	/** Records that a request with the prefix arrived, of a kind that takes `durationMs`. */
	record(key: string, durationMs: number, now: number): void {
		this.#startedAt = Math.min(this.#startedAt, now);
		const demand = this.#touch(key);
		demand.window.record(now);
		demand.durationMs = durationMs;
		if (demand.window.count(now) >= minSharedCount) {
			this.#frequent.delete(key);
			this.#frequent.set(key, demand);
			evictOldest(this.#frequent, frequentLimit);
		}
	}

	/** Estimates the number of requests with the prefix that all instances have in progress; 0 if no peer receives any. */
	estimate(key: string, fleetSize: number, now: number): number {
		const demand = this.#byPrefix.get(key);
		const reports = demand?.reports.filter(({at}) => now - at <= windowMs) ?? [];
		if (demand === undefined || reports.length === 0) {
			return 0;
		}

		const estimates = reports.map(({requests}) => requests);
		if (this.#canEstimate(demand, now)) {
			estimates.push(this.#estimateFrom(demand, fleetSize, now));
		}

		return estimates.reduce((sum, requests) => sum + requests, 0) / estimates.length;
	}

	/** Describes the prefixes with the largest demand for peers, by the requests of this instance alone. */
	describe(fleetSize: number, now: number): SharedDemand[] {
		const demands: SharedDemand[] = [];
		for (const [prefix, demand] of this.#frequent) {
			if (demand.window.count(now) < minSharedCount) {
				this.#frequent.delete(prefix);
			} else if (this.#canEstimate(demand, now)) {
				demands.push({prefix, requests: Math.round(this.#estimateFrom(demand, fleetSize, now) * 10) / 10});
			}
		}

		return demands.sort((a, b) => b.requests - a.requests).slice(0, prefixesPerMessage);
	}

	/** Applies the estimates of a peer's message, which was created after `messageCreatedAt`. */
	applyShared(demands: readonly SharedDemand[], messageCreatedAt: number): void {
		for (const {prefix, requests} of demands.slice(0, prefixesPerMessage)) {
			const demand = this.#touch(prefix);
			demand.reports = [...demand.reports, {requests, at: messageCreatedAt}].slice(-reportsPerPrefix);
		}
	}

	#canEstimate({durationMs}: PrefixDemand, now: number): boolean {
		return durationMs > 0 && now - this.#startedAt >= minWindowMs;
	}

	/** Estimates the demand from the own requests: each instance receives the same share of them. */
	#estimateFrom({window, durationMs}: PrefixDemand, fleetSize: number, now: number): number {
		// The first request of a window proves no rate.
		return Math.max(0, window.count(now) - 1) * fleetSize * durationMs / Math.min(windowMs, now - this.#startedAt);
	}

	#touch(key: string): PrefixDemand {
		const demand = this.#byPrefix.get(key) ?? {window: new SlidingWindow(windowMs), durationMs: 0, reports: []};
		this.#byPrefix.delete(key);
		this.#byPrefix.set(key, demand);
		evictOldest(this.#byPrefix, prefixLimit);
		return demand;
	}
}
