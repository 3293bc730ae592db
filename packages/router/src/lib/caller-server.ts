/**
 * Serves callers: reads their requests, hands them to the reducer and returns
 * the answers. Keys are digested at once and forwarded nowhere.
 */
import {Buffer} from 'node:buffer';
import {createHash, randomUUID} from 'node:crypto';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {
	createNotRun, eventKind, refusalReason, type RequestArrived,
} from '@sequoiatally/core';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';
import {Hono, type Context} from 'hono';
import {createRefusalResponse, OpenRequest, type RequestContent} from './open-request.js';
import type {Runner} from './runner.js';

/** Largest body that is taken from a caller. */
const largestBodyBytes = 1024 * 1024;
/** Time for a caller to send its head and its body, in milliseconds. */
const callerSendMs = 10_000;
/** Headers that are forwarded; everything else stays here, keys and cookies included. */
const forwardedHeaders = ['content-type', 'accept', 'accept-language'];

/** Requests that are open at this instance, by identifier. */
export type OpenRequests = Map<string, OpenRequest>;

/** Serves the callers' port. */
export class CallerServer {
	readonly #runner: Runner;
	readonly #openRequests: OpenRequests;

	constructor(runner: Runner, openRequests: OpenRequests) {
		this.#runner = runner;
		this.#openRequests = openRequests;
	}

	/** Starts to listen. */
	async listen({host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<Server> {
		const app = new Hono<{Bindings: {incoming: IncomingMessage}}>();
		app.all('*', async c => this.#answer(c));

		const listener = getRequestListener(app.fetch, {overrideGlobalObjects: false});
		const server = createServer({requestTimeout: callerSendMs, headersTimeout: callerSendMs}, listener);
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		lifecycle.own('caller server', () => {
			server.close();
			server.closeAllConnections();
		});
		return server;
	}

	async #answer(c: Context): Promise<Response> {
		const requestId = randomUUID();
		const body = await readBody(c.req.raw);
		if (body === undefined) {
			return createRefusalResponse(requestId, createNotRun(refusalReason.badRequest, `The body is larger than ${largestBodyBytes} bytes.`));
		}

		const url = new URL(c.req.url);
		const arrival = describeArrival(c, requestId, url.pathname, body);
		const content: RequestContent = {
			requestId, method: c.req.method, target: url.pathname + url.search, headers: selectHeaders(c), body, chatKey: arrival.chatKey,
		};
		const open = new OpenRequest(content, () => {
			this.#runner.handle({kind: eventKind.callerLeft, requestId});
		});
		this.#openRequests.set(requestId, open);
		c.req.raw.signal.addEventListener('abort', () => {
			open.leave();
		});
		this.#runner.handle(arrival);
		return open.response;
	}
}

async function readBody(request: Request): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	if (request.body === null) {
		return new Uint8Array();
	}

	for await (const chunk of request.body as unknown as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > largestBodyBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

function describeArrival(c: Context, requestId: string, path: string, body: Uint8Array): RequestArrived {
	const key = /^Bearer (\S+)$/.exec(c.req.header('authorization') ?? '')?.[1];
	const deadlineMs = Number(c.req.header('x-deadline-ms') ?? Number.NaN);
	return {
		kind: eventKind.requestArrived,
		requestId,
		method: c.req.method,
		path,
		model: readModel(body),
		keyDigest: key === undefined ? undefined : createHash('sha256').update(key).digest('hex'),
		chatKey: (c.req.header('x-chat-id') ?? requestId).slice(0, 256),
		priority: Number(/^\d$/.exec(c.req.header('x-priority') ?? '')?.[0] ?? 0),
		idempotencyKey: c.req.header('idempotency-key'),
		deadlineMs: Number.isFinite(deadlineMs) && deadlineMs > 0 ? deadlineMs : undefined,
	};
}

function readModel(body: Uint8Array): string | undefined {
	try {
		const value: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
		const model = typeof value === 'object' && value !== null ? (value as {model?: unknown}).model : undefined;
		return typeof model === 'string' ? model : undefined;
	} catch {
		return undefined;
	}
}

function selectHeaders(c: Context): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const name of forwardedHeaders) {
		const value = c.req.header(name);
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	return headers;
}
