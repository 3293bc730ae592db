/**
 * Passes the bytes of a server's connections to the HTTP parser one request at a time. The parser reads all requests
 * of a block of up to 64 KB in one call, which can be more than 2000, and each of them takes memory until its turn. Here, the bytes
 * behind a request wait, unparsed, until its response has been sent, and one connection with waiting bytes
 * takes its turn between two polls for input, so that other connections are served meanwhile.
 *
 * A turn is bounded in time as well, since a block can consist of thousands of empty lines or small chunks: the rest of the block
 * waits for another turn, and the connection is not read meanwhile. While all connections whose requests are incomplete
 * send more than fits into an iteration of the event loop, they are read in turn (`ReadPacing`). The first
 * bytes of a connection never wait, so that ordinary requests are received beside them.
 *
 * A connection whose caller does not pipeline passes its bytes on unchanged. One that has read far enough ahead is not read
 * any further. The end of such a connection is read late, and so is one behind many bytes; `tryReadOn` looks for it. If all connections together hold too much,
 * those that hold the most lose the requests that wait, which have not run, and close after the response that is due.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {closeForSending} from './connection-closer.js';
import {PacedReader, type ReadPacing} from './read-pacing.js';
import {findPartEnd} from './request-parts.js';
import {startReading, stopReading} from './socket-handle.js';

/** Most blocks of waiting bytes of one connection; they are joined beyond it, since small blocks take more memory than their bytes. */
const maxWaitingBlocks = 16;
/** Time from which on a connection passes no further part to the parser between two polls for input, in milliseconds. */
const maxTurnMs = 1;
/** Longest time for which the end of a connection may be unknown when a request of it is sent, in milliseconds; the connection to the target can take 300 ms more. */
const maxUnreadMs = 150;
/** Size of the block that Node.js reads from a connection at a time; one that is full may have more behind it. */
const readBlockBytes = 64 * 1024;
/** Multiple of the bytes of a connection up to which it is read on, and part of the bytes of all connections up to which it is. */
const readOnMultiple = 2;
const readOnFraction = 0.5;

export type RequestTurnsLimits = {
	/** Size of the waiting bytes of a connection from which it is not read any further. */
	readonly bytesPerConnection: number;
	/** Largest size of the waiting bytes of all connections. */
	readonly bytes: number;
};

/** Limits of `RequestTurns`; `headBytes` is the largest size of a request's head with the empty lines before it. */
type Limits = RequestTurnsLimits & {readonly headBytes: number};

export type RequestTurnsOptions = {
	readonly limits: Limits;
	readonly readClock: () => number;
	/** Returns the time up to which the ends of connections are known, except of those that are held back. */
	readonly readEndsKnownUntil: () => number;
	/** Divides the time for requests that have not arrived completely among the connections. */
	readonly pacing: ReadPacing;
	/** Called when a connection loses the requests that wait. */
	readonly onDropped: (droppedBytes: number) => void;
	/** Called when a head, with the empty lines before it, is too large; has to close the connection. */
	readonly onHeadTooLarge: (socket: Socket) => void;
};

/** Stops and releases the reading of a connection for its pacing. */
type ReadControl = {readonly stop: (connection: Connection) => void; readonly release: (connection: Connection) => void};

/** What is known of a connection; `RequestTurns` decides about it. */
class Connection extends PacedReader {
	/** The latest request and its response. */
	request?: IncomingMessage;
	response?: ServerResponse;
	/** Bytes of the body of the latest request that have not been passed on; `undefined` if it declares no length. */
	bodyBytesLeft?: number;
	/** Bytes that were passed on behind the latest request, of a head that is not complete and of empty lines. */
	headBytes = 0;
	/** The response whose end starts the next turn. */
	awaitedResponse?: ServerResponse;
	waitingBlocks: Uint8Array[] = [];
	waitingBytes = 0;
	/** True if it is not read any further, because of its waiting bytes or its pacing. */
	isHeldBack = false;
	/** True while its pacing lets it wait for a later iteration of the event loop. */
	isStopped = false;
	/** Time from which on its end may not have been read, although it has arrived: earlier than the time at which it was held back if the event loop lagged then. */
	unreadSince?: number;
	/** True if bytes of it have been read since the last check of `#findEnd`. */
	hasRead = false;
	/** True while a check of `#findEnd` is scheduled. */
	isFindingEnd = false;
	/** True while it is read beyond its limit to find its end. */
	isReadingOn = false;
	/** True if the requests that waited have been dropped. */
	isDropped = false;
	readonly #control: ReadControl;

