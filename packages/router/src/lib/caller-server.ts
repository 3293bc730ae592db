/**
 * Serves callers: reads their requests, passes them to the reducer and returns
 * the answers. A caller's key is replaced by its digest and is never forwarded.
 */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {getRequestListener} from '@hono/node-server';
import {
	createNotRunRefusal, createTicket, createUnknownRefusal, eventKind, refusalReason, type Refusal, type RequestArrivedEvent,
} from '@sequoiatally/core';
import {computeKeyDigest, type LifecycleManager, type SocketAddress} from '@sequoiatally/runtime';
import {Hono, type Context} from 'hono';
import {findKey, isKeyExposed} from './key-guard.js';
import {
	computeContentDigest, createRefusalBody, createRefusalResponse, OpenRequest, outcomeHeader, requestIdHeader, type RequestContent,
} from './open-request.js';
import type {Runner} from './runner.js';

/** Largest request body that is accepted from a caller. */
const maxBodyBytes = 1024 * 1024;
/** Time within which a caller has to send the head and the body of a request, in milliseconds. Node.js checks it every 30 s, so a slow request may last longer. */
const requestTimeoutMs = 10_000;
/** Idle time after which the operating system sends TCP keep-alive probes on a connection, in milliseconds. */
const keepAliveDelayMs = 10_000;
/** Path of the endpoint that issues tickets. */
const ticketPath = '/.sequoiatally/tickets';
/** Headers that are copied from the caller's request to the target's. All others are not, including keys and cookies. */
const forwardedHeaders = ['content-type', 'accept', 'accept-language'];
/** Headers that may occur only once, because another recipient might use a different one of two values. */
const singletonHeaders = ['authorization', 'idempotency-key', 'host', 'x-chat-id'];
/** Encoded separators, dots and NUL, which a target may resolve to a path other than the one that was routed. */
const ambiguousPathPattern = /%(?:2e|2f|5c|00)/i;

/** Open requests of this instance by identifier. */
export type OpenRequests = Map<string, OpenRequest>;

type CallerEnv = {Bindings: {incoming: IncomingMessage}};

export type CallerServerOptions = {
	/** Time after which a connection is closed if none of its pending bytes could be sent, in milliseconds. */
	readonly callerIdleTimeoutMs: number;
	/** Reads the monotonic clock. */
	readonly readClock: () => number;
};

/** HTTP server for callers. */
export class CallerServer {
	readonly #runner: Runner;
	readonly #openRequests: OpenRequests;
	readonly #options: CallerServerOptions;
	readonly #sockets = new Set<Socket>();
	/** Connections with a request in progress. */
	readonly #activeSockets = new Set<Socket>();
	#server?: Server;
	#onAllClosed?: () => void;

	constructor(runner: Runner, openRequests: OpenRequests, options: CallerServerOptions) {
		this.#runner = runner;
		this.#openRequests = openRequests;
		this.#options = options;
	}

