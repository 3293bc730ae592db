/**
 * Writes the requests of a target to the timeline: the arrival of each, and the
 * time at which its answer was sent or its connection closed early.
 */
import type {ServerResponse} from 'node:http';
import {timelineKind} from '@sequoiatally/core';
import type {TimelineWriter} from '@sequoiatally/runtime';
import {Hono} from 'hono';

/** Wraps the application of a target so that requests with an identifier are recorded. */
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
