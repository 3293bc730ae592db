/**
 * HTTP server for callers: buffers each request, emits it as an event for the
 * reducer, and reports callers that disconnect before their response is sent.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	createFailure, eventKind, failureReason, type CallerLimits, type Event, type FailureReason, type RelayOrigin,
} from '@sequoiatally/dispatch';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';
import {ByteCollector} from './byte-collector.js';
import {CallerExchange} from './caller-exchange.js';
import {ConnectionCloser} from './connection-closer.js';
import type {CallerProtocol} from './protocol.js';
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

export type CallerServerOptions = {
	readonly protocol: CallerProtocol;
	readonly emit: (event: Event) => void;
	/** Writes a log line. */
	readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
};

const incompleteDetail = 'the process ends before the request is complete';

type ReceivedRequest = {readonly body: Uint8Array; readonly relayedFrom: RelayOrigin | undefined};

export class CallerServer {
	/** Exchanges whose response is not complete, by `openId`. */
	readonly openExchanges = new Map<number, CallerExchange>();
	readonly #options: CallerServerOptions;
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
	/** True if requests that are not complete yet are refused. */
	#isRefusing = false;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		this.#server = createServer({
			maxHeaderSize: absoluteMaxHeadBytes, headersTimeout: headTimeoutMs, requestTimeout: requestTimeoutMs, keepAliveTimeout: 60_000, noDelay: true,
		}, (request, response) => {
			if (request.socket.writableEnded) {
				// The connection is closed for responses.
				request.resume();
			} else {
				this.#handleRequest(request, response, undefined);
			}
		});
		this.#connectionCloser = new ConnectionCloser(this.#server);
		this.#server.on('clientError', (error: Error & {code?: string}, socket) => {
			if (error.code !== 'ECONNRESET') {
				options.log('unreadable-request', {detail: error.code ?? error.message});
			}

			if (socket.writable && error.code !== 'ECONNRESET') {
				socket.end(`HTTP/1.1 ${error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			} else {
				socket.destroy();
			}
		});
	}

	async listen(address: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		await listenOn(this.#server, address, lifecycle);
	}

	/** Breaks off all open responses. A response whose end is that of its connection would look complete if a server closed that. */
	abortAll(): void {
		for (const exchange of this.openExchanges.values()) {
			exchange.abort();
		}
	}

	/** Handles a request that a peer received from its caller and cannot send to a target. */
	handleRelayed(request: IncomingMessage, response: ServerResponse): void {
		this.#handleRequest(request, response, parseOrigin(request.headers));
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

	#handleRequest(request: IncomingMessage, response: ServerResponse, relayedFrom: RelayOrigin | undefined): void {
		const body = new ByteCollector();
		let isRefused = false;
		const refuse = (reason: FailureReason, detail: string) => {
			if (!isRefused) {
				isRefused = true;
				this.#refuseBeforeExchange(response, relayedFrom, reason, detail);
			}
		};

		if (relayedFrom === undefined && computeHeadBytes(request) > this.#maxHeadBytes) {
			refuse(failureReason.headTooLarge, 'the request head exceeds the configured limit');
		} else if (Number(request.headers['content-length'] ?? 0) > this.#maxBodyBytes) {
			refuse(failureReason.bodyTooLarge, 'the request body exceeds the configured limit');
		} else if (this.#isRefusing) {
			refuse(failureReason.draining, incompleteDetail);
		}

		request.on('data', (chunk: Uint8Array) => {
			if (body.length + chunk.length > this.#maxBodyBytes) {
				refuse(failureReason.bodyTooLarge, 'the request body exceeds the configured limit');
			} else if (!isRefused) {
				body.add(chunk);
			}
		});
		this.#incoming.set(request, refuse);
		request.once('close', () => {
			this.#incoming.delete(request);
		});
		request.on('error', () => {
			// Nothing to report before an exchange starts; later, the `close` event of the response reports it.
		});
		request.on('end', () => {
			if (!isRefused) {
				this.#startExchange(request, response, {body: body.toBytes(), relayedFrom});
			}
		});
	}

	#startExchange(request: IncomingMessage, response: ServerResponse, {body, relayedFrom}: ReceivedRequest): void {
		const head = this.#options.protocol.readHead(request);
		if (head.isErr()) {
			this.#refuseBeforeExchange(response, relayedFrom, failureReason.badRequest, head.error.detail);
			return;
		}

		const relayedBytes = relayedFrom === undefined ? 0 : body.length;
		if (this.#relayedBytes + relayedBytes > maxRelayedBytes) {
			this.#refuseBeforeExchange(response, relayedFrom, failureReason.relayRefused, 'the bodies of relayed requests exceed the limit');
			return;
		}

		this.#relayedBytes += relayedBytes;
		const {method = '', url = ''} = request;
		const {host, keyDigest} = head.value;
		const fingerprint = computeFingerprint({
			method, host, url, keyDigest, body,
		});
		const openId = this.#nextOpenId++;
		const exchange = new CallerExchange(openId, head.value, request, body, {response, protocol: this.#options.protocol, relayedFrom});
		if (this.#isDraining) {
			exchange.closeAfterResponse();
		}

		this.openExchanges.set(openId, exchange);
		response.on('close', () => {
			this.openExchanges.delete(openId);
			this.#relayedBytes -= relayedBytes;
			if (!response.writableFinished) {
				if (response.writableEnded) {
					this.#options.log('response-cut', {requestId: head.value.requestId, detail: 'the connection closed before the end of the response was sent'});
				}

				this.#options.emit({kind: eventKind.callerLeft, openId});
			}
		});
		this.#options.emit({
			kind: eventKind.requestArrived, openId, ...head.value, fingerprint, relayedFrom,
		});
	}

	#refuseBeforeExchange(response: ServerResponse, relayedFrom: RelayOrigin | undefined, reason: FailureReason, detail: string): void {
		const failure = createFailure(reason, reason === failureReason.draining ? 0 : undefined);
		const {status} = failure;
		this.#options.log('refused', {reason, status, detail});
		response.writeHead(status, [
			...Object.entries(this.#options.protocol.createFailureHeaders(failure)).flat(),
			...(relayedFrom === undefined ? [] : createFailureOutcomeHeaders(reason)),
			'Content-Length',
			'0',
			'Connection',
			'close',
		]);
		response.end();
	}
}

/** Computes the size of the request line and headers as sent, in bytes, without optional white space. */
function computeHeadBytes({method = '', url = '', rawHeaders}: IncomingMessage): number {
	let size = method.length + url.length + ' '.length + ' HTTP/1.1\r\n\r\n'.length;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		size += rawHeaders[index]!.length + rawHeaders[index + 1]!.length + ': \r\n'.length;
	}

	return size;
}
