/**
 * A TCP relay in front of one port: counts the relayed bytes, and can cut the
 * link or stall it. It simulates the network between the processes of a fleet on
 * loopback.
 */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';

const loopbackHost = '127.0.0.1';

/** State of the link that a relay simulates. */
export const linkState = {
	up: 'up',
	/** Existing connections are destroyed, and new ones are destroyed when accepted. */
	cut: 'cut',
	/** Connections stay open, but no data passes; it is delivered once the link is up again. */
	silent: 'silent',
} as const;
export type LinkState = typeof linkState[keyof typeof linkState];

/** Relays TCP connections to one port on loopback, the upstream port. */
export class TcpRelay {
	/** Bytes relayed to the upstream port. */
	bytesIn = 0;
	/** Bytes relayed from the upstream port. */
	bytesOut = 0;
	/** Number of connections that were accepted and relayed. */
	connectionCount = 0;
	#state: LinkState = linkState.up;
	readonly #upstreamPort: number;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(upstreamPort: number) {
		this.#upstreamPort = upstreamPort;
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
	}

	/** Address on which the relay listens; available after `listen`. */
	get address(): string {
		return `${loopbackHost}:${(this.#server.address() as {port: number}).port}`;
	}

	/** Listens on `port`, or on a free one. */
	async listen(port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, loopbackHost, resolve);
		});
	}

	setState(state: LinkState): void {
		this.#state = state;
		if (state === linkState.cut) {
			this.#destroySockets();
			return;
		}

		for (const socket of this.#sockets) {
			if (state === linkState.silent) {
				socket.pause();
			} else {
				socket.resume();
			}
		}
	}

	async close(): Promise<void> {
		this.#destroySockets();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#accept(socket: Socket): void {
		if (this.#state === linkState.cut) {
			socket.destroy();
			return;
		}

		this.connectionCount++;
		const upstream = connect({port: this.#upstreamPort, host: loopbackHost});
		this.#pipe(socket, upstream, byteCount => {
			this.bytesIn += byteCount;
		});
		this.#pipe(upstream, socket, byteCount => {
			this.bytesOut += byteCount;
		});
	}

	#pipe(from: Socket, to: Socket, onBytes: (byteCount: number) => void): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', chunk => {
			onBytes(chunk.length);
			to.write(chunk);
		});
		from.on('end', () => {
			to.end();
		});
		from.on('error', ({code}: NodeJS.ErrnoException) => {
			// A reset must not look like a clean end on the other side.
			if (code === 'ECONNRESET') {
				to.resetAndDestroy();
			} else {
				to.destroy();
			}
		});
		from.on('close', () => {
			this.#sockets.delete(from);
			to.destroy();
		});
		if (this.#state === linkState.silent) {
			from.pause();
		}
	}

	#destroySockets(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}
