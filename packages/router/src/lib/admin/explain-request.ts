/**
 * Explains how a request was handled, from the timeline entries that this
 * instance keeps in memory.
 */
import {timelineKind} from '@sequoiatally/core';
import type {TimelineLine} from '@sequoiatally/runtime';
import type {AdminOutput} from './admin-routes.js';

type RequestExplanation = AdminOutput<'request'>;

const endByKind: Readonly<Record<string, RequestExplanation['end']>> = {
	[timelineKind.requestCompleted]: 'completed',
	[timelineKind.requestRefused]: 'refused',
	[timelineKind.callerLeft]: 'caller-left',
};

/** Explains a request; returns `undefined` if `lines` holds no entry of the request. */
export function explainRequest(lines: readonly TimelineLine[], requestId: string): RequestExplanation | undefined {
	const entries = lines.filter(line => line.requestId === requestId);
	if (entries.length === 0) {
		return undefined;
	}

	const endEntry = entries.findLast(({kind}) => endByKind[kind] !== undefined);
	const dispatchEntries = entries.filter(({kind}) => kind === timelineKind.requestDispatched);
	return {
		requestId,
		end: endEntry === undefined ? 'open' : endByKind[endEntry.kind]!,
		route: findTextField(entries, 'route'),
		account: findTextField(entries, 'account'),
		targetIds: dispatchEntries.map(line => String(line.targetId)),
		reason: endEntry?.kind === timelineKind.requestCompleted ? undefined : findTextField([...entries].reverse(), 'detail'),
		entries,
	};
}

function findTextField(lines: readonly TimelineLine[], field: string): string | undefined {
	for (const line of lines) {
		const value = line[field];
		if (typeof value === 'string') {
			return value;
		}
	}

	return undefined;
}
