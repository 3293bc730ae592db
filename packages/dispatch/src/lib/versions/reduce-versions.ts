/**
 * Keeps each resumable stream at the software version that began it, inside one response. How
 * the version is found when a caller takes up a stream that was cut: `reduce-take-ups.ts`.
 */
import {hasResumableStreams} from '../directory/directory-facts.js';
import type {RequestArrivedEvent} from '../event.js';
import {choosePool, type ResolvedRequest} from '../requests/resolve-request.js';
import type {OpenRequest, Step} from '../state.js';
import {chooseVersion, countVersions, isSameCounts} from './stream-version.js';
import type {VersionCounts} from './version-history.js';

const noCounts: VersionCounts = new Map();

/** Counts the software versions of all pools again after the directory has changed, and records those that changed. */
export function updatePoolVersions({state, now}: Step): void {
	const before = state.poolVersions;
	const counted = countVersions(state.targets.byId.values(), state.directory.closedZones);
	const poolNames = new Set([...before.keys(), ...counted.keys()]);
	const current = new Map<string, VersionCounts>();
	for (const poolName of poolNames) {
		const counts = counted.get(poolName) ?? noCounts;
		const known = before.get(poolName);
		if (known === undefined || !isSameCounts(known, counts)) {
			state.versionHistory.record(poolName, counts, now);
		}

		if (counts.size > 0 || state.directory.poolByName.has(poolName)) {
			current.set(poolName, counts);
		}
	}

	state.poolVersions = current;
}

/** Finds the software version of the targets that may run the request; `undefined` if all may. */
export function findRequiredVersion({state}: Step, {route, poolName, streamId, boundVersion}: OpenRequest): string | undefined {
	if (boundVersion !== undefined || !hasResumableStreams(route)) {
		return boundVersion;
	}

	const counts = state.poolVersions.get(poolName);
	return counts === undefined || counts.size <= 1 ? undefined : chooseVersion(counts, streamId);
}

/** Binds a request whose response has begun to the software version of the target; a target of a peer may be unknown. */
export function bindVersion(request: OpenRequest, softwareVersion: string | undefined): void {
	const {target, isRelayed} = request.currentSend!;
	request.boundVersion ??= isRelayed ? softwareVersion : target.record.softwareVersion;
}

/** What serves a request that may take up a stream. */
export type AdmittedRequest = ResolvedRequest & Pick<OpenRequest, 'poolName' | 'streamId' | 'boundVersion'> & {
	/** True if the version that began the stream has to be found before the request is sent. */
	readonly isTakeUp: boolean;
};

/** Finds pool and stream of a request whose caller may take up a stream. */
export function resolveStream(event: RequestArrivedEvent, resolved: ResolvedRequest): AdmittedRequest {
	const {route} = resolved;
	const {relayedFrom, resumesAfterEventId, resumedRequestId} = event;
	const resumes = hasResumableStreams(route) && resumesAfterEventId !== undefined;
	const streamId = resumes ? resumedRequestId ?? event.requestId : event.requestId;
	const poolName = choosePool(route.splits, {streamId, promptParts: event.promptParts});
	const boundVersion = relayedFrom?.softwareVersion;
	return {
		...resolved, poolName, streamId, boundVersion, isTakeUp: resumes && boundVersion === undefined,
	};
}
