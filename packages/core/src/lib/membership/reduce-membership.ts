/**
 * Reduces events about the list, the peers and draining.
 */
import {effectKind} from '../effect.js';
import {
	documentKind, type ListRead, type PeerFailed, type SummaryReceived,
} from '../event.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import {describeSummary} from './describe-summary.js';
import {findPeerAddress} from './peers.js';

/** Time between two exchanges with the same peer, in milliseconds. */
const exchangeIntervalMs = 500;

/** Takes a list unless it is older than the one in force. */
export function applyList(step: Step, event: ListRead): void {
	const {membership} = step.state;
	const knownAsOf = membership.list?.asOf ?? -1;
	if (event.list.asOf < knownAsOf) {
		return;
	}

	if (event.list.asOf > knownAsOf) {
		membership.listCurrentAt = event.currentAt;
	}

	const before = membership.list?.instances.length ?? 0;
	membership.list = event.list;
	if (event.list.instances.length !== before) {
		recordEntry(step, {
			kind: timelineKind.membershipChanged,
			cause: 'list',
			detail: `The list shows ${event.list.instances.length} instances and ${event.list.targets.length} targets.`,
		});
	}
}

/** Takes a peer's summary and fetches what it has newer. */
export function applySummary(step: Step, event: SummaryReceived): void {
	const {state, now, effects} = step;
	const {summary} = event;
	if (summary.instanceId === state.self.instanceId) {
		return;
	}

	state.membership.peers.set(summary.instanceId, {summary, heardAt: now});
	state.tables.highestVersion = Math.max(state.tables.highestVersion, summary.tablesVersion);
	const address = findPeerAddress(step, summary.instanceId);
	if (address === undefined) {
		return;
	}

	if (summary.tablesVersion > (state.tables.configuration?.version ?? 0)) {
		effects.push({
			kind: effectKind.fetchDocument, document: documentKind.tables, peerId: summary.instanceId, address,
		});
	}
}

/** Forgets when the peer was last asked, so that it is asked again at the next tick. */
export function applyPeerFailure(step: Step, event: PeerFailed): void {
	step.state.membership.exchangedAt.set(event.peerId, step.now);
}

/** Starts the exchanges that are due. */
export function exchangeWithPeers(step: Step): void {
	const {state, now, effects} = step;
	for (const {id, peerAddress} of state.membership.list?.instances ?? []) {
		const last = state.membership.exchangedAt.get(id) ?? Number.NEGATIVE_INFINITY;
		if (id === state.self.instanceId || now - last < exchangeIntervalMs) {
			continue;
		}

		state.membership.exchangedAt.set(id, now);
		effects.push({
			kind: effectKind.exchange, peerId: id, address: peerAddress, summary: describeSummary(state, now),
		});
	}
}
