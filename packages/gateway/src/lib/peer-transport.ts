/**
 * Calls between instances: one JSON message each way over HTTP keep-alive
 * connections. The same server provides the metrics page.
 */
import {Buffer} from 'node:buffer';
import {deflateSync, inflateSync} from 'node:zlib';
import {
	Agent, createServer, request as startRequest, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {
	eventKind, type CallPeerEffect, type Event, type PeerMessage,
} from '@sequoiatally/dispatch';
import {
	describeError, parseAddress, type LifecycleManager, type SocketAddress,
} from '@sequoiatally/runtime';
import {err, type Result} from 'neverthrow';
import {listenOn} from './listen.js';
import {parsePeerMessage} from './parse-peer-message.js';
import {readResponse} from './read-response.js';
import {isRelayRequest} from './relay-headers.js';

const peerPath = '/peers';
const metricsPath = '/metrics';
/** Time limit of a call, in milliseconds. */
const callTimeoutMs = 800;
/** Largest request head, in bytes: that of a relayed request contains the caller's. */
const maxHeadBytes = 80 * 1024;
/** Size above which messages are compressed. */
const compressionThresholdBytes = 1500;
/** Largest message that is read, compressed or not. */
const maxMessageBytes = 8 * 1024 * 1024;

export type PeerTransportOptions = {
	readonly emit: (event: Event) => void;
	readonly readClock: () => number;
	/** Handles a request of a caller that a peer relays. */
	readonly handleRelayed: (request: IncomingMessage, response: ServerResponse) => void;
	/** Renders the metrics page. */
	readonly renderMetrics: () => Promise<string>;
};

export class PeerTransport {
	readonly #options: PeerTransportOptions;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 2, maxFreeSockets: 1});
	readonly #pendingCalls = new Map<number, ServerResponse>();
	#nextCallId = 1;

	constructor(options: PeerTransportOptions, lifecycle: LifecycleManager) {
		this.#options = options;
		lifecycle.own('peer connections', () => {
			this.#agent.destroy();
		});
	}

	async listen(address: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		const server = createServer({keepAliveTimeout: 10_000, maxHeaderSize: maxHeadBytes, noDelay: true}, (request, response) => {
			if (isRelayRequest(request.headers)) {
				this.#options.handleRelayed(request, response);
				return;
			}

			void this.#handleRequest(request, response);
		});
		await listenOn(server, address, lifecycle);
	}

	/** Calls a peer; its response or the failure is emitted as an event. */
	async call({address, message}: CallPeerEffect): Promise<void> {
		const requestedAt = this.#options.readClock();
		const {body, encoding} = encodeMessage(message);
		const socketAddress = parseAddress(address);
		if (socketAddress === undefined) {
			this.#options.emit({kind: eventKind.peerFailed, address, detail: 'invalid peer address'});
			return;
		}

		const request = startRequest({
			agent: this.#agent,
			...socketAddress,
			method: 'POST',
			path: peerPath,
			headers: {'Content-Type': 'application/json', 'Content-Length': body.length, 'Content-Encoding': encoding},
			signal: AbortSignal.timeout(callTimeoutMs),
		});
		request.end(body);
		const response = await readResponse(request, maxMessageBytes);
		const responseMessage = response.mapErr(({detail}) => detail).andThen(({head, body}) => parseBody(head, body));
		this.#options.emit(responseMessage.match<Event>(
			message => ({
				kind: eventKind.peerAnswered, address, message, requestedAt,
			}),
			detail => ({kind: eventKind.peerFailed, address, detail}),
		));
	}

	/** Sends the response to a call of a peer. */
	answer(callId: number, message: PeerMessage): void {
		const response = this.#pendingCalls.get(callId);
		this.#pendingCalls.delete(callId);
		const {body, encoding} = encodeMessage(message);
		response?.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': body.length, 'Content-Encoding': encoding});
		response?.end(body);
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			if (request.url === metricsPath) {
				const page = await this.#options.renderMetrics();
				response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
				response.end(page);
				return;
			}

			if (request.url !== peerPath || request.method !== 'POST') {
				response.writeHead(404).end();
				return;
			}

			const message = parseBody(request, await readBody(request));
			if (message.isErr()) {
				throw new PeerMessageError(message.error);
			}

			const callId = this.#nextCallId++;
			this.#pendingCalls.set(callId, response);
			this.#options.emit({kind: eventKind.peerCalled, callId, message: message.value});
		} catch (error) {
			if (response.headersSent) {
				response.destroy();
				return;
			}

			response.writeHead(400, {'Content-Type': 'text/plain'});
			response.end(describeError(error));
		}
	}
}

async function readBody(message: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of message as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxMessageBytes) {
			throw new PeerMessageError('the message is too large');
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

/** Decodes the body of a message; fails with a description of what is wrong. */
function parseBody({headers}: IncomingMessage, body: Uint8Array): Result<PeerMessage, string> {
	try {
		const content = headers['content-encoding'] === 'deflate' ? inflateSync(body, {maxOutputLength: maxMessageBytes}) : body;
		return parsePeerMessage(new TextDecoder().decode(content));
	} catch (error) {
		return err(describeError(error));
	}
}

/** Compresses large messages: configuration tables consist mostly of repeated names and would otherwise saturate a slow link. */
function encodeMessage(message: PeerMessage): {body: Uint8Array; encoding: string} {
	const body = Buffer.from(JSON.stringify(message));
	return body.length > compressionThresholdBytes ? {body: deflateSync(body, {level: 1}), encoding: 'deflate'} : {body, encoding: 'identity'};
}

/** A message that is too large or does not have the form that instances send. */
export class PeerMessageError extends Error {
	override readonly name = 'PeerMessageError';
}
