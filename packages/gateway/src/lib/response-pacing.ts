/**
 * Decides which responses of targets are read at the same time. The bytes of responses that are given up for others stay in
 * memory until garbage collection, so that reading many large responses at once, of which most are given up, takes far more
 * memory than the limit of the responses.
 *
 * While the rests of all large responses fit into the free memory, all are read. Otherwise, the oldest ones are read whose rests
 * fit, and at least a few of them, which complete and release their bytes; the others are paused. A response that its target
 * sends slowly goes on and does not hold up the others. Responses that were given up count as used for the time that garbage
 * collection usually takes, during which all may be paused. Small responses are never paused.
 */

/** Largest size of a response that is never paused, in bytes: one read of a connection. */
export const maxUnpacedBytes = 64 * 1024;
/** Interval at which the choice is updated while responses are paused, in milliseconds. */
export const pacingIntervalMs = 10;
/** Number of responses that may go on even if their rests do not fit. */
const minReadResponses = 4;
/** Bytes that arrive within `slowAfterMs` unless the target is slow. */
const progressBytes = 64 * 1024;
/** Time without progress after which a response that may be read counts as one of a slow target, in milliseconds; some turns of a busy process. */
const slowAfterMs = 50;
/** Share of the responses' memory up to which rests are read at the same time; what is left serves small responses and slow targets. */
const readShare = 0.75;
/** Time in which as many bytes as the responses' memory has, once given up, are expected to be collected, in milliseconds. */
const collectionMs = 250;
/** Smallest rest that is expected of a response without a declared length, in bytes. */
const minExpectedRestBytes = 256 * 1024;

/** Memory of all responses. */
export type ResponseMemoryUse = {
	/** Bytes that responses hold. */
	readonly heldBytes: number;
	/** Bytes of all responses so far that were given up for others. */
	readonly evictedBytes: number;
};

/** A large response that is being read. */
export class PacedResponse {
	isPaused = false;
	readonly #declaredBytes: number | undefined;
	readonly #applyPause: (isPaused: boolean) => void;
	#receivedBytes = 0;
	/** Time of the last progress, or at which reading went on, and the bytes that had arrived then. */
	#progressAt: number;
	#progressedBytes = 0;

	/** `declaredBytes` is `undefined` if the target declares no length; `applyPause` pauses or resumes reading. */
	constructor(declaredBytes: number | undefined, now: number, applyPause: (isPaused: boolean) => void) {
		this.#declaredBytes = declaredBytes;
		this.#progressAt = now;
		this.#applyPause = applyPause;
	}

	/** Number of bytes that are expected to arrive. */
	get restBytes(): number {
		return this.#declaredBytes === undefined ? Math.max(this.#receivedBytes, minExpectedRestBytes) : Math.max(0, this.#declaredBytes - this.#receivedBytes);
	}

	/** Records that `receivedBytes` have arrived so far. */
	recordBytes(receivedBytes: number, now: number): void {
		this.#receivedBytes = receivedBytes;
		if (receivedBytes - this.#progressedBytes >= progressBytes) {
			this.#progressedBytes = receivedBytes;
			this.#progressAt = now;
		}
	}

	/** Returns true if the response is being read and its target sends slowly. */
	isSlow(now: number): boolean {
		return !this.isPaused && now - this.#progressAt >= slowAfterMs;
	}

	setPaused(isPaused: boolean, now: number): void {
		this.isPaused = isPaused;
		this.#progressAt = now;
		this.#progressedBytes = this.#receivedBytes;
		this.#applyPause(isPaused);
	}
}

export class ResponsePacing {
	readonly #limitBytes: number;
	/** Large responses, oldest first. */
	readonly #responses = new Set<PacedResponse>();
	#pausedCount = 0;
	/** Bytes that were given up and are expected not to be collected yet, at `#updatedAt`. */
	#uncollectedBytes = 0;
	#updatedAt = 0;
	#evictedBytes = 0;

	/** `limitBytes` is the memory of all responses. */
	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	/** Number of responses that are paused. */
	get pausedCount(): number {
		return this.#pausedCount;
	}

	/** Adds a response, and pauses it if it has to wait. */
	add(response: PacedResponse, now: number, memoryUse: ResponseMemoryUse): void {
		this.#responses.add(response);
		if (this.#pausedCount > 0) {
			this.#setPaused(response, true, now);
		} else {
			this.update(now, memoryUse);
		}
	}

	remove(response: PacedResponse): void {
		if (this.#responses.delete(response) && response.isPaused) {
			this.#pausedCount--;
		}
	}

	/** Pauses and resumes responses; has to be called at intervals while some are paused. */
	update(now: number, {heldBytes, evictedBytes}: ResponseMemoryUse): void {
		this.#updateUncollected(now, evictedBytes);
		const readableBytes = this.#limitBytes * readShare;
		// Each response that is paused holds one read of its connection.
		let freeBytes = readableBytes - heldBytes - this.#uncollectedBytes - (this.#pausedCount * maxUnpacedBytes);
		let goingOn = this.#uncollectedBytes < readableBytes ? minReadResponses : 0;
		for (const response of this.#responses) {
			if (response.isSlow(now)) {
				continue;
			}

			const {restBytes} = response;
			const isRead = restBytes <= freeBytes || goingOn > 0;
			if (isRead) {
				freeBytes -= restBytes;
				goingOn--;
			}

			this.#setPaused(response, !isRead, now);
		}
	}

	#updateUncollected(now: number, evictedBytes: number): void {
		const collectedBytes = (now - this.#updatedAt) * this.#limitBytes / collectionMs;
		this.#uncollectedBytes = Math.max(0, this.#uncollectedBytes - collectedBytes) + evictedBytes - this.#evictedBytes;
		this.#updatedAt = now;
		this.#evictedBytes = evictedBytes;
	}

	#setPaused(response: PacedResponse, isPaused: boolean, now: number): void {
		if (response.isPaused !== isPaused) {
			this.#pausedCount += isPaused ? 1 : -1;
			response.setPaused(isPaused, now);
		}
	}
}
