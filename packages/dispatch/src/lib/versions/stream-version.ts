/**
 * Which software version runs a resumable stream. What two versions write does not fit
 * together, so a stream goes on only at the version that began it. That version follows
 * from the stream's id and the versions in service, by weighted rendezvous hashing: every
 * instance can name it again, also one that has started since.
 */
import {hashText} from '@sequoiatally/core';
import type {Target} from '../targets/target-state.js';
import type {VersionCounts} from './version-history.js';

/** Hash seed that makes the choice of a version independent of the choices of pool and target. */
const versionHashSeed = 2;
/** Number of hash values. */
const hashRange = 2 ** 32;

/** Computes the score of a version of weight 1: exponentially distributed, so that dividing it by a weight makes the lowest score as probable as the weight. */
function computeUnitScore(version: string, streamId: string): number {
	return -Math.log((hashText(streamId, hashText(version, versionHashSeed)) + 0.5) / hashRange);
}

type Best = {readonly version: string; readonly score: number};

function isBetter(a: Best, b: Best | undefined): boolean {
	return b === undefined || a.score < b.score || (a.score === b.score && a.version < b.version);
}

/** Chooses the version of a new stream, each with a probability in proportion to its targets; `undefined` if there are none. */
export function chooseVersion(counts: VersionCounts, streamId: string): string | undefined {
	let best: Best | undefined;
	for (const [version, count] of counts) {
		const candidate = {version, score: count > 0 ? computeUnitScore(version, streamId) / count : Number.POSITIVE_INFINITY};
		if (count > 0 && isBetter(candidate, best)) {
			best = candidate;
		}
	}

	return best?.version;
}

/**
 * Finds the version that was chosen for a stream if any of `states` may have held, or one between
 * them that this instance did not see: the version of which fewest targets still win against most
 * targets of each other version. `undefined` if there is none.
 */
export function findCertainVersion(states: readonly VersionCounts[], streamId: string): string | undefined {
	const versions = new Set(states.flatMap(counts => [...counts.keys()]));
	let certain: Best | undefined;
	const highest: Best[] = [];
	for (const version of versions) {
		const counts = states.map(state => state.get(version) ?? 0);
		const unitScore = computeUnitScore(version, streamId);
		const fewest = Math.min(...counts);
		const most = Math.max(...counts);
		if (most > 0) {
			highest.push({version, score: unitScore / most});
		}

		const candidate = {version, score: unitScore / fewest};
		if (fewest > 0 && isBetter(candidate, certain)) {
			certain = candidate;
		}
	}

	return certain !== undefined && highest.every(other => other.version === certain.version || isBetter(certain, other)) ? certain.version : undefined;
}

/** Counts the targets by pool and version that new requests may go to, as far as the directory tells: what targets state reaches the instances at different times. */
export function countVersions(targets: Iterable<Target>, closedZones: ReadonlySet<string>): Map<string, Map<string, number>> {
	const byPool = new Map<string, Map<string, number>>();
	for (const {record, isRegistered, lapseGraceUntil} of targets) {
		const isInUse = isRegistered || lapseGraceUntil !== undefined;
		const counts = byPool.get(record.pool) ?? new Map<string, number>();
		byPool.set(record.pool, counts);
		if (isInUse && !record.isLeaving && !closedZones.has(record.zone)) {
			counts.set(record.softwareVersion, (counts.get(record.softwareVersion) ?? 0) + 1);
		}
	}

	return byPool;
}

export function isSameCounts(a: VersionCounts, b: VersionCounts): boolean {
	return a.size === b.size && [...a].every(([version, count]) => b.get(version) === count);
}
