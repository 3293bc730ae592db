/**
 * Refusals of the last minutes, kept in memory for operators.
 */
import type {Refusal} from '@sequoiatally/core';

/** Refusals that are kept; the metrics count all of them. */
const maxRecentRefusals = 1000;

/** One refusal as operators see it; it holds nothing of the request itself. */
export type RecentRefusal = Pick<Refusal, 'reason' | 'outcome' | 'message'> & {
	readonly requestId: string;
	/** Wall-clock time in milliseconds since 1970. */
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

	/** Lists those of a time or later, newest first. */
	listSince(sinceMs: number): RecentRefusal[] {
		const oldestFirst = [...this.#recent.slice(this.#nextIndex), ...this.#recent.slice(0, this.#nextIndex)];
		return oldestFirst.reverse().filter(({wallMs}) => wallMs >= sinceMs);
	}
}

/** Counts refusals by type, the most frequent first. */
export function countByType(refusals: readonly RecentRefusal[]): RefusalCount[] {
	const counts = new Map<string, RefusalCount>();
	for (const {reason, outcome} of refusals) {
		const key = `${reason} ${outcome}`;
		counts.set(key, {reason, outcome, count: (counts.get(key)?.count ?? 0) + 1});
	}

	return [...counts.values()].sort((a, b) => b.count - a.count);
}
