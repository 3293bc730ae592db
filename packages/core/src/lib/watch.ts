/**
 * Watches on the configuration service: which reads are in progress and when
 * the next read is due. The service counts every call, so each watch keeps at
 * most one call open; a call that timed out is replaced.
 */
import {effectKind} from './effect.js';
import {documentKind, type DocumentKind, type DocumentSource} from './event.js';
import {isWatcher} from './membership/peers.js';
import type {Step} from './state.js';

/** Longest time for which the service may hold a watch call open, in milliseconds. */
const watchMaxWaitMs = 500;
/** Time after which an unanswered watch call is replaced, in milliseconds. */
const watchTimeoutMs = watchMaxWaitMs + 1500;
/** Delay between a failed read and the next one, in milliseconds. */
const readRetryDelayMs = 500;

/** Fraction of `fleet.freshMs` after which a follower without a newer confirmation reads the service itself. */
const fallbackFraction = 0.8;

/** One watched document. */
export type Watch = {
	/** Revision of the service that was read last; 0 if none was read. */
	revision: number;
	/** Start of the open call; `undefined` if no call is open. */
	callStartedAt?: number;
	/** Time at which the next read is due. */
	nextReadAt: number;
};

export type WatchState = Record<DocumentKind, Watch>;

export function createWatchState(): WatchState {
	return {
		[documentKind.tables]: {revision: 0, nextReadAt: 0},
		[documentKind.list]: {revision: 0, nextReadAt: 0},
	};
}

/** Starts the reads that are due and replaces calls that timed out. */
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

/** True when this instance is a watcher, is starting, or has received no confirmation of the document for a while. */
function needsRead({state, now}: Step, document: DocumentKind): boolean {
	const {membership, tables} = state;
	const fleet = tables.configuration?.fleet;
	const currentAt = document === documentKind.tables ? tables.currentAt : membership.listCurrentAt;
	if (fleet === undefined || currentAt === undefined || !membership.history.hasJoined || isWatcher(state)) {
		return true;
	}

	return now - currentAt > fleet.freshMs * fallbackFraction;
}

/** Ends the open read of the configuration service; a document relayed by a peer does not end it. The next read is due at once, or after a delay if this one failed. */
export function endRead(step: Step, document: DocumentKind, source: DocumentSource, hasFailed: boolean): void {
	if (source.peerId !== undefined) {
		return;
	}

	const watch = step.state.watches[document];
	watch.callStartedAt = undefined;
	watch.revision = source.revision ?? watch.revision;
	watch.nextReadAt = step.now + (hasFailed ? readRetryDelayMs : 0);
}
