/**
 * Stand-in for a model engine. It streams tokens that depend only on the request,
 * caches the prefixes of a limited number of recent chats, is cold after a start,
 * and fails in the ways that the control routes select.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Hono, type Context} from 'hono';
import {streamSSE} from 'hono/streaming';

export type EngineOptions = {
	readonly id: string;
	readonly bootId: string;
	/** Number of chats whose prefix is cached. */
	readonly cachedChats: number;
	/** Time between two tokens, in milliseconds. */
	readonly tokenMs: number;
	/** Time to the first token with a cached prefix, in milliseconds. */
	readonly warmPrefillMs: number;
	/** Time to the first token without a cached prefix, in milliseconds. */
	readonly coldPrefillMs: number;
	/** Time after a start until the engine is warm, in milliseconds. */
	readonly warmAfterMs: number;
	/** Concurrency limit while the engine is cold. */
	readonly coldSlots: number;
	/** Concurrency limit when the engine is warm. */
	readonly slots: number;
};

/** How an engine fails; `none` is normal operation. */
export const engineFault = {
	none: 'none',
	/** Closes the connection after a few tokens of each stream. */
	cut: 'cut',
	/** Ends each stream after a few tokens, without the `[DONE]` event. */
	truncate: 'truncate',
	/** Answers with the identifier of another request. */
	cross: 'cross',
	/** Sends nothing after a few tokens, but keeps the connection open. */
	silent: 'silent',
	/** Sends every token twice. */
	double: 'double',
	/** Refuses each request before starting it. */
	refuse: 'refuse',
	/** Never ends a stream, regardless of `max_tokens`, and pads its events. */
	endless: 'endless',
	/** Sends an event that never ends after a few tokens of each stream. */
	bloat: 'bloat',
	/** Answers with status 500 instead of a stream. */
	fail: 'fail',
} as const;
export type EngineFault = typeof engineFault[keyof typeof engineFault];

/** Number of tokens sent before the faults `cut`, `truncate`, `silent` and `bloat` take effect. */
const tokensBeforeFault = 3;
const defaultMaxTokens = 16;
/** Number of characters that the fault `endless` adds to each event. */
const paddingCharacters = 16 * 1024;
/** Number of characters that the fault `bloat` writes at a time. */
const bloatChunkCharacters = 64 * 1024;

type ChatBody = {readonly model?: string; readonly max_tokens?: number; readonly messages?: ReadonlyArray<{readonly content?: string}>};

/** Counters that tests and measurements read. */
export type EngineStats = {
	requests: number;
	cachedRequests: number;
	resumedRequests: number;
	cancelledRequests: number;
	inFlight: number;
	highestInFlight: number;
	/** Requests that arrived above the concurrency limit. */
	overrunCount: number;
	/** Requests with a header that may contain a caller's key, which a router must not forward. */
	keySightings: number;
};

/** State of the engine, updated at the start and the end of each request. */
export class Engine {
	readonly stats: EngineStats = {
		requests: 0, cachedRequests: 0, resumedRequests: 0, cancelledRequests: 0, inFlight: 0, highestInFlight: 0, overrunCount: 0, keySightings: 0,
	};

	fault: EngineFault = engineFault.none;
	/** Chats in the cache, least recently used first. */
	readonly #cache = new Set<string>();
	#bootId: string;
	#bootedAt: number;

	constructor(readonly options: EngineOptions, now: number) {
		this.#bootId = options.bootId;
		this.#bootedAt = now;
	}

	get bootId(): string {
		return this.#bootId;
	}

	/** Becomes cold as after an unannounced restart: the cache is empty and the boot identifier is new. */
	turnCold(now: number): void {
		this.#bootId = `${this.#bootId}+`;
		this.#bootedAt = now;
		this.#cache.clear();
	}

