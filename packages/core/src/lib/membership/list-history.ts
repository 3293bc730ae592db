/**
 * History of the instance list as this instance received it: since when the
 * list has been fresh without a gap, which instances were listed recently, and
 * which absent instances may still be running.
 *
 * All times are on this process's clock, except start times of instances and
 * `asOf`, which are platform times in milliseconds. A list counts as current at
 * the start of the read that returned it, here or at the peer that relayed it,
 * and only if its `asOf` advanced: a replica that has stopped updating returns
 * the same `asOf` again, which proves nothing. Below, evidence is a list whose
 * `asOf` advanced.
 */
import type {Fleet} from '../configuration/configuration.js';
import {listedState, type InstanceList, type ListedInstance} from '../configuration/instance-list.js';
import type {AbsentInstance} from '../message.js';
import {loanMarginMs} from '../allowance/loan-margin.js';

/** Fraction of the elapsed time by which this process's clock may run ahead of the platform's clock. */
const maxClockDriftRatio = 0.001;

/** An instance that was on a list. A restart of it, with another start time, is another member. */
export type Member = {
	readonly id: string;
	readonly since: number;
	/** Whether any list showed the instance as leaving. */
	wasLeaving: boolean;
	/** Time at which the first list without the instance was received; `undefined` if the latest list shows it. */
	absentSince?: number;
};

export type ListHistory = {
	/** Start of the latest read that returned a newer `asOf`. */
	currentAt?: number;
	/** Time since which the list has been fresh without a gap: the receipt of the first evidence. */
	freshSince?: number;
	/** `asOf` of the evidence received at `freshSince`. */
	freshSinceAsOf: number;
	/** `asOf` of the latest list. */
	asOf: number;
	/** Whether a peer has supplied every absent instance from before `freshSince` that may still own share. */
	hasMergedPeerHistory: boolean;
	/** Members by identifier and start time. */
	readonly members: Map<string, Member>;
	/** Time since which all received lists have shown this instance with the same start time; reset when its ownership expires. */
	presentSince?: number;
	/** Start time of this instance according to the list. */
	selfSince?: number;
	/** Start of the latest read that showed this instance. */
	selfListedAt?: number;
	/** Whether this instance owns share; reset when its ownership expires. */
	hasJoined: boolean;
	/** Lower bound of the platform's time minus this process's clock, in milliseconds. */
	platformOffsetMs: number;
	/** Time at which `platformOffsetMs` was determined. */
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
 * Computes how long an instance has to be absent until no instance uses a list
 * that still shows it, or lends or spends share computed from such a list, in
 * milliseconds.
 */
export function computeSettleDurationMs({listLagMs, freshMs, loanTermMs}: Fleet): number {
	return listLagMs + freshMs + loanTermMs + (2 * loanMarginMs);
}

/** Computes how long an absent instance may continue to own and lend share, in milliseconds. */
export function computeReservationDurationMs({listLagMs, staleLimitMs, loanTermMs}: Fleet): number {
	return listLagMs + staleLimitMs + loanTermMs + (2 * loanMarginMs);
}

/** Records that the platform's time is at least `asOf` at `now`. */
export function recordPlatformTime(history: ListHistory, asOf: number, now: number): void {
	const knownOffsetMs = history.platformOffsetMs - ((now - history.platformOffsetAt) * maxClockDriftRatio);
	if (asOf - now >= knownOffsetMs) {
		history.platformOffsetMs = asOf - now;
		history.platformOffsetAt = now;
	}
}

/** Context in which a list is recorded: this instance, the limits of the fleet and the present time. */
export type ListContext = {readonly selfId: string; readonly fleet: Fleet | undefined; readonly now: number};

/** Records a list with a newer `asOf` that was current at `currentAt`. */
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

/** Whether the latest evidence is at most `freshMs` old, and its `asOf` at most `freshMs + listLagMs` behind the least possible platform time. */
export function isListFresh(history: ListHistory, {freshMs, listLagMs}: Fleet, now: number): boolean {
	if (history.currentAt === undefined || now - history.currentAt > freshMs) {
		return false;
	}

	const platformNow = now + history.platformOffsetMs - ((now - history.platformOffsetAt) * maxClockDriftRatio);
	return platformNow - history.asOf <= freshMs + listLagMs;
}

/**
 * Updates whether this instance owns share. It joins once fresh lists have
 * shown it long enough that every instance with a fresh list has seen it, and
 * that loans granted by older lists have ended.
 */
export function updateJoined(history: ListHistory, fleet: Fleet, now: number): void {
	leaveIfExpired(history, fleet, now);
	const {presentSince} = history;
	const joinDurationMs = computeSettleDurationMs(fleet) + Math.max(0, fleet.listLagMs + fleet.freshMs - fleet.loanTermMs - (2 * loanMarginMs));
	history.hasJoined ||= presentSince !== undefined && now - presentSince > joinDurationMs && isListFresh(history, fleet, now);
}

/** Whether no list has shown this instance for so long that its peers may treat it as stopped. */
export function isOwnershipExpired({selfListedAt}: ListHistory, {staleLimitMs}: Fleet, now: number): boolean {
	return now - (selfListedAt ?? Number.NEGATIVE_INFINITY) > staleLimitMs;
}

/**
 * Revokes this instance's share once its peers may have redistributed it. If
 * the list shows the instance again later, it joins like a new instance.
 */
function leaveIfExpired(history: ListHistory, fleet: Fleet, now: number): void {
	if (history.hasJoined && isOwnershipExpired(history, fleet, now)) {
		history.hasJoined = false;
		history.presentSince = undefined;
	}
}

/**
 * Merges the absent instances known to a peer. Does nothing if the peer's list
 * is older than the start of this instance's own history, since instances that
 * became absent in between would then be missing.
 */
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

/** Whether every absent instance that may still own share is known here. */
export function isHistoryComplete({freshSince, hasMergedPeerHistory}: ListHistory, fleet: Fleet, now: number): boolean {
	return freshSince !== undefined && (hasMergedPeerHistory || now - freshSince > computeReservationDurationMs(fleet));
}

/**
 * Lists the absent instances that may still own share. Instances that were listed
 * as leaving, that were restarted under the same identifier, or that operators
 * confirmed as gone do not own any.
 */
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

/** Counts the instances that are on any list that may still be in use. */
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

/** Removes the absent instances that no longer affect any share. */
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
