/**
 * One target client and one raw TCP server as its target, which sends whatever a faulty
 * server may send, and a caller that records what reaches it.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {IncomingHttpHeaders} from 'node:http';
import {
	effectKind, eventKind, type Event, type RequestHead, type SendEffect, type SendEndedEvent, type SendOutcome,
} from '@sequoiatally/dispatch';
import {err, type Result} from 'neverthrow';
import {
	BufferBudget, createLogger, LifecycleManager, readMonotonicMs, type BufferAccount,
} from '@sequoiatally/runtime';
import type {BufferedResponse, CallerExchange} from '../lib/caller-exchange.js';
import {ConnectionPool} from '../lib/connection-pool.js';
import {DisconnectMonitor} from '../lib/disconnect-monitor.js';
import {
	CallerProtocol, responseKind, TargetProtocol, type HeadFault, type ResponseHead,
} from '../lib/protocol.js';
import {ReadPacing} from '../lib/read-pacing.js';
import {TargetClient} from '../lib/target-client.js';

/** Matches responses to requests by the header `id`. */
export class HeaderProtocol extends TargetProtocol {
	/** Called when the head of a response has been read. */
	readonly #onHead: () => void;

	constructor(onHead: () => void = () => undefined) {
		super();
		this.#onHead = onHead;
	}

	override createSendHeaders(_callerHeaders: readonly string[], {openId, account}: SendEffect): string[] {
		return account === undefined ? ['id', String(openId)] : ['id', String(openId), 'account', account];
	}

	override createProbeHeaders(targetId: string): string[] {
		return ['target', targetId];
	}

	override readResponseHead(status: number, {id, limit}: IncomingHttpHeaders, requestId: string): ResponseHead {
		this.#onHead();
		const isIdentified = id !== undefined;
		const statement = {requestsPerS: limit === undefined ? undefined : Number(limit)};
		const ownKind = status === 503 ? responseKind.notRun : responseKind.own;
		return {kind: isIdentified && id !== requestId ? responseKind.stray : ownKind, isIdentified, statement};
	}

	override selectResponseHeaders(): string[] {
		return [];
	}
}

class HeaderCallerProtocol extends CallerProtocol {
	override readHead(): Result<RequestHead, HeadFault> {
		return err({detail: 'not used'});
	}

	override createRelayHeaders(_callerHeaders: readonly string[], {openId}: SendEffect): string[] {
		return ['id', String(openId)];
	}

	override createFailureHeaders(): Record<string, string> {
		return {};
	}
}

/** The caller's side of an exchange, which records what it receives. */
export class RecordingCaller {
	readonly request = {
		method: 'POST', url: '/x', rawHeaders: [], headers: {},
	};

	readonly body: readonly Uint8Array[] = [];
	readonly head: {readonly requestId: string};
	lastEventId?: string;
	/** An error response that is kept until it is known whether another target sends a better one. */
	heldResponse?: BufferedResponse;
	hasStarted = false;
	isDisconnected = false;
	isClosed = false;
	received = '';
	/** Number of responses that were delivered or finished. */
	deliveryCount = 0;
	/** If true, the caller does not read until `resumeReading` is called. */
	isSlow = false;
	resumeReading?: () => void;
	/** If true, the memory of the response is held as long as the response is. */
	holdsBuffer = false;

	constructor(openId: number) {
		this.head = {requestId: String(openId)};
	}

	closeConnection(): void {
		this.isClosed = true;
	}

	keepBuffer(buffer: BufferAccount): void {
		if (!this.holdsBuffer) {
			buffer.release();
		}
	}

	deliverResponse({body}: BufferedResponse): void {
		this.received = Buffer.concat(body).toString('utf8');
		this.deliveryCount++;
	}

	startStream(): void {
		this.hasStarted = true;
	}

	writeEvents(events: Uint8Array): boolean {
		this.received += new TextDecoder().decode(events);
		return !this.isSlow;
	}

	waitForDrain(onDrain: () => void): void {
		this.resumeReading = onDrain;
	}

	finishStream(): void {
		this.received += '(end)';
		this.deliveryCount++;
	}
}

/** A monitor whose state a test sets. */
class SwitchedMonitor extends DisconnectMonitor {
	isLate = false;

	constructor() {
		super(readMonotonicMs);
	}

	override isBehind(): boolean {
		return this.isLate;
	}
}

export class ExchangeFixture {
	/** Events other than those of opened connections, oldest first. */
	events: Event[] = [];
	/** Sends whose connection has opened. */
	openedSendIds: number[] = [];
	/** Connections that the target has accepted. */
	readonly sockets = new Set<Socket>();
	nextOpenId = 1;
	client!: TargetClient;
	readonly disconnects = new SwitchedMonitor();
	/** Called when the head of a response has been read, before its body is. */
	onResponseHead?: () => void;
	#server?: Server;
	#lifecycle?: LifecycleManager;
	#onEvent?: () => void;

