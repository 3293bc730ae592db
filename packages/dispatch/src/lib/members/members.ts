/**
 * The member list, built by gossip: each instance reports to a few peers which
 * members it knows and when it last saw them. No instance decides on membership:
 * a listed member that has ended only makes limits tighter than necessary, and
 * margins cover a few missing members, which make them looser (`computeFleetView`).
 */
import {mixHashes} from '@sequoiatally/core';
import {computeRankHash, type FleetView} from '../targets/target-limits.js';
import type {MemberEntry, PeerMessage} from './peer-message.js';

/** Time without a report after which a member is removed from the list, in milliseconds. */
const memberExpiryMs = 12_000;
/**
 * Time without a report after which a member is no longer reported to peers, in
 * milliseconds. In a fleet of some hundred instances, each member is reported
 * only every few seconds; a member that has ended is detected by the first call
 * to it.
 */
const memberReportMaxAgeMs = 8000;
/** Time without any message after which an instance counts as isolated, in milliseconds. */
const isolationTimeoutMs = 5000;
/** Largest number of members in one message. */
const membersPerMessage = 12;
/** Smallest number of watchers; fewer instances than this can fail at once without a gap in updates. */
const minWatcherCount = 5;
/** Number of instances for each watcher in a larger fleet, so that a watcher's load does not grow with the fleet. */
const instancesPerWatcher = 15;
/** Number of peers below which every instance is a watcher. */
const minPeersForFollowers = 8;
/**
 * Time for which an instance counts in the size of the fleet after it left the list,
 * in milliseconds: it may still run beyond a network partition.
 */
const sizeRetentionMs = 60_000;
/** Smallest assumed fleet size while the list has not settled yet or the instance is isolated. */
const assumedFleetSize = 12;
/** Time for which an instance has to be in contact with peers before it trusts its list, in milliseconds. */
const memberListSettleMs = 3000;
/** Time in contact with peers before an instance becomes a follower, in milliseconds; shorter, since a wrong list costs only a few calls here. */
const watcherSettleMs = 1500;
/** Number of instances that may exist in addition to the known ones, as a fraction of these: replacements that were not reported yet. */
const unknownInstanceFraction = 0.2;

type Member = {
	readonly id: string;
	incarnation: string;
	address: string;
	zone: string;
	readonly hash: number;
	lastSeenAt: number;
	/** Time at which this instance last asked the member whether it reaches targets. */
	queriedAt: number;
};

export type MemberState = {
	byId: Map<string, Member>;
	/** Members in the order of their rank as watchers; `undefined` if members were added or removed since the last ranking. */
	byWatcherRank?: readonly Member[];
	/** Times of the last failed calls by address; a report is ignored if the member was last seen before the failed call. */
	failedAtByAddress: Map<string, number>;
	seedAddresses: readonly string[];
	/**
	 * The largest recent number of instances, including this one, and the time at
	 * which the list last had as many.
	 */
	largestSize: {readonly count: number; readonly at: number};
	/** Time since which messages have arrived from peers without interruption. */
	inContactSince?: number;
	lastContactAt?: number;
};

export type SelfInfo = {
	readonly id: string;
	readonly incarnation: string;
	readonly address: string;
	readonly zone: string;
};

export function createMemberState(seedAddresses: readonly string[]): MemberState {
	return {
		byId: new Map(), failedAtByAddress: new Map(), seedAddresses, largestSize: {count: 1, at: 0},
	};
}

/** Applies the members that a message reports, whose ages are subtracted from `createdAt`; returns the ids of new members. */
export function applyMembers(members: MemberState, message: PeerMessage, {selfId, createdAt}: {selfId: string; createdAt: number}, now: number): string[] {
	const added: string[] = [];
	if (message.isLeaving) {
		removeMember(members, message.from.id);
	} else {
		applyMember(members, message.from, {selfId, createdAt, added});
	}

	for (const entry of message.members) {
		applyMember(members, entry, {selfId, createdAt, added});
	}

	if (members.lastContactAt === undefined || now - members.lastContactAt > isolationTimeoutMs) {
		members.inContactSince = now;
	}

	members.lastContactAt = now;
	return added;
}

