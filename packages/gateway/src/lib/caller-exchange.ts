/**
 * One caller's request and its response, which is either sent at once or
 * streamed in complete events.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	createFailure, failureReason, type RequestHead, type Failure, type RelayOrigin,
} from '@sequoiatally/dispatch';
import {BodyCollector, type BufferAccount, type BufferBudget} from '@sequoiatally/runtime';
import type {CallerProtocol, RawHeaders} from './protocol.js';
import {createFailureOutcomeHeaders, createSourceHeaders, type ResponseSource} from './relay-headers.js';
import {isReset} from './socket-handle.js';

/** A target's response that has been read to its end. */
export type BufferedResponse = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** The parts of the body, in order. */
	readonly body: readonly Uint8Array[];
	/** Length that the target declared for the body; `undefined` if it declared none. */
	readonly declaredBytes?: number;
	readonly source: ResponseSource;
};

/** The start of a target's stream. */
export type StreamHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	readonly source: ResponseSource;
};

/** A stream that is held until it is complete. */
type HeldStream = StreamHead & {readonly events: BodyCollector; readonly buffer: BufferAccount};

/** Headers that apply to a single connection and are not forwarded. */
const hopByHopHeaders = new Set(['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'proxy-authenticate', 'proxy-authorization', 'content-length']);

/** Lists raw headers without the hop-by-hop headers and those that `Connection` names. */
export function listForwardedHeaders(headers: RawHeaders): string[] {
	const connectionOptions = listConnectionOptions(headers);
	const forwarded: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index]!.toLowerCase();
		if (!hopByHopHeaders.has(name) && !connectionOptions?.has(name)) {
			forwarded.push(headers[index]!, headers[index + 1]!);
		}
	}

	return forwarded;
}

function listConnectionOptions(headers: RawHeaders): Set<string> | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		const value = headers[index + 1]!;
		if (headers[index]!.toLowerCase() === 'connection' && value !== 'keep-alive' && value !== 'close') {
			return new Set(value.split(',').map(name => name.trim().toLowerCase()));
		}
	}

	return undefined;
}

export type CallerExchangeOptions = {
	readonly response: ServerResponse;
	readonly protocol: CallerProtocol;
	/** Memory for the bytes that all exchanges hold. */
	readonly bufferBudget: BufferBudget;
	readonly relayedFrom?: RelayOrigin;
	/** Called when a stream that is held until it is complete has to be given up; `abort` has to follow. */
	readonly onHoldFailed: (detail: string) => void;
};

export class CallerExchange {
	/** A target's error response, delivered if no other target sends a better one. */
	heldResponse?: BufferedResponse;
	/** Identifier of the last event written to the caller. */
	lastEventId?: string;
	/** Number of targets on which the request may have begun, for the peer that relays it. */
	runCount = 0;
	/** The peer that relays the request; `undefined` if the caller is connected to this instance. */
	readonly relayedFrom?: RelayOrigin;
	readonly #response: ServerResponse;
	readonly #protocol: CallerProtocol;
	readonly #bufferBudget: BufferBudget;
	readonly #onHoldFailed: (detail: string) => void;
	/** The stream to a caller that does not know chunks. */
	#heldStream?: HeldStream;

	constructor(
		readonly openId: number,
		readonly head: RequestHead,
		readonly request: IncomingMessage,
		/** The parts of the request's body, in order. */
		readonly body: readonly Uint8Array[],
		options: CallerExchangeOptions,
	) {
		this.relayedFrom = options.relayedFrom;
		this.#response = options.response;
		this.#protocol = options.protocol;
		this.#bufferBudget = options.bufferBudget;
		this.#onHoldFailed = options.onHoldFailed;
		this.#response.sendDate = false;
	}

	/** True once the response has begun. */
	get hasStarted(): boolean {
		return this.#response.headersSent || this.#heldStream !== undefined;
	}

	/** True if the caller can get no response any more. */
	get isDisconnected(): boolean {
		const {socket} = this.request;
		// The HTTP server closes a connection for responses when it has read its end.
		return socket.writableEnded || socket.destroyed || isReset(socket);
	}

	/** Closes the connection of a caller that has disconnected, since its end may not have been read. The `close` event of the response follows. */
	closeConnection(): void {
		this.request.socket.destroy();
	}

