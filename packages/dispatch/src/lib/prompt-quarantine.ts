/**
 * Finds prompt parts that crash the targets that respond to them ("query of death"), and
 * withholds requests with such a part.
 *
 * A crash ends all requests at its target, so that every part of a request to which no
 * response had begun is suspect. A part is cleared by a response that begins anywhere in
 * the fleet. It is quarantined after several crashes without such a response, unless so
 * many other requests are lost in crashes that chance may explain them. Parts that were
 * present at the same crashes are quarantined together: only requests with all of them are
 * withheld.
 *
 * All instances exchange crashes and clearances. Both merge to the same state in any order,
 * and a crash that several instances report counts once.
 */
import {hashText} from '@sequoiatally/core';
import {evictOldest} from './evict-oldest.js';
import type {SharedSuspect} from './peer-message.js';
import {SlidingWindow} from './sliding-window.js';
import {countHigherRanked, type FleetView} from './target-limits.js';

/**
 * Number of crashes without a response after which a part is quarantined, if hardly any
 * other request is lost in a crash; more for a part that responses have begun for before.
 */
const minCrashes = 2;
const minCrashesOfServedPart = 3;
/** Probability, at most, that a sound part is present at all of its crashes by chance. */
const maxChance = 0.001;
/** Crashes of a part that are closer together, in milliseconds, count as one: a rack or a pool may fail at once. */
const episodeGapMs = 300;
/** Window in which this instance estimates the fraction of requests that crashes cost, in milliseconds. */
const lossWindowMs = 10_000;
/** Number of responses that this estimate assumes in addition to the observed ones. */
const assumedResponseCount = 10;
/** Time from the last crash of a part until one request tries it again, in milliseconds; doubles with each further crash. */
const baseQuarantineMs = 30_000;
const maxQuarantineMs = 600_000;
/** Time after which the number of instances that may try a part doubles if no instance has received a request with it, in milliseconds. */
const trialSlotMs = 2000;
/** Time between two evaluations of the suspects while no crash is added, in milliseconds. */
const updateIntervalMs = 250;
/** Time before the detection of a crash in which a response clears a part, in milliseconds: detection takes time. */
const clearanceMarginMs = 500;
/** Time after its last crash for which a part is remembered, in milliseconds. */
const retentionMs = 600_000;
/** Time after a crash, or after the clearance of a part, for which it is passed on, in milliseconds. */
const passOnMs = 10_000;
/** Number of suspect parts that are kept, of crashes for each of them, and of parts in one message. */
const suspectLimit = 256;
const crashesPerSuspect = 12;
const suspectsPerMessage = 16;
/** Number of parts with the time of their last response that are kept. */
const begunPartLimit = 4096;
/** Number of parts of one request that can become suspect. */
const partsPerRequest = 32;

type Suspect = {
	/** Times of the crashes, by the process that crashed, in the order in which they became known. */
	readonly crashes: Map<string, number>;
	/** Time at which a response to a request with the part last began. */
	begunAt: number;
	/** Time of the last crash that became known, or of the clearance. */
	changedAt: number;
};

/** Parts that are withheld if a request has all of them. */
export type Quarantine = {
	readonly key: string;
	readonly partIds: readonly string[];
	readonly crashCount: number;
	/** Number of crashes that chance could not explain, at the fraction of lost requests at that time. */
	readonly requiredCount: number;
	/** Time from which a request may try the parts again. */
	readonly until: number;
	/** Time at which this instance last let a request try the parts. */
	triedAt: number;
};

/** A part with more crashes than chance explains. */
type Candidate = {
	readonly id: string;
	readonly count: number;
	readonly requiredCount: number;
	/** The processes that crashed; `crashKey` is equal for parts that were present at the same crashes. */
	readonly processes: readonly string[];
	readonly crashKey: string;
	readonly lastCrashAt: number;
};

export type QuarantineChange = {readonly quarantined: readonly Quarantine[]; readonly released: readonly Quarantine[]};

/** A process of a target: a restart under the same id is another process. */
export type TargetProcess = {readonly id: string; readonly bornAt: number};

