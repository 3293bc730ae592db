/**
 * Serves callers: reads requests whole, hands them to the reducer and notices
 * when a caller leaves.
 */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	createFailure, eventKind, failureReason, type CallerLimits, type Event, type FailureReason,
} from '@sequoiatally/dispatch';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';
import {CallerExchange} from './caller-exchange.js';
import type {CallerProtocol} from './protocol.js';
import {listenOn} from './listen.js';

/** Largest head that is read; the tables may allow less. */
const largestHeadBytes = 64 * 1024;
/** Time for a caller to send its head, and the whole request, in milliseconds; the tables only allow less. */
const longestHeadMs = 30_000;
const longestRequestMs = 120_000;
/** Time beyond the tables' limit for which an idle connection is kept: callers may use it until the limit. */
const idleMarginMs = 1000;
/** Largest body before tables are known. */
const defaultBodyBytes = 4 * 1024 * 1024;

export type CallerServerParts = {
	readonly protocol: CallerProtocol;
	readonly emit: (event: Event) => void;
	/** Writes a log line. */
	readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
};

export class CallerServer {
	/** Requests without a whole answer, by number. */
	readonly open = new Map<number, CallerExchange>();
	readonly #parts: CallerServerParts;
	readonly #server: Server;
	#headLimit = largestHeadBytes;
	#bodyLimit = defaultBodyBytes;
	#nextOpenId = 1;
	#isDraining = false;

	constructor(parts: CallerServerParts) {
		this.#parts = parts;
		this.#server = createServer({
			maxHeaderSize: largestHeadBytes, headersTimeout: longestHeadMs, requestTimeout: longestRequestMs, keepAliveTimeout: 60_000, noDelay: true,
		}, (request, response) => {
			this.#handleRequest(request, response);
		});
		this.#server.on('clientError', (error: Error & {code?: string}, socket) => {
			if (error.code !== 'ECONNRESET') {
				parts.log('unreadable-request', {detail: error.code ?? error.message});
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

	/** Takes the limits of new tables. */
	useLimits({headBytes, bodyBytes, idleTimeoutMs}: CallerLimits): void {
		this.#headLimit = headBytes;
		this.#bodyLimit = bodyBytes;
		this.#server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
	}

	/** From now on, each connection is closed after its next answer. */
	startDraining(): void {
		this.#isDraining = true;
		for (const exchange of this.open.values()) {
			exchange.closeAfterAnswer();
		}
	}

	#handleRequest(request: IncomingMessage, response: ServerResponse): void {
		const chunks: Uint8Array[] = [];
		let size = 0;
		let isRefused = false;
		const refuse = (reason: FailureReason, detail: string) => {
			if (!isRefused) {
				isRefused = true;
				this.#refuseUnread(response, reason, detail);
			}
		};

		if (computeHeadBytes(request) > this.#headLimit) {
			refuse(failureReason.headTooLarge, 'the head is larger than the tables allow');
		} else if (Number(request.headers['content-length'] ?? 0) > this.#bodyLimit) {
			refuse(failureReason.bodyTooLarge, 'the body is larger than the tables allow');
		}

		request.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > this.#bodyLimit) {
				refuse(failureReason.bodyTooLarge, 'the body is larger than the tables allow');
			} else if (!isRefused) {
				chunks.push(chunk);
			}
		});
		request.on('error', () => {
			// The close of the response tells that the caller is gone.
		});
		request.on('end', () => {
			if (!isRefused) {
				this.#openExchange(request, response, chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
			}
		});
	}

	#openExchange(request: IncomingMessage, response: ServerResponse, body: Uint8Array): void {
		const head = this.#parts.protocol.readHead(request);
		if (head.isErr()) {
			this.#refuseUnread(response, failureReason.badRequest, head.error.detail);
			return;
		}

		const openId = this.#nextOpenId++;
		const exchange = new CallerExchange(openId, head.value, request, body, {response, protocol: this.#parts.protocol});
		if (this.#isDraining) {
			exchange.closeAfterAnswer();
		}

		this.open.set(openId, exchange);
		response.on('close', () => {
			this.open.delete(openId);
			if (!response.writableFinished) {
				this.#parts.emit({kind: eventKind.callerLeft, openId});
			}
		});
		this.#parts.emit({kind: eventKind.requestArrived, openId, ...head.value});
	}

	#refuseUnread(response: ServerResponse, reason: FailureReason, detail: string): void {
		const {status} = createFailure(reason);
		this.#parts.log('refused', {reason, status, detail});
		response.writeHead(status, ['Content-Length', '0', 'Connection', 'close']);
		response.end();
	}
}

/** Size of the request line and the headers as they were sent, without optional spaces. */
function computeHeadBytes({method = '', url = '', rawHeaders}: IncomingMessage): number {
	let size = method.length + url.length + ' '.length + ' HTTP/1.1\r\n\r\n'.length;
	for (let index = 0; index < rawHeaders.length; index += 2) {
		size += rawHeaders[index]!.length + rawHeaders[index + 1]!.length + ': \r\n'.length;
	}

	return size;
}
