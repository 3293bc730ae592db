/**
 * Remembers which software version began a resumable stream, for callers that take it up. Streams
 * are named by a hash of their identifier and the client account, which callers cannot make
 * longer and which keeps the streams of different accounts apart.
 */
import {hashText} from '@sequoiatally/core';
import {evictOldest} from '../evict-oldest.js';

/** A stream and its software version in a message. */
export type SharedStream = readonly [key: string, softwareVersion: string];

type Entry = {
	/** `undefined` if the stream was begun at several versions, so that none can be named. */
	readonly softwareVersion: string | undefined;
	readonly at: number;
};

/** Number of streams that are remembered. */
const streamLimit = 20_000;
/** Hash seeds of the two halves of a key. */
const firstKeySeed = 3;
const secondKeySeed = 4;

/** Computes the key under which a stream is remembered. */
export function computeStreamKey(streamId: string, account: string | undefined): string {
	const text = JSON.stringify([account, streamId]);
	return `${hashText(text, firstKeySeed).toString(36)}-${hashText(text, secondKeySeed).toString(36)}`;
}

export class BegunStreams {
	/** Streams by key, in the order in which they were last recorded. */
	readonly #byKey = new Map<string, Entry>();
	/** Streams that peers have not been told of, by pool. */
	readonly #unsharedByPool = new Map<string, Set<string>>();

	/** Records a stream that has begun or gone on here. */
	record(key: string, softwareVersion: string, poolName: string, now: number): void {
		const isNew = !this.#byKey.has(key);
		this.#add(key, softwareVersion, now);
		if (isNew) {
			const unshared = this.#unsharedByPool.get(poolName) ?? new Set();
			this.#unsharedByPool.set(poolName, unshared.add(key));
		}
	}

	/** Adds what a peer knows. */
	applyShared(streams: readonly SharedStream[], now: number): void {
		for (const [key, softwareVersion] of streams) {
			this.#add(key, softwareVersion, now);
		}
	}

	/** Finds the version of a stream; `undefined` if it is not known. */
	findVersion(key: string): string | undefined {
		return this.#byKey.get(key)?.softwareVersion;
	}

	/** Lists the streams among `keys` whose version is known. */
	describe(keys: readonly string[]): SharedStream[] {
		return keys.flatMap(key => {
			const softwareVersion = this.findVersion(key);
			return softwareVersion === undefined ? [] : [[key, softwareVersion] as const];
		});
	}

	/** Lists the pools with streams that peers have not been told of. */
	listUnsharedPools(): string[] {
		return [...this.#unsharedByPool.keys()];
	}

	/** Returns streams of a pool that peers have not been told of, at most `limit`; they count as told from then on. */
	takeUnshared(poolName: string, limit: number): SharedStream[] {
		const unshared = this.#unsharedByPool.get(poolName) ?? new Set();
		const keys = [...unshared].slice(0, limit);
		for (const key of keys) {
			unshared.delete(key);
		}

		if (unshared.size === 0) {
			this.#unsharedByPool.delete(poolName);
		}

		return this.describe(keys);
	}

	/** Drops the streams that were last recorded before `since`. */
	expire(since: number): void {
		for (const [key, {at}] of this.#byKey) {
			if (at >= since) {
				break;
			}

			this.#byKey.delete(key);
		}

		evictOldest(this.#byKey, streamLimit);
		for (const [poolName, unshared] of this.#unsharedByPool) {
			for (const key of unshared) {
				if (this.#byKey.has(key)) {
					break;
				}

				unshared.delete(key);
			}

			if (unshared.size === 0) {
				this.#unsharedByPool.delete(poolName);
			}
		}
	}

	#add(key: string, softwareVersion: string, now: number): void {
		const known = this.#byKey.get(key);
		this.#byKey.delete(key);
		this.#byKey.set(key, {softwareVersion: known === undefined || known.softwareVersion === softwareVersion ? softwareVersion : undefined, at: now});
	}
}