export class PromptQuarantine {
	readonly #suspects = new Map<string, Suspect>();
	/** Times at which responses last began, by part, in the order of their last use. */
	readonly #begunAt = new Map<string, number>();
	readonly #responses = new SlidingWindow(lossWindowMs);
	#recentLosses: Array<{readonly at: number; readonly partIds: readonly string[]}> = [];
	#quarantines: Quarantine[] = [];
	#nextUpdateAt = 0;

	/** Number of quarantined sets of parts. */
	get size(): number {
		return this.#quarantines.length;
	}

	/** Records that the response to a request with these parts has begun. */
	recordBegun(partIds: readonly string[], now: number): void {
		this.#responses.record(now);
		for (const id of partIds) {
			this.#begunAt.delete(id);
			this.#begunAt.set(id, now);
			const suspect = this.#suspects.get(id);
			if (suspect !== undefined) {
				clearSuspect(suspect, now, now);
			}
		}

		evictOldest(this.#begunAt, begunPartLimit);
	}

	/** Records that a target crashed at time `at` while it had not begun to respond to a request with these parts. */
	recordCrash(partIds: readonly string[], target: TargetProcess, at: number, now: number): void {
		this.#recentLosses.push({at, partIds});
		for (const id of partIds.slice(0, partsPerRequest)) {
			this.#addCrash(id, describeProcess(target), at, now);
		}
	}

	/** Applies the suspects of a peer's message, whose ages are subtracted from `messageCreatedAt`; returns true if they contain unknown and recent crashes of parts that are not cleared. */
	applyShared(suspects: readonly SharedSuspect[], messageCreatedAt: number, now: number): boolean {
		let hasUnknownCrash = false;
		for (const {partId, crashes, begunAgeMs} of suspects.slice(0, suspectsPerMessage)) {
			for (const {targetId, bornAt, ageMs} of crashes.slice(0, crashesPerSuspect)) {
				const at = messageCreatedAt - ageMs;
				if (this.#addCrash(partId, describeProcess({id: targetId, bornAt}), at, now)) {
					hasUnknownCrash ||= now - at <= passOnMs && !isCleared(this.#suspects.get(partId)!);
				}
			}

			const suspect = this.#suspects.get(partId);
			if (suspect !== undefined && begunAgeMs !== undefined) {
				clearSuspect(suspect, messageCreatedAt - begunAgeMs, now);
			}
		}

		return hasUnknownCrash;
	}

	/** Describes the suspects for peers: first those with most crashes. */
	describe(now: number): SharedSuspect[] {
		const quarantinedIds = new Set(this.#quarantines.flatMap(({partIds}) => partIds));
		return [...this.#suspects]
			.filter(([id, suspect]) => quarantinedIds.has(id) || now - suspect.changedAt <= passOnMs || listOpenCrashes(suspect).length > 1)
			.sort(([, a], [, b]) => b.crashes.size - a.crashes.size || b.changedAt - a.changedAt)
			.slice(0, suspectsPerMessage)
			.map(([partId, {crashes, begunAt}]) => ({
				partId,
				crashes: [...crashes].map(([process, at]) => ({...parseProcess(process), ageMs: Math.round(now - at)})),
				begunAgeMs: Number.isFinite(begunAt) ? Math.round(now - begunAt) : undefined,
			}));
	}

	/** Forgets old suspects, quarantines parts and releases cleared ones; returns what has changed. */
	update(now: number): QuarantineChange {
		if (this.#suspects.size === 0 || now < this.#nextUpdateAt) {
			return {quarantined: [], released: []};
		}

		this.#nextUpdateAt = now + updateIntervalMs;
		this.#expire(now);
		const before = this.#quarantines;
		this.#removeCleared();
		this.#quarantineParts(now);
		const known = new Set(before.map(({key}) => key));
		const current = new Set(this.#quarantines.flatMap(({partIds}) => partIds));
		return {
			quarantined: this.#quarantines.filter(({key}) => !known.has(key)),
			released: before.filter(({partIds}) => !partIds.some(id => current.has(id))),
		};
	}

	/** Finds the quarantine that withholds a request with these parts; `undefined` if the request may be sent. */
	findQuarantine(partIds: readonly string[]): Quarantine | undefined {
		return this.#quarantines.length === 0
			? undefined
			: this.#quarantines.find(quarantine => quarantine.partIds.every(id => partIds.includes(id)));
	}

	/**
	 * True if this instance may let one request try quarantined parts again, which it then
	 * has to send. One instance may when the quarantine ends, and twice as many after each
	 * further slot, so that few try at the same time.
	 */
	claimTrial(quarantine: Quarantine, fleet: FleetView, now: number): boolean {
		const overdueMs = now - quarantine.until;
		if (overdueMs < 0 || quarantine.triedAt >= quarantine.until) {
			return false;
		}

		if (countHigherRanked(hashText(quarantine.key), fleet) >= 2 ** Math.floor(overdueMs / trialSlotMs)) {
			return false;
		}

		quarantine.triedAt = now;
		return true;
	}

	/** True if a request with these parts is likely to end another target: one of the parts was present at two crashes and is not cleared. */
	hasRepeatedCrash(partIds: readonly string[]): boolean {
		return this.#suspects.size > 0 && partIds.some(id => {
			const suspect = this.#suspects.get(id);
			return suspect !== undefined && listOpenCrashes(suspect).length > 1;
		});
	}

	/** Adds a crash of a part; returns false if it is known or too old. */
	#addCrash(partId: string, process: string, at: number, now: number): boolean {
		if (now - at >= retentionMs) {
			return false;
		}

		let suspect = this.#suspects.get(partId);
		if (suspect === undefined) {
			suspect = {crashes: new Map(), begunAt: this.#begunAt.get(partId) ?? Number.NEGATIVE_INFINITY, changedAt: now};
			this.#suspects.set(partId, suspect);
			this.#evictSuspect(partId);
		}

		if (suspect.crashes.has(process)) {
			return false;
		}

		if (suspect.crashes.size >= crashesPerSuspect) {
			const [oldestProcess, oldestAt] = [...suspect.crashes].sort(([, a], [, b]) => a - b)[0]!;
			if (at <= oldestAt) {
				return false;
			}

			suspect.crashes.delete(oldestProcess);
		}

		suspect.crashes.set(process, at);
		suspect.changedAt = now;
		this.#nextUpdateAt = 0;
		return true;
	}

	/** Evicts the suspect with the fewest crashes, the oldest first, if there are too many; never the new one. */
	#evictSuspect(newPartId: string): void {
		if (this.#suspects.size <= suspectLimit) {
			return;
		}

		let evicted: [string, Suspect] | undefined;
		for (const entry of this.#suspects) {
			const [id, {crashes, changedAt}] = entry;
			const isFirst = evicted === undefined || crashes.size < evicted[1].crashes.size
				|| (crashes.size === evicted[1].crashes.size && changedAt < evicted[1].changedAt);
			if (id !== newPartId && isFirst) {
				evicted = entry;
			}
		}

		this.#suspects.delete(evicted![0]);
	}

	#isSuspect(id: string): boolean {
		const suspect = this.#suspects.get(id);
		return suspect !== undefined && !isCleared(suspect);
	}

	/** True if a response to a request with the part is known to have begun at any time. */
	#hasBegun(id: string): boolean {
		return this.#begunAt.has(id) || Number.isFinite(this.#suspects.get(id)!.begunAt);
	}

