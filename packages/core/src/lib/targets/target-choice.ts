/**
 * Strategies that select the target of a request within a pool. A strategy
 * determines only the order of preference; its caller determines which targets
 * may receive new requests and which of these have capacity.
 */
import {hashText, mixHashes} from '../hash.js';
import type {Target} from './target-state.js';

/** The input of a choice. */
export type ChoiceRequest = {
	readonly chatKey: string;
	/** Availability zone of this instance. */
	readonly zone: string;
	/** Last target of the chat, if that was not its first-ranked target and is still remembered. */
	readonly lastTargetId?: string;
};

/** Checks which targets have capacity for one more request. */
export abstract class CapacityCheck {
	/** True when the target has capacity for one more request. */
	hasCapacity(target: Target): boolean {
		return this.hasSlot(target) && this.isWithinLoadLimit(target);
	}

	/** True when this instance may use a free slot of the target. */
	abstract hasSlot(target: Target): boolean;
	/** True when one more request keeps the target within the pool's load limit. */
	abstract isWithinLoadLimit(target: Target): boolean;
}

/** The result of a choice. */
export type ChoiceResult = {
	/** The target that receives the request; `undefined` if none has capacity. */
	readonly target?: Target;
	/** The target that would receive the request if all targets had capacity; `undefined` if there are no targets. */
	readonly firstRanked?: Target;
};

/** Base class of the strategies. */
export abstract class TargetChoice {
	abstract chooseTarget(targets: readonly Target[], request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult;
}

/**
 * Rendezvous hashing with bounded loads. All instances rank the targets of a chat
 * identically without storing anything per chat, and the removal of a target moves
 * only the chats placed there. A chat whose first-ranked target has no capacity
 * goes to the next target in its ranking.
 */
export class RendezvousChoice extends TargetChoice {
	override chooseTarget(targets: readonly Target[], {chatKey}: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		const chatHash = hashText(chatKey);
		let firstRanked: Target | undefined;
		let firstRankedScore = -1;
		let chosen: Target | undefined;
		let chosenScore = -1;
		for (const target of targets) {
			const score = mixHashes(chatHash, target.hash);
			if (score > firstRankedScore) {
				firstRanked = target;
				firstRankedScore = score;
			}

			if (score > chosenScore && capacityCheck.hasCapacity(target)) {
				chosen = target;
				chosenScore = score;
			}
		}

		return {target: chosen, firstRanked};
	}
}

/**
 * Rendezvous hashing in which a chat that was moved from its first-ranked target
 * stays at its last target as long as this target is remembered and has capacity.
 */
export class StickyRendezvousChoice extends RendezvousChoice {
	override chooseTarget(targets: readonly Target[], request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		const chosen = super.chooseTarget(targets, request, capacityCheck);
		const last = targets.find(target => target.listed.id === request.lastTargetId);
		return last !== undefined && capacityCheck.hasCapacity(last) ? {...chosen, target: last} : chosen;
	}
}
