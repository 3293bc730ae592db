/**
 * Applies events about the instance list and the peers to the membership
 * state.
 */
import {advanceTablesCurrentAt, hasLatestKnownVersion} from '../tables.js';
import {effectKind} from '../effect.js';
import {
	documentKind, type ListReadEvent, type PeerFailedEvent, type SummaryReceivedEvent,
} from '../event.js';
import type {InstanceList} from '../configuration/instance-list.js';
import {hashText} from '../hash.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import {describeSummary} from './describe-summary.js';
import {
	expireMembers, mergePeerHistory, recordList, recordPlatformTime, updateJoined,
} from './list-history.js';
import {findOwnRank, resetOwnedFraction} from './owned-fraction.js';
import {findPeerAddress, listExchangePartners} from './peers.js';

/** Longest time after the first list for which a starting instance waits for summaries of its peers. */
const initialExchangeTimeoutMs = 2000;
/** Least time between two requests for a peer's list. */
const listFetchIntervalMs = 300;
/** Number of values of the second part of a list's hash: 21 bits. */
const secondHashValueCount = 2_097_152;

/** Applies a list if it is newer than the current one. */
export function applyList(step: Step, event: ListReadEvent): void {
	const {membership} = step.state;
	const knownAsOf = membership.list?.asOf ?? -1;
	if (event.list.asOf < knownAsOf) {
		return;
	}

	const previousCount = membership.list?.instances.length ?? 0;
	if (event.list.asOf > knownAsOf) {
		membership.listHash = computeListHash(event.list);
		storeList(step, event.list, event.currentAt);
	}

	if (event.list.instances.length !== previousCount) {
		recordEntry(step, {
			kind: timelineKind.membershipChanged,
			cause: 'list',
			detail: `The list shows ${event.list.instances.length} instances and ${event.list.targets.length} targets.`,
		});
	}
}

/** Applies a report of the configuration service or of a peer that the list was unchanged as of a later time. */
export function applyListUnchanged(step: Step, asOf: number, currentAt: number): void {
	const {list} = step.state.membership;
	if (list !== undefined && asOf > list.asOf) {
		storeList(step, {...list, asOf}, currentAt);
	}
}

/** Updates the state that depends on the list and on the time; to be called at each tick. */
export function updateMembership(step: Step): void {
	const {state, now} = step;
	const {membership, tables} = state;
	const fleet = tables.configuration?.fleet;
	if (fleet === undefined) {
		return;
	}

	updateJoined(membership.history, fleet, now);
	expireMembers(membership.history, fleet, now);
	membership.mayServe ||= hasContactedPeers(step) && hasLatestKnownVersion(step);
	checkCeiling(step, fleet.ceiling);
}

/** Applies a peer's summary, and fetches the documents of which the peer has newer versions. */
export function applySummary(step: Step, event: SummaryReceivedEvent): void {
	const {state, now} = step;
	const {summary} = event;
	if (summary.instanceId === state.self.instanceId) {
		return;
	}

	state.membership.peers.set(summary.instanceId, {summary, receivedAt: now});
	state.tables.highestVersion = Math.max(state.tables.highestVersion, summary.tablesVersion);
	applyPeerList(step, event);
	if (event.isAnswer === true) {
		state.membership.contactedPeers.add(summary.instanceId);
		applyPeerTablesAge(step, event);
	}

	if (!hasLatestKnownVersion(step) && summary.tablesVersion > (state.tables.configuration?.version ?? 0)) {
		fetchDocument(step, documentKind.tables, summary.instanceId);
	}
}

/** Records a failed exchange; the next one with the peer starts after the regular interval. */
export function applyPeerFailure(step: Step, event: PeerFailedEvent): void {
	const {membership} = step.state;
	membership.lastExchangeAt.set(event.peerId, step.now);
	membership.contactedPeers.add(event.peerId);
}

