/**
 * Finds what crashes the targets that run it ("query of death"), and withholds it: a part of
 * a prompt, which different requests may share, or one request that is sent repeatedly.
 *
 * A crash ends all requests at its target, so that every part of a request to which no
 * response had begun is suspect, and the request itself. A suspect is cleared by a response
 * that begins anywhere in the fleet. It is quarantined after several crashes without such a
 * response, unless so many other requests are lost in other crashes that chance may explain
 * them. Suspects that were present at the same crashes are quarantined together: only
 * requests with all of them are withheld.
 *
 * All instances exchange crashes and clearances. Both merge to the same state in any order,
 * and a crash that several instances report counts once.
 */
import {hashText} from '@sequoiatally/core';
import {evictOldest} from '../evict-oldest.js';
import type {SharedSuspect} from '../members/peer-message.js';
import {SlidingWindow} from '../sliding-window.js';
import {countHigherRanked, type FleetView} from '../targets/target-limits.js';
import type {ProcessId} from '../targets/target-statements.js';

/**
 * Number of crashes without a response after which a suspect is quarantined, if hardly any
 * other request is lost in a crash; more for one that responses have begun for before.
 */
const minCrashes = 2;
const minCrashesOfServedSuspect = 3;
/** The same for one of several requests that were present at the same crashes, of which only one can be the cause. */
const minCrashesOfUnclearRequest = 3;
/** Number of crashes after which a request is no longer tried again. */
const maxCrashesOfTriedRequest = 3;
/** Probability, at most, that a sound part is present at all of its crashes by chance. */
const maxChance = 0.001;
/** Crashes of a suspect that are closer together, in milliseconds, count as one: a rack or a pool may fail at once. */
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
/** Number of suspects that are kept, of crashes for each of them, and of parts and requests in one message. */
const suspectLimit = 512;
const crashesPerSuspect = 12;
const partsPerMessage = 16;
const requestsPerMessage = 32;
/** Number of parts, and of requests, with the time of their last response that are kept. */
const begunPartLimit = 4096;
const begunRequestLimit = 8192;
/** Number of parts of one request that can become suspect. */
const partsPerRequest = 32;

/** Prefix of the suspects that are requests; identifiers of prompt parts contain no colon. */
const requestPrefix = 'request:';

/** Creates the identifier under which a request is a suspect. */
export function createRequestSuspectId(fingerprint: string): string {
	return requestPrefix + fingerprint;
}

/** Finds the fingerprint of a suspect that is a request; `undefined` for a prompt part. */
export function parseRequestSuspectId(id: string): string | undefined {
	return id.startsWith(requestPrefix) ? id.slice(requestPrefix.length) : undefined;
}

function isRequest(id: string): boolean {
	return id.startsWith(requestPrefix);
}

/** Time of a crash, and of the send that was lost in it, if it is known. */
type CrashTime = {readonly at: number; readonly sentAt?: number};

/** A request that was lost in a crash. */
export type LostRequest = CrashTime & {readonly partIds: readonly string[]};