function applyMember(members: MemberState, entry: MemberEntry, {selfId, createdAt, added}: {selfId: string; createdAt: number; added: string[]}): void {
	if (entry.id === selfId || entry.ageMs > memberReportMaxAgeMs) {
		return;
	}

	const lastSeenAt = createdAt - entry.ageMs;
	if (lastSeenAt <= (members.failedAtByAddress.get(entry.address) ?? Number.NEGATIVE_INFINITY)) {
		return;
	}

	const known = members.byId.get(entry.id);
	if (known === undefined) {
		members.byId.set(entry.id, {
			id: entry.id, incarnation: entry.incarnation, address: entry.address, zone: entry.zone, hash: computeRankHash(entry.id), lastSeenAt,
			queriedAt: Number.NEGATIVE_INFINITY,
		});
		members.byWatcherRank = undefined;
		added.push(entry.id);
	} else if (lastSeenAt > known.lastSeenAt) {
		known.incarnation = entry.incarnation;
		known.address = entry.address;
		known.zone = entry.zone;
		known.lastSeenAt = lastSeenAt;
	}
}

function removeMember(members: MemberState, id: string): boolean {
	members.byWatcherRank = undefined;
	return members.byId.delete(id);
}

/** Removes the member whose address could not be called; returns whether the list had one. */
export function removeUnreachableMember(members: MemberState, address: string, now: number): boolean {
	members.failedAtByAddress.set(address, now);
	for (const member of members.byId.values()) {
		if (member.address === address) {
			return removeMember(members, member.id);
		}
	}

	return false;
}

/** Removes members that were not reported within the expiry time and updates the largest size of the fleet; returns the ids of removed members. */
export function expireMembers(members: MemberState, now: number): string[] {
	const expired: string[] = [];
	for (const [address, failedAt] of members.failedAtByAddress) {
		if (now - failedAt > memberExpiryMs) {
			members.failedAtByAddress.delete(address);
		}
	}

	for (const {id, lastSeenAt} of members.byId.values()) {
		if (now - lastSeenAt > memberExpiryMs) {
			removeMember(members, id);
			expired.push(id);
		}
	}

	const count = members.byId.size + 1;
	if (count >= members.largestSize.count || now - members.largestSize.at > sizeRetentionMs) {
		members.largestSize = {count, at: now};
	}

	return expired;
}

/** Describes a random selection of members for a message. */
export function describeMembers(members: MemberState, now: number, random: () => number): MemberEntry[] {
	const recent = [...members.byId.values()].filter(({lastSeenAt}) => now - lastSeenAt <= memberReportMaxAgeMs);
	const first = Math.floor(random() * recent.length);
	return [...recent.slice(first), ...recent.slice(0, first)]
		.slice(0, membersPerMessage)
		.map(({
			id, incarnation, address, zone, lastSeenAt,
		}) => ({
			id, incarnation, address, zone, ageMs: Math.round(now - lastSeenAt),
		}));
}

/** Counts the instances that are known to run, including this one. */
export function computeInstanceCount({byId}: MemberState): number {
	return byId.size + 1;
}

/**
 * Computes how many instances may exist. Limits of the whole fleet are divided by
 * this number: a member that has ended makes shares smaller until it expires, and
 * a missing member makes them larger. `unknownInstanceFraction` covers a few
 * missing members, and `assumedFleetSize` a short list that has not settled or
 * belongs to an isolated instance. Members that were removed count for
 * `sizeRetentionMs` longer, since a network partition may only have separated them;
 * after a longer partition the shares of all instances can add up to more than a
 * limit.
 */
