/**
 * Closes the connections of a server in a way that what was sent on them arrives
 * whole. If bytes arrive on a socket that is closed, the kernel resets the
 * connection and discards what its client has not read yet. Therefore a
 * connection is closed for sending first, and what still arrives is read and
 * ignored until the client closes it as well.
 */
import type {Server} from 'node:http';
import {Server as SocketServer, type Socket} from 'node:net';

/** Time that a client has to read the rest and to close its connection, in milliseconds. */
const lingerMs = 1000;

export class ConnectionCloser {
	readonly #server: Server;
	readonly #connections = new Set<Socket>();
	#startedAt?: number;

	constructor(server: Server) {
		this.#server = server;
		server.on('connection', socket => {
			this.#connections.add(socket);
			socket.once('close', () => {
				this.#connections.delete(socket);
			});
			// The HTTP server calls this method to close a connection after its last response.
			socket.destroySoon = () => {
				closeForSending(socket);
			};
		});
	}

	/**
	 * Stops to listen and closes all connections; returns true when their clients have closed them too,
	 * or have had the time for it. To be called again until then.
	 */
	tryCloseAll(now: number): boolean {
		if (this.#startedAt === undefined) {
			this.#startedAt = now;
			// The method of HTTP servers would also destroy the connections without requests.
			SocketServer.prototype.close.call(this.#server);
		}

		for (const socket of this.#connections) {
			closeForSending(socket);
		}

		return this.#connections.size === 0 || now - this.#startedAt >= lingerMs;
	}
}

/** Closes a connection for sending; what arrives until its client closes it as well, or for a limited time, is ignored. */
export function closeForSending(socket: Socket): void {
	if (socket.writableEnded) {
		return;
	}

	socket.end();
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