type Suspect = {
	/** The crashes, by the process that crashed, in the order in which they became known. */
	readonly crashes: Map<string, CrashTime>;
	/** Time at which a response to a request with the part last began. */
	begunAt: number;
	/** Time of the last crash that became known, or of the clearance. */
	changedAt: number;
	/** Time at which a request was last withheld because of it. */
	withheldAt: number;
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
	/** False for a request that crashed too many targets to be tried again. */
	readonly mayTry: boolean;
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

export class CrashQuarantine {
	readonly #suspects = new Map<string, Suspect>();
	/** Times at which responses last began, by part, in the order of their last use. */
	readonly #begunAt = new Map<string, number>();
	/** The same for requests, of which there are many more. */
	readonly #requestBegunAt = new Map<string, number>();
	readonly #responses = new SlidingWindow(lossWindowMs);
	#recentLosses: Array<{readonly at: number; readonly process: string}> = [];
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
			const begunAt = isRequest(id) ? this.#requestBegunAt : this.#begunAt;
			begunAt.delete(id);
			begunAt.set(id, now);
			const suspect = this.#suspects.get(id);
			if (suspect !== undefined) {
				clearSuspect(suspect, now, now);
			}
		}

		evictOldest(this.#begunAt, begunPartLimit);
		evictOldest(this.#requestBegunAt, begunRequestLimit);
	}

	/** Records that a target crashed while it had not begun to respond to the request. */
	recordCrash({partIds, at, sentAt}: LostRequest, target: ProcessId, now: number): void {
		const process = describeProcess(target);
		this.#recentLosses.push({at, process});
		for (const id of partIds.slice(0, partsPerRequest)) {
			this.#addCrash(id, process, isRequest(id) ? {at, sentAt} : {at}, now);
		}
	}

	/** Applies the suspects of a peer's message, whose ages are subtracted from `messageCreatedAt`; returns true if they contain unknown and recent crashes of parts that are not cleared. */
	applyShared(suspects: readonly SharedSuspect[], messageCreatedAt: number, now: number): boolean {
		let hasUnknownCrash = false;
		for (const {partId, crashes, begunAgeMs} of suspects.slice(0, partsPerMessage + requestsPerMessage)) {
			for (const {
				targetId, bornAt, ageMs, sentAgeMs,
			} of crashes.slice(0, crashesPerSuspect)) {
				const at = messageCreatedAt - ageMs;
				const time = {at, sentAt: sentAgeMs === undefined ? undefined : messageCreatedAt - sentAgeMs};
				if (this.#addCrash(partId, describeProcess({id: targetId, bornAt}), time, now)) {
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
		const suspects = [...this.#suspects]
			.filter(([id, suspect]) => quarantinedIds.has(id) || now - suspect.changedAt <= passOnMs || listOpenCrashes(suspect).length > 1)
			.sort(([, a], [, b]) => b.crashes.size - a.crashes.size || b.changedAt - a.changedAt);
		return [
			...suspects.filter(([id]) => !isRequest(id)).slice(0, partsPerMessage),
			...suspects.filter(([id]) => isRequest(id)).slice(0, requestsPerMessage),
		].map(([partId, {crashes, begunAt}]) => ({
			partId,
			crashes: [...crashes].map(([process, {at, sentAt}]) => ({
				...parseProcess(process), ageMs: Math.round(now - at), ...(sentAt !== undefined && {sentAgeMs: Math.round(now - sentAt)}),
			})),
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
		if (!quarantine.mayTry || overdueMs < 0 || quarantine.triedAt >= quarantine.until) {
			return false;
		}

		if (countHigherRanked(hashText(quarantine.key), fleet) >= 2 ** Math.floor(overdueMs / trialSlotMs)) {
			return false;
		}

		quarantine.triedAt = now;
		return true;
	}

	/** Records that a request was withheld: what keeps coming is not forgotten. */
	recordWithheld({partIds}: Quarantine, now: number): void {
		for (const id of partIds) {
			const suspect = this.#suspects.get(id);
			if (suspect !== undefined) {
				suspect.withheldAt = now;
			}
		}
	}

	/**
	 * True if a request with these parts is likely to end another target: one of them was present at
	 * two crashes and is not cleared. `lossCount` losses of the request may turn out to be crashes.
	 */
	hasRepeatedCrash(partIds: readonly string[], lossCount: number): boolean {
		return partIds.some(id => {
			const suspect = this.#suspects.get(id);
			const crashCount = suspect === undefined ? 0 : listOpenCrashes(suspect).length;
			return crashCount + (isRequest(id) ? lossCount : 0) > 1;
		});
	}

	/** Adds a crash of a part; returns false if it is known or too old. */
	#addCrash(partId: string, process: string, time: CrashTime, now: number): boolean {
		const {at} = time;
		if (now - at >= retentionMs) {
			return false;
		}

		let suspect = this.#suspects.get(partId);
		if (suspect === undefined) {
			const begunAt = (isRequest(partId) ? this.#requestBegunAt : this.#begunAt).get(partId) ?? Number.NEGATIVE_INFINITY;
			suspect = {
				crashes: new Map(), begunAt, changedAt: now, withheldAt: now,
			};
			this.#suspects.set(partId, suspect);
			this.#evictSuspect(partId);
		}

		const known = suspect.crashes.get(process);
		if (known !== undefined) {
			// Messages only arrive late. The earliest times keep the order of crashes and sends that a single message states.
			suspect.crashes.set(process, {at: Math.min(known.at, at), sentAt: findEarliest(known.sentAt, time.sentAt)});
			return false;
		}

		if (suspect.crashes.size >= crashesPerSuspect) {
			const [oldestProcess, oldest] = [...suspect.crashes].sort(([, a], [, b]) => a.at - b.at)[0]!;
			if (at <= oldest.at) {
				return false;
			}

			suspect.crashes.delete(oldestProcess);
		}

		suspect.crashes.set(process, time);
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
		return this.#begunAt.has(id) || this.#requestBegunAt.has(id) || Number.isFinite(this.#suspects.get(id)!.begunAt);
	}

	#expire(now: number): void {
		this.#recentLosses = this.#recentLosses.filter(({at}) => now - at <= lossWindowMs);
		for (const [id, suspect] of this.#suspects) {
			if (now - Math.max(suspect.changedAt, suspect.withheldAt) > (isCleared(suspect) ? passOnMs : retentionMs)) {
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
			.filter(({partIds, crashCount}) => partIds.length > 0 && !this.#isServedRequest(partIds, crashCount));
	}

	/** True if the quarantine of a request began before it became known, from a peer, that the request had been served earlier, which requires more crashes. */
	#isServedRequest(partIds: readonly string[], crashCount: number): boolean {
		return crashCount < minCrashesOfServedSuspect && partIds.some(id => isRequest(id) && this.#hasBegun(id));
	}

	/** Quarantines the parts that have most crashes first; crashes that these explain do not count for other parts. */
	#quarantineParts(now: number): void {
		const explained = new Set<string>();
		/** Requests that are quarantined again, by crashes that nothing else explains. */
		const confirmedIds = new Set<string>();
		for (;;) {
			const candidates = this.#listCandidates(explained, now);
			const highestCount = Math.max(0, ...candidates.map(({count}) => count));
			const first = candidates.find(({count}) => count === highestCount);
			if (first === undefined) {
				this.#removeExplained(explained, confirmedIds);
				return;
			}

			const together = candidates.filter(({crashKey}) => crashKey === first.crashKey);
			// A part that responses had begun for before the crashes is the less likely cause.
			const neverBegun = together.filter(({id}) => !this.#hasBegun(id));
			const ids = (neverBegun.length > 0 ? neverBegun : together).map(({id}) => id).sort();
			const requestIds = ids.filter(id => isRequest(id));
			const otherIds = ids.filter(id => !isRequest(id));
			// No request contains another one, so each of them is an alternative.
			for (const partIds of requestIds.length === 0 ? [otherIds] : requestIds.map(id => [...otherIds, id])) {
				this.#setQuarantine(partIds, first);
			}

			for (const id of requestIds) {
				confirmedIds.add(id);
			}

			for (const process of first.processes) {
				explained.add(process);
			}
		}
	}

	/** Removes the quarantines of requests whose crashes turn out to be those of another suspect, since peers report it later. */
	#removeExplained(explained: ReadonlySet<string>, confirmedIds: ReadonlySet<string>): void {
		this.#quarantines = this.#quarantines.filter(({partIds}) => {
			const requestId = partIds.find(id => isRequest(id));
			const suspect = requestId === undefined || confirmedIds.has(requestId) ? undefined : this.#suspects.get(requestId);
			return suspect === undefined || !listOpenCrashes(suspect).every(([process]) => explained.has(process));
		});
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
			mayTry: count <= maxCrashesOfTriedRequest || !partIds.some(id => isRequest(id)),
			until: lastCrashAt + Math.min(maxQuarantineMs, baseQuarantineMs * (2 ** (count - minCrashes))),
			triedAt: known?.triedAt ?? Number.NEGATIVE_INFINITY,
		}];
	}

	/** Lists parts with more crashes than chance explains, apart from those in `explained`. */
	#listCandidates(explained: ReadonlySet<string>, now: number): Candidate[] {
		const candidates: Candidate[] = [];
		for (const [id, suspect] of this.#suspects) {
			const crashes = listOpenCrashes(suspect).filter(([process]) => !explained.has(process));
			const times = crashes.map(([, time]) => time);
			const count = countEpisodes(times);
			const minCount = this.#hasBegun(id) ? minCrashesOfServedSuspect : minCrashes;
			const requiredCount = count < minCount ? minCount : Math.max(minCount, this.#computeUnlikelyCount(suspect, now));
			if (count >= requiredCount) {
				const processes = crashes.map(([process]) => process).sort();
				candidates.push({
					id, count, requiredCount, processes, crashKey: createKey(processes), lastCrashAt: Math.max(...times.map(({at}) => at)),
				});
			}
		}

		return candidates.filter(candidate => candidate.count >= minCrashesOfUnclearRequest || !isUnclear(candidate, candidates));
	}

	/** Computes the number of crashes in a row that chance does not explain, from the fraction of requests that crashes without the suspect cost this instance. */
	#computeUnlikelyCount({crashes}: Suspect, now: number): number {
		const losses = this.#recentLosses.filter(({process}) => !crashes.has(process)).length;
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
function listOpenCrashes({crashes, begunAt}: Suspect): Array<[string, CrashTime]> {
	return [...crashes].filter(([, {at}]) => at > begunAt + clearanceMarginMs);
}

/** True if another request was present at the same crashes. */
function isUnclear({id, crashKey}: Candidate, candidates: readonly Candidate[]): boolean {
	return isRequest(id) && candidates.some(other => other.id !== id && other.crashKey === crashKey && isRequest(other.id));
}

/** Counts crashes, those that are close together as one, unless the request was sent to the second target after the first had crashed. */
function countEpisodes(times: readonly CrashTime[]): number {
	let count = 0;
	let episodeStartedAt = Number.NEGATIVE_INFINITY;
	for (const {at, sentAt = Number.NEGATIVE_INFINITY} of [...times].sort((a, b) => a.at - b.at)) {
		if (at - episodeStartedAt >= episodeGapMs || sentAt >= episodeStartedAt) {
			count++;
			episodeStartedAt = at;
		}
	}

	return count;
}

function findEarliest(first: number | undefined, second: number | undefined): number | undefined {
	return first === undefined || second === undefined ? first ?? second : Math.min(first, second);
}

function createKey(names: readonly string[]): string {
	return names.join(',');
}

function describeProcess({id, bornAt}: ProcessId): string {
	return `${id}@${bornAt}`;
}

function parseProcess(text: string): {targetId: string; bornAt: number} {
	const separator = text.lastIndexOf('@');
	return {targetId: text.slice(0, separator), bornAt: Number(text.slice(separator + 1))};
}
