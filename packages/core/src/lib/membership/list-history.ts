/**
 * What this instance saw of the list over time: since when its evidence has
 * been fresh without a gap, who was on the list lately, and who vanished from
 * it and may still be running.
 *
 * All times are on this process's clock. A list counts as current from the
 * start of the read that brought it, here or at the peer that relayed it, and
 * only if its `asOf` advanced: a replica that stands still proves nothing.
 */
import type {Fleet} from '../configuration/configuration.js';
import {listedState, type InstanceList, type ListedInstance} from '../configuration/instance-list.js';
import type {AbsentInstance} from '../message.js';
import {loanMarginMs} from '../allowance/loan-margin.js';

/** Part of elapsed time by which this process's clock may be faster than the platform's. */
const maxClockDriftRatio = 0.001;

/** An instance that was on a list: one start of it. */
export type Member = {
	readonly id: string;
	readonly since: number;
	/** True: some list showed it as leaving. */
	wasLeaving: boolean;
	/** Time at which a list without it arrived; undefined: it is on the latest list. */
	absentSince?: number;
};

export type ListHistory = {
	/** Start of the latest read that brought an advanced `asOf`. */
	currentAt?: number;
	/** Arrival of the first evidence after which freshness has had no gap. */
	freshSince?: number;
	/** `asOf` of that evidence. */
	freshSinceAsOf: number;
	/** Latest `asOf`. */
	asOf: number;
	/** True: every vanishing that still matters is known from before `freshSince`, by a peer. */
	hasMergedPeerHistory: boolean;
	/** Members by identifier and start. */
	readonly members: Map<string, Member>;
	/** Arrival of the first list from which on every list showed this instance with the same start. */
	presentSince?: number;
	/** Start of this instance by the list. */
	selfSince?: number;
	/** Start of the latest read that showed this instance. */
	selfListedAt?: number;
	/** True: this instance owns share, until it expires. */
	hasJoined: boolean;
	/** Least by which the platform's time is ahead of this process's clock. */
	platformOffsetMs: number;
	/** Time at which the offset was found. */
	platformOffsetAt: number;
};

export function createListHistory(): ListHistory {
	return {
		freshSinceAsOf: 0,
		asOf: 0,
		hasMergedPeerHistory: false,
		members: new Map(),
		hasJoined: false,
		platformOffsetMs: Number.NEGATIVE_INFINITY,
		platformOffsetAt: 0,
	};
}

/**
 * Time for which an absence has to stand before nobody uses a list from before
 * it, nor lends or spends by one, in milliseconds.
 */
export function computeSettleDurationMs({listLagMs, freshMs, loanTermMs}: Fleet): number {
	return listLagMs + freshMs + loanTermMs + (2 * loanMarginMs);
}

/** Time for which an instance that vanished may go on owning share and lending it, in milliseconds. */
export function computeReservationDurationMs({listLagMs, staleLimitMs, loanTermMs}: Fleet): number {
	return listLagMs + staleLimitMs + loanTermMs + (2 * loanMarginMs);
}

/** Takes a proof that the platform's time was at least `asOf`. */
export function recordPlatformTime(history: ListHistory, asOf: number, now: number): void {
	const knownOffsetMs = history.platformOffsetMs - ((now - history.platformOffsetAt) * maxClockDriftRatio);
	if (asOf - now >= knownOffsetMs) {
		history.platformOffsetMs = asOf - now;
		history.platformOffsetAt = now;
	}
}

/** Who looks at the list, by which bounds and when. */
export type ListContext = {readonly selfId: string; readonly fleet: Fleet | undefined; readonly now: number};

/** Takes evidence that `list`, whose `asOf` advanced, was current at `currentAt`. */
export function recordList(history: ListHistory, list: InstanceList, currentAt: number, {selfId, fleet, now}: ListContext): void {
	const wasFresh = fleet !== undefined && isListFresh(history, fleet, now);
	recordPlatformTime(history, list.asOf, now);
	history.asOf = list.asOf;
	history.currentAt = Math.max(history.currentAt ?? Number.NEGATIVE_INFINITY, currentAt);
	if (!wasFresh) {
		history.freshSince = now;
		history.freshSinceAsOf = list.asOf;
		history.hasMergedPeerHistory = false;
	}

	if (fleet !== undefined) {
		leaveIfExpired(history, fleet, now);
	}

	recordMembers(history, list.instances, now);
	recordSelf(history, list.instances.find(({id}) => id === selfId), currentAt, now);
}

/** True: the latest evidence is younger than the bound, and not older than the platform's time allows. */
export function isListFresh(history: ListHistory, {freshMs, listLagMs}: Fleet, now: number): boolean {
	if (history.currentAt === undefined || now - history.currentAt > freshMs) {
		return false;
	}

	const platformNow = now + history.platformOffsetMs - ((now - history.platformOffsetAt) * maxClockDriftRatio);
	return platformNow - history.asOf <= freshMs + listLagMs;
}

