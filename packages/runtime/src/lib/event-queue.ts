/**
 * The one loop of a process: events are handled one after the other, and those
 * that come up meanwhile wait for their turn.
 */

export class EventQueue<Event> {
	readonly #apply: (event: Event) => void;
	readonly #pending: Event[] = [];
	#isRunning = false;

	/** `apply` handles one event; it may add others. */
	constructor(apply: (event: Event) => void) {
		this.#apply = apply;
	}

	/** Handles an event and all that are added meanwhile; returns false when a call further out does that. */
	handle(event: Event): boolean {
		this.#pending.push(event);
		if (this.#isRunning) {
			return false;
		}

		this.#isRunning = true;
		try {
			for (let next = this.#pending.shift(); next !== undefined; next = this.#pending.shift()) {
				this.#apply(next);
			}
		} finally {
			this.#isRunning = false;
		}

		return true;
	}
}
