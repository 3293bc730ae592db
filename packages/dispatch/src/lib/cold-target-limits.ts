/**
 * Keeps the fleet from overrunning cold targets. A target may turn cold at any
 * moment and says so late, so targets of such pools are bounded at all times:
 * loosely while they count as warm, tightly while they are known to be cold.
 *
 * Nobody agrees on anything: a bound in whole requests a second is divided by
 * the number of instances. Where there are more instances than requests, only
 * the first in a ranking by target may send at all.
 */
import {hashText, mixHashes} from '@sequoiatally/core';

export type ColdBounds = {
	/** Multiple of a cold target's rate that the fleet may send. */
	readonly overshoot: number;
	/** Requests a second beside that. */
	readonly slack: number;
};

/** The instances that may exist, as this one knows them. */
export type FleetView = {
	readonly selfHash: number;
	/** Hashes of all members, this instance included. */
	readonly memberHashes: readonly number[];
	/** Instances that may exist; at least the members. */
	readonly size: number;
};

/**
 * Multiple of its share that an instance may send to a warm target: all of them
 * would have to use it up at one target, in the second in which it turns cold.
 */
const warmOvercommit = 3.5;
/**
 * Least that an instance of a large fleet may send to a warm target in a second:
 * there the load cap keeps many instances from meeting at one target.
 */
const minWarmShare = 3;
/** Share of the cold rate that is aimed at; the rest absorbs differing member lists. */
const usedColdRateFraction = 0.8;

/** Requests a second that this instance may send to a target that is cold. */
export function computeColdShare(targetHash: number, ratePerS: number, fleet: FleetView): number {
	return computeShare(targetHash, Math.max(1, Math.floor(ratePerS * usedColdRateFraction)), fleet);
}

/**
 * Requests a second that this instance may send to a target that counts as
 * warm: if it turned cold unnoticed, the fleet still keeps to the bound.
 */
export function computeWarmShare(ratePerS: number, bounds: ColdBounds, {size}: FleetView): number {
	const total = (ratePerS * bounds.overshoot) + bounds.slack;
	return Math.max(minWarmShare, Math.floor(total * warmOvercommit / size));
}

function computeShare(targetHash: number, totalRate: number, {selfHash, memberHashes, size}: FleetView): number {
	if (totalRate >= size) {
		return Math.floor(totalRate / size);
	}

	// Ranks of members that are not known here can only push this instance down.
	const ownRank = mixHashes(targetHash, selfHash);
	const higherRankedCount = memberHashes.filter(hash => mixHashes(targetHash, hash) > ownRank).length;
	return higherRankedCount < totalRate ? 1 : 0;
}

/** Hash of an instance or target for rankings. */
export function computeRankHash(id: string): number {
	return hashText(id);
}
