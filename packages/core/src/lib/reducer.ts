/**
 * The reducer: makes every decision of a router from its state, an event and
 * the present time. It does no input or output and reads no clock.
 */
import {updateBuckets} from './allowance/allowance-state.js';
import {
	applyLoanGrant, applyLoanFailure, borrowRates, returnTokenLoans,
} from './allowance/borrow-share.js';
import {applyBorrowRequest, applyLoanReturn} from './allowance/lend-share.js';
import {effectKind, type Effect} from './effect.js';
import {
	documentKind, eventKind, type DocumentUnchangedEvent, type DrainRequestedEvent, type Event,
} from './event.js';
import {
	applyList, applyListUnchanged, applyPeerFailure, applySummary, exchangeWithPeers, updateMembership,
} from './membership/reduce-membership.js';
import {recordPause} from './membership/pause.js';
import {
	advanceQueuedRequests, applyArrival, applyAttemptEnd, applyCallerLeft, applyForwardEnd,
} from './requests/reduce-requests.js';
import {expireTickets} from './requests/reduce-tickets.js';
import {recordEntry, type State, type Step} from './state.js';
import {applyConfiguration, applyTablesUnchanged, rejectConfiguration} from './tables.js';
import {updateSlotLoans} from './targets/slot-share.js';
import {applyLoadReport, applyPeerEvidence} from './targets/target-boot.js';
import {applyListedTargets} from './targets/target-state.js';
import {timelineKind} from './timeline-entry.js';
import {endRead, startDueReads} from './watch.js';

/**
 * Applies one event. Changes `state` in place and returns the effects in the
 * order in which they have to be performed.
 */
export function reduce(state: State, event: Event, now: number): readonly Effect[] {
	const step: Step = {state, now, effects: []};
	recordPause(step);
	applyEvent(step, event);
	return step.effects;
}

// A single switch with one case per event kind keeps all transitions visible in one place.

function applyEvent(step: Step, event: Event): void {
	switch (event.kind) {
		case eventKind.requestArrived: {
			applyArrival(step, event);
			break;
		}

		case eventKind.attemptEnded: {
			applyAttemptEnd(step, event);
			advanceQueuedRequests(step);
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.forwardEnded: {
			applyForwardEnd(step, event);
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.callerLeft: {
			applyCallerLeft(step, event);
			advanceQueuedRequests(step);
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.configurationRead: {
			endRead(step, documentKind.tables, event.source, false);
			applyConfiguration(step, event);
			updateBuckets(step);
			advanceQueuedRequests(step);
			break;
		}

		case eventKind.configurationRejected: {
			endRead(step, documentKind.tables, event.source, false);
			rejectConfiguration(step, event);
			break;
		}

		case eventKind.listRead: {
			endRead(step, documentKind.list, event.source, false);
			applyList(step, event);
			applyListedTargets(step);
			advanceQueuedRequests(step);
			break;
		}

		case eventKind.documentUnchanged: {
			applyDocumentUnchanged(step, event);
			endRead(step, event.document, {}, false);
			break;
		}

		case eventKind.readFailed: {
			endRead(step, event.document, event.source, true);
			break;
		}

		case eventKind.summaryReceived: {
			applySummary(step, event);
			applyPeerEvidence(step, event);
			break;
		}

		case eventKind.peerFailed: {
			applyPeerFailure(step, event);
			break;
		}

		case eventKind.loadReported: {
			applyLoadReport(step, event);
			advanceQueuedRequests(step);
			break;
		}

		case eventKind.borrowRequested: {
			applyBorrowRequest(step, event);
			break;
		}

		case eventKind.loanGranted: {
			applyLoanGrant(step, event);
			advanceQueuedRequests(step);
			returnTokenLoans(step);
			break;
		}

		case eventKind.loanFailed: {
			applyLoanFailure(step, event);
			advanceQueuedRequests(step);
			break;
		}

		case eventKind.loanGivenBack: {
			applyLoanReturn(step, event);
			advanceQueuedRequests(step);
			break;
		}

		case eventKind.drainRequested: {
			startDrain(step, event);
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.undrainRequested: {
			stopDrain(step, event.by);
			break;
		}

		case eventKind.tick: {
			updateMembership(step);
			startDueReads(step);
			exchangeWithPeers(step);
			updateBuckets(step);
			borrowRates(step);
			updateSlotLoans(step);
			advanceQueuedRequests(step);
			expireTickets(step);
			finishDrainIfIdle(step);
			break;
		}
	}
}

function applyDocumentUnchanged(step: Step, {
	document, revision, asOf, currentAt,
}: DocumentUnchangedEvent): void {
	// A lagging replica has no newer revision either, so its answer does not show that the document is current.
	if (revision < step.state.watches[document].revision) {
		return;
	}

	if (document === documentKind.tables) {
		applyTablesUnchanged(step, currentAt);
	} else if (asOf !== undefined) {
		applyListUnchanged(step, asOf, currentAt);
	}
}

function startDrain(step: Step, {by, graceMs, keepsRunning = false}: DrainRequestedEvent): void {
	const {membership} = step.state;
	// A request to exit after the drain overrides one to keep running, whichever came first.
	membership.keepsRunningAfterDrain = keepsRunning && (membership.keepsRunningAfterDrain || !membership.isDraining);
	if (membership.isDraining) {
		return;
	}

	membership.isDraining = true;
	membership.drainStartedAt = step.now;
	membership.acceptsUntil = step.now + (graceMs ?? 0);
	recordEntry(step, {kind: timelineKind.drainStarted, cause: 'drain', detail: `Requested by ${by}.`});
}

/** Accepts new requests again, unless the process is about to exit. */
function stopDrain(step: Step, by: string): void {
	const {membership} = step.state;
	if (membership.isDraining && membership.keepsRunningAfterDrain) {
		membership.isDraining = false;
		recordEntry(step, {kind: timelineKind.drainEnded, cause: 'drain', detail: `Undrained by ${by}.`});
	}
}

function finishDrainIfIdle(step: Step): void {
	const {membership, requests} = step.state;
	const isIdle = requests.pending.size === 0 && step.now >= (membership.acceptsUntil ?? 0);
	if (membership.isDraining && !membership.keepsRunningAfterDrain && isIdle) {
		step.effects.push({kind: effectKind.finishDrain});
	}
}