/**
 * Lets this instance own share once fresh lists have shown it for so long that
 * every instance with fresh lists has seen it, and loans by older lists have
 * ended.
 */
export function updateJoined(history: ListHistory, fleet: Fleet, now: number): void {
	leaveIfExpired(history, fleet, now);
	const {presentSince} = history;
	const joinDurationMs = computeSettleDurationMs(fleet) + Math.max(0, fleet.listLagMs + fleet.freshMs - fleet.loanTermMs - (2 * loanMarginMs));
	history.hasJoined ||= presentSince !== undefined && now - presentSince > joinDurationMs && isListFresh(history, fleet, now);
}

/** True: no list has shown this instance for so long that the others may count on its end. */
export function isOwnershipExpired({selfListedAt}: ListHistory, {staleLimitMs}: Fleet, now: number): boolean {
	return now - (selfListedAt ?? Number.NEGATIVE_INFINITY) > staleLimitMs;
}

/**
 * Takes this instance's share away once the others may have shared it out. An
 * instance that the list shows again after that joins like a new one.
 */
function leaveIfExpired(history: ListHistory, fleet: Fleet, now: number): void {
	if (history.hasJoined && isOwnershipExpired(history, fleet, now)) {
		history.hasJoined = false;
		history.presentSince = undefined;
	}
}

/** Takes a peer's whole knowledge of vanished instances, if it reaches up to where this one's begins. */
export function mergePeerHistory(history: ListHistory, absent: readonly AbsentInstance[], peerAsOf: number, now: number): void {
	if (history.freshSince === undefined || peerAsOf < history.freshSinceAsOf) {
		return;
	}

	history.hasMergedPeerHistory = true;
	for (const {id, since, absentMs} of absent) {
		const key = createMemberKey(id, since);
		if (!history.members.has(key)) {
			history.members.set(key, {
				id, since, wasLeaving: false, absentSince: now - absentMs,
			});
		}
	}
}

/** True: every instance that vanished and may still own share is known here. */
export function isHistoryComplete({freshSince, hasMergedPeerHistory}: ListHistory, fleet: Fleet, now: number): boolean {
	return freshSince !== undefined && (hasMergedPeerHistory || now - freshSince > computeReservationDurationMs(fleet));
}

/** Lists the vanished instances that may still own share; one that started again under its identifier does not. */
export function listAbsentOwners({members}: ListHistory, fleet: Fleet, now: number): Member[] {
	const reservationDurationMs = computeReservationDurationMs(fleet);
	const presentIds = new Set<string>();
	for (const {id, absentSince} of members.values()) {
		if (absentSince === undefined) {
			presentIds.add(id);
		}
	}

	return [...members.values()].filter(({id, wasLeaving, absentSince}) =>
		absentSince !== undefined && !wasLeaving && now - absentSince <= reservationDurationMs && !presentIds.has(id) && !fleet.gone.includes(id));
}

/** Counts the instances that were on any list which somebody may still go by. */
export function countRecentMembers({members}: ListHistory, fleet: Fleet, now: number): number {
	const settleDurationMs = computeSettleDurationMs(fleet);
	let count = 0;
	for (const {absentSince} of members.values()) {
		if (absentSince === undefined || now - absentSince <= settleDurationMs) {
			count++;
		}
	}

	return count;
}

/** Forgets the vanished instances that no longer matter. */
export function expireMembers({members}: ListHistory, fleet: Fleet, now: number): void {
	const retentionMs = Math.max(computeReservationDurationMs(fleet), computeSettleDurationMs(fleet));
	for (const [key, {absentSince}] of members) {
		if (absentSince !== undefined && now - absentSince > retentionMs) {
			members.delete(key);
		}
	}
}

function recordMembers({members}: ListHistory, instances: readonly ListedInstance[], now: number): void {
	const listedKeys = new Set<string>();
	for (const {id, since, state} of instances) {
		const key = createMemberKey(id, since);
		listedKeys.add(key);
		const member = members.get(key) ?? {id, since, wasLeaving: false};
		member.wasLeaving ||= state === listedState.leaving;
		member.absentSince = undefined;
		members.set(key, member);
	}

	for (const [key, member] of members) {
		if (!listedKeys.has(key)) {
			member.absentSince ??= now;
		}
	}
}

function recordSelf(history: ListHistory, self: ListedInstance | undefined, currentAt: number, now: number): void {
	if (self === undefined) {
		history.presentSince = undefined;
		return;
	}

	if (history.presentSince === undefined || history.selfSince !== self.since) {
		history.presentSince = now;
	}

	history.selfSince = self.since;
	history.selfListedAt = Math.max(history.selfListedAt ?? Number.NEGATIVE_INFINITY, currentAt);
}

function createMemberKey(id: string, since: number): string {
	return `${id}@${since}`;
}
