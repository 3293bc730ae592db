/**
 * Headers between an instance that has no path to the targets and a peer that relays its
 * requests. The peer receives the caller's request unchanged at its peer address, with the
 * sender's identity; its response tells which target responded, or that the peer itself
 * generated it and whether the request may have run, and on how many targets it may have begun.
 */
import type {IncomingHttpHeaders} from 'node:http';
import {createFailure, type FailureReason, type RelayOrigin} from '@sequoiatally/dispatch';
import type {RawHeaders} from './protocol.js';

/** Prefix of these headers; callers' and targets' headers with it are not forwarded. */
const prefix = 'sequoiatally-relay';
const originHeader = `${prefix}-from`;
const outcomeHeader = `${prefix}-outcome`;
/** Software version that a peer has to use, or that of the target that responded. */
const versionHeader = `${prefix}-version`;
/** Peers of older builds do not send it. */
const runsHeader = `${prefix}-runs`;
/** First word of the outcome. */
const outcomeKind = {target: 'target', failure: 'failure'} as const;

/** The process of a target that responded. */
export type ResponseSource = {readonly id: string; readonly bornAt: number; readonly softwareVersion?: string};

/** How a peer ended a relayed request: with the response of a target, or with a failure of its own. */
export type RelayOutcome = ({readonly source: ResponseSource} | {readonly failure: string; readonly hasNotRun: boolean}) & {
	/** Number of targets on which the request may have begun; `undefined` if the peer has not told it. */
	readonly runCount?: number;
};

/** Removes the headers that only instances may set. */
export function selectUnrelatedHeaders(headers: RawHeaders): string[] {
	const selected: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		if (!headers[index]!.toLowerCase().startsWith(prefix)) {
			selected.push(headers[index]!, headers[index + 1]!);
		}
	}

	return selected;
}

export function createOriginHeaders({
	id, incarnation, runLimit, softwareVersion,
}: RelayOrigin): string[] {
	return [originHeader, `${encodeURIComponent(id)} ${encodeURIComponent(incarnation)} ${runLimit}`, ...createVersionHeaders(softwareVersion)];
}

/** True if a peer relays the request, or tries to. */
export function isRelayRequest(headers: IncomingHttpHeaders): boolean {
	return headers[originHeader] !== undefined;
}

/** Parses the identity of the sender; an unreadable one is that of no member. */
export function parseOrigin(headers: IncomingHttpHeaders): RelayOrigin {
	const [id = '', incarnation = '', runLimit] = splitWords(headers[originHeader]);
	return {
		id, incarnation, runLimit: Math.max(1, Math.trunc(Number(runLimit)) || 1), softwareVersion: parseVersion(headers),
	};
}

export function createSourceHeaders({id, bornAt, softwareVersion}: ResponseSource, runCount: number): string[] {
	return [outcomeHeader, `${outcomeKind.target} ${encodeURIComponent(id)} ${bornAt}`, runsHeader, String(runCount), ...createVersionHeaders(softwareVersion)];
}

/** Creates the header of a software version, in quotes since it may be empty. */
function createVersionHeaders(softwareVersion: string | undefined): string[] {
	return softwareVersion === undefined ? [] : [versionHeader, `"${encodeURIComponent(softwareVersion)}"`];
}

function parseVersion(headers: IncomingHttpHeaders): string | undefined {
	const [, text] = /^"(.*)"$/.exec(String(headers[versionHeader] ?? '')) ?? [];
	return text === undefined ? undefined : splitWords(text)[0];
}

export function createFailureOutcomeHeaders(reason: FailureReason, runCount: number): string[] {
	const {status} = createFailure(reason);
	// Only these two statuses leave open whether the request has run.
	const hasNotRun = status !== 502 && status !== 504;
	return [outcomeHeader, `${outcomeKind.failure} ${reason} ${hasNotRun ? 'not-run' : 'unknown'}`, runsHeader, String(runCount)];
}

/** Parses the outcome of a relayed request; `undefined` if there is none that can be read. */
export function parseOutcome(headers: IncomingHttpHeaders): RelayOutcome | undefined {
	const [kind, subject, detail] = splitWords(headers[outcomeHeader]);
	if (subject === undefined || detail === undefined) {
		return undefined;
	}

	if (kind === outcomeKind.failure) {
		const hasNotRun = detail === 'not-run';
		return {failure: subject, hasNotRun, runCount: parseRunCount(headers, hasNotRun ? 0 : 1)};
	}

	const bornAt = Number(detail);
	return kind === outcomeKind.target && Number.isFinite(bornAt)
		? {source: {id: subject, bornAt, softwareVersion: parseVersion(headers)}, runCount: parseRunCount(headers, 1)}
		: undefined;
}

/** Parses the number of runs; one below `minCount`, which the outcome implies, is corrected. */
function parseRunCount(headers: IncomingHttpHeaders, minCount: number): number | undefined {
	const value = headers[runsHeader];
	return typeof value === 'string' && /^\d{1,4}$/.test(value) ? Math.max(minCount, Number(value)) : undefined;
}

function splitWords(value: string | string[] | undefined): string[] {
	try {
		return typeof value === 'string' ? value.split(' ').map(word => decodeURIComponent(word)) : [];
	} catch {
		return [];
	}
}
