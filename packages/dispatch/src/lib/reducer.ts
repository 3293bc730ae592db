/**
 * The reducer: every decision of a gateway, as a function of its state, an
 * event and the present time. The reducer performs no I/O and reads no clock.
 */
import {effectKind, logLevel, type Effect} from './effect.js';
import {eventKind, type DrainRequestedEvent, type Event} from './event.js';
import {choosePeers} from './members.js';
import {
	callPeers, applyDirectoryLost, applyDirectoryRead, applyPeerAnswered, applyPeerCalled, applyPeerFailed, updateFleet,
} from './reduce-fleet.js';
import {
	advanceQueuedRequests, applyAnswerContinued, applyAnswerSilent, applyAnswerStarted, applyArrival, applyCallerLeft, applySendEnded, applySendOpened,
	endTimedOutRequests,
} from './reduce-requests.js';
import {checkPathsForPeer, updatePaths} from './reduce-paths.js';
import {applyTargetChecked, updateQuarantine} from './reduce-quarantine.js';
import {drainAcceptDurationMs} from './resolve-request.js';
import {recordLog, type State, type Step} from './state.js';

/** Applies one event: changes `state` in place and returns the effects in the order in which they have to run. */
export function reduce(state: State, event: Event, now: number): readonly Effect[] {
	const step: Step = {state, now, effects: []};
	applyEvent(step, event);
	return step.effects;
}

function applyEvent(step: Step, event: Event): void {
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
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.callerLeft: {
			applyCallerLeft(step, event);
			finishDrainIfIdle(step);
			break;
		}

		case eventKind.targetChecked: {
			applyTargetChecked(step, event);
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

		case eventKind.settingsChanged: {
			step.state.members.seedAddresses = event.seedAddresses;
			recordLog(step, 'settings-changed', {seeds: event.seedAddresses});
			break;
		}

		case eventKind.tick: {
			updateFleet(step);
			updatePaths(step);
			updateQuarantine(step);
			advanceQueuedRequests(step);
			endTimedOutRequests(step);
			finishDrainIfIdle(step);
			break;
		}
	}
}

function startDrain(step: Step, {by}: DrainRequestedEvent): void {
	const {state, now} = step;
	if (state.drainStartedAt !== undefined) {
		return;
	}

	state.drainStartedAt = now;
	recordLog(step, 'drain-started', {by, open: state.openRequests.size}, logLevel.warn);
	callPeers(step, choosePeers(state.members, state.self.address, drainNotificationCount, state.random));
}

/** Number of peers that are called when this instance starts to drain; other peers remove this instance after a later message from it, or when its entry expires. */
const drainNotificationCount = 3;

/** Ends the drain when no request is open and callers had time to switch to another instance, or at the drain limit. */
function finishDrainIfIdle(step: Step): void {
	const {state, now} = step;
	if (state.drainStartedAt === undefined) {
		return;
	}

	const elapsed = now - state.drainStartedAt;
	const isLimitReached = elapsed >= state.bounds.drainLimitMs;
	if (isLimitReached || (state.openRequests.size === 0 && elapsed >= drainAcceptDurationMs + drainCloseDurationMs)) {
		step.effects.push({kind: effectKind.finishDrain, isLimitReached});
	}
}

/** Time after `drainAcceptDurationMs` for the connections of refused callers to close, in milliseconds. */
const drainCloseDurationMs = 600;
