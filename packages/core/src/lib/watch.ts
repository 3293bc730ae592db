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
const watchWaitMs = 500;
/** Time after which a watch that has said nothing counts as lost, in milliseconds. */
const watchSilenceMs = watchWaitMs + 1500;
/** Time between a failed read and the next, in milliseconds. */
const failedReadPauseMs = 500;

/** Part of the fresh bound after which an instance that is no watcher reads by itself. */
const fallbackPart = 0.8;

/** One watched document. */
export type Watch = {
	/** The service's revision that was read last; 0: none. */
	revision: number;
	/** Start of the call under way; undefined: none is. */
	openSince?: number;
	nextAt: number;
};

export type WatchState = Record<DocumentKind, Watch>;

export function createWatchState(): WatchState {
	return {
		[documentKind.tables]: {revision: 0, nextAt: 0},
		[documentKind.list]: {revision: 0, nextAt: 0},
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

		const isLost = watch.openSince !== undefined && now - watch.openSince > watchSilenceMs;
		const isDue = watch.openSince === undefined && now >= watch.nextAt;
		if (isLost || isDue) {
			watch.openSince = now;
			effects.push({
				kind: effectKind.readDocument, document, after: watch.revision, waitMs: watchWaitMs,
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

	return now - currentAt > fleet.freshMs * fallbackPart;
}

/** Ends the read under way: the next starts at once, or after a pause when it failed. */
export function endRead(step: Step, document: DocumentKind, source: DocumentSource, hasFailed: boolean): void {
	if (source.peerId !== undefined) {
		return;
	}

	const watch = step.state.watches[document];
	watch.openSince = undefined;
	watch.revision = source.revision ?? watch.revision;
	watch.nextAt = step.now + (hasFailed ? failedReadPauseMs : 0);
}
