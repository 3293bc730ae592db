/**
 * Updates the configuration in force. Its version never decreases. An invalid
 * document is rejected before it reaches this module and changes no state.
 */
import type {ConfigurationReadEvent, ConfigurationRejectedEvent} from './event.js';
import {resetOwnedFraction} from './membership/owned-fraction.js';
import {recordEntry, type Step} from './state.js';
import {timelineKind} from './timeline-entry.js';

/** Applies a configuration unless it is older than the one in force. */
export function applyConfiguration(step: Step, event: ConfigurationReadEvent): void {
	const {tables} = step.state;
	const knownVersion = tables.configuration?.version ?? 0;
	const {version} = event.configuration;
	if (version < knownVersion) {
		return;
	}

	tables.highestVersion = Math.max(tables.highestVersion, version);
	if (version === knownVersion) {
		updateTablesCurrentAt(step, event);
		return;
	}

	tables.configuration = event.configuration;
	tables.text = event.text;
	tables.accountByDigest = indexDigests(event);
	tables.accountByName = new Map(event.configuration.accounts.map(account => [account.name, account]));
	updateTablesCurrentAt(step, event);
	resetOwnedFraction(step);
	recordEntry(step, {
		kind: timelineKind.configurationApplied, cause: `configuration-${version}`, peerId: event.source.peerId, detail: `Version ${version} is in force.`,
	});
}

/** Records the configuration service's report that the tables in force are the latest. */
export function applyTablesUnchanged(step: Step, currentAt: number): void {
	const {tables} = step.state;
	if (!hasLatestKnownVersion(step)) {
		return;
	}

	tables.readAt = Math.max(tables.readAt ?? Number.NEGATIVE_INFINITY, currentAt);
	advanceTablesCurrentAt(step);
}

/**
 * Confirms the tables only up to the time at which the list was current. The
 * list's `asOf` shows whether the configuration service has stopped updating;
 * the tables alone cannot show that.
 */
export function advanceTablesCurrentAt({state}: Step): void {
	const {tables, membership} = state;
	if (tables.readAt === undefined || membership.listCurrentAt === undefined) {
		return;
	}

	const confirmedAt = Math.min(tables.readAt, membership.listCurrentAt);
	tables.currentAt = Math.max(tables.currentAt ?? Number.NEGATIVE_INFINITY, confirmedAt);
}

/** True when no version is known that is higher than the one in force here. */
export function hasLatestKnownVersion({state}: Step): boolean {
	const {configuration, highestVersion} = state.tables;
	return configuration !== undefined && configuration.version >= highestVersion;
}

function updateTablesCurrentAt(step: Step, {source, currentAt}: ConfigurationReadEvent): void {
	const {tables} = step.state;
	if (source.peerId === undefined) {
		applyTablesUnchanged(step, currentAt);
		return;
	}

	tables.currentAt = Math.max(tables.currentAt ?? Number.NEGATIVE_INFINITY, currentAt);
}

/** Records a rejected configuration; the one in force remains. */
export function rejectConfiguration(step: Step, event: ConfigurationRejectedEvent): void {
	recordEntry(step, {
		kind: timelineKind.configurationRejected, cause: `configuration-${event.version ?? 'unknown'}`, peerId: event.source.peerId, detail: `Refused whole: ${event.faultCount} faults.`,
	});
}

function indexDigests({configuration}: ConfigurationReadEvent): Map<string, string> {
	const index = new Map<string, string>();
	for (const account of configuration.accounts) {
		for (const digest of account.keyDigests) {
			index.set(digest, account.name);
		}
	}

	return index;
}