	/** Address of the target. */
	get address(): string {
		return `127.0.0.1:${(this.#server!.address() as AddressInfo).port}`;
	}

	/** Starts a target that handles each request head with `handle`, and a new client. */
	async startTarget(handle: (socket: Socket, requestId: string) => void): Promise<void> {
		const server = createServer(socket => {
			this.sockets.add(socket);
			socket.on('error', () => {
				// The client closes connections on purpose.
			});
			socket.on('data', chunk => {
				for (const match of String(chunk).matchAll(/^id: (\d+)/gm)) {
					handle(socket, match[1]!);
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		this.#server = server;
		this.#lifecycle = new LifecycleManager(createLogger('test', 'error'));
		const received: Event[] = [];
		this.events = received;
		const opened: number[] = [];
		this.openedSendIds = opened;
		this.client = new TargetClient({
			pool: new ConnectionPool(readMonotonicMs, this.#lifecycle),
			protocol: new HeaderProtocol(() => {
				this.onResponseHead?.();
			}),
			callerProtocol: new HeaderCallerProtocol(),
			origin: {id: 'gateway-1', incarnation: 'i-1'},
			bufferBudget: new BufferBudget(250 * 1024 * 1024),
			disconnects: this.disconnects,
			emit: event => {
				if (event.kind === eventKind.sendOpened) {
					opened.push(event.sendId);
					return;
				}

				received.push(event);
				this.#onEvent?.();
			},
			readClock: readMonotonicMs,
			pacing: new ReadPacing(4, setImmediate),
		});
	}

	/** Stops accepting connections; those that are open stay open. */
	async stopListening(): Promise<void> {
		const closed = once(this.#server!, 'close');
		this.#server!.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}

		await closed;
	}

	/** Closes the client and the target. */
	async close(): Promise<void> {
		await this.#lifecycle?.closeAll();
		for (const socket of this.sockets) {
			socket.destroy();
		}

		this.sockets.clear();
		this.onResponseHead = undefined;
		this.disconnects.isLate = false;
		this.#server?.close();
	}

	startSend(fields: Partial<SendEffect> = {}, caller = new RecordingCaller(this.nextOpenId)): RecordingCaller {
		const openId = this.nextOpenId++;
		this.client.startSend({
			kind: effectKind.send, openId, sendId: openId, targetId: 't', bornAt: 1, isRelayed: false, runLimit: 1, runCount: 1, address: fields.address ?? this.address, isStream: false, needsFreshConnection: false,
			deadlineAt: readMonotonicMs() + 60_000, responseStartTimeoutMs: 0, eventGapTimeoutMs: 0, ...fields,
		}, caller as unknown as CallerExchange);
		return caller;
	}

	/** Resumes a stream of which the first event was delivered. */
	resumeStream(): RecordingCaller {
		const caller = new RecordingCaller(this.nextOpenId);
		caller.hasStarted = true;
		caller.received = 'id: 1\ndata: a\n\n';
		caller.lastEventId = '1';
		return this.startSend({isStream: true, resumeAfterEventId: '1'}, caller);
	}

	async waitForEvent(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#onEvent = resolve;
		});
	}

	/** Waits for the end of the last send. */
	async waitForEnd(): Promise<Pick<SendEndedEvent, 'outcome' | 'detail' | 'runCount' | 'targetReport'>> {
		for (;;) {
			const event = this.events.find(({kind}) => kind === eventKind.sendEnded);
			if (event?.kind === eventKind.sendEnded) {
				this.events.length = 0;
				return event;
			}

			await this.waitForEvent();
		}
	}

	/** Waits for the end of the last send and checks its outcome. */
	async assertOutcome(expected: SendOutcome): Promise<void> {
		const {outcome, detail} = await this.waitForEnd();
		assert.equal(outcome, expected, detail);
	}
}

export function createResponse(requestId: string, body: string): string {
	return `HTTP/1.1 200 OK\r\nid: ${requestId}\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

export function createChunkedHead(requestId: string): string {
	return `HTTP/1.1 200 OK\r\nid: ${requestId}\r\ntransfer-encoding: chunked\r\n\r\n`;
}

export function writeChunk(socket: Socket, text: string): boolean {
	return socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

export async function waitForClose(socket: Socket): Promise<void> {
	while (!socket.destroyed) {
		await delay(5);
	}
}

/** Sends `text` again and again until the peer closes the connection. */
export function writeForever(socket: Socket, text: string): void {
	const write = () => {
		while (!socket.destroyed && socket.write(text)) {
			// Writes until the socket's buffer is full.
		}
	};

	socket.on('drain', write);
	write();
}
