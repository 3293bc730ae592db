/**
 * The subjects of the directory in the order of the last changes of their content. Many
 * peers ask a watcher for what changed since a recent revision, and most entries of the
 * store are renewed all the time without a change, so an answer should cost as much as
 * there are changes, not as there are facts.
 */

type OrderedChange = {readonly subject: string; readonly changeRevision: number};

/** Number of entries for each subject above which outdated entries are removed, and number up to which they always stay. */
const entriesPerSubject = 2;
const minEntryLimit = 256;

type ChangedFacts = ReadonlyMap<string, {readonly changeRevision: number}>;

export class ChangeOrder {
	/** One entry for the present change of each subject, and outdated ones of earlier changes. */
	#entries: OrderedChange[] = [];
	#isSorted = true;

	/** Records that the content of a subject changed at a revision; `facts` already contains the change. */
	record(subject: string, changeRevision: number, facts: ChangedFacts): void {
		this.#isSorted &&= changeRevision >= (this.#entries.at(-1)?.changeRevision ?? Number.NEGATIVE_INFINITY);
		this.#entries.push({subject, changeRevision});
		if (this.#entries.length > Math.max(minEntryLimit, entriesPerSubject * facts.size)) {
			this.#entries = [...facts].map(([other, fact]) => ({subject: other, changeRevision: fact.changeRevision}));
			this.#isSorted = false;
		}
	}

	/** Lists the subjects whose content changed after a revision, the earliest first; `facts` tells their present changes. */
	listSubjectsAfter(revision: number, facts: ChangedFacts): string[] {
		if (!this.#isSorted) {
			this.#entries.sort((a, b) => a.changeRevision - b.changeRevision);
			this.#isSorted = true;
		}

		const subjects: string[] = [];
		for (let index = this.#entries.length - 1; index >= 0 && this.#entries[index]!.changeRevision > revision; index--) {
			const {subject, changeRevision} = this.#entries[index]!;
			if (facts.get(subject)?.changeRevision === changeRevision) {
				subjects.push(subject);
			}
		}

		return [...new Set(subjects)].reverse();
	}
}
