/**
 * Recent refusals, kept in memory for the administration API.
 */
import type {Refusal} from '@sequoiatally/core';

/** Largest number of refusals kept; the metrics still count those that were overwritten. */
const maxRecentRefusals = 1000;

/** A refusal as reported to operators. Apart from the identifier, it contains no data of the request. */
export type RecentRefusal = Pick<Refusal, 'reason' | 'outcome' | 'message'> & {
	readonly requestId: string;
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly wallMs: number;
};

export type RefusalCount = Pick<Refusal, 'reason' | 'outcome'> & {readonly count: number};

/** Keeps the newest refusals. */
export class RecentRefusals {
	readonly #recent: RecentRefusal[] = [];
	#nextIndex = 0;

	record(requestId: string, {reason, outcome, message}: Refusal, wallMs: number): void {
		this.#recent[this.#nextIndex] = {
			requestId, reason, outcome, message, wallMs,
		};
		this.#nextIndex = (this.#nextIndex + 1) % maxRecentRefusals;
	}

	/** Lists the refusals since the given wall-clock time, inclusive, newest first. */
	listSince(sinceMs: number): RecentRefusal[] {
		const oldestFirst = [...this.#recent.slice(this.#nextIndex), ...this.#recent.slice(0, this.#nextIndex)];
		return oldestFirst.reverse().filter(({wallMs}) => wallMs >= sinceMs);
	}
}

/** Counts refusals by reason and outcome, most frequent first. */
export function countRefusals(refusals: readonly RecentRefusal[]): RefusalCount[] {
	const counts = new Map<string, RefusalCount>();
	for (const {reason, outcome} of refusals) {
		const key = `${reason} ${outcome}`;
		counts.set(key, {reason, outcome, count: (counts.get(key)?.count ?? 0) + 1});
	}

	return [...counts.values()].sort((a, b) => b.count - a.count);
}
