/**
 * The member list, which the instances build themselves: each tells a few
 * others whom it has heard of and how long ago. Nobody decides who is a
 * member; a list that is wrong only makes bounds tighter than need be.
 */
import {mixHashes} from '@sequoiatally/core';
import {computeRankHash, type FleetView} from './cold-target-limits.js';
import type {MemberEntry, PeerMessage} from './peer-message.js';

/** Time without news after which a member is taken off the list, in milliseconds. */
const memberExpiryMs = 12_000;
/**
 * Time without news after which a member is no longer told to others, in
 * milliseconds. In a fleet of some hundred each is named every few seconds only;
 * one that is gone shows by the first call to it.
 */
const memberReportMaxAgeMs = 8000;
/** Time without any news after which an instance counts as out of touch, in milliseconds. */
const isolationTimeoutMs = 5000;
/** Members named in one message. */
const membersPerMessage = 12;
/** Fewest instances that read the platform themselves; as many may be lost at once without a gap. */
const minWatcherCount = 5;
/** Instances for each watcher of a larger fleet, so that a watcher's load does not grow with the fleet. */
const instancesPerWatcher = 15;
/** Other instances below which every instance reads the platform. */
const minPeersForFollowers = 8;
/** Instances that may exist while the list is not settled yet. */
const assumedFleetSize = 12;
/** Time for which an instance has to be in touch with others before it trusts its list, in milliseconds. */
const memberListSettleMs = 3000;
/** The same before it leaves reading the platform to others, in milliseconds: a wrong list costs a few calls only. */
const watcherSettleMs = 1500;
/** Instances that may exist beside the known ones, as a part of these: replacements that were not heard of yet. */
const unknownInstanceFraction = 0.2;

type Member = {
	readonly id: string;
	incarnation: string;
	address: string;
	zone: string;
	readonly hash: number;
	lastSeenAt: number;
};

export type MemberState = {
	byId: Map<string, Member>;
	/** Members by rank as watchers; undefined: members came or went since. */
	byWatcherRank?: readonly Member[];
	/** When calls to addresses failed last: what others heard of them before that does not count. */
	failedAtByAddress: Map<string, number>;
	seedAddresses: readonly string[];
	/** Since when other instances have been heard without a break. */
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
	return {byId: new Map(), failedAtByAddress: new Map(), seedAddresses};
}

/** Takes a message's word on who is there; returns the members that are new. */
export function applyMembers(members: MemberState, message: PeerMessage, selfId: string, now: number): string[] {
	const added: string[] = [];
	if (message.isLeaving) {
		removeMember(members, message.from.id);
	} else {
		applyMember(members, message.from, {selfId, now, added});
	}

	for (const entry of message.members) {
		applyMember(members, entry, {selfId, now, added});
	}

	if (members.lastContactAt === undefined || now - members.lastContactAt > isolationTimeoutMs) {
		members.inContactSince = now;
	}

	members.lastContactAt = now;
	return added;
}

function applyMember(members: MemberState, entry: MemberEntry, {selfId, now, added}: {selfId: string; now: number; added: string[]}): void {
	if (entry.id === selfId || entry.ageMs > memberReportMaxAgeMs) {
		return;
	}

	const lastSeenAt = now - entry.ageMs;
	if (lastSeenAt <= (members.failedAtByAddress.get(entry.address) ?? Number.NEGATIVE_INFINITY)) {
		return;
	}

	const known = members.byId.get(entry.id);
	if (known === undefined) {
		members.byId.set(entry.id, {
			id: entry.id, incarnation: entry.incarnation, address: entry.address, zone: entry.zone, hash: computeRankHash(entry.id), lastSeenAt,
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

/** Takes a member off the list that could not be called; returns whether there was one. */
export function removeUnreachableMember(members: MemberState, address: string, now: number): boolean {
	members.failedAtByAddress.set(address, now);
	for (const member of members.byId.values()) {
		if (member.address === address) {
			return removeMember(members, member.id);
		}
	}

	return false;
}

/** Takes members off the list that were not heard of for long; returns them. */
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

	return expired;
}

/** Describes some of the members for a message; which ones is drawn. */
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

/** Computes how many instances may exist; large while this one cannot tell. */
export function computeFleetView(members: MemberState, selfHash: number, now: number): FleetView {
	const hashes = [...members.byId.values()].map(({hash}) => hash);
	const knownCount = hashes.length + 1;
	const size = knownCount + Math.ceil(knownCount * unknownInstanceFraction);
	return {selfHash, memberHashes: [selfHash, ...hashes], size: isInContact(members, memberListSettleMs, now) ? size : Math.max(size, assumedFleetSize)};
}

/** True when others have been heard for that long without a break, so that the list can be trusted. */
function isInContact({inContactSince, lastContactAt}: MemberState, durationMs: number, now: number): boolean {
	return inContactSince !== undefined && now - inContactSince >= durationMs && now - lastContactAt! <= isolationTimeoutMs;
}

/** The instances that read the platform for the others, the same on every instance that knows all of them. */
export type Watchers = {
	/** True: this instance reads the platform itself. */
	readonly includesSelf: boolean;
	/** Addresses of the others. */
	readonly addresses: readonly string[];
};

/** Chooses the watchers by rank, `multiple` times as many as usual; a list that is young or small makes everybody one. */
export function listWatchers(members: MemberState, selfHash: number, multiplier: number, now: number): Watchers {
	const {size} = members.byId;
	if (size < minPeersForFollowers || !isInContact(members, watcherSettleMs, now)) {
		return {includesSelf: true, addresses: []};
	}

	const count = Math.min(size, multiplier * Math.max(minWatcherCount, Math.ceil((size + 1) / instancesPerWatcher)));
	members.byWatcherRank ??= [...members.byId.values()].sort((a, b) => computeWatcherRank(b.hash) - computeWatcherRank(a.hash));
	const first = members.byWatcherRank.slice(0, count);
	const includesSelf = computeWatcherRank(selfHash) > computeWatcherRank(first.at(-1)!.hash);
	return {includesSelf, addresses: (includesSelf ? first.slice(0, -1) : first).map(({address}) => address)};
}

function computeWatcherRank(hash: number): number {
	return mixHashes(hash, watcherHashSeed);
}

/** Keeps the ranking of watchers apart from other rankings. */
const watcherHashSeed = 0x5E_ED;

/**
 * Chooses whom to call: mostly a member at random, now and then a seed, so
 * that two parts of the fleet that lost each other meet again.
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

/** Part of the calls that go to a seed. */
const seedCallFraction = 0.15;
