/**
 * Strategies that the routing experiment compares with the router's own. All
 * respect the slots of targets, which are guaranteed; only the oracle respects
 * the load limit.
 */
import {
	hashText, mixHashes, TargetChoice, type ChoiceRequest, type ChoiceResult, type CapacityCheck, type Target,
} from '@sequoiatally/core';
import {uniformInt, xoroshiro128plus} from '@sequoiatally/load';

/** Selects a random target with a free slot. */
export class RandomChoice extends TargetChoice {
	readonly #random;

	constructor(seed: number) {
		super();
		this.#random = xoroshiro128plus(seed);
	}

	override chooseTarget(targets: readonly Target[], _request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		const available = targets.filter(target => capacityCheck.hasSlot(target));
		return {target: available.length > 0 ? available[uniformInt(this.#random, 0, available.length - 1)] : undefined};
	}
}

/** Selects the next target with a free slot in cyclic order. */
export class RoundRobinChoice extends TargetChoice {
	#next = 0;

	override chooseTarget(targets: readonly Target[], _request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		for (let offset = 0; offset < targets.length; offset++) {
			const target = targets[(this.#next + offset) % targets.length]!;
			if (capacityCheck.hasSlot(target)) {
				this.#next += offset + 1;
				return {target};
			}
		}

		return {};
	}
}

/** Selects the target with the fewest requests in flight from this instance. */
export class LeastLoadedChoice extends TargetChoice {
	override chooseTarget(targets: readonly Target[], _request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		let target: Target | undefined;
		for (const candidate of targets) {
			if (capacityCheck.hasSlot(candidate) && (target === undefined || candidate.inFlight < target.inFlight)) {
				target = candidate;
			}
		}

		return {target};
	}
}

/** Rendezvous hashing without a load limit. */
export class PlainRendezvousChoice extends TargetChoice {
	override chooseTarget(targets: readonly Target[], {chatKey}: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		const chatHash = hashText(chatKey);
		const available = targets.filter(target => capacityCheck.hasSlot(target));
		const ranked = available.toSorted((a, b) => mixHashes(chatHash, b.hash) - mixHashes(chatHash, a.hash));
		return {target: ranked[0]};
	}
}

/** Current loads and caches of all targets, as an ideal router would know them. */
export abstract class FleetView {
	abstract countInFlight(targetId: string): number;
	/** Counts the prompt tokens of a chat in the target's cache. */
	abstract countCachedTokens(targetId: string, chatKey: string): number;
	/** Counts the requests that the target can serve at once in its current state, cold or warm. */
	abstract countSlots(targetId: string): number;
	abstract isWarm(targetId: string): boolean;
}

/** Upper bound of cache reuse: knows all loads and caches without delay and applies the load limit to warm targets exactly. */
export class OracleChoice extends TargetChoice {
	constructor(readonly view: FleetView, readonly loadMultiple: number, readonly loadFloor: number) {
		super();
	}

	override chooseTarget(targets: readonly Target[], {chatKey}: ChoiceRequest): ChoiceResult {
		const {view} = this;
		const warm = targets.filter(({listed}) => view.isWarm(listed.id));
		const totalLoad = warm.reduce((sum, {listed}) => sum + view.countInFlight(listed.id), 0);
		const loadLimit = Math.max(this.loadFloor, this.loadMultiple * (totalLoad + 1) / warm.length);
		let best: {readonly target: Target; readonly cachedTokens: number; readonly load: number} | undefined;
		for (const target of targets) {
			const {id} = target.listed;
			const load = view.countInFlight(id);
			if (load + 1 > Math.min(view.countSlots(id), view.isWarm(id) ? loadLimit : Number.POSITIVE_INFINITY)) {
				continue;
			}

			const cachedTokens = view.countCachedTokens(id, chatKey);
			if (best === undefined || cachedTokens > best.cachedTokens || (cachedTokens === best.cachedTokens && load < best.load)) {
				best = {target, cachedTokens, load};
			}
		}

		return {target: best?.target};
	}
}
