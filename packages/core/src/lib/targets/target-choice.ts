/**
 * Which of a pool's targets gets a request. What varies is the order of
 * preference alone; which targets may take new work at all, and which of them
 * have room, is decided outside.
 */
import {hashText, mixHashes} from '../hash.js';
import type {Target} from './target-state.js';

/** What the choice may look at. */
export type ChoiceRequest = {
	readonly chatKey: string;
	/** Availability zone of this instance. */
	readonly zone: string;
	/** Where the chat went last, when that was not its home and is still remembered. */
	readonly lastTargetId?: string;
};

/** Says which targets can take one more request. */
export abstract class CapacityCheck {
	/** True when the target can take one more request. */
	hasCapacity(target: Target): boolean {
		return this.hasSlot(target) && this.isWithinLoadLimit(target);
	}

	/** True when a slot of the target is free that this instance may use. */
	abstract hasSlot(target: Target): boolean;
	/** True when one more request keeps the target under the pool's load multiple. */
	abstract isWithinLoadLimit(target: Target): boolean;
}

/** What a choice found. */
export type ChoiceResult = {
	/** The target that gets the request; undefined: none has room. */
	readonly target?: Target;
	/** The target that would get it if all had room. */
	readonly home?: Target;
};

/** Base class of all choices. */
export abstract class TargetChoice {
	abstract chooseTarget(targets: readonly Target[], request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult;
}

/**
 * Rendezvous hashing with bounded load: every instance ranks a chat's targets
 * alike without storing anything per chat, and a target that leaves moves only
 * its own chats. A chat whose home is full goes to the next target in its rank.
 */
export class RendezvousChoice extends TargetChoice {
	override chooseTarget(targets: readonly Target[], {chatKey}: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		const chatHash = hashText(chatKey);
		let home: Target | undefined;
		let homeScore = -1;
		let chosen: Target | undefined;
		let chosenScore = -1;
		for (const target of targets) {
			const score = mixHashes(chatHash, target.hash);
			if (score > homeScore) {
				home = target;
				homeScore = score;
			}

			if (score > chosenScore && capacityCheck.hasCapacity(target)) {
				chosen = target;
				chosenScore = score;
			}
		}

		return {target: chosen, home};
	}
}

/**
 * Rendezvous hashing for which a chat that had to move stays where it went
 * last, as long as that is remembered and has room.
 */
export class StayingRendezvousChoice extends RendezvousChoice {
	override chooseTarget(targets: readonly Target[], request: ChoiceRequest, capacityCheck: CapacityCheck): ChoiceResult {
		const chosen = super.chooseTarget(targets, request, capacityCheck);
		const last = targets.find(target => target.listed.id === request.lastTargetId);
		return last !== undefined && capacityCheck.hasCapacity(last) ? {...chosen, target: last} : chosen;
	}
}
