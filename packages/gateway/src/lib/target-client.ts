/**
 * Carries out sends: one exchange with a target each. Says exactly what its
 * end proves, and passes nothing on that is not the target's own answer.
 */
import {Buffer} from 'node:buffer';
import {request as startRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {
	eventKind, sendOutcome, type Event, type Send, type SendOutcome,
} from '@sequoiatally/dispatch';
import {describeError} from '@sequoiatally/runtime';
import type {CallerExchange} from './caller-exchange.js';
import type {ConnectionPool, LeasedConnection} from './connection-pool.js';
import {EventSplitter} from './event-splitter.js';
import {responseKind, type ResponseHead, type TargetProtocol} from './protocol.js';

/** Time to open a connection, in milliseconds: many round trips of the longest path, less than the repeat of a lost opening packet. */
const connectTimeoutMs = 300;
/** Largest answer that is read whole. */
const maxBufferedBytes = 16 * 1024 * 1024;

/** Statuses that promise a caller that its request has not run; only with the target's proof may they be passed on. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** What a target client uses. */
export type TargetClientOptions = {
	readonly pool: ConnectionPool;
	readonly protocol: TargetProtocol;
	readonly emit: (event: Event) => void;
	readonly readClock: () => number;
};

export class TargetClient {
	readonly #options: TargetClientOptions;
	readonly #activeExchanges = new Map<number, TargetExchange>();

	constructor(options: TargetClientOptions) {
		this.#options = options;
	}

	/** Starts a send; its end comes back as an event. */
	startSend(send: Send, caller: CallerExchange): void {
		const exchange = new TargetExchange(send, caller, this.#options, () => {
			this.#activeExchanges.delete(send.sendId);
		});
		this.#activeExchanges.set(send.sendId, exchange);
		exchange.start();
	}

	/** Stops a send and closes its connection. */
	cancel(sendId: number): void {
		this.#activeExchanges.get(sendId)?.cancel();
		this.#activeExchanges.delete(sendId);
	}
}

class TargetExchange {
	readonly #send: Send;
	readonly #caller: CallerExchange;
	readonly #options: TargetClientOptions;
	readonly #onEnd: () => void;
	readonly #connection: LeasedConnection;
	#request?: ClientRequest;
	#connectTimer?: NodeJS.Timeout;
	#silenceTimer?: NodeJS.Timeout;
	#hasConnected: boolean;
	#hasEnded = false;
	#hasDeliveredEvents = false;
	#responseHead?: ResponseHead;

	constructor(send: Send, caller: CallerExchange, options: TargetClientOptions, onEnd: () => void) {
		this.#send = send;
		this.#caller = caller;
		this.#options = options;
		this.#onEnd = onEnd;
		this.#connection = options.pool.lease(send.address, send.needsProvenConnection);
		this.#hasConnected = !this.#connection.isNew;
	}

	start(): void {
		const {socket} = this.#connection;
		const {request, body} = this.#caller;
		if (!this.#hasConnected) {
			this.#connectTimer = setTimeout(() => {
				this.#abort(sendOutcome.unreached, 'connection timed out');
			}, connectTimeoutMs);
			socket.once('connect', () => {
				this.#hasConnected = true;
				clearTimeout(this.#connectTimer);
			});
		}

