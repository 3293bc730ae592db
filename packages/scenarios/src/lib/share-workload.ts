/**
 * A workload for the limits of client accounts: Poisson arrivals, each account's
 * skewed towards one instance. The outcome counts wrongly refused requests and
 * requests above the limit.
 */
import {uniformInt, xoroshiro128plus} from '@sequoiatally/load';
import {
	computeNetShare, formatAccountLimitId, type Configuration, type Share,
} from '@sequoiatally/core';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from './example-configuration.js';
import {admitByExactBucket, computeOverrun} from './exact-bucket.js';
import {ReducerFleet, type FleetInstance, type ReducerFleetOptions} from './reducer-fleet.js';

/** A client account, and its request rate as a multiple of its limit `rate`. */
export type AccountLoad = {readonly name: string; readonly rate: number; readonly burst: number; readonly demandMultiple: number};

export type ShareWorkloadOptions = {
	readonly seed: number;
	readonly accounts: readonly AccountLoad[];
	readonly instanceCount: number;
	readonly fleet?: Partial<Configuration['fleet']>;
	readonly network?: ReducerFleetOptions['network'];
	/** Fraction of each account's requests that the balancer sends to one instance; the rest is spread evenly. */
	readonly skew: number;
	readonly listLagMs?: number;
};

/** One request of an account, and the instance to which the balancer sent it. */
export type Arrival = {readonly at: number; readonly account: string; readonly requestId: string; readonly instanceId: string};

/** Outcome of one account's requests in a window. */
export type AccountOutcome = {
	readonly name: string;
	/** Number of requests that arrived. */
	readonly offered: number;
	/** Number of those that were admitted and sent. */
	readonly sent: number;
	/** Number of requests that one exact token bucket for the fleet admits. */
	readonly exact: number;
	/** Number of requests by which `sent` is below `exact`; 0 if it is not. */
	readonly refusedWrongly: number;
	/** Most requests above rate and burst in any interval of the whole run. */
	readonly overrun: number;
};

/** Runs the workload and records its arrivals. */
export class ShareWorkload {
	readonly fleet: ReducerFleet;
	readonly arrivals: Arrival[] = [];
	/** Called with each arrival, so that baselines decide on the same arrivals. */
	onArrival?: (arrival: Arrival) => void;
	readonly #random;
	readonly #options: ShareWorkloadOptions;
	#nextRequest = 0;
	#nextInstance = 0;

