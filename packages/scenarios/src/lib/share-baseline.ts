/**
 * Other ways to keep a fleet under the limits of its accounts, for comparison.
 * They decide on the same arrivals under the same faults and lists.
 */
import {hashText} from '@sequoiatally/core';
import type {FleetInstance, ReducerFleet} from './reducer-fleet.js';
import type {AccountLoad, Arrival} from './share-workload.js';

type Level = {tokens: number; at: number};

/** Base class of the ways that are compared. */
export abstract class ShareBaseline {
	readonly sent: Arrival[] = [];
	abstract readonly name: string;
	/** Buckets by process and account; they end with the process. */
	readonly #levels = new Map<FleetInstance, Map<string, Level>>();

	constructor(protected readonly fleet: ReducerFleet, protected readonly ceiling: number) {}

	/** Decides on one arrival. */
	offer(arrival: Arrival, account: AccountLoad): void {
		const counter = this.findCounter(this.fleet.instances.get(arrival.instanceId)!, account.name);
		if (counter !== undefined && this.#tryTake(counter, account)) {
			this.sent.push(arrival);
		}
	}

	/** Finds the process whose bucket decides; undefined: it cannot be reached. */
	protected abstract findCounter(asker: FleetInstance, account: string): FleetInstance | undefined;

	/** Part of the limit that one bucket holds. */
	protected abstract computeFraction(): number;

	#tryTake(counter: FleetInstance, {name, rate, burst}: AccountLoad): boolean {
		const fraction = this.computeFraction();
		const levels = this.#levels.get(counter) ?? new Map<string, Level>();
		this.#levels.set(counter, levels);
		const level = levels.get(name) ?? {tokens: burst * fraction, at: this.fleet.now};
		level.tokens = Math.min(burst * fraction, level.tokens + ((this.fleet.now - level.at) * rate * fraction / 1000));
		level.at = this.fleet.now;
		levels.set(name, level);
		if (level.tokens < 1) {
			return false;
		}

		level.tokens--;
		return true;
	}
}

/** Each instance has the limit divided by the ceiling. */
export class StaticSplit extends ShareBaseline {
	override readonly name = 'static split';

	protected override findCounter(asker: FleetInstance): FleetInstance {
		return asker;
	}

	protected override computeFraction(): number {
		return 1 / this.ceiling;
	}
}

/** One instance of the asker's list, chosen by rendezvous hashing, counts for all. */
export class ElectedCounter extends ShareBaseline {
	override readonly name = 'elected counter';

	override findCounter(asker: FleetInstance, account: string): FleetInstance | undefined {
		let best: string | undefined;
		let bestScore = -1;
		for (const {id} of asker.state.membership.list?.instances ?? []) {
			const score = hashText(`${account}/${id}`);
			if (score > bestScore) {
				best = id;
				bestScore = score;
			}
		}

		const counter = this.fleet.instances.get(best ?? '');
		const isReachable = counter?.isAlive === true && counter.frozenUntil <= this.fleet.now && counter.side === asker.side;
		return isReachable ? counter : undefined;
	}

	protected override computeFraction(): number {
		return 1;
	}
}
