/**
 * Finds out whether this instance has lost its network path to the targets of a pool
 * while the targets themselves serve others. Only attempts to open a connection count:
 * connections that are open may go on while new ones are refused, and an open connection
 * without a response says more about the target than about the path.
 *
 * A path is suspect as soon as two targets in a row could not be reached, and is checked at
 * further targets. It is lost once these fail too and a peer has been served by the pool
 * since: a pool that is down serves nobody. It is regained when checks of two targets succeed.
 */

/** Number of different targets that could not be reached after which a path is suspect, and after which it may be lost; all, in a smaller pool. */
const suspectCount = 2;
const lostCount = 3;
/** Number of different targets that have to be reached before a path is regained; all, in a smaller pool. */
const regainedCount = 2;
/** Time after which an attempt to reach a target no longer counts, in milliseconds. */
const evidenceMs = 3000;
/** Time between two checks of a path that is suspect, and of one that is lost, in milliseconds. */
const suspectCheckIntervalMs = 100;
const lostCheckIntervalMs = 400;
/** Time from which a path is suspect until it should be known whether it is lost, in milliseconds: that of a check and of some answers of peers. */
const decisionMs = 700;
/** Time after a path was regained in which one target that cannot be reached makes it suspect again, in milliseconds. */
const relapseMs = 5000;

export const pathState = {open: 'open', suspect: 'suspect', lost: 'lost'} as const;
export type PathState = typeof pathState[keyof typeof pathState];

/** The path of this instance to the targets of one pool. */
export class TargetPath {
	/** Time at which a target of the pool last responded to this instance. */
	servedAt = Number.NEGATIVE_INFINITY;
	/** Time at which a connection to a target of the pool last opened. */
	reachedAt = Number.NEGATIVE_INFINITY;
	/** Targets that could not be reached since then, with the start of the last attempt. */
	readonly #unreachedAt = new Map<string, number>();
	/** Targets that were reached since the path was lost. */
	readonly #reachedIds = new Set<string>();
	/** Time of the first attempt that failed before the path was lost; set while it is lost. */
	#lostSince?: number;
	#regainedAt = Number.NEGATIVE_INFINITY;
	/** Time since which the path is suspect. */
	#suspectSince?: number;
	#nextCheckAt = 0;

	/** Records that a connection to a target opened. */
	recordReached(targetId: string, now: number): void {
		this.reachedAt = now;
		this.#unreachedAt.delete(targetId);
		if (this.#lostSince === undefined) {
			this.#unreachedAt.clear();
			this.#suspectSince = undefined;
		} else {
			this.#reachedIds.add(targetId);
		}
	}

	/** Records that no connection to a target could be opened; `startedAt` is the start of the attempt. */
	recordUnreached(targetId: string, startedAt: number): void {
		this.#reachedIds.clear();
		if (startedAt > this.reachedAt) {
			this.#unreachedAt.delete(targetId);
			this.#unreachedAt.set(targetId, startedAt);
		}
	}

	/** Finds the state of the path to a pool with `targetCount` targets. */
	findState(targetCount: number, now: number): PathState {
		if (this.#lostSince !== undefined) {
			return pathState.lost;
		}

		this.#expire(now);
		const count = now - this.#regainedAt <= relapseMs ? 1 : suspectCount;
		const isSuspect = this.#unreachedAt.size >= Math.max(1, Math.min(count, targetCount));
		this.#suspectSince = isSuspect ? this.#suspectSince ?? now : undefined;
		return isSuspect ? pathState.suspect : pathState.open;
	}

	/** Time at which a target of the pool last responded or accepted a connection. */
	get contactAt(): number {
		return Math.max(this.servedAt, this.reachedAt);
	}

	/** Time since which no target could be reached; `undefined` unless the path is lost. */
	get lostSince(): number | undefined {
		return this.#lostSince;
	}

	/** Time until which it should be known whether a suspect path is lost; `undefined` if it is not suspect. After that, the pool itself is probably down. */
	get decisionAt(): number | undefined {
		return this.#suspectSince === undefined ? undefined : this.#suspectSince + decisionMs;
	}

	/** True if the path is lost, or will be if a peer reaches the pool. */
	isProbablyLost(targetCount: number, now: number): boolean {
		return this.findState(targetCount, now) === pathState.lost || this.#isConclusive(targetCount);
	}

	/**
	 * Brings the state up to date; `peerServedAt` is the latest time at which a target of the
	 * pool is known to have responded to a peer. Returns the new state if it is lost or regained.
	 */
	update(targetCount: number, peerServedAt: number, now: number): typeof pathState.lost | typeof pathState.open | undefined {
		if (this.#lostSince !== undefined) {
			if (this.#reachedIds.size < Math.min(regainedCount, Math.max(1, targetCount))) {
				return undefined;
			}

			this.#lostSince = undefined;
			this.#regainedAt = now;
			this.#unreachedAt.clear();
			return pathState.open;
		}

		if (this.findState(targetCount, now) !== pathState.suspect) {
			return undefined;
		}

		const [firstUnreachedAt = Number.POSITIVE_INFINITY] = this.#unreachedAt.values();
		if (!this.#isConclusive(targetCount) || peerServedAt <= firstUnreachedAt) {
			return undefined;
		}

		this.#lostSince = firstUnreachedAt;
		this.#reachedIds.clear();
		return pathState.lost;
	}

	/** Chooses the targets that are checked now, of the pool's `targetIds`: those that could not be reached longest ago, or never yet. */
	takeChecks(targetIds: readonly string[], now: number): string[] {
		const isLost = this.#lostSince !== undefined;
		if (now < this.#nextCheckAt || targetIds.length === 0) {
			return [];
		}

		this.#nextCheckAt = now + (isLost ? lostCheckIntervalMs : suspectCheckIntervalMs);
		const candidates = isLost ? targetIds : targetIds.filter(id => !this.#unreachedAt.has(id));
		return [...candidates]
			.filter(id => !this.#reachedIds.has(id))
			.sort((a, b) => (this.#unreachedAt.get(a) ?? 0) - (this.#unreachedAt.get(b) ?? 0))
			.slice(0, isLost ? 1 : suspectCount);
	}

	/** True if enough targets could not be reached, with none reached since. */
	#isConclusive(targetCount: number): boolean {
		return this.#unreachedAt.size >= Math.max(1, Math.min(lostCount, targetCount));
	}

	#expire(now: number): void {
		for (const [targetId, at] of this.#unreachedAt) {
			if (now - at > evidenceMs) {
				this.#unreachedAt.delete(targetId);
			}
		}
	}
}
