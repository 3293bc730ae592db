/**
 * Ownership and clean-up: whoever opens something registers how it is closed,
 * and the manager closes everything in the reverse order.
 */
import process from 'node:process';
import {describeError} from './errors.js';
import type {Logger} from './logger.js';

type OwnedResource = {readonly name: string; readonly close: () => void | Promise<void>};

/**
 * Owns the resources of one process.
 *
 * ```ts
 * const lifecycle = new LifecycleManager(logger);
 * lifecycle.own('server', () => server.close());
 * await lifecycle.closeAll();
 * ```
 */
export class LifecycleManager {
	readonly #resources: OwnedResource[] = [];
	readonly #logger: Logger;
	#closing?: Promise<void>;

	constructor(logger: Logger) {
		this.#logger = logger;
	}

	/** Registers how a resource is closed. */
	own(name: string, close: () => void | Promise<void>): void {
		this.#resources.push({name, close});
	}

	/** Owns a timer that calls `run` every `intervalMs` milliseconds. */
	ownInterval(name: string, intervalMs: number, run: () => void): void {
		const timer = setInterval(run, intervalMs);
		this.own(name, () => {
			clearInterval(timer);
		});
	}

	/** Closes everything, last opened first; a second call waits for the first. */
	async closeAll(): Promise<void> {
		this.#closing ??= this.#closeInOrder();
		return this.#closing;
	}

	/**
	 * Calls `stop` at the first SIGTERM or SIGINT, and at the second
	 * `stopAtOnce`, or ends the process if there is none.
	 */
	handleSignals(stop: () => void, stopAtOnce?: () => void): void {
		let isStopping = false;
		const handle = (signal: string) => {
			if (isStopping) {
				this.#logger.warn({event: 'second-signal', signal, message: 'Ends at once; open requests are cut.'});
				if (stopAtOnce !== undefined) {
					stopAtOnce();
					return;
				}

				// eslint-disable-next-line unicorn/no-process-exit
				process.exit(1);
			}

			isStopping = true;
			stop();
		};

		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, handle);
		}
	}

	async #closeInOrder(): Promise<void> {
		for (const {name, close} of this.#resources.reverse()) {
			try {
				// Each resource may use those that were opened before it.
				await close();
			} catch (error) {
				this.#logger.error({event: 'close-failed', resource: name, error: describeError(error)});
			}
		}
	}
}
