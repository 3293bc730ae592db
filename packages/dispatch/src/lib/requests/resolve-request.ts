/**
 * Resolves the route, client account and pool of a request with the current
 * configuration tables. A missing route or key is reported as final only while
 * the directory is current.
 */
import {hashText} from '@sequoiatally/core';
import {err, ok, type Result} from 'neverthrow';
import type {Account, Route, Split} from '../directory/directory-facts.js';
import type {RequestArrivedEvent} from '../event.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {findPromptKey} from '../targets/prompt.js';
import {findRoute} from './route-index.js';
import type {OpenRequest, Step} from '../state.js';

/** Smallest retry delay that is sent to callers, and the largest random addition, which spreads their retries, in milliseconds. */
const minRetryAfterMs = 50;
const retryAfterJitterMs = 250;

/** The route of a request and the client account of its key. */
export type ResolvedRequest = {readonly route: Route; readonly account?: Account};

/** Finds route and client account in the current configuration tables. */
export function resolveRequest(step: Step, {host, path, keyDigest}: Pick<RequestArrivedEvent, 'host' | 'path' | 'keyDigest'>): Result<ResolvedRequest, Failure> {
	const {directory} = step.state;
	if (directory.tables === undefined) {
		return err(createFailure(failureReason.notReady, drawRetryAfterMs(step)));
	}

	const route = findRoute(directory.routes, host, path);
	if (route === undefined) {
		return err(createLookupFailure(step, failureReason.noRoute));
	}

	if (route.isPublic || directory.tables.accounts === undefined) {
		return ok({route});
	}

	const account = keyDigest === undefined ? undefined : directory.accountByDigest.get(keyDigest);
	return account === undefined ? err(createLookupFailure(step, failureReason.keyUnknown)) : ok({route, account});
}

/** Creates the failure for a missing route or key; with an old directory it asks for a retry, since another instance may have a newer directory. */
function createLookupFailure(step: Step, reason: typeof failureReason.noRoute | typeof failureReason.keyUnknown): Failure {
	const age = computeDirectoryAge(step);
	return age === undefined || age > step.state.timing.authoritativeAgeMs
		? createFailure(failureReason.directoryStale, drawRetryAfterMs(step))
		: createFailure(reason);
}

export function computeDirectoryAge({state, now}: Step): number | undefined {
	const {confirmedAt} = state.directory;
	return confirmedAt === undefined ? undefined : Math.round(now - confirmedAt);
}

/** Chooses a pool of a split route by weight and hash; requests that share a prompt get the same pool. */
export function choosePool(splits: readonly Split[], {streamId, promptParts}: Pick<OpenRequest, 'streamId' | 'promptParts'>): string {
	if (splits.length === 1) {
		return splits[0]!.pool;
	}

	let total = 0;
	for (const {weight} of splits) {
		total += weight;
	}

	let position = hashText(findPromptKey(promptParts) ?? streamId, poolHashSeed) / hashRange * total;
	for (const {pool, weight} of splits) {
		position -= weight;
		if (position < 0) {
			return pool;
		}
	}

	return splits.at(-1)!.pool;
}

/** Hash seed that makes the choice of a pool independent of the ranking of targets. */
const poolHashSeed = 1;
/** Number of hash values. */
const hashRange = 2 ** 32;

export function drawRetryAfterMs({state}: Step): number {
	return minRetryAfterMs + (state.random() * retryAfterJitterMs);
}
