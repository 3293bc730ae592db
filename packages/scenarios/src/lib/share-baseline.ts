/**
 * Baselines for the comparison of rate limiting strategies. They decide on the
 * same arrivals as the fleet, with the same faults and instance lists.
 */
import {hashText} from '@sequoiatally/core';
import type {FleetInstance, ReducerFleet} from './reducer-fleet.js';
import type {AccountLoad, Arrival} from './share-workload.js';

type Bucket = {tokens: number; updatedAt: number};

/** Base class of the baselines. */
export abstract class ShareBaseline {
	readonly sent: Arrival[] = [];
	abstract readonly name: string;
	/** Token buckets by router process and account; a restarted process starts with new ones. */
	readonly #buckets = new Map<FleetInstance, Map<string, Bucket>>();

	constructor(protected readonly fleet: ReducerFleet, protected readonly ceiling: number) {}

	/** Admits or refuses one arrival; admitted arrivals are added to `sent`. */
	handleArrival(arrival: Arrival, account: AccountLoad): void {
		const counterInstance = this.findCounterInstance(this.fleet.instances.get(arrival.instanceId)!, account.name);
		if (counterInstance !== undefined && this.#tryTakeToken(counterInstance, account)) {
			this.sent.push(arrival);
		}
	}

	/** Finds the instance whose bucket decides; `undefined` if the receiver cannot reach it. */
	protected abstract findCounterInstance(receiver: FleetInstance, account: string): FleetInstance | undefined;

	/** Computes the fraction of the account's limit that one bucket enforces, from 0 to 1. */
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

/** Gives each instance the account's limit divided by the ceiling. */
export class StaticSplit extends ShareBaseline {
	override readonly name = 'static split';

	protected override findCounterInstance(receiver: FleetInstance): FleetInstance {
		return receiver;
	}

	protected override computeLimitFraction(): number {
		return 1 / this.ceiling;
	}
}

/** Counts an account at one instance, which rendezvous hashing selects from the receiver's list. */
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
