/**
 * Watches on the configuration service: which reads are under way, and when
 * the next is due. The service counts every call, so each watch has one call
 * open at most.
 */
import {effectKind} from './effect.js';
import {documentKind, type DocumentKind, type DocumentSource} from './event.js';
import {isWatcher} from './membership/peers.js';
import type {Step} from './state.js';

/** Longest time that the service may hold a watch, in milliseconds. */
const watchMaxWaitMs = 500;
/** Time after which a watch that has said nothing counts as lost, in milliseconds. */
const watchTimeoutMs = watchMaxWaitMs + 1500;
/** Time between a failed read and the next, in milliseconds. */
const readRetryDelayMs = 500;

/** Part of the fresh bound after which an instance that is no watcher reads by itself. */
const fallbackFraction = 0.8;

/** One watched document. */
export type Watch = {
	/** The service's revision that was read last; 0: none. */
	revision: number;
	/** Start of the call under way; undefined: none is. */
	callStartedAt?: number;
	nextReadAt: number;
};

export type WatchState = Record<DocumentKind, Watch>;

export function createWatchState(): WatchState {
	return {
		[documentKind.tables]: {revision: 0, nextReadAt: 0},
		[documentKind.list]: {revision: 0, nextReadAt: 0},
	};
}

/** Starts the reads that are due, and those that replace a silent one. */
export function startDueReads(step: Step): void {
	const {state, now, effects} = step;
	for (const document of Object.values(documentKind)) {
		const watch = state.watches[document];
		if (!needsRead(step, document)) {
			continue;
		}

		const isTimedOut = watch.callStartedAt !== undefined && now - watch.callStartedAt > watchTimeoutMs;
		const isDue = watch.callStartedAt === undefined && now >= watch.nextReadAt;
		if (isTimedOut || isDue) {
			watch.callStartedAt = now;
			effects.push({
				kind: effectKind.readDocument, document, after: watch.revision, waitMs: watchMaxWaitMs,
			});
		}
	}
}

/** True: this instance watches for others, is starting, or has not heard from the watchers for a while. */
function needsRead({state, now}: Step, document: DocumentKind): boolean {
	const {membership, tables} = state;
	const fleet = tables.configuration?.fleet;
	const currentAt = document === documentKind.tables ? tables.currentAt : membership.listCurrentAt;
	if (fleet === undefined || currentAt === undefined || !membership.history.hasJoined || isWatcher(state)) {
		return true;
	}

	return now - currentAt > fleet.freshMs * fallbackFraction;
}

/** Ends the read under way: the next starts at once, or after a pause when it failed. */
export function endRead(step: Step, document: DocumentKind, source: DocumentSource, hasFailed: boolean): void {
	if (source.peerId !== undefined) {
		return;
	}

	const watch = step.state.watches[document];
	watch.callStartedAt = undefined;
	watch.revision = source.revision ?? watch.revision;
	watch.nextReadAt = step.now + (hasFailed ? readRetryDelayMs : 0);
}