	computeUptimeMs(now: number): number {
		return Math.round(now - this.#bootedAt);
	}

	/** Counts a request as started; returns whether the prefix of its chat was cached. */
	startRequest(chatId: string, now: number): boolean {
		const {stats, options} = this;
		stats.requests++;
		stats.inFlight++;
		stats.highestInFlight = Math.max(stats.highestInFlight, stats.inFlight);
		const concurrencyLimit = this.computeUptimeMs(now) < options.warmAfterMs ? options.coldSlots : options.slots;
		if (stats.inFlight > concurrencyLimit) {
			stats.overrunCount++;
		}

		const isCached = this.#cache.delete(chatId);
		this.#cache.add(chatId);
		if (this.#cache.size > options.cachedChats) {
			this.#cache.delete(this.#cache.values().next().value!);
		}

		if (isCached) {
			stats.cachedRequests++;
		}

		return isCached;
	}

	endRequest(isCancelled: boolean): void {
		this.stats.inFlight--;
		if (isCancelled) {
			this.stats.cancelledRequests++;
		}
	}
}

/** Computes the token of a chat at an index; every engine computes the same one. */
export function computeToken(chatId: string, index: number): string {
	return `${chatId}:${index} `;
}

/** Writes the engine's boot identifier, uptime and load to the headers of an answer. */
function writeLoadReport(c: Context, engine: Engine, now: number): void {
	c.header('x-engine-boot', engine.bootId);
	c.header('x-engine-uptime-ms', String(engine.computeUptimeMs(now)));
	c.header('x-engine-load', String(engine.stats.inFlight));
}

/** Creates the HTTP application of an engine. */
export function createEngineApp(engine: Engine, readClock: () => number): Hono {
	const app = new Hono();
	app.post('/v1/chat/completions', async c => {
		const requestId = c.req.header('x-request-id') ?? '';
		const chatId = c.req.header('x-chat-id') ?? '';
		const resumeFrom = Number(c.req.header('x-resume-from') ?? 0);
		if (c.req.header('authorization') !== undefined || c.req.header('cookie') !== undefined || c.req.header('x-api-key') !== undefined) {
			engine.stats.keySightings++;
		}

		const body = await c.req.json<ChatBody>();
		if (engine.fault === engineFault.refuse) {
			return c.json({error: 'not started'}, 503, {'x-request-id': requestId, 'x-not-started': 'true'});
		}

		if (engine.fault === engineFault.fail) {
			return c.json({error: 'internal'}, 500, {'x-request-id': requestId});
		}

		if (resumeFrom > 0) {
			engine.stats.resumedRequests++;
		}

		const {fault} = engine;
		const isCached = engine.startRequest(chatId, readClock());
		const echoedId = fault === engineFault.cross ? `${requestId}-other` : requestId;
		c.header('x-request-id', echoedId);
		c.header('x-engine-id', engine.options.id);
		writeLoadReport(c, engine, readClock());
		c.header('x-cache', isCached ? 'hit' : 'miss');
		return streamSSE(c, async stream => {
			const state = {isCancelled: false};
			stream.onAbort(() => {
				state.isCancelled = true;
			});
			try {
				await delay(isCached ? engine.options.warmPrefillMs : engine.options.coldPrefillMs);
				const padding = fault === engineFault.endless ? 'x'.repeat(paddingCharacters) : undefined;
				const count = fault === engineFault.endless ? Number.POSITIVE_INFINITY : body.max_tokens ?? defaultMaxTokens;
				for (let index = resumeFrom; index < count && !state.isCancelled; index++) {
					if (index - resumeFrom === tokensBeforeFault) {
						if (fault === engineFault.cut) {
							const {outgoing} = c.env as {outgoing: {destroy: () => void}};
							outgoing.destroy();
							return;
						}

						while (fault === engineFault.bloat && !state.isCancelled) {
							await stream.write('x'.repeat(bloatChunkCharacters));
						}

						if (fault === engineFault.truncate) {
							return;
						}

						if (fault === engineFault.silent) {
							await new Promise<void>(resolve => {
								stream.onAbort(resolve);
							});
							return;
						}
					}

					const data = JSON.stringify({
						id: echoedId, index, choices: [{delta: {content: computeToken(chatId, index)}}], padding,
					});
					await stream.writeSSE({data});
					if (fault === engineFault.double) {
						await stream.writeSSE({data});
					}

					await delay(engine.options.tokenMs);
				}

				if (!state.isCancelled) {
					await stream.writeSSE({data: '[DONE]'});
				}
			} finally {
				engine.endRequest(state.isCancelled);
			}
		});
	});
	app.get('/load', c => {
		writeLoadReport(c, engine, readClock());
		return c.json({inFlight: engine.stats.inFlight});
	});
	app.get('/control/stats', c => c.json(engine.stats));
	app.post('/control/fault', async c => {
		const {fault} = await c.req.json<{fault: string}>();
		const known = Object.values(engineFault).find(value => value === fault);
		if (known === undefined) {
			return c.json({error: 'unknown-fault'}, 400);
		}

		engine.fault = known;
		return c.json({});
	});
	app.post('/control/cold', c => {
		engine.turnCold(readClock());
		return c.json({});
	});
	return app;
}
