/**
 * HTTP server for callers: buffers each request, emits it as an event for the
 * reducer, and reports callers that disconnect before their response is sent.
 */
import {Buffer} from 'node:buffer';
import {
	type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {
	createFailure, eventKind, failureReason, type CallerLimits, type Event, type Failure, type FailureReason, type RelayOrigin, type RequestHead,
} from '@sequoiatally/dispatch';
import {
	BodyCollector, type BufferBudget, type LifecycleManager, type SocketAddress,
} from '@sequoiatally/runtime';
import {CallerExchange, createFailureBody} from './caller-exchange.js';
import {ConnectionCloser} from './connection-closer.js';
import type {DisconnectMonitor} from './disconnect-monitor.js';
import type {Result} from 'neverthrow';
import type {CallerProtocol, HeadFault} from './protocol.js';
import {LimitedServer, type ServerLimits} from './limited-server.js';
import {listenOn} from './listen.js';
import {createFailureOutcomeHeaders, parseOrigin} from './relay-headers.js';
import {computeFingerprint} from './request-fingerprint.js';

/** Largest request head that is parsed; the configuration tables can only lower the limit. */
const absoluteMaxHeadBytes = 64 * 1024;
/** Time limits for receiving the head and the whole request, in milliseconds; the configuration tables do not change them. */
const headTimeoutMs = 30_000;
const requestTimeoutMs = 120_000;
/** Time for which an idle connection is kept beyond its idle timeout, in milliseconds: callers may still send a request just before the timeout. */
const keepAliveMarginMs = 1000;
/** Largest size of the bodies of all open requests that peers relay, in bytes. */
const maxRelayedBytes = 32 * 1024 * 1024;
/** Largest request body until configuration tables are received. */
const defaultMaxBodyBytes = 4 * 1024 * 1024;
/** Limits for what is read and discarded after a request was rejected, in milliseconds and bytes: the caller reads the response meanwhile. */
const discardTimeoutMs = 2000;
const maxDiscardedBytes = 16 * 1024 * 1024;
/** Smallest retry delay for a body that does not fit, and the largest random addition, in milliseconds. */
const minMemoryRetryAfterMs = 250;
const memoryRetryAfterJitterMs = 500;

export type CallerServerOptions = {
	readonly protocol: CallerProtocol;
	/** Memory for the bytes that all exchanges hold. */
	readonly bufferBudget: BufferBudget;
	/** Bounds for connections and for what is read ahead on them. */
	readonly limits: ServerLimits;
	readonly emit: (event: Event) => void;
	/** Is told of accepted connections; tells up to when the ends of connections are known. */
	readonly disconnects?: DisconnectMonitor;
	/** Checks what the head alone decides; returns the time after which an incomplete body gives way to others, in milliseconds. */
	readonly checkHead: (head: RequestHead, relayedFrom: RelayOrigin | undefined) => Result<number, Failure>;
	/** Draws a number in [0, 1). */
	readonly random: () => number;
	/** Writes a log line. */
	readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
};

const incompleteDetail = 'the process ends before the request is complete';

type ReceivedRequest = {
	readonly head: RequestHead;
	readonly body: readonly Uint8Array[];
	readonly bodyBytes: number;
	readonly relayedFrom: RelayOrigin | undefined;
};

/** Why a request is rejected before its exchange starts; `head` is `undefined` if it cannot be read. */
type Rejection = {readonly head: RequestHead | undefined; readonly relayedFrom: RelayOrigin | undefined; readonly failure: Failure; readonly detail?: string};

export class CallerServer {
	/** Exchanges whose response is not complete, by `openId`. */
	readonly openExchanges = new Map<number, CallerExchange>();
	readonly #options: CallerServerOptions;
	readonly #limitedServer: LimitedServer;
	readonly #server: Server;
	readonly #connectionCloser: ConnectionCloser;
	#maxHeadBytes = absoluteMaxHeadBytes;
	#maxBodyBytes = defaultMaxBodyBytes;
	#nextOpenId = 1;
	#isDraining = false;
	/** Size of the bodies of open requests that peers relay, in bytes. */
	#relayedBytes = 0;
	/** Requests that were received in part, each with the function that refuses it. */
	readonly #incoming = new Map<IncomingMessage, (reason: FailureReason, detail: string) => void>();
	/** The response to the latest request of each connection. */
	readonly #latestResponses = new WeakMap<Socket, ServerResponse>();
	/** True if requests that are not complete yet are refused. */
	#isRefusing = false;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#limitedServer = new LimitedServer({
			name: 'callers',
			server: {
				maxHeaderSize: absoluteMaxHeadBytes, headersTimeout: headTimeoutMs, requestTimeout: requestTimeoutMs, keepAliveTimeout: 60_000, noDelay: true,
			},
			limits: options.limits,
			disconnects: options.disconnects,
			handle: (request, response) => {
				this.#handleInTurn(request, response);
			},
			log: options.log,
		});
		this.#server = this.#limitedServer.server;
		this.#connectionCloser = new ConnectionCloser(this.#server);
	}

	async listen(address: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		await listenOn(this.#server, address, lifecycle);
	}

	/** Handles a request that a peer received from its caller and cannot send to a target. */
	handleRelayed(request: IncomingMessage, response: ServerResponse): void {
		this.#handleRequest(request, response, parseOrigin(request.headers));
	}

	get connectionCount(): number {
		return this.#limitedServer.connectionCount;
	}

	/** Size of the requests that callers have sent ahead of their turn, in bytes. */
	get readAheadBytes(): number {
		return this.#limitedServer.readAheadBytes;
	}

	/** Number of connections whose incomplete requests wait for a later iteration of the event loop. */
	get pacedCount(): number {
		return this.#limitedServer.pacedCount;
	}

	/** Number of requests that were received in part. */
	get incomingCount(): number {
		return this.#incoming.size;
	}

	/** True if a request is being received, or a response has not been sent completely. */
	get isBusy(): boolean {
		return this.#incoming.size > 0 || this.openExchanges.size > 0;
	}

	/** Applies the limits of new configuration tables. */
	applyLimits({headBytes, bodyBytes, idleTimeoutMs}: CallerLimits): void {
		this.#maxHeadBytes = headBytes;
		this.#maxBodyBytes = bodyBytes;
		this.#server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
	}

	/** Reads a caller's connection on if it has not been read for some time because of what was sent ahead; returns false if it is being read, so that its end would be known. */
	tryReadOn(openId: number, now: number): boolean {
		const exchange = this.openExchanges.get(openId);
		return exchange !== undefined && this.#limitedServer.tryReadOn(exchange.request.socket, now);
	}

	/** Closes each connection after its next response from now on. */
	startDraining(): void {
		this.#isDraining = true;
		for (const exchange of this.openExchanges.values()) {
			exchange.closeAfterResponse();
		}
	}

	/** Stops to listen and closes all connections once no request or response is under way; returns true when the process can end without cutting a response. */
	tryCloseConnections(now: number): boolean {
		return !this.isBusy && this.#connectionCloser.tryCloseAll(now);
	}

	/** Refuses the requests that are being received, and from now on all that are not complete when they arrive. */
	refuseIncoming(): void {
		this.#isRefusing = true;
		for (const refuse of this.#incoming.values()) {
			refuse(failureReason.draining, incompleteDetail);
		}
	}

	/**
	 * Handles a request when the responses to those before it on its connection have been sent. One of them may close the
	 * connection; a request that was passed on by then would lose its response, and Node.js would not report its end.
	 */
	#handleInTurn(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const previous = this.#latestResponses.get(socket);
		this.#latestResponses.set(socket, response);
		if (previous !== undefined && !previous.closed) {
			previous.once('close', () => {
				this.#handleNext(request, response);
			});
			return;
		}

		this.#handleNext(request, response);
	}

	#handleNext(request: IncomingMessage, response: ServerResponse): void {
		if (request.socket.writableEnded || request.socket.destroyed) {
			// The connection is closed for responses.
			request.resume();
		} else {
			this.#handleRequest(request, response, undefined);
		}
	}

	#handleRequest(request: IncomingMessage, response: ServerResponse, relayedFrom: RelayOrigin | undefined): void {
		const {bufferBudget, protocol, checkHead} = this.#options;
		const account = bufferBudget.openBodyAccount();
		const head: Result<RequestHead, HeadFault> = protocol.readHead(request);
		const declaredBytes = Number(request.headers['content-length'] ?? 0);
		let body: BodyCollector | undefined = new BodyCollector(declaredBytes);
		let bodyBytes = 0;
		let timer: NodeJS.Timeout | undefined;
		const reject = (failure: Failure, detail?: string) => {
			if (body !== undefined) {
				body = undefined;
				account.release();
				clearTimeout(timer);
				this.#refuseBeforeExchange(request, response, {
					head: head.unwrapOr(undefined), relayedFrom, failure, detail,
				});
			}
		};

		const refuse = (reason: FailureReason, detail: string) => {
			reject(createFailure(reason, reason === failureReason.draining ? 0 : undefined), detail);
		};

		const hasBody = declaredBytes > 0 || request.headers['transfer-encoding'] !== undefined;
		if (relayedFrom === undefined && computeHeadBytes(request) > this.#maxHeadBytes) {
			refuse(failureReason.headTooLarge, 'the request head exceeds the configured limit');
		} else if (declaredBytes > this.#maxBodyBytes) {
			refuse(failureReason.bodyTooLarge, 'the request body exceeds the configured limit');
		} else if (this.#isRefusing) {
			refuse(failureReason.draining, incompleteDetail);
		} else if (head.isErr()) {
			refuse(failureReason.badRequest, head.error.detail);
		} else if (hasBody) {
			checkHead(head.value, relayedFrom).match(timeLimitMs => {
				timer = setTimeout(() => {
					account.giveWay(() => {
						refuse(failureReason.bodyLate, 'the request body did not arrive within the time limit of its route, and others need the memory');
					});
				}, timeLimitMs);
			}, reject);
		}

		if (body !== undefined && !account.tryExtend(declaredBytes)) {
			this.#rejectForMemory(reject, 'the declared length of the request body does not fit into the memory');
		}

		request.on('data', (chunk: Uint8Array) => {
			bodyBytes += chunk.length;
			if (bodyBytes > this.#maxBodyBytes) {
				refuse(failureReason.bodyTooLarge, 'the request body exceeds the configured limit');
				return;
			}

			body?.add(chunk);
			if (body !== undefined && !account.tryExtend(body.capacity)) {
				this.#rejectForMemory(reject, 'the request body does not fit into the memory');
			}
		});
		this.#incoming.set(request, refuse);
		request.once('close', () => {
			this.#incoming.delete(request);
		});
		request.on('error', () => {
			// Nothing to report before an exchange starts; later, the `close` event of the response reports it.
		});
		response.once('close', () => {
			clearTimeout(timer);
			account.release();
		});
		request.on('end', () => {
			clearTimeout(timer);
			account.keep();
			const received = body;
			// From now on, the exchange decides about the request.
			body = undefined;
			if (received !== undefined && head.isOk()) {
				this.#startExchange(request, response, {
					head: head.value, body: received.takeBlocks(), bodyBytes, relayedFrom,
				});
			}
		});
	}

	#startExchange(request: IncomingMessage, response: ServerResponse, {
		head, body, bodyBytes, relayedFrom,
	}: ReceivedRequest): void {
		const relayedBytes = relayedFrom === undefined ? 0 : bodyBytes;
		if (this.#relayedBytes + relayedBytes > maxRelayedBytes) {
			this.#refuseBeforeExchange(request, response, {
				head, relayedFrom, failure: createFailure(failureReason.relayRefused), detail: 'the bodies of relayed requests exceed the limit',
			});
			return;
		}

		this.#relayedBytes += relayedBytes;
		const {method = '', url = ''} = request;
		const {host, keyDigest} = head;
		const fingerprint = computeFingerprint({
			method, host, url, keyDigest, body,
		});
		const openId = this.#nextOpenId++;
		const exchange = new CallerExchange(openId, head, request, body, {
			response, protocol: this.#options.protocol, bufferBudget: this.#options.bufferBudget, relayedFrom,
			onHoldFailed: detail => {
				this.#options.emit({kind: eventKind.holdFailed, openId, detail});
			},
		});
		if (this.#isDraining) {
			exchange.closeAfterResponse();
		}

		this.openExchanges.set(openId, exchange);
		response.on('close', () => {
			this.openExchanges.delete(openId);
			this.#relayedBytes -= relayedBytes;
			if (!response.writableFinished) {
				if (response.writableEnded) {
					this.#options.log('response-cut', {requestId: head.requestId, detail: 'the connection closed before the end of the response was sent'});
				}

				this.#options.emit({kind: eventKind.callerLeft, openId});
			}
		});
		this.#options.emit({
			kind: eventKind.requestArrived, openId, ...head, fingerprint, relayedFrom,
		});
	}

	#rejectForMemory(reject: (failure: Failure, detail: string) => void, detail: string): void {
		reject(createFailure(failureReason.memoryFull, minMemoryRetryAfterMs + (this.#options.random() * memoryRetryAfterJitterMs)), detail);
	}

	#refuseBeforeExchange(request: IncomingMessage, response: ServerResponse, rejection: Rejection): void {
		const {head, relayedFrom, failure, detail} = rejection;
		const {protocol, log} = this.#options;
		const {reason, status} = failure;
		log('refused', {
			requestId: head?.requestId, host: head?.host, path: head?.path, reason, status, detail,
		});
		const body = head === undefined ? '' : createFailureBody(failure, head.requestId);
		response.writeHead(status, [
			...Object.entries(protocol.createFailureHeaders(failure)).flat(),
			...(relayedFrom === undefined ? [] : createFailureOutcomeHeaders(reason, 0)),
			...(head === undefined ? [] : ['Content-Type', 'application/json']),
			'Content-Length',
			String(Buffer.byteLength(body)),
			'Connection',
			'close',
		]);
		response.write(body);
		endAfterBody(request, response);
	}
}

/**
 * Ends a response that has been written only when the request has been read, or the caller sends
 * too much or for too long: bytes that arrive at a closed connection reset it, and the caller could lose the response.
 */
function endAfterBody(request: IncomingMessage, response: ServerResponse): void {
	if (request.complete) {
		response.end();
		return;
	}

	let discardedBytes = 0;
	const end = () => {
		clearTimeout(timer);
		response.end();
	};

	const timer = setTimeout(end, discardTimeoutMs);
	request.once('end', end);
	request.once('close', end);
	request.on('data', (chunk: Uint8Array) => {
		discardedBytes += chunk.length;
		if (discardedBytes > maxDiscardedBytes) {
			end();
		}
	});
}

/** Computes the size of the request line and headers as sent, in bytes, without optional white space. */
function computeHeadBytes({method = '', url = '', rawHeaders}: IncomingMessage): number {
	let size = method.length + url.length + ' '.length + ' HTTP/1.1\r\n\r\n'.length;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		size += rawHeaders[index]!.length + rawHeaders[index + 1]!.length + ': \r\n'.length;
	}

	return size;
}
