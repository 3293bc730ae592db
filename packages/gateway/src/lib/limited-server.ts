/**
 * Creates HTTP servers that hold a bounded number of connections and a bounded number of bytes that have been read
 * ahead, whatever their callers send.
 */
import {
	createServer, maxHeaderSize, type IncomingMessage, type Server, type ServerOptions, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {readMonotonicMs} from '@sequoiatally/runtime';
import {closeForSending} from './connection-closer.js';
import type {DisconnectMonitor} from './disconnect-monitor.js';
import {ReadPacing} from './read-pacing.js';
import {RequestTurns, type RequestTurnsLimits} from './request-turns.js';

/** Time for requests that are incomplete in one iteration of the event loop, in milliseconds; a process with a fifth of a core then accepts 500 connections in a few seconds. */
const maxReadMsPerIteration = 1;
/** Code of the parser's error for a head that is too large. */
const headTooLargeCode = 'HPE_HEADER_OVERFLOW';
/**
 * Largest size of a head with the empty lines before it, as a multiple of the parser's limit, which counts only names and values. The
 * documented limits of all callers are below the parser's.
 */
const headSizeMultiple = 2;

export type ServerLimits = RequestTurnsLimits & {
	/** Most connections that are open at a time. */
	readonly connections: number;
};

export type LimitedServerOptions = {
	/** Name of the server in the log. */
	readonly name: string;
	readonly server: ServerOptions;
	readonly limits: ServerLimits;
	readonly handle: (request: IncomingMessage, response: ServerResponse) => void;
	/** Is told of accepted connections; tells up to when the ends of connections are known. Without it, the ends of connections that are read count as known. */
	readonly disconnects?: DisconnectMonitor;
	/** Writes a log line. */
	readonly log: (event: string, fields: Readonly<Record<string, unknown>>) => void;
};

export class LimitedServer {
	readonly server: Server;
	readonly #options: LimitedServerOptions;
	readonly #turns: RequestTurns;

	constructor(options: LimitedServerOptions) {
		const {
			name, server, limits, handle, log,
		} = options;
		this.#options = options;
		// A request without host is refused here, since the HTTP server would answer each of them without an event.
		this.server = createServer({...server, requireHostHeader: false}, (request, response) => {
			if (request.headers.host === undefined && request.httpVersion === '1.1') {
				response.writeHead(400, ['Connection', 'close', 'Content-Length', '0']).end();
			} else {
				handle(request, response);
			}
		});
		this.#turns = new RequestTurns(this.server, {
			limits: {...limits, headBytes: (server.maxHeaderSize ?? maxHeaderSize) * headSizeMultiple},
			readClock: readMonotonicMs,
			readEndsKnownUntil: () => options.disconnects?.endsKnownUntil ?? readMonotonicMs(),
			pacing: new ReadPacing(maxReadMsPerIteration, setImmediate),
			onDropped(droppedBytes) {
				log('read-ahead-dropped', {server: name, droppedBytes, limitBytes: limits.bytes});
			},
			onHeadTooLarge: socket => {
				this.#refuseUnreadable(socket, headTooLargeCode);
			},
		});
		this.server.on('clientError', (error: Error & {code?: string}, socket) => {
			if (error.code === 'ECONNRESET') {
				socket.destroy();
			} else {
				this.#refuseUnreadable(socket as Socket, error.code ?? error.message);
			}
		});
		this.server.on('connection', socket => {
			options.disconnects?.recordAccepted();
			this.#limitConnections(socket);
		});
	}

	get connectionCount(): number {
		return this.#turns.connectionCount;
	}

	/** Size of the bytes that were read ahead on all connections. */
	get readAheadBytes(): number {
		return this.#turns.waitingBytes;
	}

	/** Number of connections whose incomplete requests wait for a later iteration of the event loop. */
	get pacedCount(): number {
		return this.#turns.pacedCount;
	}

	/** Reads a connection on if it has not been read for some time; see `RequestTurns`. */
	tryReadOn(socket: Socket, now: number): boolean {
		return this.#turns.tryReadOn(socket, now);
	}

	/** Answers bytes that are no request, and closes their connection. */
	#refuseUnreadable(socket: Socket, detail: string): void {
		const {name, log} = this.#options;
		log('unreadable-request', {server: name, detail});
		if (socket.writable) {
			socket.write(`HTTP/1.1 ${detail === headTooLargeCode ? '431 Request Header Fields Too Large' : '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
			closeForSending(socket);
		} else {
			socket.destroy();
		}
	}

	/** Closes the most dispensable connection if there are too many. */
	#limitConnections(newest: Socket): void {
		const {name, limits, log} = this.#options;
		if (this.#turns.connectionCount <= limits.connections) {
			return;
		}

		const dispensable = this.#turns.findDispensable(newest);
		(dispensable ?? newest).destroy();
		log('connection-evicted', {server: name, limit: limits.connections, isNewest: dispensable === undefined});
	}
}
