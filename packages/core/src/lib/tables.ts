/**
 * The configuration in force. Versions only go up; an invalid document never
 * gets here, so it changes nothing anywhere.
 */
import type {ConfigurationRead, ConfigurationRejected} from './event.js';
import {resetOwnedFraction} from './membership/owned-fraction.js';
import {recordEntry, type Step} from './state.js';
import {timelineKind} from './timeline-entry.js';

/** Takes a configuration unless it is older than the one in force. */
export function applyConfiguration(step: Step, event: ConfigurationRead): void {
	const {tables} = step.state;
	const known = tables.configuration?.version ?? 0;
	const {version} = event.configuration;
	if (version < known) {
		return;
	}

	tables.highestVersion = Math.max(tables.highestVersion, version);
	if (version === known) {
		recordCurrency(step, event);
		return;
	}

	tables.configuration = event.configuration;
	tables.text = event.text;
	tables.accountByDigest = indexDigests(event);
	tables.accountByName = new Map(event.configuration.accounts.map(account => [account.name, account]));
	recordCurrency(step, event);
	resetOwnedFraction(step);
	recordEntry(step, {
		kind: timelineKind.configurationApplied, cause: `configuration-${version}`, peerId: event.source.peerId, detail: `Version ${version} is in force.`,
	});
}

/** Takes the service's word that the tables in force are the latest. */
export function applyTablesUnchanged(step: Step, currentAt: number): void {
	const {tables} = step.state;
	if (!isVersionKnown(step)) {
		return;
	}

	tables.readAt = Math.max(tables.readAt ?? Number.NEGATIVE_INFINITY, currentAt);
	advanceTablesCurrency(step);
}

/**
 * Counts a read of the tables as proof only up to the time at which the list
 * was current: the list's `asOf` shows whether the service stands still, which
 * tables alone cannot show.
 */
export function advanceTablesCurrency({state}: Step): void {
	const {tables, membership} = state;
	if (tables.readAt === undefined || membership.listCurrentAt === undefined) {
		return;
	}

	const provenAt = Math.min(tables.readAt, membership.listCurrentAt);
	tables.currentAt = Math.max(tables.currentAt ?? Number.NEGATIVE_INFINITY, provenAt);
}

/** True: no version is known of that is higher than the one in force here. */
export function isVersionKnown({state}: Step): boolean {
	const {configuration, highestVersion} = state.tables;
	return configuration !== undefined && configuration.version >= highestVersion;
}

function recordCurrency(step: Step, {source, currentAt}: ConfigurationRead): void {
	const {tables} = step.state;
	if (source.peerId === undefined) {
		applyTablesUnchanged(step, currentAt);
		return;
	}

	tables.currentAt = Math.max(tables.currentAt ?? Number.NEGATIVE_INFINITY, currentAt);
}

/** Records a refused configuration; the one in force stays. */
export function rejectConfiguration(step: Step, event: ConfigurationRejected): void {
	recordEntry(step, {
		kind: timelineKind.configurationRejected, cause: `configuration-${event.version ?? 'unknown'}`, peerId: event.source.peerId, detail: `Refused whole: ${event.faultCount} faults.`,
	});
}

function indexDigests({configuration}: ConfigurationRead): Map<string, string> {
	const index = new Map<string, string>();
	for (const account of configuration.accounts) {
		for (const digest of account.keyDigests) {
			index.set(digest, account.name);
		}
	}

	return index;
}
