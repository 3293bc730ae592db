/**
 * Finds out whether the targets of a pool do not answer this instance although connections to
 * them open, as behind a proxy that is frozen. A pool is silent if no target has answered for a
 * time and sends to several targets are overdue, or were lost without an answer. Probes then
 * tell a silent path from slow answers: a target answers a probe at once. The silence is
 * conclusive once probes of several targets were not answered. That the pool serves a peer
 * meanwhile counts only after a further time: targets that wake up answer all instances.
 */

/** Number of different targets with overdue or lost sends from which a pool is silent; all, in a smaller pool. */
const overdueCount = 2;
const lostSendCount = 2;
/** Number of different targets that have to leave probes unanswered; all, in a smaller pool. */
const conclusiveCount = 3;
/** Fraction of a request's latency target after which it is overdue, and bounds of that time, in milliseconds. */
const overdueFraction = 0.5;
const minOverdueMs = 300;
const maxOverdueMs = 1000;
/** Largest time after which a request is overdue where probes have found slow answers before, in milliseconds; it doubles with each time. */
const maxSlowOverdueMs = 2000;
/** Time for which slow answers are remembered, in milliseconds. */
const slowRetentionMs = 10_000;
/** Time for which an unanswered probe, or a lost send, counts, in milliseconds. */
const evidenceMs = 3000;
/** Time from which a pool is silent until it should be known whether the path is lost, in milliseconds: that of two probes and of some answers of peers. */
const decisionMs = 1200;
/** Time from an answer to a peer after which an answer to this instance should have arrived as well, in milliseconds. */
const confirmationMs = 250;
/** Time between two rounds of probes until the silence is conclusive, until the decision, and after it, in milliseconds. */
const probeIntervalMs = 100;
const conclusiveProbeIntervalMs = 400;
const lateProbeIntervalMs = 1000;

/** A send that waits for its answer. */
export type PendingSend = {readonly targetId: string; readonly sentAt: number; readonly latencyTargetMs: number};

export class PathSilence {
	/** Time at which a target of the pool last answered in any way. */
	answeredAt = Number.NEGATIVE_INFINITY;
	/** Targets that left probes unanswered since then, with the start of the last one. */
	readonly #unansweredAt = new Map<string, number>();
	/** Targets whose sends were lost, or whose streams fell silent, without an answer since then, with the time from which an answer would have shown the path. */
	readonly #lostSendAt = new Map<string, number>();
	/** Targets whose probes are under way, with their start. */
	readonly #probedAt = new Map<string, number>();
	#since?: number;
	/** Time at which sends were last overdue. */
	#overdueAt = Number.NEGATIVE_INFINITY;
	#firstUnansweredAt?: number;
	/** First known time at which the pool served a peer after the first unanswered probe. */
	#peerServedAt?: number;
	#slowCount = 0;
	#slowAt = Number.NEGATIVE_INFINITY;
	#nextProbeAt = 0;

	/** Time since which the pool is silent; `undefined` if it is not. */
	get since(): number | undefined {
		return this.#since;
	}

	/** Start of the first probe that was not answered. */
	get firstUnansweredAt(): number | undefined {
		return this.#firstUnansweredAt;
	}

	/** Time until which it should be known whether the path is lost; `undefined` if the pool is not silent. */
	get decisionAt(): number | undefined {
		return this.#since === undefined ? undefined : this.#since + decisionMs;
	}

	recordAnswered(now: number): void {
		this.answeredAt = now;
		if (this.#since !== undefined) {
			this.#slowCount = this.#isSlow(now) ? this.#slowCount + 1 : 1;
			this.#slowAt = now;
		}

		this.reset();
	}

	/** Records a probe that was not answered. */
	recordUnanswered(targetId: string, startedAt: number): void {
		this.#probedAt.delete(targetId);
		if (startedAt > this.answeredAt) {
			this.#unansweredAt.delete(targetId);
			this.#unansweredAt.set(targetId, startedAt);
			this.#firstUnansweredAt = Math.min(this.#firstUnansweredAt ?? startedAt, startedAt);
		}
	}

	/** Records a probe that shows nothing. */
	recordVoid(targetId: string): void {
		this.#probedAt.delete(targetId);
	}

	/** Records a send that was lost, or a stream that fell silent, without an answer from `since` on. */
	recordLostSend(targetId: string, since: number): void {
		if (since > this.answeredAt) {
			this.#lostSendAt.set(targetId, since);
		}
	}

	/** Finds the time from which a lost or silent send to a target counts; `undefined` if none does. */
	findLostSend(targetId: string): number | undefined {
		return this.#lostSendAt.get(targetId);
	}

