/**
 * Writes a target's requests to the time line: when each arrives, and when its
 * answer has left or was cut.
 */
import type {ServerResponse} from 'node:http';
import {timelineKind} from '@sequoiatally/core';
import type {TimelineWriter} from '@sequoiatally/runtime';
import {Hono} from 'hono';

/** Wraps a target's application so that its requests are recorded. */
export function recordRequests(app: Hono, timeline: TimelineWriter): Hono {
	return new Hono()
		.use('*', async (c, next) => {
			const requestId = c.req.header('x-request-id');
			if (requestId !== undefined) {
				const {outgoing} = c.env as {outgoing: ServerResponse};
				timeline.write({kind: timelineKind.targetReceived, cause: requestId, requestId});
				outgoing.once('close', () => {
					const detail = outgoing.writableFinished ? undefined : 'cut before the end';
					timeline.write({
						kind: timelineKind.targetAnswered, cause: requestId, requestId, detail,
					});
				});
			}

			await next();
		})
		.route('/', app);
}
