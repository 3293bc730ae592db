/**
 * Remembers which targets have read which parts of prompts, from the requests
 * that this instance placed. A target that lacks a part can copy it from one
 * that has it, which costs a small part of reading it again.
 *
 * The memory is a hint: a target that has dropped a part meanwhile copies
 * nothing and reads it.
 */
import type {PromptPart} from './event.js';
import type {Target} from './target-state.js';

/** Parts that are remembered; the one used longest ago is forgotten first. */
const partLimit = 8192;
/** Holders that are remembered for each part, the latest. */
const holderLimit = 64;

export class PromptHolders {
	/** Holders of each part, the latest last; parts in the order of their last use. */
	readonly #byPart = new Map<string, Target[]>();

	/** Records that the target has read the shared parts of a prompt. */
	record(parts: readonly PromptPart[], target: Target): void {
		for (const {id} of listSharedParts(parts)) {
			const holders = this.#byPart.get(id)?.filter(holder => holder !== target) ?? [];
			holders.push(target);
			this.#byPart.delete(id);
			this.#byPart.set(id, holders.slice(-holderLimit));
		}

		for (const id of this.#byPart.keys()) {
			if (this.#byPart.size <= partLimit) {
				break;
			}

			this.#byPart.delete(id);
		}
	}

	/** True when the target is known to have read the part. */
	has(partId: string, target: Target): boolean {
		return this.#byPart.get(partId)?.includes(target) ?? false;
	}

	/** Finds the target that read the part last, among those that `canCopy` allows. */
	findHolder(partId: string, canCopy: (target: Target) => boolean): Target | undefined {
		return this.#byPart.get(partId)?.findLast(target => canCopy(target));
	}
}

/** Lists the parts that other requests share, the first part first: the last part belongs to the request itself. */
export function listSharedParts(parts: readonly PromptPart[]): readonly PromptPart[] {
	return parts.length > 1 ? parts.slice(0, -1) : parts;
}