	/** Closes the connection after the response, so that the caller opens another one for its next request. */
	closeAfterResponse(): void {
		if (!this.#response.headersSent) {
			this.#response.shouldKeepAlive = false;
		}
	}

	/** Releases the memory of a buffered response when the response to the caller has been sent or given up. */
	keepBuffer(buffer: BufferAccount): void {
		if (this.#response.destroyed) {
			buffer.release();
		} else {
			this.#response.once('close', () => {
				buffer.release();
			});
		}
	}

	deliverResponse({status, headers, body, declaredBytes, source}: BufferedResponse): void {
		// Declares what the target declared, so that a body that lost bytes here cannot look complete.
		this.#response.writeHead(status, [...headers, ...this.#createSourceHeaders(source), 'Content-Length', String(declaredBytes ?? computeLength(body))]);
		for (const part of body.slice(0, -1)) {
			this.#response.write(part);
		}

		this.#response.end(body.at(-1));
	}

	/**
	 * Starts a stream in chunks: the last one states its end, which the end of the connection does not, since the system
	 * also closes the connections of a process that is killed. A caller with HTTP/1.0 does not know chunks; its stream is
	 * held until it is complete, and then sent with its length.
	 */
	startStream(head: StreamHead): void {
		if (this.#response.useChunkedEncodingByDefault) {
			this.#response.writeHead(head.status, [...head.headers, ...this.#createSourceHeaders(head.source)]);
			return;
		}

		const buffer: BufferAccount = this.#bufferBudget.openAccount(() => {
			if (this.#response.headersSent) {
				// The caller does not read the stream that was delivered to it.
				this.#response.destroy();
			} else {
				this.#onHoldFailed('the responses of all exchanges exceed the memory, and this stream, which is held for a caller with HTTP/1.0, is the largest');
			}

			buffer.release();
		});
		this.#heldStream = {...head, events: new BodyCollector(), buffer};
		this.keepBuffer(buffer);
	}

	/** Writes events; returns false if they are buffered because the caller reads more slowly than they arrive. */
	writeEvents(events: Uint8Array): boolean {
		if (this.#heldStream === undefined) {
			return this.#response.write(events);
		}

		const {events: held, buffer} = this.#heldStream;
		held.add(events);
		if (!buffer.trySet(held.capacity)) {
			this.#onHoldFailed('a stream that is held for a caller with HTTP/1.0 exceeds the size limit');
			buffer.release();
		}

		return true;
	}

	/** Calls `onDrain` once, when the buffered events have been written. */
	waitForDrain(onDrain: () => void): void {
		this.#response.once('drain', onDrain);
	}

	finishStream(): void {
		if (this.#heldStream === undefined) {
			this.#response.end();
		} else {
			this.deliverResponse({...this.#heldStream, body: this.#heldStream.events.takeBlocks()});
		}
	}

	/** Closes the connection in the middle of the response, so that the caller cannot take it for complete; a stream that is held becomes a failure. */
	abort(): void {
		if (this.#response.headersSent) {
			this.#response.destroy();
		} else {
			this.refuse(createFailure(failureReason.answerLost));
		}
	}

	refuse(failure: Failure): void {
		const body = createFailureBody(failure, this.head.requestId);
		this.#response.writeHead(failure.status, [
			...Object.entries(this.#protocol.createFailureHeaders(failure)).flat(),
			...(this.relayedFrom === undefined ? [] : createFailureOutcomeHeaders(failure.reason, this.runCount)),
			'Content-Type',
			'application/json',
			'Content-Length',
			String(Buffer.byteLength(body)),
		]);
		this.#response.end(body);
	}

	#createSourceHeaders(source: ResponseSource): string[] {
		return this.relayedFrom === undefined ? [] : createSourceHeaders(source, this.runCount);
	}
}

/** Creates the body of a response that the gateway itself generates. */
export function createFailureBody({reason}: Failure, requestId: string): string {
	return JSON.stringify({error: {reason, requestId}});
}

/** Computes the length of a body from its parts, in bytes. */
export function computeLength(parts: readonly Uint8Array[]): number {
	return parts.reduce((length, part) => length + part.length, 0);
}
