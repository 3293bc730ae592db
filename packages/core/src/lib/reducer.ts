/**
 * The reducer: every decision of a router, as a function of its state, an
 * event and the present time. It does no input or output and reads no clock.
 */
import {updateBuckets} from './allowance/allowance-state.js';
import {
	applyLoan, applyLoanFailure, borrowRates, giveBackTokens,
} from './allowance/borrow-share.js';
import {applyBorrowRequest, applyGivenBack} from './allowance/lend-share.js';
import {effectKind, type Effect} from './effect.js';
import {
	documentKind, eventKind, type DocumentUnchanged, type DrainRequested, type Event,
} from './event.js';
import {
	applyList, applyListUnchanged, applyPeerFailure, applySummary, exchangeWithPeers, updateMembership,
} from './membership/reduce-membership.js';
import {recordPause} from './membership/pause.js';
import {
	advanceWaiting, applyArrival, applyAttemptEnd, applyCallerLeft, applyForwardEnd,
} from './requests/reduce-requests.js';
import {releaseTickets} from './requests/reduce-tickets.js';
import {recordEntry, type State, type Step} from './state.js';
import {applyConfiguration, applyTablesUnchanged, rejectConfiguration} from './tables.js';
import {updateSlotLoans} from './targets/slot-share.js';
import {applyLoadReport, applyPeerEvidence} from './targets/target-boot.js';
import {applyListedTargets} from './targets/target-state.js';
import {timelineKind} from './timeline-entry.js';
import {endRead, startDueReads} from './watch.js';

/**
 * Applies one event. Changes `state` in place and returns the effects in the
 * order in which they are to be carried out.
 */
export function reduce(state: State, event: Event, now: number): readonly Effect[] {
	const step: Step = {state, now, effects: []};
	recordPause(step);
	applyEvent(step, event);
	return step.effects;
}

// One case per event keeps the whole of what can happen in sight.

function applyEvent(step: Step, event: Event): void {
	switch (event.kind) {
		case eventKind.requestArrived: {
			applyArrival(step, event);
			break;
		}

		case eventKind.attemptEnded: {
			applyAttemptEnd(step, event);
			advanceWaiting(step);
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
			advanceWaiting(step);
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.configurationRead: {
			endRead(step, documentKind.tables, event.source, false);
			applyConfiguration(step, event);
			updateBuckets(step);
			advanceWaiting(step);
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
			advanceWaiting(step);
			break;
		}

		case eventKind.documentUnchanged: {
			applyUnchanged(step, event);
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
			advanceWaiting(step);
			break;
		}

		case eventKind.borrowRequested: {
			applyBorrowRequest(step, event);
			break;
		}

		case eventKind.loanGranted: {
			applyLoan(step, event);
			advanceWaiting(step);
			giveBackTokens(step);
			break;
		}

		case eventKind.loanFailed: {
			applyLoanFailure(step, event);
			advanceWaiting(step);
			break;
		}

		case eventKind.loanGivenBack: {
			applyGivenBack(step, event);
			advanceWaiting(step);
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
			advanceWaiting(step);
			releaseTickets(step);
			finishDrainIfIdle(step);
			break;
		}
	}
}

function applyUnchanged(step: Step, {
	document, revision, asOf, currentAt,
}: DocumentUnchanged): void {
	// A replica that is behind has nothing newer to show, and proves nothing.
	if (revision < step.state.watches[document].revision) {
		return;
	}

	if (document === documentKind.tables) {
		applyTablesUnchanged(step, currentAt);
	} else if (asOf !== undefined) {
		applyListUnchanged(step, asOf, currentAt);
	}
}

function startDrain(step: Step, {by, graceMs, staysAfter = false}: DrainRequested): void {
	const {membership} = step.state;
	// A later request to end the process overrules one that keeps it.
	membership.keepsRunningAfterDrain = staysAfter && (membership.keepsRunningAfterDrain || !membership.isDraining);
	if (membership.isDraining) {
		return;
	}

	membership.isDraining = true;
	membership.drainStartedAt = step.now;
	membership.acceptsUntil = step.now + (graceMs ?? 0);
	recordEntry(step, {kind: timelineKind.drainStarted, cause: 'drain', detail: `Requested by ${by}.`});
}

/** Takes new work again, unless the process is about to end. */
function stopDrain(step: Step, by: string): void {
	const {membership} = step.state;
	if (membership.isDraining && membership.keepsRunningAfterDrain) {
		membership.isDraining = false;
		recordEntry(step, {kind: timelineKind.drainEnded, cause: 'drain', detail: `Undrained by ${by}.`});
	}
}

function finishDrainIfIdle(step: Step): void {
	const {membership, requests} = step.state;
	const isOver = requests.pending.size === 0 && step.now >= (membership.acceptsUntil ?? 0);
	if (membership.isDraining && !membership.keepsRunningAfterDrain && isOver) {
		step.effects.push({kind: effectKind.finishDrain});
	}
}
