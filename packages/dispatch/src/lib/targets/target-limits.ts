/**
 * Keeps the fleet from overloading targets that are cold or name a limit in their
 * responses. A target can become cold at any time and reports it late, so the targets of
 * pools with a cold rate are limited at all times: loosely while they count as warm,
 * tightly while they are known to be cold. A brittle target falls over when it has to
 * reject too many requests in a second, so the requests that it may reject are limited too.
 *
 * The instances do not coordinate: a limit in whole requests is divided by the number of
 * instances, and the instances that rank first for the target have one request more. If
 * there are more instances than requests, only these may send.
 */
import {hashText, mixHashes} from '@sequoiatally/core';

export type ColdBounds = {
	/** Multiple of a cold target's rate that the fleet may send to it. */
	readonly overshoot: number;
	/** Requests per second allowed in addition to the multiple. */
	readonly slack: number;
};

/** The instances that may exist, as known to this instance. */
export type FleetView = {
	readonly selfHash: number;
	/** Hashes of all known instances, including this one. */
	readonly memberHashes: readonly number[];
	/** Number of instances that may exist; at least the number of known instances. */
	readonly size: number;
};

/**
 * Multiple of its share that an instance may send to a warm target: the bound is
 * exceeded only if more than 1 in 3.5 instances use this whole limit at one target
 * in the second in which the target becomes cold.
 */
const warmOvercommit = 3.5;
/**
 * Requests per second that an instance may always send to a warm target, however
 * large the fleet is: in a large fleet, the load limit keeps many instances from
 * choosing the same target.
 */
const minWarmShare = 3;
/** Fraction of the cold rate that is used; the margin is for member lists that differ between instances. */
const usedColdRateFraction = 0.8;

/** Window in which requests to a target that names a limit are counted, in milliseconds; long, so that small limits amount to whole requests. */
export const namedLimitWindowMs = 4000;

/** Computes the requests that this instance may send in `namedLimitWindowMs` to a target that takes `requestsPerS` from all instances together. */
export function computeNamedLimitShare(targetHash: number, requestsPerS: number, fleet: FleetView): number {
	// At least one request, since only a response tells that the limit has ended.
	return computeShare(targetHash, Math.max(1, Math.floor(requestsPerS * namedLimitWindowMs / 1000)), fleet);
}

/** Fraction of the rejections that a brittle target survives which is used; the rest is for slots that requests of other instances have taken. */
const usedRejectionsFraction = 0.4;
/** Mixed into the hash of a target, so that its slots and its rejections have different owners. */
const slotsHash = hashText('slots');

/** Computes how many rejections a second this instance may receive from a target that survives `rejectionsPerS` of them. */
export function computeRejectionShare(targetHash: number, rejectionsPerS: number, fleet: FleetView): number {
	return computeCautiousShare(targetHash, Math.floor(rejectionsPerS * usedRejectionsFraction), fleet);
}

/** Computes how many of a target's slots belong to this instance. */
export function computeSlotShare(targetHash: number, slots: number, fleet: FleetView): number {
	return computeCautiousShare(mixHashes(targetHash, slotsHash), Math.max(1, slots), fleet);
}

/** Computes the requests per second that this instance may send to a cold target. */
export function computeColdShare(targetHash: number, ratePerS: number, fleet: FleetView): number {
	return computeShare(targetHash, Math.max(1, Math.floor(ratePerS * usedColdRateFraction)), fleet);
}

/**
 * Computes the requests per second that this instance may send to a target that
 * counts as warm, so that the fleet normally keeps to the bound if the target
 * becomes cold unnoticed.
 */
export function computeWarmShare(ratePerS: number, bounds: ColdBounds, {size}: FleetView): number {
	const total = (ratePerS * bounds.overshoot) + bounds.slack;
	return Math.max(minWarmShare, Math.floor(total * warmOvercommit / size));
}

/** Divides `total` requests among the instances, for limits without a margin for members that are missing from the list of this instance. */
function computeCautiousShare(targetHash: number, total: number, fleet: FleetView): number {
	return computeShare(targetHash, total, fleet, fleet.size / fleet.memberHashes.length);
}

/**
 * Divides `total` requests among the instances. Members that are missing from the list can
 * make this instance rank too high, but never too low: the limits have a margin for that, or
 * assume `sizeRatio` instances for each one that is known.
 */
function computeShare(targetHash: number, total: number, fleet: FleetView, sizeRatio = 1): number {
	const base = Math.floor(total / fleet.size);
	const remainder = total - (base * fleet.size);
	return remainder > 0 && countHigherRanked(targetHash, fleet) * sizeRatio < remainder ? base + 1 : base;
}

/** Counts the instances that rank higher than this one for the subject with hash `keyHash`; instances with equal member lists agree on the order. */
export function countHigherRanked(keyHash: number, {selfHash, memberHashes}: FleetView): number {
	const ownRank = mixHashes(keyHash, selfHash);
	return memberHashes.filter(hash => mixHashes(keyHash, hash) > ownRank).length;
}

/** Computes the hash of an instance or target for rankings. */
export function computeRankHash(id: string): number {
	return hashText(id);
}
