/**
 * The reducer: every decision of a gateway, as a function of its state, an
 * event and the present time. The reducer performs no I/O and reads no clock.
 */
import type {Effect} from './effect.js';
import {
	eventKind, type Event, type TargetCheckedEvent, type TargetProbedEvent,
} from './event.js';
import {advanceDrain, startDrain, startStop} from './reduce-drain.js';
import {
	applyDirectoryLost, applyDirectoryRead, applyPeerAnswered, applyPeerCalled, applyPeerFailed, updateFleet,
} from './reduce-fleet.js';
import {
	advanceQueuedRequests, applyAnswerContinued, applyAnswerSilent, applyAnswerStarted, applyArrival, applyCallerLeft, applyHoldFailed,
	applySendEnded, applySendOpened,
	endTimedOutRequests, requestDeferredSilences, retrySilentSends,
} from './reduce-requests.js';
import {applyHistoryRead, updateHistoryRead} from './reduce-history.js';
import {applyTargetProbed, checkPathsForPeer, updatePaths} from './reduce-paths.js';
import {applyTargetChecked, updateQuarantine} from './reduce-quarantine.js';
import {applyEndCheck} from './reduce-stream-ends.js';
import {recordLog, type State, type Step} from './state.js';

/** Applies one event: changes `state` in place and returns the effects in the order in which they have to run. */
export function reduce(state: State, event: Event, now: number): readonly Effect[] {
	const step: Step = {state, now, effects: []};
	if (event.kind === eventKind.targetChecked || event.kind === eventKind.targetProbed) {
		applyTargetEvidence(step, event);
	} else {
		applyEvent(step, event);
	}

	return step.effects;
}

/** Applies what a check or a probe has shown about a target. */
function applyTargetEvidence(step: Step, event: TargetCheckedEvent | TargetProbedEvent): void {
	if (event.kind === eventKind.targetChecked) {
		applyTargetChecked(step, event);
		applyEndCheck(step, event);
		advanceDrain(step);
	} else {
		applyTargetProbed(step, event);
		retrySilentSends(step);
		requestDeferredSilences(step);
		advanceQueuedRequests(step);
	}
}

function applyEvent(step: Step, event: Exclude<Event, TargetCheckedEvent | TargetProbedEvent>): void {
	switch (event.kind) {
		case eventKind.requestArrived: {
			applyArrival(step, event);
			break;
		}

		case eventKind.sendOpened: {
			applySendOpened(step, event);
			break;
		}

		case eventKind.answerContinued: {
			applyAnswerContinued(step, event);
			break;
		}

		case eventKind.answerStarted: {
			applyAnswerStarted(step, event);
			break;
		}

		case eventKind.answerSilent: {
			applyAnswerSilent(step, event);
			break;
		}

		case eventKind.sendEnded: {
			applySendEnded(step, event);
			advanceDrain(step);
			break;
		}

		case eventKind.callerLeft: {
			applyCallerLeft(step, event);
			advanceDrain(step);
			break;
		}

		case eventKind.holdFailed: {
			applyHoldFailed(step, event);
			advanceDrain(step);
			break;
		}

		case eventKind.directoryRead: {
			applyDirectoryRead(step, event);
			advanceQueuedRequests(step);
			break;
		}

		case eventKind.directoryLost: {
			applyDirectoryLost(step, event);
			break;
		}

		case eventKind.historyRead: {
			applyHistoryRead(step, event);
			break;
		}

		case eventKind.peerCalled: {
			applyPeerCalled(step, event);
			checkPathsForPeer(step, event.message);
			break;
		}

		case eventKind.peerAnswered: {
			applyPeerAnswered(step, event);
			break;
		}

		case eventKind.peerFailed: {
			applyPeerFailed(step, event);
			break;
		}

		case eventKind.drainRequested: {
			startDrain(step, event);
			break;
		}

		case eventKind.stopRequested: {
			startStop(step, event.by);
			break;
		}

		case eventKind.settingsChanged: {
			step.state.members.seedAddresses = event.seedAddresses;
			recordLog(step, 'settings-changed', {seeds: event.seedAddresses});
			break;
		}

		case eventKind.tick: {
			updateFleet(step);
			updateHistoryRead(step);
			updatePaths(step);
			retrySilentSends(step);
			requestDeferredSilences(step);
			updateQuarantine(step);
			advanceQueuedRequests(step);
			endTimedOutRequests(step);
			advanceDrain(step);
			break;
		}
	}
}