export function computeFleetView(members: MemberState, selfHash: number, now: number): FleetView {
	const hashes = [...members.byId.values()].map(({hash}) => hash);
	const knownCount = Math.max(hashes.length + 1, members.largestSize.count);
	const size = knownCount + Math.ceil(knownCount * unknownInstanceFraction);
	return {selfHash, memberHashes: [selfHash, ...hashes], size: isInContact(members, memberListSettleMs, now) ? size : Math.max(size, assumedFleetSize)};
}

/** True when messages have arrived from peers for `durationMs` without interruption, so that the list can be trusted. */
function isInContact({inContactSince, lastContactAt}: MemberState, durationMs: number, now: number): boolean {
	return inContactSince !== undefined && now - inContactSince >= durationMs && now - lastContactAt! <= isolationTimeoutMs;
}

/** The instances that read the platform for the others; instances with equal member lists choose the same watchers. */
export type Watchers = {
	/** True if this instance is a watcher. */
	readonly includesSelf: boolean;
	/** The other watchers. */
	readonly others: ReadonlyArray<{readonly address: string; readonly zone: string}>;
};

/** Lists the watchers by rank, with `extraCount` more than usual; with an unsettled or small list every instance is a watcher. */
export function listWatchers(members: MemberState, selfHash: number, extraCount: number, now: number): Watchers {
	const {size} = members.byId;
	if (size < minPeersForFollowers || !isInContact(members, watcherSettleMs, now)) {
		return {includesSelf: true, others: []};
	}

	const count = Math.min(size, extraCount + Math.max(minWatcherCount, Math.ceil((size + 1) / instancesPerWatcher)));
	members.byWatcherRank ??= [...members.byId.values()].sort((a, b) => computeWatcherRank(b.hash) - computeWatcherRank(a.hash));
	const first = members.byWatcherRank.slice(0, count);
	const includesSelf = computeWatcherRank(selfHash) > computeWatcherRank(first.at(-1)!.hash);
	return {includesSelf, others: includesSelf ? first.slice(0, -1) : first};
}

function computeWatcherRank(hash: number): number {
	return mixHashes(hash, watcherHashSeed);
}

/** Hash seed that makes the ranking of watchers independent of other rankings. */
const watcherHashSeed = 0x5E_ED;

/**
 * Chooses peers to call: mostly random members, sometimes a seed address, so
 * that separated parts of the fleet find each other again after a partition.
 */
export function choosePeers(members: MemberState, selfAddress: string, count: number, random: () => number): string[] {
	const addresses = [...members.byId.values()].map(({address}) => address);
	const seeds = members.seedAddresses.filter(address => address !== selfAddress);
	const chosen = new Set<string>();
	for (let index = 0; index < count; index++) {
		const useSeed = seeds.length > 0 && (addresses.length === 0 || random() < seedCallFraction);
		const candidates = useSeed ? seeds : addresses;
		if (candidates.length > 0) {
			chosen.add(candidates[Math.floor(random() * candidates.length)]!);
		}
	}

	return [...chosen];
}

/** Number of members that are asked at a time whether targets can be reached. */
const queriedMemberCount = 4;

/** Chooses members to ask whether targets can be reached: those that were asked longest ago, of these rather some in this zone. */
export function takeQueriedAddresses(members: MemberState, selfZone: string, now: number): string[] {
	const chosen = [...members.byId.values()]
		.sort((a, b) => a.queriedAt - b.queriedAt || Number(b.zone === selfZone) - Number(a.zone === selfZone))
		.slice(0, queriedMemberCount);
	for (const member of chosen) {
		member.queriedAt = now;
	}

	return chosen.map(({address}) => address);
}

/** True if the process is a member of the fleet, as far as this instance knows. */
export function isMember({byId}: MemberState, {id, incarnation}: Pick<MemberEntry, 'id' | 'incarnation'>): boolean {
	return byId.get(id)?.incarnation === incarnation;
}

/** Fraction of the calls that go to a seed address. */
const seedCallFraction = 0.15;
