/**
 * Closes the resources of a process. Code that opens a resource registers how
 * to close it; the manager closes all resources in reverse order.
 */
import process from 'node:process';
import {describeError} from './errors.js';
import type {LogFields, Logger} from './logger.js';

type OwnedResource = {readonly name: string; readonly close: () => void | Promise<void>};

export type SignalOptions = {
	/** Ends the process without waiting for open requests; by default, it exits with code 1. */
	readonly stopAtOnce?: () => void;
	/** Writes a log line; by default, the manager's logger does. */
	readonly log?: (fields: LogFields) => void;
};

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
	 * Calls `stop` at the first SIGTERM or SIGINT, and `stopAtOnce` at the second SIGINT. A supervisor
	 * may repeat SIGTERM and ends a process with SIGKILL if it has to; a person at a terminal has
	 * only SIGINT. Therefore all other signals are logged and change nothing.
	 */
	handleSignals(stop: () => void, {stopAtOnce = exitWithFailure, log = this.#logger.warn}: SignalOptions = {}): void {
		let isStopping = false;
		let interruptCount = 0;
		const handle = (signal: NodeJS.Signals) => {
			interruptCount += signal === 'SIGINT' ? 1 : 0;
			if (!isStopping) {
				isStopping = true;
				log({event: 'stop-signal', signal});
				stop();
			} else if (signal === 'SIGINT' && interruptCount > 1) {
				log({event: 'second-signal', signal, message: 'Second SIGINT received; stopping at once.'});
				stopAtOnce();
			} else {
				log({event: 'signal-ignored', signal, message: 'The process is already stopping; a second SIGINT stops it at once.'});
			}
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

function exitWithFailure(): void {
	// eslint-disable-next-line unicorn/no-process-exit
	process.exit(1);
}
