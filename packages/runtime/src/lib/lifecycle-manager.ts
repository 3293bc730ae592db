/**
 * Closes the resources of a process. Code that opens a resource registers how
 * to close it; the manager closes all resources in reverse order.
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

	/** Registers a resource with the function that closes it. */
	own(name: string, close: () => void | Promise<void>): void {
		this.#resources.push({name, close});
	}

	/** Starts a timer that calls `run` every `intervalMs` milliseconds until the manager closes it. */
	ownInterval(name: string, intervalMs: number, run: () => void): void {
		const timer = setInterval(run, intervalMs);
		this.own(name, () => {
			clearInterval(timer);
		});
	}

	/** Closes all resources, the last registered first. Later calls wait for the first one. Errors are logged. */
	async closeAll(): Promise<void> {
		this.#closing ??= this.#closeInOrder();
		return this.#closing;
	}

	/**
	 * Calls `stop` at the first SIGTERM or SIGINT. At any later one, calls
	 * `stopAtOnce`, or exits with code 1 if that is not given.
	 */
	handleSignals(stop: () => void, stopAtOnce?: () => void): void {
		let isStopping = false;
		const handle = (signal: string) => {
			if (isStopping) {
				this.#logger.warn({event: 'second-signal', signal, message: 'Second stop signal received; stopping at once and cutting open requests.'});
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
				// One at a time, since a resource may use those registered before it.
				await close();
			} catch (error) {
				this.#logger.error({event: 'close-failed', resource: name, error: describeError(error)});
			}
		}
	}
}