		this.#request = startRequest({
			createConnection: () => socket,
			method: request.method,
			path: request.url,
			headers: this.#createHeaders(body),
			setHost: false,
		});
		// A request on a connection of its own counts as the last on it unless told otherwise.
		this.#request.shouldKeepAlive = true;
		this.#request.on('response', response => {
			this.#handleResponse(response);
		});
		this.#request.on('error', error => {
			this.#abort(this.#hasConnected ? this.#failureOutcome : sendOutcome.unreached, describeError(error));
		});
		this.#request.end(body);
		this.#startSilenceTimer();
	}

	cancel(): void {
		this.#markEnded();
		this.#request?.destroy();
		this.#connection.socket.destroy();
	}

	get #failureOutcome(): SendOutcome {
		return this.#caller.hasStarted ? sendOutcome.interrupted : sendOutcome.lost;
	}

	#createHeaders(body: Uint8Array): string[] {
		const headers = this.#options.protocol.createSendHeaders(this.#caller.request.rawHeaders, this.#send, this.#options.readClock());
		if (body.length > 0 || this.#caller.request.headers['content-length'] !== undefined || this.#caller.request.headers['transfer-encoding'] !== undefined) {
			headers.push('Content-Length', String(body.length));
		}

		headers.push('Connection', 'keep-alive');
		return headers;
	}

	#startSilenceTimer(): void {
		const {firstSilenceMs, gapSilenceMs, openId, sendId} = this.#send;
		const timeoutMs = this.#hasDeliveredEvents ? gapSilenceMs : firstSilenceMs;
		clearInterval(this.#silenceTimer);
		if (timeoutMs > 0) {
			this.#silenceTimer = setInterval(() => {
				this.#options.emit({
					kind: eventKind.answerSilent, openId, sendId, lastEventId: this.#caller.lastEventId,
				});
			}, timeoutMs);
		}
	}

	#handleResponse(response: IncomingMessage): void {
		const {statusCode = 0, headers} = response;
		const responseHead = this.#options.protocol.readResponseHead(statusCode, headers, this.#caller.head.requestId);
		this.#responseHead = responseHead;
		response.on('error', error => {
			this.#abort(this.#failureOutcome, describeError(error));
		});
		response.on('close', () => {
			if (!response.complete) {
				this.#abort(this.#failureOutcome, 'the answer broke off');
			}
		});
		if (responseHead.kind === responseKind.stray) {
			this.#abort(this.#failureOutcome, `stray answer with status ${statusCode}`);
			return;
		}

		if (this.#send.isStream && responseHead.kind === responseKind.own && statusCode < 300) {
			this.#relayStream(response);
			return;
		}

		this.#bufferBody(response, body => {
			this.#handleBufferedResponse(response, responseHead, body);
		});
	}

	#bufferBody(response: IncomingMessage, onComplete: (body: Uint8Array) => void): void {
		const chunks: Uint8Array[] = [];
		let size = 0;
		response.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBufferedBytes) {
				this.#abort(this.#failureOutcome, 'the answer is too large');
				return;
			}

			chunks.push(chunk);
		});
		response.on('end', () => {
			if (!isSelfDelimited(response)) {
				this.#abort(this.#failureOutcome, 'the answer has no length');
			} else if (response.complete) {
				onComplete(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
			}
		});
	}

	#handleBufferedResponse(response: IncomingMessage, {kind}: ResponseHead, body: Uint8Array): void {
		const {statusCode = 0, rawHeaders} = response;
		const detail = `status ${statusCode}`;
		if (kind === responseKind.otherTarget) {
			this.#finishAndRelease(response, sendOutcome.misdirected, 'another process has the address');
		} else if (kind === responseKind.notRun) {
			this.#finishAndRelease(response, sendOutcome.rejected, detail);
		} else if (notRunStatuses.has(statusCode) || (this.#caller.hasStarted)) {
			this.#abort(this.#failureOutcome, `${detail} without proof`);
		} else {
			const buffered = {status: statusCode, headers: this.#options.protocol.selectResponseHeaders(rawHeaders), body};
			if (statusCode >= 500) {
				this.#caller.heldResponse = buffered;
				this.#finishAndRelease(response, sendOutcome.failed, detail);
			} else {
				this.#caller.deliverResponse(buffered);
				this.#finishAndRelease(response, sendOutcome.complete, detail);
			}
		}
	}

	#relayStream(response: IncomingMessage): void {
		const splitter = new EventSplitter();
		response.on('data', (chunk: Uint8Array) => {
			if (this.#hasEnded) {
				return;
			}

			this.#silenceTimer?.refresh();
			const events = splitter.push(chunk);
			if (events.length > 0) {
				this.#relayEvents(response, splitter, events);
			}
		});
		response.on('end', () => {
			if (this.#hasEnded || !response.complete) {
				return;
			}

			// A resumed stream may have nothing left to tell.
			const hasEvents = this.#hasDeliveredEvents || this.#send.resumeAfter !== undefined;
			if (!splitter.isAtEventBoundary || !hasEvents || !isSelfDelimited(response)) {
				this.#abort(this.#failureOutcome, 'the stream ended without a sign of its end');
				return;
			}

			this.#caller.finishStream();
			this.#finishAndRelease(response, sendOutcome.complete, 'stream');
		});
	}

	#relayEvents(response: IncomingMessage, splitter: EventSplitter, events: Uint8Array): void {
		const {openId, sendId, resumeAfter} = this.#send;
		if (!this.#hasDeliveredEvents) {
			if (resumeAfter !== undefined && !isNextEventId(resumeAfter, splitter.firstEventId)) {
				this.#abort(sendOutcome.interrupted, `resumed at ${splitter.firstEventId} after ${resumeAfter}`);
				return;
			}

			this.#hasDeliveredEvents = true;
			this.#startSilenceTimer();
			if (!this.#caller.hasStarted) {
				this.#caller.startStream(response.statusCode!, this.#options.protocol.selectResponseHeaders(response.rawHeaders));
			}

			this.#options.emit({
				kind: eventKind.answerStarted, openId, sendId, targetLoad: this.#responseHead?.targetLoad,
			});
		}

		this.#caller.lastEventId = splitter.lastEventId ?? this.#caller.lastEventId;
		if (!this.#caller.writeEvents(events)) {
			response.pause();
			this.#caller.waitForDrain(() => {
				response.resume();
			});
		}
	}

	/** Ends an exchange in which the connection saw nothing odd: it is kept if the target keeps it. */
	#finishAndRelease(response: IncomingMessage, outcome: SendOutcome, detail: string): void {
		const {socket} = this.#connection;
		const {address} = this.#send;
		const targetIdleTimeoutMs = readKeepAliveTimeout(response);
		if (this.#request?.shouldKeepAlive && !socket.destroyed) {
			socket.once('free', () => {
				this.#options.pool.release(address, socket, targetIdleTimeoutMs);
			});
		}

		this.#reportEnd(outcome, detail);
	}

	/** Ends an exchange after which the connection is of no use. */
	#abort(outcome: SendOutcome, detail: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#reportEnd(outcome, detail);
		this.#request?.destroy();
		this.#connection.socket.destroy();
	}

	#reportEnd(outcome: SendOutcome, detail: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#markEnded();
		this.#onEnd();
		this.#options.emit({
			kind: eventKind.sendEnded, openId: this.#send.openId, sendId: this.#send.sendId, outcome, detail,
			lastEventId: this.#caller.lastEventId, targetLoad: this.#hasDeliveredEvents ? undefined : this.#responseHead?.targetLoad,
		});
	}

	#markEnded(): void {
		this.#hasEnded = true;
		clearTimeout(this.#connectTimer);
		clearInterval(this.#silenceTimer);
	}
}

/** False: the answer ends with its connection, and a target that crashes ends it likewise. */
function isSelfDelimited({headers, statusCode}: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304;
}

/** Reads how long the target keeps an idle connection, in milliseconds. */
function readKeepAliveTimeout({headers}: IncomingMessage): number | undefined {
	const seconds = /timeout=(\d+)/.exec(String(headers['keep-alive'] ?? ''))?.[1];
	return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** True when a resumed stream goes on exactly after the last event. */
function isNextEventId(lastEventId: string, firstEventId: string | undefined): boolean {
	return firstEventId !== undefined && Number(firstEventId) === Number(lastEventId) + 1;
}