	constructor(options: ShareWorkloadOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed + 1);
		const configuration = createExampleConfiguration(options.accounts.map(({name, rate, burst}) => ({name, rate, burst})), options.fleet, {
			slotsPerTarget: 10_000, loadMultiple: 100, queueLimit: 10_000,
		});
		this.fleet = new ReducerFleet({
			seed: options.seed, configuration, network: options.network, listLagMs: options.listLagMs ?? 500, serviceMs: 10,
		});
		this.fleet.changeList(list => ({
			...list,
			targets: Array.from({length: 8}, (_, index) => ({
				id: `fitbrain-${index}`, pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live' as const, since: 0,
			})),
		}));
		for (let index = 0; index < options.instanceCount; index++) {
			this.startInstance();
		}
	}

	/** Starts one more instance and returns its id. */
	startInstance(zone = `zone-${'abc'[this.#nextInstance % 3]}`): string {
		const id = `router-${this.#nextInstance}`;
		this.fleet.start(id, zone);
		this.#nextInstance++;
		return id;
	}

	/** Sends `count` requests of each account at the current virtual time. */
	sendAtOnce(count: number): void {
		for (const account of this.#options.accounts) {
			for (let index = 0; index < count; index++) {
				this.#send(account);
			}
		}
	}

	/** Sends the accounts' requests for `durationMs`; `demandMultiples` overrides the accounts' own multiples, by account name. */
	run(durationMs: number, demandMultiples: Readonly<Record<string, number>> = {}): void {
		const arrivals: Array<{at: number; account: AccountLoad}> = [];
		for (const account of this.#options.accounts) {
			const rate = account.rate * (demandMultiples[account.name] ?? account.demandMultiple);
			for (let at = this.#drawGap(rate); at < durationMs; at += this.#drawGap(rate)) {
				arrivals.push({at, account});
			}
		}

		const startedAt = this.fleet.now;
		for (const {at, account} of arrivals.sort((a, b) => a.at - b.at)) {
			this.fleet.runFor(startedAt + at - this.fleet.now);
			this.#send(account);
		}

		this.fleet.runFor(startedAt + durationMs - this.fleet.now);
	}

	/** Computes the sum of all running instances' current shares of an account's limit, including loans. */
	computeShareSum(name: string): Share {
		let rate = 0;
		let capacity = 0;
		for (const {isAlive, state, startedAt} of this.fleet.instances.values()) {
			if (isAlive) {
				const share = computeNetShare({state, now: this.fleet.now - startedAt, effects: []}, formatAccountLimitId(name));
				rate += share.rate;
				capacity += share.capacity;
			}
		}

		return {rate, capacity};
	}

	/** Describes the outcome of an account from `from` to `to`; the exact bucket counts all arrivals from the first on. */
	describeOutcome(name: string, from = 0, to = Number.POSITIVE_INFINITY): AccountOutcome {
		return describeOutcome(this.#findAccount(name), this.arrivals, this.fleet.sent, {from, to});
	}

	#findAccount(name: string): AccountLoad {
		return this.#options.accounts.find(other => other.name === name)!;
	}

	#send(account: AccountLoad): void {
		const requestId = `r${this.#nextRequest++}`;
		const instanceId = this.#chooseInstance(account);
		const arrival = {
			at: this.fleet.now, account: account.name, requestId, instanceId,
		};
		this.arrivals.push(arrival);
		this.onArrival?.(arrival);
		this.fleet.request(instanceId, requestId, {account: account.name, keyDigest: describeExampleKey(account.name).digest, ...exampleModelRoute});
	}

	/** Chooses an instance as the balancer does, among those that can serve, or among all running ones if none can: the account's own for the fraction `skew` of the requests, a random one for the rest. */
	#chooseInstance({name}: AccountLoad): string {
		const isEligible = ({isAlive, frozenUntil, state}: FleetInstance) =>
			isAlive && frozenUntil <= this.fleet.now && state.membership.mayServe && !state.membership.isDraining;
		const running = [...this.fleet.instances.values()].filter(({isAlive}) => isAlive);
		const eligible = running.filter(instance => isEligible(instance));
		const candidates = eligible.length > 0 ? eligible : running;
		const index = this.#options.accounts.findIndex(account => account.name === name);
		const isSticky = uniformInt(this.#random, 0, 999) < this.#options.skew * 1000;
		const chosenIndex = isSticky ? index % candidates.length : uniformInt(this.#random, 0, candidates.length - 1);
		return candidates[chosenIndex]!.id;
	}

	#drawGap(ratePerSecond: number): number {
		const unit = (uniformInt(this.#random, 0, 999_999) + 1) / 1_000_001;
		return -Math.log(unit) * 1000 / ratePerSecond;
	}
}

/** Describes the outcome of an account in a window, from its arrivals and from the requests that were admitted and sent. */
export function describeOutcome(
	{name, rate, burst}: AccountLoad,
	arrivals: readonly Arrival[],
	sent: ReadonlyArray<{readonly at: number; readonly account: string; readonly requestId: string}>,
	{from, to}: {readonly from: number; readonly to: number},
): AccountOutcome {
	const accountArrivals = arrivals.filter(({account}) => account === name);
	const admitted = admitByExactBucket(accountArrivals.map(({at}) => at), rate, burst);
	const accountSent = sent.filter(({account}) => account === name);
	const sentIds = new Set(accountSent.map(({requestId}) => requestId));
	const isInWindow = ({at}: Arrival) => at >= from && at < to;
	const offered = accountArrivals.filter(arrival => isInWindow(arrival));
	const exact = accountArrivals.filter((arrival, index) => admitted[index] && isInWindow(arrival)).length;
	const sentCount = offered.filter(({requestId}) => sentIds.has(requestId)).length;
	return {
		name,
		offered: offered.length,
		sent: sentCount,
		exact,
		refusedWrongly: Math.max(0, exact - sentCount),
		overrun: computeOverrun(accountSent.map(({at}) => at), rate, burst),
	};
}
