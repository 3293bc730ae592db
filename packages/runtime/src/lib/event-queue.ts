/**
 * A queue that applies the events of a process one at a time. Events added
 * while another is applied wait until it is finished.
 */

export class EventQueue<Event> {
	readonly #apply: (event: Event) => void;
	readonly #pending: Event[] = [];
	#isRunning = false;

	/** `apply` applies one event; it may add further events with `handle`. */
	constructor(apply: (event: Event) => void) {
		this.#apply = apply;
	}

	/** Applies an event and all events added meanwhile. Returns `false` if an enclosing call will apply the event. */
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
