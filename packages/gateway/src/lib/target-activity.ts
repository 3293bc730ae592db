/**
 * Remembers when each target last responded, so that a silent request can be told apart
 * from a silent target.
 */
import {evictOldest} from '@sequoiatally/dispatch';

/** Number of addresses that are remembered; the one that responded longest ago is forgotten first. */
const addressLimit = 2048;

export class TargetActivity {
	/** Times in milliseconds by address, the latest last. */
	readonly #timeByAddress = new Map<string, number>();

	/** Records that the target at the address started a response or sent an event. */
	record(address: string, now: number): void {
		this.#timeByAddress.delete(address);
		this.#timeByAddress.set(address, now);
		evictOldest(this.#timeByAddress, addressLimit);
	}

	/** Finds the time at which the target last responded; `undefined` if it is not known. */
	findTime(address: string): number | undefined {
		return this.#timeByAddress.get(address);
	}
}
