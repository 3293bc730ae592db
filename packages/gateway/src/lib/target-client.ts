/**
 * Carries out sends: one exchange with a target each. Says exactly what its
 * end proves, and passes nothing on that is not the target's own answer.
 */
import {Buffer} from 'node:buffer';
import {request as startRequest, type ClientRequest, type IncomingMessage} from 'node:http';
import {
	eventKind, sendOutcome, type Event, type SendEffect, type SendOutcome,
} from '@sequoiatally/dispatch';
import {describeError} from '@sequoiatally/runtime';
import type {CallerExchange} from './caller-exchange.js';
import type {ConnectionPool, LeasedConnection} from './connection-pool.js';
import {EventSplitter} from './event-splitter.js';
import {answerKind, type AnswerHead, type TargetProtocol} from './protocol.js';

/** Time to open a connection, in milliseconds: many round trips of the longest path, less than the repeat of a lost opening packet. */
const connectTimeoutMs = 300;
/** Largest answer that is read whole. */
const largestAnswerBytes = 16 * 1024 * 1024;

/** Statuses that promise a caller that its request has not run; only with the target's proof may they be passed on. */
const promiseStatuses = new Set([408, 421, 429, 503]);

/** What a target client uses. */
export type TargetClientParts = {
	readonly pool: ConnectionPool;
	readonly protocol: TargetProtocol;
	readonly emit: (event: Event) => void;
	readonly readClock: () => number;
};

export class TargetClient {
	readonly #parts: TargetClientParts;
	readonly #running = new Map<number, TargetExchange>();

	constructor(parts: TargetClientParts) {
		this.#parts = parts;
	}

	/** Starts a send; its end comes back as an event. */
	run(send: SendEffect, caller: CallerExchange): void {
		const exchange = new TargetExchange(send, caller, this.#parts, () => {
			this.#running.delete(send.sendId);
		});
		this.#running.set(send.sendId, exchange);
		exchange.start();
	}

	/** Stops a send and closes its connection. */
	cancel(sendId: number): void {
		this.#running.get(sendId)?.cancel();
		this.#running.delete(sendId);
	}
}

class TargetExchange {
	readonly #send: SendEffect;
	readonly #caller: CallerExchange;
	readonly #parts: TargetClientParts;
	readonly #onEnd: () => void;
	readonly #connection: LeasedConnection;
	#request?: ClientRequest;
	#connectTimer?: NodeJS.Timeout;
	#silenceTimer?: NodeJS.Timeout;
	#hasConnected: boolean;
	#hasEnded = false;
	#hasDelivered = false;
	#answer?: AnswerHead;

	constructor(send: SendEffect, caller: CallerExchange, parts: TargetClientParts, onEnd: () => void) {
		this.#send = send;
		this.#caller = caller;
		this.#parts = parts;
		this.#onEnd = onEnd;
		this.#connection = parts.pool.lease(send.address, send.needsFreshConnection);
		this.#hasConnected = !this.#connection.isNew;
	}

