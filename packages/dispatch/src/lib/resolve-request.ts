/**
 * Where a request leads by the tables in force: its route, its client account
 * and its pool. A "no" is final only while the directory is current.
 */
import {hashText} from '@sequoiatally/core';
import {err, ok, type Result} from 'neverthrow';
import type {Account, Route, Split} from './directory.js';
import type {RequestArrivedEvent} from './event.js';
import {createFailure, failureReason, type Failure} from './failure.js';
import {findPromptKey} from './prompt.js';
import {findRoute} from './route-index.js';
import type {Step} from './state.js';

/** Bounds between which callers are told to come back, drawn anew for each, in milliseconds. */
const minRetryAfterMs = 50;
const retryAfterJitterMs = 250;
/** Age of the directory from which a "no" of it is not certain any more, in milliseconds. */
const authoritativeAgeMs = 1500;
/** Time after the order to end in which every new request is still taken, in milliseconds; later, those that are sure to end in time. */
export const drainAcceptDurationMs = 2600;

/** A resolved request: where its route and its key lead. */
type ResolvedRequest = {readonly route: Route; readonly account?: Account};

/** Finds route and client account by the tables in force. */
export function resolveRequest(step: Step, {host, path, keyDigest}: Pick<RequestArrivedEvent, 'host' | 'path' | 'keyDigest'>): Result<ResolvedRequest, Failure> {
	const {directory, drainStartedAt} = step.state;
	if (directory.tables === undefined) {
		return err(createFailure(failureReason.notReady, drawRetryAfterMs(step)));
	}

	const route = findRoute(directory.routes, host, path);
	if (route === undefined) {
		return err(createUnknownFailure(step, failureReason.noRoute));
	}

	if (drainStartedAt !== undefined && !canFinishInDrain(step, route, drainStartedAt)) {
		return err(createFailure(failureReason.draining, 0));
	}

	if (route.isPublic || directory.tables.accounts === undefined) {
		return ok({route});
	}

	const account = keyDigest === undefined ? undefined : directory.accountByDigest.get(keyDigest);
	return account === undefined ? err(createUnknownFailure(step, failureReason.keyUnknown)) : ok({route, account});
}

/** True when a new request can be answered before this instance ends. */
function canFinishInDrain({state, now}: Step, route: Route, drainStartedAt: number): boolean {
	const elapsed = now - drainStartedAt;
	return elapsed <= drainAcceptDurationMs || elapsed + route.timeLimitMs <= state.bounds.drainLimitMs;
}

/** A "no" that rests on an old directory is not certain: another instance may know better. */
function createUnknownFailure(step: Step, reason: typeof failureReason.noRoute | typeof failureReason.keyUnknown): Failure {
	const age = computeDirectoryAge(step);
	return age === undefined || age > authoritativeAgeMs
		? createFailure(failureReason.directoryStale, drawRetryAfterMs(step))
		: createFailure(reason);
}

export function computeDirectoryAge({state, now}: Step): number | undefined {
	const {confirmedAt} = state.directory;
	return confirmedAt === undefined ? undefined : Math.round(now - confirmedAt);
}

/** Draws the pool of a split route; requests that share a prompt stay together. */
export function choosePool(splits: readonly Split[], {requestId, promptParts}: Pick<RequestArrivedEvent, 'requestId' | 'promptParts'>): string {
	if (splits.length === 1) {
		return splits[0]!.pool;
	}

	let total = 0;
	for (const {weight} of splits) {
		total += weight;
	}

	let position = hashText(findPromptKey(promptParts) ?? requestId, poolHashSeed) / hashRange * total;
	for (const {pool, weight} of splits) {
		position -= weight;
		if (position < 0) {
			return pool;
		}
	}

	return splits.at(-1)!.pool;
}

/** Seed that keeps the draw of a pool apart from the order of targets. */
const poolHashSeed = 1;
/** Number of values of a hash. */
const hashRange = 2 ** 32;

export function drawRetryAfterMs({state}: Step): number {
	return minRetryAfterMs + (state.random() * retryAfterJitterMs);
}
