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
const clockDrift = 0.001;

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
	freshFromAsOf: number;
	/** Latest `asOf`. */
	asOf: number;
	/** True: every vanishing that still matters is known from before `freshSince`, by a peer. */
	isInherited: boolean;
	/** Members by identifier and start. */
	readonly members: Map<string, Member>;
	/** Arrival of the first list from which on every list showed this instance with the same start. */
	presentSince?: number;
	/** Start of this instance by the list. */
	ownSince?: number;
	/** Start of the latest read that showed this instance. */
	ownCurrentAt?: number;
	/** True: this instance owns share, until it expires. */
	hasJoined: boolean;
	/** Least by which the platform's time is ahead of this process's clock. */
	platformOffset: number;
	/** Time at which the offset was found. */
	offsetAt: number;
};

export function createListHistory(): ListHistory {
	return {
		freshFromAsOf: 0,
		asOf: 0,
		isInherited: false,
		members: new Map(),
		hasJoined: false,
		platformOffset: Number.NEGATIVE_INFINITY,
		offsetAt: 0,
	};
}

/**
 * Time for which an absence has to stand before nobody uses a list from before
 * it, nor lends or spends by one, in milliseconds.
 */
export function computeSettleMs({listLagMs, freshMs, loanTermMs}: Fleet): number {
	return listLagMs + freshMs + loanTermMs + (2 * loanMarginMs);
}

/** Time for which an instance that vanished may go on owning share and lending it, in milliseconds. */
export function computeHoldMs({listLagMs, staleLimitMs, loanTermMs}: Fleet): number {
	return listLagMs + staleLimitMs + loanTermMs + (2 * loanMarginMs);
}

/** Takes a proof that the platform's time was at least `asOf`. */
export function recordPlatformTime(history: ListHistory, asOf: number, now: number): void {
	const known = history.platformOffset - ((now - history.offsetAt) * clockDrift);
	if (asOf - now >= known) {
		history.platformOffset = asOf - now;
		history.offsetAt = now;
	}
}

/** Who looks at the list, by which bounds and when. */
export type ListReader = {readonly ownId: string; readonly fleet: Fleet | undefined; readonly now: number};

/** Takes evidence that `list`, whose `asOf` advanced, was current at `currentAt`. */
export function recordList(history: ListHistory, list: InstanceList, currentAt: number, {ownId, fleet, now}: ListReader): void {
	const wasFresh = fleet !== undefined && isListFresh(history, fleet, now);
	recordPlatformTime(history, list.asOf, now);
	history.asOf = list.asOf;
	history.currentAt = Math.max(history.currentAt ?? Number.NEGATIVE_INFINITY, currentAt);
	if (!wasFresh) {
		history.freshSince = now;
		history.freshFromAsOf = list.asOf;
		history.isInherited = false;
	}

	if (fleet !== undefined) {
		leaveIfExpired(history, fleet, now);
	}

	recordMembers(history, list.instances, now);
	recordOwnPresence(history, list.instances.find(({id}) => id === ownId), currentAt, now);
}

/** True: the latest evidence is younger than the bound, and not older than the platform's time allows. */
export function isListFresh(history: ListHistory, {freshMs, listLagMs}: Fleet, now: number): boolean {
	if (history.currentAt === undefined || now - history.currentAt > freshMs) {
		return false;
	}

	const platformNow = now + history.platformOffset - ((now - history.offsetAt) * clockDrift);
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
	const joinMs = computeSettleMs(fleet) + Math.max(0, fleet.listLagMs + fleet.freshMs - fleet.loanTermMs - (2 * loanMarginMs));
	history.hasJoined ||= presentSince !== undefined && now - presentSince > joinMs && isListFresh(history, fleet, now);
}

/** True: no list has shown this instance for so long that the others may count on its end. */
export function isExpired({ownCurrentAt}: ListHistory, {staleLimitMs}: Fleet, now: number): boolean {
	return now - (ownCurrentAt ?? Number.NEGATIVE_INFINITY) > staleLimitMs;
}

/**
 * Takes this instance's share away once the others may have shared it out. An
 * instance that the list shows again after that joins like a new one.
 */
function leaveIfExpired(history: ListHistory, fleet: Fleet, now: number): void {
	if (history.hasJoined && isExpired(history, fleet, now)) {
		history.hasJoined = false;
		history.presentSince = undefined;
	}
}

/** Takes a peer's whole knowledge of vanished instances, if it reaches up to where this one's begins. */
export function inheritHistory(history: ListHistory, absent: readonly AbsentInstance[], peerAsOf: number, now: number): void {
	if (history.freshSince === undefined || peerAsOf < history.freshFromAsOf) {
		return;
	}

	history.isInherited = true;
	for (const {id, since, absentMs} of absent) {
		const key = describeMember(id, since);
		if (!history.members.has(key)) {
			history.members.set(key, {
				id, since, wasLeaving: false, absentSince: now - absentMs,
			});
		}
	}
}

/** True: every instance that vanished and may still own share is known here. */
export function isHistoryComplete({freshSince, isInherited}: ListHistory, fleet: Fleet, now: number): boolean {
	return freshSince !== undefined && (isInherited || now - freshSince > computeHoldMs(fleet));
}

/** Lists the vanished instances that may still own share; one that started again under its identifier does not. */
export function listHeldBack({members}: ListHistory, fleet: Fleet, now: number): Member[] {
	const holdMs = computeHoldMs(fleet);
	const presentIds = new Set<string>();
	for (const {id, absentSince} of members.values()) {
		if (absentSince === undefined) {
			presentIds.add(id);
		}
	}

	return [...members.values()].filter(({id, wasLeaving, absentSince}) =>
		absentSince !== undefined && !wasLeaving && now - absentSince <= holdMs && !presentIds.has(id) && !fleet.gone.includes(id));
}

/** Counts the instances that were on any list which somebody may still go by. */
export function countRecentMembers({members}: ListHistory, fleet: Fleet, now: number): number {
	const settleMs = computeSettleMs(fleet);
	let count = 0;
	for (const {absentSince} of members.values()) {
		if (absentSince === undefined || now - absentSince <= settleMs) {
			count++;
		}
	}

	return count;
}

/** Forgets the vanished instances that no longer matter. */
export function forgetMembers({members}: ListHistory, fleet: Fleet, now: number): void {
	const keptMs = Math.max(computeHoldMs(fleet), computeSettleMs(fleet));
	for (const [key, {absentSince}] of members) {
		if (absentSince !== undefined && now - absentSince > keptMs) {
			members.delete(key);
		}
	}
}

function recordMembers({members}: ListHistory, instances: readonly ListedInstance[], now: number): void {
	const listed = new Set<string>();
	for (const {id, since, state} of instances) {
		const key = describeMember(id, since);
		listed.add(key);
		const member = members.get(key) ?? {id, since, wasLeaving: false};
		member.wasLeaving ||= state === listedState.leaving;
		member.absentSince = undefined;
		members.set(key, member);
	}

	for (const [key, member] of members) {
		if (!listed.has(key)) {
			member.absentSince ??= now;
		}
	}
}

function recordOwnPresence(history: ListHistory, own: ListedInstance | undefined, currentAt: number, now: number): void {
	if (own === undefined) {
		history.presentSince = undefined;
		return;
	}

	if (history.presentSince === undefined || history.ownSince !== own.since) {
		history.presentSince = now;
	}

	history.ownSince = own.since;
	history.ownCurrentAt = Math.max(history.ownCurrentAt ?? Number.NEGATIVE_INFINITY, currentAt);
}

function describeMember(id: string, since: number): string {
	return `${id}@${since}`;
}