	/** Starts listening. */
	async listen({host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		const app = new Hono<CallerEnv>();
		app.post(ticketPath, c => this.#issueTicket(c));
		app.all('*', async (c: Context<CallerEnv>) => this.#handleRequest(c));
		app.onError(() => createRefusalResponse(randomUUID(), createNotRunRefusal(refusalReason.badRequest, 'The request could not be read.')));

		const listener = getRequestListener(app.fetch, {overrideGlobalObjects: false});
		const handleIncoming = async (incoming: IncomingMessage, outgoing: ServerResponse) => {
			if (isHostValid(incoming.headers.host)) {
				await listener(incoming, outgoing);
				return;
			}

			answerInvalidHost(outgoing);
		};

		const server = createServer({
			requestTimeout: requestTimeoutMs,
			headersTimeout: requestTimeoutMs,
			keepAlive: true,
			keepAliveInitialDelay: keepAliveDelayMs,
			// Node's own response to a missing Host header has no typed body.
			requireHostHeader: false,
		}, handleIncoming);
		this.#server = server;
		server.setTimeout(this.#options.callerIdleTimeoutMs, (socket: Socket) => {
			// If nothing is pending, the request is waiting for a target, which has its own timeouts.
			if (socket.writableLength > 0) {
				socket.destroy();
			}
		});
		server.on('clientError', answerUnreadable);
		server.on('connection', (socket: Socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				if (this.#sockets.size === 0) {
					this.#onAllClosed?.();
				}
			});
		});
		server.prependListener('request', (incoming: IncomingMessage, outgoing: ServerResponse) => {
			this.#trackRequest(incoming, outgoing);
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		lifecycle.own('caller server', () => {
			server.close();
			server.closeAllConnections();
		});
	}

	/**
	 * Stops listening and waits until the last byte of every answer has been
	 * sent. `close` of the HTTP server would destroy a connection whose answer is
	 * complete but not yet received by the caller.
	 */
	async closeGracefully(): Promise<void> {
		if (this.#server !== undefined) {
			NetServer.prototype.close.call(this.#server);
		}

		for (const socket of this.#sockets) {
			if (!this.#activeSockets.has(socket)) {
				socket.destroySoon();
			}
		}

		if (this.#sockets.size > 0) {
			await new Promise<void>(resolve => {
				this.#onAllClosed = resolve;
			});
		}
	}

	/** Aborts all open requests with a typed error; returns their identifiers. */
	abortOpenRequests(): string[] {
		const requestIds = [...this.#openRequests.keys()];
		for (const openRequest of this.#openRequests.values()) {
			openRequest.refuse(createUnknownRefusal(refusalReason.stopped, 'This instance was told to stop at once; the request may have run.'));
		}

		return requestIds;
	}

	#trackRequest({socket}: IncomingMessage, outgoing: ServerResponse): void {
		const {membership} = this.#runner.state;
		this.#activeSockets.add(socket);
		if (membership.isDraining) {
			outgoing.shouldKeepAlive = false;
		}

		outgoing.once('close', () => {
			this.#activeSockets.delete(socket);
			if (membership.isDraining) {
				socket.destroySoon();
			}
		});
	}

	#issueTicket(c: Context): Response {
		const key = findKey(c.req.header('authorization'));
		const step = {state: this.#runner.state, now: this.#options.readClock()};
		return createTicket(step, key === undefined ? undefined : computeKeyDigest(key), randomUUID()).match(
			issued => c.json(issued, 201),
			refusal => createRefusalResponse(randomUUID(), refusal),
		);
	}

	async #handleRequest(c: Context<CallerEnv>): Promise<Response> {
		const requestId = randomUUID();
		const body = await readBody(c.req.raw);
		if (body === undefined) {
			return createRefusalResponse(requestId, createNotRunRefusal(refusalReason.badRequest, `The body is larger than ${maxBodyBytes} bytes.`));
		}

		const url = new URL(c.req.url);
		const arrivalEvent = createArrivalEvent(c, requestId, url, body);
		const content: RequestContent = {
			requestId, method: c.req.method, requestTarget: url.pathname + url.search, headers: selectHeaders(c), body, chatKey: arrivalEvent.chatKey,
		};
		const refusal = this.#checkContent(c, content);
		if (refusal !== undefined) {
			return createRefusalResponse(requestId, refusal);
		}

		const openRequest = new OpenRequest(content, () => {
			this.#runner.handle({kind: eventKind.callerLeft, requestId});
		});
		this.#openRequests.set(requestId, openRequest);
		c.req.raw.signal.addEventListener('abort', () => {
			openRequest.handleDisconnect();
		});
		this.#runner.handle(arrivalEvent);
		return openRequest.response;
	}

	/** Refuses a request that recipients could interpret differently, or that contains a key in a forwarded part. */
	#checkContent(c: Context<CallerEnv>, content: RequestContent): Refusal | undefined {
		const names = c.env.incoming.rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase());
		if (singletonHeaders.some(single => names.indexOf(single) !== names.lastIndexOf(single))) {
			return createNotRunRefusal(refusalReason.badRequest, 'A header that may come once came twice; send each key once.');
		}

		if (ambiguousPathPattern.test(content.requestTarget.split('?')[0]!)) {
			return createNotRunRefusal(refusalReason.badRequest, 'The path holds encoded separators or dots; send them plainly.');
		}

		const forwarded = {requestTarget: content.requestTarget, headerValues: [...Object.values(content.headers), content.chatKey], body: content.body};
		const {accountByDigest} = this.#runner.state.tables;
		return isKeyExposed(forwarded, findKey(c.req.header('authorization')), digest => accountByDigest.has(digest))
			? createNotRunRefusal(refusalReason.badRequest, 'The request shows a key outside its Authorization header; send it there alone, and replace the key.')
			: undefined;
	}
}

function isHostValid(host: string | undefined): boolean {
	return host !== undefined && /^[\w.\-:[\]]{1,255}$/.test(host);
}

function answerInvalidHost(outgoing: ServerResponse): void {
	const requestId = randomUUID();
	const refusal = createNotRunRefusal(refusalReason.badRequest, 'The Host header is missing or not valid.');
	outgoing.shouldKeepAlive = false;
	outgoing.writeHead(refusal.status, {'content-type': 'application/json', [requestIdHeader]: requestId, [outcomeHeader]: refusal.outcome});
	outgoing.end(createRefusalBody(requestId, refusal));
}

type ParserError = Error & {readonly code?: string};

/** Answers input that is not a valid HTTP request, or was not complete within `requestTimeoutMs`; no part of it has been processed. */
function answerUnreadable(error: ParserError, socket: Duplex): void {
	if (!socket.writable || error.code === 'ECONNRESET') {
		socket.destroy();
		return;
	}

	const requestId = randomUUID();
	const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
	const refusal = createNotRunRefusal(refusalReason.badRequest, 'The request is not valid HTTP, or its head is too large.');
	const body = createRefusalBody(requestId, refusal);
	socket.end([
		`HTTP/1.1 ${status}`,
		'content-type: application/json',
		`${requestIdHeader}: ${requestId}`,
		`${outcomeHeader}: ${refusal.outcome}`,
		`content-length: ${Buffer.byteLength(body)}`,
		'connection: close',
		'',
		body,
	].join('\r\n'));
}

async function readBody(request: Request): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	if (request.body === null) {
		return new Uint8Array();
	}

	for await (const chunk of request.body as unknown as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxBodyBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

function createArrivalEvent(c: Context, requestId: string, {pathname, search}: URL, body: Uint8Array): RequestArrivedEvent {
	const key = findKey(c.req.header('authorization'));
	const deadlineMs = Number(c.req.header('x-deadline-ms') ?? Number.NaN);
	return {
		kind: eventKind.requestArrived,
		requestId,
		method: c.req.method,
		path: pathname,
		model: readModel(body),
		keyDigest: key === undefined ? undefined : computeKeyDigest(key),
		chatKey: (c.req.header('x-chat-id') ?? requestId).slice(0, 256),
		priority: Number(/^\d$/.exec(c.req.header('x-priority') ?? '')?.[0] ?? 0),
		idempotencyKey: c.req.header('idempotency-key'),
		contentDigest: computeContentDigest(c.req.method, pathname + search, body),
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