	/** `parse` passes bytes to the parser. */
	constructor(readonly socket: Socket, readonly parse: (bytes: Uint8Array) => void, control: ReadControl) {
		super();
		this.#control = control;
	}

	override stopRead(): void {
		this.isStopped = true;
		this.#control.stop(this);
	}

	override releaseRead(): void {
		this.isStopped = false;
		this.#control.release(this);
	}
}

export class RequestTurns {
	/** Size of the waiting bytes of all connections. */
	waitingBytes = 0;
	readonly #options: RequestTurnsOptions;
	readonly #readControl: ReadControl = {
		stop: connection => {
			this.#holdBack(connection);
		},
		release: connection => {
			this.#tryReadAgain(connection);
		},
	};

	/** In the order of their latest requests; those without any in order of arrival. */
	readonly #connections = new Map<Socket, Connection>();
	/** Connections that have waiting bytes. */
	readonly #waiting = new Set<Connection>();
	/** Connections that take their turn next, in order. */
	readonly #scheduled = new Set<Connection>();

	constructor(server: Server, options: RequestTurnsOptions) {
		this.#options = options;
		server.on('connection', socket => {
			this.#addConnection(socket);
		});
		server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
			this.#startRequest(request, response);
		});
		server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
			// The HTTP server would answer without an event.
			this.#startRequest(request, response);
			response.writeHead(417).end();
		});
	}

	/** Number of connections that wait for a later iteration of the event loop because others have more to send than fits. */
	get pacedCount(): number {
		return this.#options.pacing.stoppedCount;
	}

	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Finds the connection, except `newest`, whose end costs the least: the one that has been idle or unfinished for the longest time, otherwise the one whose caller has not read a complete response for the longest time. */
	findDispensable(newest: Socket): Socket | undefined {
		let unread: Socket | undefined;
		for (const [socket, {request, response}] of this.#connections) {
			if (socket === newest || socket.destroyed) {
				continue;
			}

			if (response === undefined || response.closed || !request!.complete) {
				return socket;
			}

			if (unread === undefined && response.writableEnded) {
				unread = socket;
			}
		}

		return unread;
	}

	/**
	 * Reads a connection on that has been held back for some time, for two polls and by as many bytes as it may hold anyway: its end may have arrived
	 * meanwhile. Returns false if the connection is read. An end behind more bytes is not found.
	 */
	tryReadOn(socket: Socket, now: number): boolean {
		const connection = this.#connections.get(socket);
		if (connection?.unreadSince === undefined || now - connection.unreadSince <= maxUnreadMs) {
			return false;
		}

		const {limits} = this.#options;
		const {waitingBytes, isDropped, isHeldBack} = connection;
		const hasRoom = waitingBytes < limits.bytesPerConnection * readOnMultiple
			&& this.waitingBytes + limits.bytesPerConnection <= limits.bytes * readOnFraction;
		if (isHeldBack && (isDropped || hasRoom)) {
			connection.isReadingOn = true;
			this.#startReading(connection);
			// The second poll reads the end behind what the first one has read.
			setImmediate(() => {
				setImmediate(() => {
					connection.isReadingOn = false;
					if (!isClosing(socket) && (connection.isDropped || connection.waitingBytes >= limits.bytesPerConnection)) {
						this.#holdBack(connection);
					}
				});
			});
		}

		return true;
	}

	#startRequest(request: IncomingMessage, response: ServerResponse): void {
		const connection = this.#connections.get(request.socket);
		if (connection !== undefined) {
			const declaredLength = request.headers['content-length'];
			this.#connections.delete(request.socket);
			this.#connections.set(request.socket, connection);
			connection.request = request;
			connection.response = response;
			connection.headBytes = 0;
			connection.bodyBytesLeft = declaredLength === undefined ? undefined : Number(declaredLength);
		}
	}

	/** Takes the place of the listener with which the HTTP server passes bytes to its parser. */
	#addConnection(socket: Socket): void {
		const [parse] = socket.listeners('data') as Array<(bytes: Uint8Array) => void>;
		if (parse === undefined) {
			return;
		}

		const connection = new Connection(socket, parse, this.#readControl);
		this.#connections.set(socket, connection);
		socket.removeListener('data', parse);
		socket.on('data', (bytes: Uint8Array) => {
			connection.hasRead = true;
			if (bytes.length >= readBlockBytes) {
				this.#findEnd(connection);
			}

			this.#handleBytes(connection, bytes);
		});
		socket.on('resume', () => {
			this.#handleResume(connection);
		});
		socket.once('close', () => {
			this.#connections.delete(socket);
			this.#scheduled.delete(connection);
			this.#options.pacing.removeReader(connection);
			this.#clearWaiting(connection);
		});
	}

	#handleBytes(connection: Connection, bytes: Uint8Array): void {
		if (connection.isDropped) {
			return;
		}

		if (connection.waitingBytes > 0 || isBusy(connection)) {
			this.#hold(connection, bytes);
			return;
		}

		this.#pass(connection, bytes);
		// While a complete request waits for its response, the end of its connection has to be read.
		if (connection.waitingBytes === 0 && !isBusy(connection)) {
			const {pacing, readClock} = this.#options;
			pacing.recordRead(connection, readClock());
		}
	}

	/** Pauses a connection again that the HTTP server resumed, or continues with the bytes that waited for it. */
	#handleResume(connection: Connection): void {
		if (connection.isHeldBack) {
			stopReading(connection.socket);
		}

		this.#waitForTurn(connection);
	}

	/** Passes bytes to the parser up to the end of the next request, and holds the rest. */
	#pass(connection: Connection, bytes: Uint8Array): void {
		const {socket} = connection;
		const {readClock} = this.#options;
		const startedAt = readClock();
		let offset = 0;
		while (offset < bytes.length && !isClosing(socket)) {
			const {request: previous} = connection;
			const isInHead = previous === undefined || previous.complete;
			const end = findPartEnd(bytes, offset, findBodyBytesLeft(connection));
			connection.parse(offset === 0 && end === bytes.length ? bytes : bytes.subarray(offset, end));
			if (connection.request === previous && connection.bodyBytesLeft !== undefined) {
				connection.bodyBytesLeft -= end - offset;
			}

			if (connection.request === previous && isInHead) {
				this.#countHeadBytes(connection, end - offset);
			}

			offset = end;
			const isTurnOver = readClock() - startedAt >= maxTurnMs;
			if (offset < bytes.length && (isTurnOver || isBusy(connection) || socket.isPaused())) {
				this.#hold(connection, bytes.subarray(offset));
				return;
			}
		}
	}

	/** Counts bytes of a head that is not complete, and of the empty lines before it, of which the parser counts none. */
	#countHeadBytes(connection: Connection, bytes: number): void {
		const {limits, onHeadTooLarge} = this.#options;
		connection.headBytes += bytes;
		if (connection.headBytes > limits.headBytes && !isClosing(connection.socket)) {
			onHeadTooLarge(connection.socket);
		}
	}

	#hold(connection: Connection, bytes: Uint8Array): void {
		const {socket, waitingBlocks} = connection;
		if (isClosing(socket)) {
			return;
		}

		// A part of a block keeps all of it in memory.
		waitingBlocks.push(bytes.length * 2 < bytes.buffer.byteLength ? Buffer.from(bytes) : bytes);
		if (waitingBlocks.length > maxWaitingBlocks) {
			connection.waitingBlocks = [Buffer.concat(waitingBlocks)];
		}

		connection.waitingBytes += bytes.length;
		this.waitingBytes += bytes.length;
		this.#waiting.add(connection);
		if (this.#hasReadEnough(connection)) {
			this.#holdBack(connection);
		}

		this.#waitForTurn(connection);
		while (this.waitingBytes > this.#options.limits.bytes) {
			this.#drop(this.#findLargest());
		}
	}

	/** Schedules the next turn of a connection with waiting bytes when the response that is due has been sent. */
	#waitForTurn(connection: Connection): void {
		const {response, socket, isHeldBack} = connection;
		if (connection.waitingBytes === 0) {
			return;
		}

		if (!isBusy(connection)) {
			// The HTTP server resumes a connection that it has paused.
			if (isHeldBack || !socket.isPaused()) {
				this.#schedule(connection);
			}
		} else if (connection.awaitedResponse !== response) {
			connection.awaitedResponse = response;
			response!.once('close', () => {
				this.#schedule(connection);
			});
		}
	}

	#schedule(connection: Connection): void {
		if (connection.socket.destroyed || this.#scheduled.has(connection)) {
			return;
		}

		this.#scheduled.add(connection);
		if (this.#scheduled.size === 1) {
			this.#startTurns();
		}
	}

	#startTurns(): void {
		setImmediate(() => {
			// One at a time: Node.js accepts about one connection per poll, so that others wait for as many polls as there are connections before them.
			const [connection] = this.#scheduled;
			if (connection !== undefined) {
				this.#scheduled.delete(connection);
				this.#takeTurn(connection);
			}

			if (this.#scheduled.size > 0) {
				this.#startTurns();
			}
		});
	}

	#takeTurn(connection: Connection): void {
		const {socket, waitingBlocks} = connection;
		if (connection.isDropped) {
			closeForSending(socket);
			return;
		}

		this.#clearWaiting(connection);
		for (const block of waitingBlocks) {
			this.#handleBytes(connection, block);
		}

		this.#tryReadAgain(connection);
	}

	/** Reads a connection again that was held back, unless its waiting bytes or its pacing hold it back. */
	#tryReadAgain(connection: Connection): void {
		const {isHeldBack, isStopped, isDropped} = connection;
		if (isHeldBack && !isStopped && !isDropped && !this.#hasReadEnough(connection)) {
			this.#startReading(connection);
		}
	}

	/** Returns true if nothing more is to be read: bytes of an unfinished request wait for their turn, or too many of those behind it do. */
	#hasReadEnough(connection: Connection): boolean {
		const {waitingBytes, isReadingOn} = connection;
		const maxBytes = isBusy(connection) ? this.#options.limits.bytesPerConnection * (isReadingOn ? readOnMultiple : 1) : 1;
		return waitingBytes >= maxBytes;
	}

	#holdBack(connection: Connection): void {
		connection.isHeldBack = true;
		this.#markUnread(connection);
		stopReading(connection.socket);
	}

	/** Reads a connection again that was held back. */
	#startReading(connection: Connection): void {
		connection.isHeldBack = false;
		startReading(connection.socket);
		// The first check may come before the next poll, so another one has to follow.
		connection.hasRead = true;
		this.#findEnd(connection);
	}

	/** Treats the end of a connection as unknown until a poll has read no bytes from it: the end can be behind several blocks. */
	#findEnd(connection: Connection): void {
		this.#markUnread(connection);
		if (connection.isFindingEnd) {
			return;
		}

		connection.isFindingEnd = true;
		setImmediate(() => {
			connection.isFindingEnd = false;
			// The checks of a connection that is held back start again when it is read again.
			if (connection.isHeldBack || isClosing(connection.socket)) {
				return;
			}

			if (connection.hasRead) {
				connection.hasRead = false;
				this.#findEnd(connection);
			} else {
				connection.unreadSince = undefined;
			}
		});
	}

	#markUnread(connection: Connection): void {
		connection.unreadSince ??= this.#options.readEndsKnownUntil();
	}

	#clearWaiting(connection: Connection): void {
		this.waitingBytes -= connection.waitingBytes;
		connection.waitingBytes = 0;
		connection.waitingBlocks = [];
		this.#waiting.delete(connection);
	}

	#findLargest(): Connection {
		let largest: Connection | undefined;
		for (const connection of this.#waiting) {
			if (largest === undefined || connection.waitingBytes > largest.waitingBytes) {
				largest = connection;
			}
		}

		return largest!;
	}

	/** Drops the requests that wait on a connection; it closes after the response that is due. */
	#drop(connection: Connection): void {
		const {response, waitingBytes} = connection;
		this.#clearWaiting(connection);
		connection.isDropped = true;
		this.#holdBack(connection);
		if (response === undefined || !isBusy(connection)) {
			this.#schedule(connection);
		} else if (!response.headersSent) {
			response.shouldKeepAlive = false;
		}

		this.#options.onDropped(waitingBytes);
	}
}

/** Returns true if a request has been read whose response has not been sent completely. */
function isBusy({request, response}: Connection): boolean {
	return response !== undefined && !response.closed && request!.complete;
}

/** Returns true if the connection is closed for responses; what still arrives is ignored. */
function isClosing(socket: Socket): boolean {
	return socket.destroyed || socket.writableEnded;
}

/** Finds the number of bytes that are left of the body with a length that is being read; `undefined` if there is none. */
function findBodyBytesLeft({request, bodyBytesLeft}: Connection): number | undefined {
	return request !== undefined && !request.complete && bodyBytesLeft !== undefined && bodyBytesLeft > 0 ? bodyBytesLeft : undefined;
}
