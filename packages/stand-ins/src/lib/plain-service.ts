/**
 * A stand-in for a plain service, such as a booking desk. It counts every run
 * per request identifier, so that a test can see a doubled one.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Hono} from 'hono';

/** How a plain service fails; `none` is normal. */
export const plainFault = {
	none: 'none',
	/** Breaks the connection before it runs anything. */
	cutBefore: 'cut-before',
	/** Runs, then breaks the connection without an answer. */
	cutAfter: 'cut-after',
	/** Runs, then never answers. */
	silent: 'silent',
	/** Runs and answers with another request's identifier. */
	cross: 'cross',
	/** Refuses before it runs anything. */
	refuse: 'refuse',
} as const;
export type PlainFault = typeof plainFault[keyof typeof plainFault];

/** Requests whose text is kept. */
const maxRecordedRequests = 1000;

/** Most characters that a request can ask to be added to its answer. */
const maxPaddingCharacters = 8_000_000;

/** Never settles a promise: stands for a service that says nothing. */
function neverSettle(): void {
	// Deliberately empty.
}

/** The service's state. */
export class PlainService {
	fault: PlainFault = plainFault.none;
	/** Runs by the caller's idempotency key, or by request identifier without one. */
	readonly runsByKey = new Map<string, number>();
	keySightings = 0;
	/** Everything that the newest requests said, for tests that look for keys. */
	readonly recordedRequests: string[] = [];

	/** `runMs` is the time that each run takes, in milliseconds. */
	constructor(readonly id: string, readonly runMs: number) {}

	/** Keeps what a request said. */
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

/** Serves a plain service over HTTP. */
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
