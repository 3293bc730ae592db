/**
 * One caller's request with the way back: a whole answer, or a stream of which
 * only complete events are passed on.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {RequestHead, Failure} from '@sequoiatally/dispatch';
import type {CallerProtocol, RawHeaders} from './protocol.js';

/** A target's answer that was read to its end. */
export type WholeAnswer = {readonly status: number; readonly headers: RawHeaders; readonly body: Uint8Array};

/** Headers that concern one connection only. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authenticate', 'proxy-authorization', 'content-length']);

/** Lists raw headers without those that concern one connection only. */
export function listForwardedHeaders(headers: RawHeaders): string[] {
	const named = listNamedByConnection(headers);
	const forwarded: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!.toLowerCase();
		if (!connectionHeaders.has(name) && !named?.has(name)) {
			forwarded.push(headers[index]!, headers[index + 1]!);
		}
	}

	return forwarded;
}

function listNamedByConnection(headers: RawHeaders): Set<string> | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		const value = headers[index + 1]!;
		if (headers[index]!.toLowerCase() === 'connection' && value !== 'keep-alive' && value !== 'close') {
			return new Set(value.split(',').map(name => name.trim().toLowerCase()));
		}
	}

	return undefined;
}

export class CallerExchange {
	/** A target's failure, kept in case that no other target does better. */
	held?: WholeAnswer;
	/** Identifier of the last event that was passed on. */
	lastEventId?: string;
	readonly #response: ServerResponse;
	readonly #protocol: CallerProtocol;

	constructor(
		readonly openId: number,
		readonly head: RequestHead,
		readonly request: IncomingMessage,
		readonly body: Uint8Array,
		parts: {readonly response: ServerResponse; readonly protocol: CallerProtocol},
	) {
		this.#response = parts.response;
		this.#protocol = parts.protocol;
		this.#response.sendDate = false;
	}

	/** True once the head of a streamed answer has been sent. */
	get hasStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Tells the caller to use another connection for its next request. */
	closeAfterAnswer(): void {
		if (!this.#response.headersSent) {
			this.#response.shouldKeepAlive = false;
		}
	}

	deliverWhole({status, headers, body}: WholeAnswer): void {
		this.#response.writeHead(status, [...headers, 'Content-Length', String(body.length)]);
		this.#response.end(body);
	}

	startStream(status: number, headers: RawHeaders): void {
		this.#response.writeHead(status, [...headers]);
	}

	/** Passes events on; returns false when the caller reads more slowly than they come. */
	writeEvents(events: Uint8Array): boolean {
		return this.#response.write(events);
	}

	/** Calls `resume` when the caller has read what waited. */
	waitForDrain(resume: () => void): void {
		this.#response.once('drain', resume);
	}

	finishStream(): void {
		this.#response.end();
	}

	/** Closes the connection in the middle of the answer, so that it cannot look complete. */
	breakOff(): void {
		this.#response.destroy();
	}

	refuse(failure: Failure): void {
		const body = JSON.stringify({error: {reason: failure.reason, requestId: this.head.requestId}});
		this.#response.writeHead(failure.status, {
			...this.#protocol.createFailureHeaders(failure),
			'Content-Type': 'application/json',
			'Content-Length': String(body.length),
		});
		this.#response.end(body);
	}
}
