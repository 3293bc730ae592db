/**
 * The reducer: every decision of a gateway, as a function of its state, an
 * event and the present time. The reducer performs no I/O and reads no clock.
 */
import type {Effect} from './effect.js';
import {
	eventKind, type Event, type FleetEvent, type TargetEvidenceEvent,
} from './event.js';
import {applyStreamPeerAnswered, applyStreamPeerCalled, exchangeStreams} from './streams/reduce-begun-streams.js';
import {applyLoadPeerAnswered, applyLoadPeerCalled} from './requests/reduce-load-queries.js';
import {advanceDrain, startDrain, startStop} from './requests/reduce-drain.js';
import {
	applyDirectoryLost, applyDirectoryRead, applyPeerAnswered, applyPeerCalled, applyPeerFailed, updateFleet,
} from './members/reduce-fleet.js';
import {
	advanceQueuedRequests, applyAnswerContinued, applyAnswerSilent, applyAnswerStarted, applyArrival, applyCallerLeft, applyHoldFailed,
	applySendEnded, applySendOpened,
	endTimedOutRequests, requestDeferredSilences, retrySilentSends,
} from './requests/reduce-requests.js';
import {applyHistoryRead, updateHistoryRead} from './versions/reduce-history.js';
import {applyTargetProbed, checkPathsForPeer, updatePaths} from './paths/reduce-paths.js';
import {applyTargetChecked, updateQuarantine} from './quarantine/reduce-quarantine.js';
import {applyEndCheck} from './streams/reduce-stream-ends.js';
import {advanceTakeUps, applyDirectoryRefreshed} from './streams/reduce-take-ups.js';
import {recordLog, type State, type Step} from './state.js';

/** Applies one event: changes `state` in place and returns the effects in the order in which they have to run. */
export function reduce(state: State, event: Event, now: number): readonly Effect[] {
	const step: Step = {state, now, effects: []};
	applyEvent(step, event);
	return step.effects;
}

/** Applies what a check or a probe has shown about a target. */
function applyTargetEvidence(step: Step, event: TargetEvidenceEvent): void {
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

function applyEvent(step: Step, event: Event): void {
	if (isFleetEvent(event)) {
		applyFleetEvent(step, event);
		return;
	}

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

		case eventKind.targetChecked:
		case eventKind.targetProbed: {
			applyTargetEvidence(step, event);
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
			exchangeStreams(step);
			advanceTakeUps(step);
			advanceQueuedRequests(step);
			endTimedOutRequests(step);
			advanceDrain(step);
			break;
		}
	}
}

const fleetEventKinds: ReadonlySet<string> = new Set<FleetEvent['kind']>([
	eventKind.directoryRead,
	eventKind.directoryLost,
	eventKind.historyRead,
	eventKind.directoryRefreshed,
	eventKind.peerCalled,
	eventKind.peerAnswered,
	eventKind.peerFailed,
	eventKind.streamPeerCalled,
	eventKind.streamPeerAnswered,
	eventKind.loadPeerCalled,
	eventKind.loadPeerAnswered,
]);

function isFleetEvent(event: Event): event is FleetEvent {
	return fleetEventKinds.has(event.kind);
}

/** Applies an event of the platform or of a peer. */
function applyFleetEvent(step: Step, event: FleetEvent): void {
	switch (event.kind) {
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

		case eventKind.directoryRefreshed: {
			applyDirectoryRefreshed(step, event);
			advanceQueuedRequests(step);
			advanceDrain(step);
			break;
		}

		case eventKind.peerCalled: {
			applyPeerCalled(step, event);
			checkPathsForPeer(step, event.message);
			break;
		}

		case eventKind.streamPeerCalled: {
			applyStreamPeerCalled(step, event);
			advanceTakeUps(step);
			break;
		}

		case eventKind.streamPeerAnswered: {
			applyStreamPeerAnswered(step, event);
			advanceTakeUps(step);
			advanceDrain(step);
			break;
		}

		case eventKind.loadPeerCalled: {
			applyLoadPeerCalled(step, event);
			break;
		}

		case eventKind.loadPeerAnswered: {
			applyLoadPeerAnswered(step, event);
			if (event.openId !== undefined) {
				advanceQueuedRequests(step);
				advanceDrain(step);
			}

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
	}
}
