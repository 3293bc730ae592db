/**
 * A stand-in for a model engine. It streams tokens that follow from the
 * request alone, keeps the prefixes of recent chats in limited memory, is cold
 * after its start, and can fail on command.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Hono, type Context} from 'hono';
import {streamSSE} from 'hono/streaming';

export type EngineOptions = {
	readonly id: string;
	readonly bootId: string;
	/** Chats whose prefix stays cached. */
	readonly cachedChats: number;
	/** Time between two tokens, in milliseconds. */
	readonly tokenMs: number;
	/** Time to the first token of a chat that is cached, in milliseconds. */
	readonly warmPrefillMs: number;
	/** Time to the first token of a chat that is not cached, in milliseconds. */
	readonly coldPrefillMs: number;
	/** Time until it is warm, in milliseconds. */
	readonly warmAfterMs: number;
	/** Requests that it bears while cold. */
	readonly coldSlots: number;
	/** Requests that it bears when warm. */
	readonly slots: number;
};

/** How an engine fails; `none` is normal. */
export const engineFault = {
	none: 'none',
	/** Breaks each stream after some tokens. */
	cut: 'cut',
	/** Ends each stream early without its end mark. */
	truncate: 'truncate',
	/** Answers with another request's identifier. */
	cross: 'cross',
	/** Stops sending, and keeps the connection open. */
	silent: 'silent',
	/** Sends every token twice. */
	double: 'double',
	/** Refuses before it starts anything. */
	refuse: 'refuse',
	/** Never ends a stream, however few tokens were asked for; its events are large. */
	endless: 'endless',
	/** Sends one event that never ends. */
	bloat: 'bloat',
	/** Answers with an error in place of a stream. */
	fail: 'fail',
} as const;
export type EngineFault = typeof engineFault[keyof typeof engineFault];

/** Tokens after which a cutting, truncating or silent engine fails. */
const tokensBeforeFault = 3;
const defaultMaxTokens = 16;
/** Characters that an endless engine adds to each event. */
const paddingCharacters = 16 * 1024;
/** Characters that a bloating engine writes at a time. */
const bloatChunkCharacters = 64 * 1024;

type ChatBody = {readonly model?: string; readonly max_tokens?: number; readonly messages?: ReadonlyArray<{readonly content?: string}>};

/** Counts that tests and measurements read. */
export type EngineStats = {
	requests: number;
	cachedRequests: number;
	resumedRequests: number;
	cancelledRequests: number;
	inFlight: number;
	highestInFlight: number;
	/** Requests that came beyond what the engine bears. */
	overrunCount: number;
	/** Requests that carried something like a key. */
	keySightings: number;
};

/** The engine's state and its behaviour for one request at a time. */
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

	/** Turns cold without warning: the cache is lost and the boot changes. */
	turnCold(now: number): void {
		this.#bootId = `${this.#bootId}+`;
		this.#bootedAt = now;
		this.#cache.clear();
	}

	computeUptimeMs(now: number): number {
		return Math.round(now - this.#bootedAt);
	}

	/** Counts a request in and says whether its chat's prefix was cached. */
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

/** The token of a request at an index; any engine gives the same one. */
export function computeToken(chatId: string, index: number): string {
	return `${chatId}:${index} `;
}

/** Writes the engine's boot and load to the headers of an answer. */
function writeLoadReport(c: Context, engine: Engine, now: number): void {
	c.header('x-engine-boot', engine.bootId);
	c.header('x-engine-uptime-ms', String(engine.computeUptimeMs(now)));
	c.header('x-engine-load', String(engine.stats.inFlight));
}

/** Serves an engine over HTTP. */
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