	/** Forgets all evidence. */
	reset(): void {
		this.#since = undefined;
		this.#firstUnansweredAt = undefined;
		this.#peerServedAt = undefined;
		this.#overdueAt = Number.NEGATIVE_INFINITY;
		this.#unansweredAt.clear();
		this.#lostSendAt.clear();
		this.#probedAt.clear();
	}

	/** Brings the state up to date with the sends that wait for their answers; with `isSensitive`, one that is overdue suffices. */
	update(pending: Iterable<PendingSend>, targetCount: number, isSensitive: boolean, now: number): void {
		this.#expire(now);
		const overdueIds = new Set<string>();
		for (const {targetId, sentAt, latencyTargetMs} of pending) {
			if (now - Math.max(sentAt, this.answeredAt) >= this.#computeOverdueMs(latencyTargetMs, now)) {
				overdueIds.add(targetId);
			}
		}

		const isOverdue = overdueIds.size >= Math.max(1, Math.min(isSensitive ? 1 : overdueCount, targetCount));
		this.#overdueAt = isOverdue ? now : this.#overdueAt;
		const isLost = this.#lostSendAt.size >= Math.max(1, Math.min(lostSendCount, targetCount));
		if (isOverdue || isLost || this.isConclusive(targetCount)) {
			this.#since ??= now;
		} else if (now - this.#overdueAt > evidenceMs && this.#unansweredAt.size === 0) {
			this.#since = undefined;
		}
	}

	/** True if enough targets left probes unanswered, with no answer since. */
	isConclusive(targetCount: number): boolean {
		return this.#unansweredAt.size >= Math.max(1, Math.min(conclusiveCount, targetCount));
	}

	/** True if the path is lost; `peerServedAt` is the latest time at which a target of the pool is known to have answered a peer. */
	isLost(targetCount: number, peerServedAt: number, now: number): boolean {
		if (this.#firstUnansweredAt !== undefined && peerServedAt > this.#firstUnansweredAt) {
			this.#peerServedAt ??= peerServedAt;
		}

		return this.#since !== undefined && this.isConclusive(targetCount) && this.#peerServedAt !== undefined && now - this.#peerServedAt >= confirmationMs;
	}

	/** Chooses the targets that are probed now, of the pool's `targetIds`: those that were not probed yet, then those whose probes were unanswered longest ago. */
	takeProbes(targetIds: readonly string[], now: number): string[] {
		if (now < this.#nextProbeAt) {
			return [];
		}

		const isConclusive = this.isConclusive(targetIds.length);
		const isLate = this.#since !== undefined && now >= this.#since + decisionMs;
		if (isLate && now - this.#overdueAt > evidenceMs) {
			// Nothing waits for an answer.
			return [];
		}

		this.#nextProbeAt = now + (isConclusive ? (isLate ? lateProbeIntervalMs : conclusiveProbeIntervalMs) : probeIntervalMs);
		const free = targetIds.filter(id => !this.#probedAt.has(id) && (isConclusive || !this.#unansweredAt.has(id)));
		const missingCount = conclusiveCount + 1 - this.#probedAt.size - this.#unansweredAt.size;
		const chosen = free
			.sort((a, b) => (this.#unansweredAt.get(a) ?? this.#lostSendAt.get(a) ?? 0) - (this.#unansweredAt.get(b) ?? this.#lostSendAt.get(b) ?? 0))
			.slice(0, isConclusive ? 1 : Math.max(0, Math.min(overdueCount, missingCount)));
		for (const id of chosen) {
			this.#probedAt.set(id, now);
		}

		return chosen;
	}

	#isSlow(now: number): boolean {
		return now - this.#slowAt <= slowRetentionMs;
	}

	#computeOverdueMs(latencyTargetMs: number, now: number): number {
		const usualMs = Math.min(maxOverdueMs, Math.max(minOverdueMs, latencyTargetMs * overdueFraction));
		return this.#isSlow(now) ? Math.min(maxSlowOverdueMs, usualMs * (2 ** this.#slowCount)) : usualMs;
	}

	#expire(now: number): void {
		for (const evidence of [this.#unansweredAt, this.#lostSendAt, this.#probedAt]) {
			for (const [targetId, at] of evidence) {
				if (now - at > evidenceMs) {
					evidence.delete(targetId);
				}
			}
		}

		if (this.#unansweredAt.size === 0) {
			this.#firstUnansweredAt = undefined;
			this.#peerServedAt = undefined;
		}
	}
}
