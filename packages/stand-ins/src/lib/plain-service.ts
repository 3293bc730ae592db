/**
 * Stand-in for a plain service, such as a booking service. It counts the runs of
 * each request, so that tests can detect a request that ran twice.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Hono} from 'hono';

/** How a plain service fails; `none` is normal operation. */
export const plainFault = {
	none: 'none',
	/** Closes the connection before running the request. */
	cutBefore: 'cut-before',
	/** Runs the request, then closes the connection without an answer. */
	cutAfter: 'cut-after',
	/** Runs the request, then never answers. */
	silent: 'silent',
	/** Runs the request and answers with the identifier of another one. */
	cross: 'cross',
	/** Refuses each request before running it. */
	refuse: 'refuse',
} as const;
export type PlainFault = typeof plainFault[keyof typeof plainFault];

/** Number of most recent requests whose text is kept. */
const maxRecordedRequests = 1000;

/** Largest padding of an answer that a request can ask for. */
const maxPaddingCharacters = 8_000_000;

/** Executor of a promise that never settles, for a service that does not answer. */
function neverSettle(): void {
	// Deliberately empty.
}

/** State of the service. */
export class PlainService {
	fault: PlainFault = plainFault.none;
	/** Number of runs by the caller's idempotency key, or by the request identifier if there is no key. */
	readonly runsByKey = new Map<string, number>();
	keySightings = 0;
	/** Method, URL, headers and body of the most recent requests, in which tests search for keys. */
	readonly recordedRequests: string[] = [];

	/** `runMs` is the duration of each run. */
	constructor(readonly id: string, readonly runMs: number) {}

	/** Records the text of a request and drops the oldest one beyond the limit. */
	recordRequest(text: string): void {
		this.recordedRequests.push(text);
		if (this.recordedRequests.length > maxRecordedRequests) {
			this.recordedRequests.shift();
		}
	}

	countRun(key: string): void {
		this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
	}
}

/** Creates the HTTP application of a plain service. */
export function createPlainServiceApp(service: PlainService): Hono {
	const app = new Hono();
	app.get('/control/stats', c => c.json({runs: Object.fromEntries(service.runsByKey), keySightings: service.keySightings}));
	app.get('/control/heard', c => c.json(service.recordedRequests));
	app.post('/control/fault', async c => {
		const {fault} = await c.req.json<{fault: string}>();
		const known = Object.values(plainFault).find(value => value === fault);
		if (known === undefined) {
			return c.json({error: 'unknown-fault'}, 400);
		}

		service.fault = known;
		return c.json({});
	});
	app.all('*', async c => {
		const requestId = c.req.header('x-request-id') ?? '';
		const {outgoing} = c.env as {outgoing: {destroy: () => void}};
		const {fault} = service;
		if (c.req.header('authorization') !== undefined || c.req.header('cookie') !== undefined) {
			service.keySightings++;
		}

		service.recordRequest(`${c.req.method} ${c.req.url} ${JSON.stringify(c.req.header())} ${await c.req.text()}`);
		if (fault === plainFault.refuse) {
			return c.json({error: 'not started'}, 503, {'x-request-id': requestId, 'x-not-started': 'true'});
		}

		if (fault === plainFault.cutBefore) {
			outgoing.destroy();
			return c.body(null);
		}

		service.countRun(c.req.header('x-idempotency-key') ?? requestId);
		await delay(service.runMs);
		if (fault === plainFault.cutAfter) {
			outgoing.destroy();
			return c.body(null);
		}

		if (fault === plainFault.silent) {
			await new Promise(neverSettle);
		}

		const echoedId = fault === plainFault.cross ? `${requestId}-other` : requestId;
		const padding = 'x'.repeat(Math.min(maxPaddingCharacters, Number(c.req.query('pad') ?? 0)));
		return c.json({
			service: service.id, requestId: echoedId, path: c.req.path, padding,
		}, 200, {'x-request-id': echoedId});
	});
	return app;
}
