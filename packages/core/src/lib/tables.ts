/**
 * The configuration in force. Versions only go up; an invalid document never
 * gets here, so it changes nothing anywhere.
 */
import type {ConfigurationRead, ConfigurationRejected} from './event.js';
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
	tables.currentAt = Math.max(tables.currentAt ?? 0, event.currentAt);
	if (version === known) {
		return;
	}

	tables.configuration = event.configuration;
	tables.text = event.text;
	tables.accountByDigest = indexDigests(event);
	tables.accountByName = new Map(event.configuration.accounts.map(account => [account.name, account]));
	recordEntry(step, {
		kind: timelineKind.configurationApplied, cause: `configuration-${version}`, peerId: event.source.peerId, detail: `Version ${version} is in force.`,
	});
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
