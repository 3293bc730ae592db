/**
 * Decides whether the ends of callers' connections are known up to now. Node.js reads the end of a connection only in the poll after
 * the one in which it has read the request before it, and accepts about one connection per poll. In a process that is
 * paused or short of processor time, a request can therefore be read long after its caller has disconnected.
 *
 * While the event loop keeps up, nothing waits. Otherwise, what would be sent to a target waits until the connections have been polled again.
 */

/**
 * Longest time for which the ends of connections may be unknown when a request is sent, in milliseconds. With iterations of less
 * than 50 ms it is at most 200: two intervals of the sampling timer of 25 ms, each late by an iteration, and the iteration that is sampled.
 */
const maxUnknownMs = 300;
/** Number of times that a send waits for two polls: a process whose iterations all last too long sends late rather than never. */
const maxWaits = 2;
/** Time without new knowledge after which each poll is sampled instead of one per interval, in milliseconds. */
const continuousSamplingMs = 150;

type WaitingSend = {readonly run: () => void; readonly waitsLeft: number};

export class DisconnectMonitor {
	readonly #readClock: () => number;
	/** Start times of the last two sampled polls. What had arrived before the older one has been read, and so has an end that was behind a request. */
	#olderPollAt = Number.NEGATIVE_INFINITY;
	#newerPollAt = Number.NEGATIVE_INFINITY;
	/** Start time of the last sampled poll that accepted no connection: there was none left to be accepted. */
	#allAcceptedAt = Number.NEGATIVE_INFINITY;
	#acceptedCount = 0;
	#isSampling = false;
	#waiting: WaitingSend[] = [];

	constructor(readClock: () => number) {
		this.#readClock = readClock;
	}

	/** Records that a server has accepted a connection. */
	recordAccepted(): void {
		this.#acceptedCount++;
	}

	/** Samples the next poll. To be called at intervals of at most 25 ms, outside of a poll. */
	samplePoll(now: number): void {
		if (this.#isSampling) {
			return;
		}

		this.#isSampling = true;
		const acceptedCount = this.#acceptedCount;
		setImmediate(() => {
			this.#isSampling = false;
			this.#olderPollAt = this.#newerPollAt;
			this.#newerPollAt = now;
			if (acceptedCount === this.#acceptedCount) {
				this.#allAcceptedAt = now;
			}

			const end = this.#readClock();
			if (this.#computeUnknownMs(end) > continuousSamplingMs) {
				this.samplePoll(end);
			}
		});
	}

	/** Time up to which the ends of the connections that the process reads are known. */
	get endsKnownUntil(): number {
		return Math.min(this.#olderPollAt, this.#allAcceptedAt);
	}

	/** True if a caller may have disconnected too long ago without it being known. */
	isBehind(now: number): boolean {
		return this.#computeUnknownMs(now) > maxUnknownMs;
	}

	/** Calls `run` after two more polls, of which the second reads the ends behind what the first has read. If they take too long, it waits for two others, but `maxWaits` times at most. */
	waitForPolls(run: () => void): void {
		this.#addWaiting({run, waitsLeft: maxWaits - 1});
	}

	#addWaiting(send: WaitingSend): void {
		this.#waiting.push(send);
		if (this.#waiting.length > 1) {
			return;
		}

		// The first one runs after the poll of the present iteration.
		setImmediate(() => {
			const sends = this.#waiting;
			const startedAt = this.#readClock();
			this.#waiting = [];
			setImmediate(() => {
				this.#runOrWait(sends, startedAt);
			});
		});
	}

	#runOrWait(sends: readonly WaitingSend[], startedAt: number): void {
		for (const {run, waitsLeft} of sends) {
			if (waitsLeft > 0 && this.#readClock() - startedAt > maxUnknownMs) {
				this.#addWaiting({run, waitsLeft: waitsLeft - 1});
			} else {
				run();
			}
		}
	}

	#computeUnknownMs(now: number): number {
		return now - this.endsKnownUntil;
	}
}
