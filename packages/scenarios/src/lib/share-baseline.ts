/**
 * Other ways to keep a fleet under the limits of its accounts, for comparison.
 * They decide on the same arrivals under the same faults and lists.
 */
import {hashText} from '@sequoiatally/core';
import type {FleetInstance, ReducerFleet} from './reducer-fleet.js';
import type {AccountLoad, Arrival} from './share-workload.js';

type Bucket = {tokens: number; updatedAt: number};

/** Base class of the ways that are compared. */
export abstract class ShareBaseline {
	readonly sent: Arrival[] = [];
	abstract readonly name: string;
	/** Buckets by process and account; they end with the process. */
	readonly #buckets = new Map<FleetInstance, Map<string, Bucket>>();

	constructor(protected readonly fleet: ReducerFleet, protected readonly ceiling: number) {}

	/** Decides on one arrival. */
	handleArrival(arrival: Arrival, account: AccountLoad): void {
		const counterInstance = this.findCounterInstance(this.fleet.instances.get(arrival.instanceId)!, account.name);
		if (counterInstance !== undefined && this.#tryTakeToken(counterInstance, account)) {
			this.sent.push(arrival);
		}
	}

	/** Finds the process whose bucket decides; undefined: it cannot be reached. */
	protected abstract findCounterInstance(receiver: FleetInstance, account: string): FleetInstance | undefined;

	/** Part of the limit that one bucket holds. */
	protected abstract computeLimitFraction(): number;

	#tryTakeToken(counterInstance: FleetInstance, {name, rate, burst}: AccountLoad): boolean {
		const fraction = this.computeLimitFraction();
		const accountBuckets = this.#buckets.get(counterInstance) ?? new Map<string, Bucket>();
		this.#buckets.set(counterInstance, accountBuckets);
		const bucket = accountBuckets.get(name) ?? {tokens: burst * fraction, updatedAt: this.fleet.now};
		bucket.tokens = Math.min(burst * fraction, bucket.tokens + ((this.fleet.now - bucket.updatedAt) * rate * fraction / 1000));
		bucket.updatedAt = this.fleet.now;
		accountBuckets.set(name, bucket);
		if (bucket.tokens < 1) {
			return false;
		}

		bucket.tokens--;
		return true;
	}
}

/** Each instance has the limit divided by the ceiling. */
export class StaticSplit extends ShareBaseline {
	override readonly name = 'static split';

	protected override findCounterInstance(receiver: FleetInstance): FleetInstance {
		return receiver;
	}

	protected override computeLimitFraction(): number {
		return 1 / this.ceiling;
	}
}

/** One instance of the asker's list, chosen by rendezvous hashing, counts for all. */
export class ElectedCounter extends ShareBaseline {
	override readonly name = 'elected counter';

	override findCounterInstance(receiver: FleetInstance, account: string): FleetInstance | undefined {
		let best: string | undefined;
		let bestScore = -1;
		for (const {id} of receiver.state.membership.list?.instances ?? []) {
			const score = hashText(`${account}/${id}`);
			if (score > bestScore) {
				best = id;
				bestScore = score;
			}
		}

		const elected = this.fleet.instances.get(best ?? '');
		const isReachable = elected?.isAlive === true && elected.frozenUntil <= this.fleet.now && elected.partition === receiver.partition;
		return isReachable ? elected : undefined;
	}

	protected override computeLimitFraction(): number {
		return 1;
	}
}
