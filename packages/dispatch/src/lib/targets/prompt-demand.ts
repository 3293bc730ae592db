/**
 * How many requests that share a prompt prefix the whole fleet has in progress. The platform
 * distributes callers over all instances, so that some of them are a sample of the fleet: each instance
 * tells its peers which prefixes it received lately, and estimates the demand from what it and the peers
 * that it has heard from received. One of a hundred instances receives even a prefix with a large demand less than
 * once in the time that counts, so it also uses the estimates of peers, by the size of their samples. Load reports of targets
 * show the same demand too late: by then, many instances have sent their requests to the same target.
 *
 * A prefix counts only if two instances receive requests with it: those of one caller often come to one instance.
 */
import {evictOldest} from '../evict-oldest.js';
import type {SharedArrivals, SharedDemand} from '../members/peer-message.js';
import {SlidingWindow} from '../sliding-window.js';

/** Time over which requests are counted, and for which estimates of peers are used, in milliseconds. */
const windowMs = 2000;
/** Part of the first window after which an instance estimates, in milliseconds. */
const minWindowMs = 1000;
/** Number of requests in the sample from which a demand is estimated: fewer come together by chance, and dividing their prompt costs its reuse. */
const minSampleCount = 8;
/** Number of prefixes that peers estimate, and of those that were received lately; the least recently used one is evicted first. */
const estimatedLimit = 2048;
const receivedLimit = 256;
/** Number of peers whose samples are kept, the latest ones. */
const peerLimit = 256;
/** Number of estimates of peers that are kept for a prefix, the latest ones. */
const estimatesPerPrefix = 8;
/** Number of estimates in one message, those of the largest demands, and of prefixes that the sender received itself. */
const prefixesPerMessage = 8;
const arrivalsPerMessage = 16;
/** Time for which the sum over the samples is used again, in milliseconds. */
const sumLifetimeMs = 200;

/** The requests with a prefix that this instance received; `durationMs` is the usual time from their arrival to the end of their response, in milliseconds. */
type ReceivedPrefix = {readonly window: SlidingWindow; durationMs: number};

/** The estimate of a peer; `instances` is the number of instances in its sample. */
type PeerEstimate = {readonly requests: number; readonly instances: number; readonly at: number};

/** The requests with a prefix in the samples of this instance and its peers. */
type PrefixSum = {count: number; receiverCount: number; durationMs: number};

export class PromptDemand {
	/** The prefixes that this instance received lately. */
	readonly #received = new Map<string, ReceivedPrefix>();
	/** What peers estimate, by prefix, the latest last. */
	readonly #estimates = new Map<string, readonly PeerEstimate[]>();
	/** What peers received lately, by the process of the peer. */
	readonly #samples = new Map<string, {readonly arrivals: readonly SharedArrivals[]; readonly at: number}>();
	#sums: {readonly byPrefix: ReadonlyMap<string, PrefixSum>; readonly instanceCount: number; readonly at: number} | undefined;
	/** Time of the first request, at which the first window begins. */
	#startedAt = Number.POSITIVE_INFINITY;

	/** Records that a request with the prefix arrived, of a kind that takes `durationMs`. */
	record(key: string, durationMs: number, now: number): void {
		this.#startedAt = Math.min(this.#startedAt, now);
		const received = this.#received.get(key) ?? {window: new SlidingWindow(windowMs), durationMs};
		received.window.record(now);
		received.durationMs = durationMs;
		this.#received.delete(key);
		this.#received.set(key, received);
		evictOldest(this.#received, receivedLimit);
	}

