/**
 * Calls between instances: one JSON message each way over HTTP keep-alive
 * connections. The same server provides the metrics page.
 */
import {Buffer} from 'node:buffer';
import {deflateSync, inflateSync} from 'node:zlib';
import {Agent, type IncomingMessage, type ServerResponse} from 'node:http';
import {
	eventKind, type CallLoadPeerEffect, type CallPeerEffect, type CallStreamPeerEffect, type Event, type LoadMessage, type PeerMessage,
	type StreamMessage,
} from '@sequoiatally/dispatch';
import {
	describeError, parseAddress, type LifecycleManager, type SocketAddress,
} from '@sequoiatally/runtime';
import {err, type Result} from 'neverthrow';
import type {DisconnectMonitor} from './disconnect-monitor.js';
import {LimitedServer, type ServerLimits} from './limited-server.js';
import {listenOn} from './listen.js';
import {MessageReader, PeerMessageError} from './message-reader.js';
import {parseLoadMessage, parsePeerMessage, parseStreamMessage} from './parse-peer-message.js';
import {readResponse} from './read-response.js';
import {isRelayRequest} from './relay-headers.js';
import {startStrictRequest} from './strict-request.js';

const peerPath = '/peers';
const streamPath = '/streams';
const loadPath = '/loads';
const metricsPath = '/metrics';
/** Time limit of a call, in milliseconds. */
const callTimeoutMs = 800;
/** Largest request head, in bytes: that of a relayed request contains the caller's. */
const maxHeadBytes = 80 * 1024;
/** Size above which messages are compressed. */
const compressionThresholdBytes = 1500;
/** Largest message that is read, compressed or not. */
const maxMessageBytes = 8 * 1024 * 1024;
/** Largest size of all messages that peers are sending; one of them can have the largest size. */
const maxIncomingBytes = 16 * 1024 * 1024;

type Message = LoadMessage | PeerMessage | StreamMessage;
type Parse<T extends Message> = (text: string) => Result<T, string>;

export type PeerTransportOptions = {
	readonly emit: (event: Event) => void;
	readonly readClock: () => number;
	/** Handles a request of a caller that a peer relays. */
	readonly handleRelayed: (request: IncomingMessage, response: ServerResponse) => void;
	/** Is told of accepted connections; tells up to when the ends of connections are known. */
	readonly disconnects?: DisconnectMonitor;
	/** Renders the metrics page. */
	readonly renderMetrics: () => Promise<string>;
	/** Writes a log line. */
	readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
};

export type PeerServerOptions = {
	/** Name of the server in the log. */
	readonly name: string;
	readonly limits: ServerLimits;
};

export class PeerTransport {
	readonly #options: PeerTransportOptions;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 2, maxFreeSockets: 1});
	/** Separate connections, so that short messages about streams and loads do not wait for larger ones. */
	readonly #shortAgent = new Agent({keepAlive: true, maxSockets: 2, maxFreeSockets: 1});
	readonly #pendingCalls = new Map<number, ServerResponse>();
	readonly #reader: MessageReader;
	#nextCallId = 1;