	#expire(now: number): void {
		this.#recentLosses = this.#recentLosses.filter(({at}) => now - at <= lossWindowMs);
		for (const [id, suspect] of this.#suspects) {
			if (now - suspect.changedAt > (isCleared(suspect) ? passOnMs : retentionMs)) {
				this.#suspects.delete(id);
			}
		}
	}

	/** Removes cleared parts from the quarantines: if one of several parts is cleared, the others are the cause. */
	#removeCleared(): void {
		this.#quarantines = this.#quarantines
			.map(quarantine => {
				const partIds = quarantine.partIds.filter(id => this.#isSuspect(id));
				return partIds.length === quarantine.partIds.length ? quarantine : {...quarantine, partIds, key: createKey(partIds)};
			})
			.filter(({partIds}) => partIds.length > 0);
	}

	/** Quarantines the parts that have most crashes first; crashes that these explain do not count for other parts. */
	#quarantineParts(now: number): void {
		const explained = new Set<string>();
		for (;;) {
			const candidates = this.#listCandidates(explained, now);
			const highestCount = Math.max(0, ...candidates.map(({count}) => count));
			const first = candidates.find(({count}) => count === highestCount);
			if (first === undefined) {
				return;
			}

			const together = candidates.filter(({crashKey}) => crashKey === first.crashKey);
			// A part that responses had begun for before the crashes is the less likely cause.
			const neverBegun = together.filter(({id}) => !this.#hasBegun(id));
			this.#setQuarantine((neverBegun.length > 0 ? neverBegun : together).map(({id}) => id).sort(), first);
			for (const process of first.processes) {
				explained.add(process);
			}
		}
	}

	/** Quarantines the parts together, or extends their quarantine; a smaller set replaces the sets that contain it. */
	#setQuarantine(partIds: readonly string[], {count, requiredCount, lastCrashAt}: Candidate): void {
		const key = createKey(partIds);
		const known = this.#quarantines.find(quarantine => quarantine.key === key);
		const others = this.#quarantines.filter(other => !partIds.every(id => other.partIds.includes(id)));
		this.#quarantines = [...others, {
			key,
			partIds,
			crashCount: count,
			requiredCount: known?.requiredCount ?? requiredCount,
			until: lastCrashAt + Math.min(maxQuarantineMs, baseQuarantineMs * (2 ** (count - minCrashes))),
			triedAt: known?.triedAt ?? Number.NEGATIVE_INFINITY,
		}];
	}

	/** Lists parts with more crashes than chance explains, apart from those in `explained`. */
	#listCandidates(explained: ReadonlySet<string>, now: number): Candidate[] {
		const candidates: Candidate[] = [];
		for (const [id, suspect] of this.#suspects) {
			const crashes = listOpenCrashes(suspect).filter(([process]) => !explained.has(process));
			const times = crashes.map(([, at]) => at);
			const count = countEpisodes(times);
			const minCount = this.#hasBegun(id) ? minCrashesOfServedPart : minCrashes;
			const requiredCount = count < minCount ? minCount : Math.max(minCount, this.#computeUnlikelyCount(id, now));
			if (count >= requiredCount) {
				const processes = crashes.map(([process]) => process).sort();
				candidates.push({
					id, count, requiredCount, processes, crashKey: createKey(processes), lastCrashAt: Math.max(...times),
				});
			}
		}

		return candidates;
	}

	/** Computes the number of crashes in a row that chance does not explain, from the fraction of requests without the part that crashes cost this instance. */
	#computeUnlikelyCount(partId: string, now: number): number {
		const losses = this.#recentLosses.filter(({partIds}) => !partIds.includes(partId)).length;
		const responses = this.#responses.count(now);
		if (losses > 0 && responses === 0) {
			// All targets that this instance uses fail.
			return Number.POSITIVE_INFINITY;
		}

		const lossFraction = losses / (losses + responses + assumedResponseCount);
		return lossFraction === 0 ? 0 : Math.ceil(Math.log(maxChance) / Math.log(lossFraction));
	}
}

