/**
 * Writes a caller's calls to the time line. A caller learns a request's
 * identifier from the answer, so both entries are written when it has come.
 */
import {timelineKind} from '@sequoiatally/core';
import type {TimelineWriter} from '@sequoiatally/runtime';
import {answerKind, type Answer} from './caller.js';

/** Records when a call was sent and how it was answered. */
export function recordAnswer(timeline: TimelineWriter, {requestId, totalMs, kind, reason, outcome, targetId}: Answer): void {
	const cause = requestId ?? 'unknown-request';
	const detail = kind === answerKind.refused ? `${reason} (${outcome})` : kind;
	timeline.write({kind: timelineKind.callerSent, cause, requestId}, totalMs);
	timeline.write({
		kind: timelineKind.callerAnswered, cause, requestId, targetId, detail: kind === answerKind.whole ? undefined : detail,
	});
}
