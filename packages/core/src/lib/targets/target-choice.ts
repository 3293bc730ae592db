/**
 * The order in which a chat's targets are tried. What varies is the order
 * alone; which targets may be tried at all is decided before.
 */
import {hashText} from '../hash.js';
import type {Target} from './target-state.js';

/** What the choice may look at. */
export type ChoiceRequest = {
	readonly chatKey: string;
	/** Availability zone of this instance. */
	readonly zone: string;
};

/** Base class of all orders of choice. */
export abstract class TargetChoice {
	/** Orders the targets from the most to the least preferred; may reorder the given array. */
	abstract orderTargets(targets: Target[], request: ChoiceRequest): Target[];
}

/**
 * Rendezvous hashing: every instance orders a chat's targets alike without
 * storing anything per chat, and a target that leaves moves only its own chats.
 */
export class RendezvousChoice extends TargetChoice {
	override orderTargets(targets: Target[], {chatKey}: ChoiceRequest): Target[] {
		const scores = new Map<Target, number>();
		for (const target of targets) {
			scores.set(target, hashText(`${chatKey}/${target.listed.id}`));
		}

		return targets.sort((a, b) => scores.get(b)! - scores.get(a)!);
	}
}