	start(): void {
		const {socket} = this.#connection;
		const {request, body} = this.#caller;
		if (!this.#hasConnected) {
			this.#connectTimer = setTimeout(() => {
				this.#end(sendOutcome.notSent, 'connection timed out');
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
			this.#end(this.#hasConnected ? this.#outcomeOfBreak : sendOutcome.notSent, describeError(error));
		});
		this.#request.end(body);
		this.#startSilenceTimer();
	}

	cancel(): void {
		this.#stop();
		this.#request?.destroy();
		this.#connection.socket.destroy();
	}

	get #outcomeOfBreak(): SendOutcome {
		return this.#caller.hasStarted ? sendOutcome.interrupted : sendOutcome.lost;
	}

	#createHeaders(body: Uint8Array): string[] {
		const headers = this.#parts.protocol.createSendHeaders(this.#caller.request.rawHeaders, this.#send, this.#parts.readClock());
		if (body.length > 0 || this.#caller.request.headers['content-length'] !== undefined || this.#caller.request.headers['transfer-encoding'] !== undefined) {
			headers.push('Content-Length', String(body.length));
		}

		headers.push('Connection', 'keep-alive');
		return headers;
	}

	#startSilenceTimer(): void {
		const {answerStartTimeoutMs: firstSilenceMs, eventGapTimeoutMs: gapSilenceMs, openId, sendId} = this.#send;
		const silenceMs = this.#hasDelivered ? gapSilenceMs : firstSilenceMs;
		clearInterval(this.#silenceTimer);
		if (silenceMs > 0) {
			this.#silenceTimer = setInterval(() => {
				this.#parts.emit({
					kind: eventKind.answerSilent, openId, sendId, lastEventId: this.#caller.lastEventId,
				});
			}, silenceMs);
		}
	}

	#handleResponse(response: IncomingMessage): void {
		const {statusCode = 0, headers} = response;
		const answer = this.#parts.protocol.readAnswer(statusCode, headers, this.#caller.head.requestId);
		this.#answer = answer;
		response.on('error', error => {
			this.#end(this.#outcomeOfBreak, describeError(error));
		});
		response.on('close', () => {
			if (!response.complete) {
				this.#end(this.#outcomeOfBreak, 'the answer broke off');
			}
		});
		if (answer.kind === answerKind.stray) {
			this.#end(this.#outcomeOfBreak, `stray answer with status ${statusCode}`);
			return;
		}

		if (this.#send.isStream && answer.kind === answerKind.own && statusCode < 300) {
			this.#passStream(response);
			return;
		}

		this.#readWhole(response, body => {
			this.#finishWhole(response, answer, body);
		});
	}

	#readWhole(response: IncomingMessage, finish: (body: Uint8Array) => void): void {
		const chunks: Uint8Array[] = [];
		let size = 0;
		response.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > largestAnswerBytes) {
				this.#end(this.#outcomeOfBreak, 'the answer is too large');
				return;
			}

			chunks.push(chunk);
		});
		response.on('end', () => {
			if (!isFramed(response)) {
				this.#end(this.#outcomeOfBreak, 'the answer has no length');
			} else if (response.complete) {
				finish(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
			}
		});
	}

	#finishWhole(response: IncomingMessage, {kind}: AnswerHead, body: Uint8Array): void {
		const {statusCode = 0, rawHeaders} = response;
		const detail = `status ${statusCode}`;
		if (kind === answerKind.otherTarget) {
			this.#endWell(response, sendOutcome.misdirected, 'another process has the address');
		} else if (kind === answerKind.notRun) {
			this.#endWell(response, sendOutcome.rejected, detail);
		} else if (promiseStatuses.has(statusCode) || (this.#caller.hasStarted)) {
			this.#end(this.#outcomeOfBreak, `${detail} without proof`);
		} else {
			const whole = {status: statusCode, headers: this.#parts.protocol.selectAnswerHeaders(rawHeaders), body};
			if (statusCode >= 500) {
				this.#caller.held = whole;
				this.#endWell(response, sendOutcome.failed, detail);
			} else {
				this.#caller.deliverWhole(whole);
				this.#endWell(response, sendOutcome.complete, detail);
			}
		}
	}

	#passStream(response: IncomingMessage): void {
		const splitter = new EventSplitter();
		response.on('data', (chunk: Uint8Array) => {
			if (this.#hasEnded) {
				return;
			}

			this.#silenceTimer?.refresh();
			const events = splitter.push(chunk);
			if (events.length > 0) {
				this.#passEvents(response, splitter, events);
			}
		});
		response.on('end', () => {
			if (this.#hasEnded || !response.complete) {
				return;
			}

			// A resumed stream may have nothing left to tell.
			const hasEvents = this.#hasDelivered || this.#send.resumeAfterEventId !== undefined;
			if (!splitter.isAtBorder || !hasEvents || !isFramed(response)) {
				this.#end(this.#outcomeOfBreak, 'the stream ended without a sign of its end');
				return;
			}

			this.#caller.finishStream();
			this.#endWell(response, sendOutcome.complete, 'stream');
		});
	}

	#passEvents(response: IncomingMessage, splitter: EventSplitter, events: Uint8Array): void {
		const {openId, sendId, resumeAfterEventId: resumeAfter} = this.#send;
		if (!this.#hasDelivered) {
			if (resumeAfter !== undefined && !isNextId(resumeAfter, splitter.firstEventId)) {
				this.#end(sendOutcome.interrupted, `resumed at ${splitter.firstEventId} after ${resumeAfter}`);
				return;
			}

			this.#hasDelivered = true;
			this.#startSilenceTimer();
			if (!this.#caller.hasStarted) {
				this.#caller.startStream(response.statusCode!, this.#parts.protocol.selectAnswerHeaders(response.rawHeaders));
			}

			this.#parts.emit({
				kind: eventKind.answerStarted, openId, sendId, targetLoad: this.#answer?.targetLoad,
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
	#endWell(response: IncomingMessage, outcome: SendOutcome, detail: string): void {
		const {socket} = this.#connection;
		const {address} = this.#send;
		const idleLimitMs = readIdleLimit(response);
		if (this.#request?.shouldKeepAlive && !socket.destroyed) {
			socket.once('free', () => {
				this.#parts.pool.release(address, socket, idleLimitMs);
			});
		}

		this.#finish(outcome, detail);
	}

	/** Ends an exchange after which the connection is of no use. */
	#end(outcome: SendOutcome, detail: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#finish(outcome, detail);
		this.#request?.destroy();
		this.#connection.socket.destroy();
	}

	#finish(outcome: SendOutcome, detail: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#stop();
		this.#onEnd();
		this.#parts.emit({
			kind: eventKind.sendEnded, openId: this.#send.openId, sendId: this.#send.sendId, outcome, detail,
			lastEventId: this.#caller.lastEventId, targetLoad: this.#hasDelivered ? undefined : this.#answer?.targetLoad,
		});
	}

	#stop(): void {
		this.#hasEnded = true;
		clearTimeout(this.#connectTimer);
		clearInterval(this.#silenceTimer);
	}
}

/** False: the answer ends with its connection, and a target that crashes ends it likewise. */
function isFramed({headers, statusCode}: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || statusCode === 204 || statusCode === 304;
}

/** Reads how long the target keeps an idle connection, in milliseconds. */
function readIdleLimit({headers}: IncomingMessage): number | undefined {
	const seconds = /timeout=(\d+)/.exec(String(headers['keep-alive'] ?? ''))?.[1];
	return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** True when a resumed stream goes on exactly after the last event. */
function isNextId(lastId: string, firstId: string | undefined): boolean {
	return firstId !== undefined && Number(firstId) === Number(lastId) + 1;
}