	/** Estimates the number of requests with the prefix that all instances have in progress; 0 if only one instance receives them. */
	estimate(key: string, fleetSize: number, now: number): number {
		const estimates = (this.#estimates.get(key) ?? []).filter(({at}) => now - at <= windowMs);
		const {byPrefix, instanceCount} = this.#sumSamples(now);
		const sum = byPrefix.get(key);
		// A few instances may have received none by chance, so that their sample does not contradict a larger one of a peer.
		if (sum !== undefined && sum.receiverCount > 1) {
			estimates.push({requests: computeDemand(sum, instanceCount, fleetSize), instances: instanceCount, at: now});
		}

		let total = 0;
		let weight = 0;
		for (const {requests, instances} of estimates) {
			total += requests * instances;
			weight += instances;
		}

		return weight === 0 ? 0 : total / weight;
	}

	/** Describes the prefixes with the largest demand for peers, by the samples alone: estimates of peers are not passed on. */
	describe(fleetSize: number, now: number): SharedDemand[] {
		const {byPrefix, instanceCount} = this.#sumSamples(now);
		const demands: SharedDemand[] = [];
		for (const [prefix, sum] of byPrefix) {
			const requests = Math.round(computeDemand(sum, instanceCount, fleetSize) * 10) / 10;
			if (sum.receiverCount > 1 && requests > 0) {
				demands.push({prefix, requests, instances: instanceCount});
			}
		}

		return demands.sort((a, b) => b.requests - a.requests).slice(0, prefixesPerMessage);
	}

	/** Describes the prefixes that this instance received most often lately; `undefined` while it has received requests for too short a time. */
	describeArrivals(now: number): SharedArrivals[] | undefined {
		if (now - this.#startedAt < minWindowMs) {
			return undefined;
		}

		const arrivals: SharedArrivals[] = [];
		for (const [prefix, {window, durationMs}] of this.#received) {
			const count = window.count(now);
			if (count === 0) {
				this.#received.delete(prefix);
			} else {
				arrivals.push({prefix, count, durationMs: Math.round(durationMs)});
			}
		}

		return arrivals.sort((a, b) => b.count - a.count).slice(0, arrivalsPerMessage);
	}

	/** Applies the estimates of a peer's message, which was created after `messageCreatedAt`. */
	applyShared(demands: readonly SharedDemand[], messageCreatedAt: number): void {
		for (const {prefix, requests, instances = 1} of demands.slice(0, prefixesPerMessage)) {
			const estimates = this.#estimates.get(prefix) ?? [];
			this.#estimates.delete(prefix);
			this.#estimates.set(prefix, [...estimates, {requests, instances: Math.max(1, instances), at: messageCreatedAt}].slice(-estimatesPerPrefix));
			evictOldest(this.#estimates, estimatedLimit);
		}
	}

	/** Applies what the process `peer` received in the time before its message, which was created after `messageCreatedAt`. */
	applyArrivals(peer: string, arrivals: readonly SharedArrivals[], messageCreatedAt: number): void {
		this.#samples.delete(peer);
		this.#samples.set(peer, {arrivals: arrivals.slice(0, arrivalsPerMessage), at: messageCreatedAt});
		evictOldest(this.#samples, peerLimit);
	}

	/** Sums the samples of this instance and its peers by prefix. */
	#sumSamples(now: number): {readonly byPrefix: ReadonlyMap<string, PrefixSum>; readonly instanceCount: number} {
		if (this.#sums !== undefined && now - this.#sums.at < sumLifetimeMs) {
			return this.#sums;
		}

		const byPrefix = new Map<string, PrefixSum>();
		let instanceCount = 0;
		const addSample = (arrivals: readonly SharedArrivals[] | undefined) => {
			instanceCount += arrivals === undefined ? 0 : 1;
			for (const {prefix, count, durationMs} of arrivals ?? []) {
				const sum = byPrefix.get(prefix) ?? {count: 0, receiverCount: 0, durationMs: 0};
				sum.count += count;
				sum.receiverCount++;
				sum.durationMs = Math.max(sum.durationMs, durationMs);
				byPrefix.set(prefix, sum);
			}
		};

		addSample(this.describeArrivals(now));
		for (const [peer, {arrivals, at}] of this.#samples) {
			if (now - at <= windowMs) {
				addSample(arrivals);
			} else {
				this.#samples.delete(peer);
			}
		}

		this.#sums = {byPrefix, instanceCount, at: now};
		return this.#sums;
	}
}

/** Computes the number of requests in progress in the whole fleet from those that `instanceCount` instances received in the window. */
function computeDemand({count, durationMs}: PrefixSum, instanceCount: number, fleetSize: number): number {
	// The first request of a window proves no rate.
	return count < minSampleCount ? 0 : (count - 1) * durationMs * Math.max(1, fleetSize / instanceCount) / windowMs;
}