function clearSuspect(suspect: Suspect, begunAt: number, now: number): void {
	const wasCleared = isCleared(suspect);
	suspect.begunAt = Math.max(suspect.begunAt, begunAt);
	if (!wasCleared && isCleared(suspect)) {
		suspect.changedAt = now;
	}
}

/** True if a response has begun since the last crash. */
function isCleared(suspect: Suspect): boolean {
	return listOpenCrashes(suspect).length === 0;
}

/** Lists the crashes since the last response. */
function listOpenCrashes({crashes, begunAt}: Suspect): Array<[string, number]> {
	return [...crashes].filter(([, at]) => at > begunAt + clearanceMarginMs);
}

/** Counts crashes, those that are close together as one. */
function countEpisodes(times: readonly number[]): number {
	let count = 0;
	let episodeStartedAt = Number.NEGATIVE_INFINITY;
	for (const at of [...times].sort((a, b) => a - b)) {
		if (at - episodeStartedAt >= episodeGapMs) {
			count++;
			episodeStartedAt = at;
		}
	}

	return count;
}

function createKey(names: readonly string[]): string {
	return names.join(',');
}

function describeProcess({id, bornAt}: TargetProcess): string {
	return `${id}@${bornAt}`;
}

function parseProcess(text: string): {targetId: string; bornAt: number} {
	const separator = text.lastIndexOf('@');
	return {targetId: text.slice(0, separator), bornAt: Number(text.slice(separator + 1))};
}