/** Starts the exchanges that are due. */
export function exchangeWithPeers(step: Step): void {
	const {state, now, effects} = step;
	for (const {id, address, intervalMs} of listExchangePartners(step)) {
		const lastExchangeAt = state.membership.lastExchangeAt.get(id) ?? Number.NEGATIVE_INFINITY;
		if (now - lastExchangeAt < intervalMs) {
			continue;
		}

		state.membership.lastExchangeAt.set(id, now);
		effects.push({
			kind: effectKind.exchange, peerId: id, address, summary: describeSummary(state, now),
		});
	}
}

function storeList(step: Step, list: InstanceList, currentAt: number): void {
	const {state, now} = step;
	const {membership, tables} = state;
	membership.list = list;
	membership.firstListAt ??= now;
	recordList(membership.history, list, currentAt, {selfId: state.self.instanceId, fleet: tables.configuration?.fleet, now});
	membership.listCurrentAt = membership.history.currentAt;
	resetOwnedFraction(step);
	advanceTablesCurrentAt(step);
}

function applyPeerList(step: Step, {summary, startedAt, isAnswer}: SummaryReceivedEvent): void {
	const {state, now} = step;
	const {membership} = state;
	const {history} = membership;
	recordPlatformTime(history, summary.listAsOf, now);
	const isNewer = summary.listAsOf > (membership.list?.asOf ?? -1);
	const isSame = summary.listHash === membership.listHash;
	if (isNewer && !isSame && now - membership.listRequestedAt >= listFetchIntervalMs) {
		membership.listRequestedAt = now;
		fetchDocument(step, documentKind.list, summary.instanceId);
	}

	if (isNewer && isSame && isAnswer === true && summary.listAgeMs !== undefined) {
		applyListUnchanged(step, summary.listAsOf, startedAt - summary.listAgeMs);
	}

	if (summary.isHistoryComplete === true) {
		mergePeerHistory(history, summary.absent ?? [], summary.listAsOf, now);
		resetOwnedFraction(step);
	}
}

function applyPeerTablesAge(step: Step, {summary, startedAt}: SummaryReceivedEvent): void {
	const {tables} = step.state;
	const isSameVersion = summary.tablesVersion === tables.configuration?.version;
	if (isSameVersion && summary.tablesAgeMs !== undefined) {
		const currentAt = startedAt - summary.tablesAgeMs;
		tables.currentAt = Math.max(tables.currentAt ?? Number.NEGATIVE_INFINITY, currentAt);
	}
}

function fetchDocument(step: Step, document: typeof documentKind[keyof typeof documentKind], peerId: string): void {
	const address = findPeerAddress(step, peerId);
	if (address !== undefined) {
		step.effects.push({
			kind: effectKind.fetchDocument, document, peerId, address,
		});
	}
}

/** Whether an exchange with every listed peer has completed or failed, or the initial wait has timed out. */
function hasContactedPeers({state, now}: Step): boolean {
	const {membership, self} = state;
	if (membership.list === undefined) {
		return false;
	}

	const hasTimedOut = now - (membership.firstListAt ?? now) >= initialExchangeTimeoutMs;
	return hasTimedOut || membership.list.instances.every(({id}) => id === self.instanceId || membership.contactedPeers.has(id));
}

function checkCeiling(step: Step, ceiling: number): void {
	const {membership} = step.state;
	const isOver = (findOwnRank(step) ?? 0) >= ceiling;
	if (isOver && !membership.isOverCeiling) {
		recordEntry(step, {
			kind: timelineKind.alarmRaised,
			cause: 'ceiling',
			detail: `The list shows more instances than fleet.ceiling (${ceiling}); this one owns no share. Raise the ceiling or stop instances.`,
		});
	}

	membership.isOverCeiling = isOver;
}

function computeListHash({instances, targets}: InstanceList): number {
	const text = JSON.stringify([instances, targets]);
	// A number holds integers of up to 53 bits exactly: one hash of 32 bits and 21 bits of a second one.
	return (hashText(text) * secondHashValueCount) + (hashText(text, 1) % secondHashValueCount);
}
