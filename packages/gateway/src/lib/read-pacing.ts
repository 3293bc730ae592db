/**
 * Bounds the part of one iteration of the event loop that goes into reading messages: the responses of targets, or the
 * requests that have not arrived completely on the connections of a server. The HTTP server accepts one connection per
 * iteration: hundreds of targets or callers that send at once would make an iteration so long that new callers, who may
 * wait behind a crowd of others, are not accepted before their deadlines.
 *
 * While there is more than fits, each reader stops after each part, and they go on in the order in which they stopped.
 */

export abstract class PacedReader {
	/** Stops reading until `releaseRead`. */
	abstract stopRead(): void;
	abstract releaseRead(): void;
}

export class ReadPacing {
	/** Time at which the first part of this iteration was handled; `undefined` before. */
	#startedAt: number | undefined;
	/** Parts that this iteration had time for. */
	#partCount = 0;
	#isOverTime = false;
	/** True if the end of an iteration is to be reported. */
	#isScheduled = false;
	/** Number of readers that go on in the next iteration. */
	#batchSize = 1;
	/** Readers that wait, in the order in which they go on. */
	readonly #stopped = new Set<PacedReader>();
	readonly #maxMsPerIteration: number;
	readonly #scheduleIterationEnd: (handleEnd: () => void) => void;

	/** `scheduleIterationEnd` runs the callback when all input of this iteration has been handled. */
	constructor(maxMsPerIteration: number, scheduleIterationEnd: (handleEnd: () => void) => void) {
		this.#maxMsPerIteration = maxMsPerIteration;
		this.#scheduleIterationEnd = scheduleIterationEnd;
	}

	/** Number of readers that wait for a later iteration. */
	get stoppedCount(): number {
		return this.#stopped.size;
	}

	/** Counts a part that `reader` has handled, and stops the reader if this iteration has no more time for responses or others wait. */
	recordRead(reader: PacedReader, now: number): void {
		this.#startedAt ??= now;
		this.#schedule();
		if (now - this.#startedAt < this.#maxMsPerIteration) {
			this.#partCount++;
		} else {
			this.#isOverTime = true;
		}

		if (this.#isOverTime || this.#stopped.size > 0) {
			this.#stopped.add(reader);
			reader.stopRead();
		}
	}

	/** Forgets a reader that has ended. */
	removeReader(reader: PacedReader): void {
		this.#stopped.delete(reader);
	}

	#schedule(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			this.#scheduleIterationEnd(() => {
				this.#isScheduled = false;
				this.#handleIterationEnd();
			});
		}
	}

	/** Lets as many readers go on as this iteration had time for, or twice as many as before if it had time left. */
	#handleIterationEnd(): void {
		this.#batchSize = this.#isOverTime ? Math.max(1, this.#partCount) : this.#batchSize * 2;
		this.#startedAt = undefined;
		this.#partCount = 0;
		this.#isOverTime = false;
		for (const reader of [...this.#stopped].slice(0, this.#batchSize)) {
			this.#stopped.delete(reader);
			reader.releaseRead();
		}

		if (this.#stopped.size > 0) {
			// Those that go on may have nothing to read for a long time, or end.
			this.#schedule();
		}
	}
}