	constructor(options: PeerTransportOptions, lifecycle: LifecycleManager) {
		this.#options = options;
		this.#reader = new MessageReader({bytesPerMessage: maxMessageBytes, bytes: maxIncomingBytes}, bytes => {
			options.log('peer-message-dropped', {bytes, limitBytes: maxIncomingBytes});
		});
		lifecycle.own('peer connections', () => {
			this.#agent.destroy();
			this.#shortAgent.destroy();
		});
	}

	async listen(address: SocketAddress, {name, limits}: PeerServerOptions, lifecycle: LifecycleManager): Promise<void> {
		const {server} = new LimitedServer({
			name,
			server: {keepAliveTimeout: 10_000, maxHeaderSize: maxHeadBytes, noDelay: true},
			limits,
			disconnects: this.#options.disconnects,
			handle: (request, response) => {
				if (isRelayRequest(request.headers)) {
					this.#options.handleRelayed(request, response);
					return;
				}

				void this.#handleRequest(request, response);
			},
			log: this.#options.log,
		});
		await listenOn(server, address, lifecycle);
	}

	/** Calls a peer; its response or the failure is emitted as an event. */
	async call({address, message}: CallPeerEffect): Promise<void> {
		const requestedAt = this.#options.readClock();
		const response = await this.#post(address, peerPath, message, parsePeerMessage);
		this.#options.emit(response.match<Event>(
			message => ({
				kind: eventKind.peerAnswered, address, message, requestedAt,
			}),
			detail => ({kind: eventKind.peerFailed, address, detail}),
		));
	}

	/** Calls a peer about streams; its response or the failure is emitted as an event. */
	async callStreamPeer({address, message}: CallStreamPeerEffect): Promise<void> {
		const {askedKeys} = message;
		const response = await this.#post(address, streamPath, message, parseStreamMessage);
		const event = {kind: eventKind.streamPeerAnswered, address, askedKeys};
		this.#options.emit(response.match<Event>(message => ({...event, message}), fault => ({...event, fault})));
	}

	/** Calls a peer about the load of a target; its response or the failure is emitted as an event. */
	async callLoadPeer({address, message, openId, timeoutMs}: CallLoadPeerEffect): Promise<void> {
		const response = await this.#post(address, loadPath, message, parseLoadMessage, timeoutMs);
		const event = {kind: eventKind.loadPeerAnswered, address, openId};
		this.#options.emit(response.match<Event>(message => ({...event, message}), fault => ({...event, fault})));
	}

	/** Sends the response to a call of a peer. */
	answer(callId: number, message: Message): void {
		const response = this.#pendingCalls.get(callId);
		this.#pendingCalls.delete(callId);
		const {body, encoding} = encodeMessage(message);
		response?.writeHead(200, {'Content-Type': 'application/json', 'Content-Length': body.length, 'Content-Encoding': encoding});
		response?.end(body);
	}

	async #post<T extends Message>(address: string, path: string, message: T, parse: Parse<T>, timeoutMs = callTimeoutMs): Promise<Result<T, string>> {
		const {body, encoding} = encodeMessage(message);
		const socketAddress = parseAddress(address);
		if (socketAddress === undefined) {
			return err('invalid peer address');
		}

		const request = startStrictRequest({
			agent: path === peerPath ? this.#agent : this.#shortAgent,
			...socketAddress,
			method: 'POST',
			path,
			headers: {'Content-Type': 'application/json', 'Content-Length': body.length, 'Content-Encoding': encoding},
			signal: AbortSignal.timeout(timeoutMs),
		});
		request.end(body);
		const response = await readResponse(request, maxMessageBytes);
		return response.mapErr(({detail}) => detail).andThen(({head, body}) =>
			head.statusCode === 200 ? parseBody(head, body, parse) : err(`status ${head.statusCode}`));
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			if (request.url === metricsPath) {
				const page = await this.#options.renderMetrics();
				response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
				response.end(page);
				return;
			}

			const parse = request.method === 'POST' ? eventParsers.get(request.url ?? '') : undefined;
			if (parse === undefined) {
				response.writeHead(404).end();
				return;
			}

			const callId = this.#nextCallId++;
			const body = await this.#reader.read(request);
			const event = parse(request, body, callId);
			if (event.isErr()) {
				throw new PeerMessageError(event.error);
			}

			this.#pendingCalls.set(callId, response);
			this.#options.emit(event.value);
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

type ParseEvent = (request: IncomingMessage, body: Uint8Array, callId: number) => Result<Event, string>;

/** How the calls of peers are parsed, by path. */
const eventParsers: ReadonlyMap<string, ParseEvent> = new Map<string, ParseEvent>([
	[peerPath, (request, body, callId) => parseBody(request, body, parsePeerMessage).map(message => ({kind: eventKind.peerCalled, callId, message}))],
	[streamPath, (request, body, callId) => parseBody(request, body, parseStreamMessage).map(message => ({kind: eventKind.streamPeerCalled, callId, message}))],
	[loadPath, (request, body, callId) => parseBody(request, body, parseLoadMessage).map(message => ({kind: eventKind.loadPeerCalled, callId, message}))],
]);

/** Decodes the body of a message; fails with a description of what is wrong. */
function parseBody<T extends Message>({headers}: IncomingMessage, body: Uint8Array, parse: Parse<T>): Result<T, string> {
	try {
		const content = headers['content-encoding'] === 'deflate' ? inflateSync(body, {maxOutputLength: maxMessageBytes}) : body;
		return parse(new TextDecoder().decode(content));
	} catch (error) {
		return err(describeError(error));
	}
}

/** Compresses large messages: configuration tables consist mostly of repeated names and would otherwise saturate a slow link. */
function encodeMessage(message: Message): {body: Uint8Array; encoding: string} {
	const body = Buffer.from(JSON.stringify(message));
	return body.length > compressionThresholdBytes ? {body: deflateSync(body, {level: 1}), encoding: 'deflate'} : {body, encoding: 'identity'};
}
