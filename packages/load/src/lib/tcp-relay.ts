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
	/** As `silent`, for what the upstream port sends only: what callers send arrives there. */
	oneWay: 'one-way',
} as const;
export type LinkState = typeof linkState[keyof typeof linkState];

/** Selects the state of the link for one caller, by its port. */
export type StateSelector = (port: number) => Promise<LinkState>;

/** A relayed connection; it has no upstream socket until the state for its caller is selected. */
type RelayedConnection = {readonly caller: Socket; upstream?: Socket; state: LinkState};

/** Relays TCP connections to one port on loopback, the upstream port. */
export class TcpRelay {
	/** Bytes relayed to the upstream port. */
	bytesIn = 0;
	/** Bytes relayed from the upstream port. */
	bytesOut = 0;
	/** Number of connections that were accepted and relayed. */
	connectionCount = 0;
	#port = 0;
	#state: LinkState = linkState.up;
	readonly #upstreamPort: number;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #connections = new Set<RelayedConnection>();
	#selectState: StateSelector | undefined;

	readonly #closesWithUpstream: boolean;
	readonly #hasBackpressure: boolean;

	/**
	 * `closesWithUpstream`: as soon as the upstream port refuses connections, the relay does so too, before it passes on the ends that the process left.
	 * `hasBackpressure`: one side is not read while the other side takes no more, so that an upload which nobody reads remains unfinished.
	 */
	constructor(upstreamPort: number, {closesWithUpstream = false, hasBackpressure = false} = {}) {
		this.#closesWithUpstream = closesWithUpstream;
		this.#hasBackpressure = hasBackpressure;
		this.#upstreamPort = upstreamPort;
		this.#server = createServer(async socket => this.#accept(socket));
	}

	/** Address on which the relay listens, or listened until it was closed; available after `listen`. */
	get address(): string {
		return `${loopbackHost}:${this.#port}`;
	}

	/** Listens on `port`, or on a free one. */
	async listen(port = 0): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(port, loopbackHost, resolve);
		});
		this.#port = (this.#server.address() as {port: number}).port;
	}

	setState(state: LinkState): void {
		this.#state = state;
		if (state === linkState.cut) {
			this.#destroySockets();
			return;
		}

		for (const connection of this.#connections) {
			this.#updateFlow(connection);
		}
	}

	/** Sets the state for each caller while the link itself is up, or the same for all with `undefined`. */
	async setStateFor(selectState: StateSelector | undefined): Promise<void> {
		this.#selectState = selectState;
		await Promise.all([...this.#connections].map(async connection => {
			await this.#updateState(connection);
			this.#updateFlow(connection);
		}));
	}

	async close(): Promise<void> {
		this.#destroySockets();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	/** Selects the state for the caller of a connection, and resets the connection if it is cut. */
	async #updateState(connection: RelayedConnection): Promise<void> {
		const {remotePort} = connection.caller;
		const selectState = this.#selectState;
		const state = remotePort === undefined ? undefined : await selectState?.(remotePort);
		if (selectState !== this.#selectState) {
			// The states have changed meanwhile.
			await this.#updateState(connection);
			return;
		}

		connection.state = state ?? linkState.up;
		if (state === linkState.cut) {
			connection.caller.resetAndDestroy();
		}
	}

	/** Pauses or resumes both sides of a connection. */
	#updateFlow({caller, upstream, state: callerState}: RelayedConnection): void {
		if (upstream === undefined) {
			// Nothing reads the caller's data yet.
			return;
		}

		const state = this.#state === linkState.up ? callerState : this.#state;
		setPaused(caller, state === linkState.silent);
		setPaused(upstream, state === linkState.silent || state === linkState.oneWay);
	}

	async #accept(socket: Socket): Promise<void> {
		socket.on('error', () => {
			// The socket is closed, and so is its counterpart.
		});
		const connection: RelayedConnection = {caller: socket, state: linkState.up};
		this.#connections.add(connection);
		socket.once('close', () => {
			this.#connections.delete(connection);
		});
		await this.#updateState(connection);
		if (this.#state === linkState.cut || socket.destroyed) {
			socket.destroy();
			return;
		}

		this.connectionCount++;
		const upstream = connect({port: this.#upstreamPort, host: loopbackHost});
		connection.upstream = upstream;
		const handleDrain = () => {
			this.#updateFlow(connection);
		};

		this.#pipe(socket, upstream, byteCount => {
			this.bytesIn += byteCount;
		}, handleDrain);
		this.#pipe(upstream, socket, byteCount => {
			this.bytesOut += byteCount;
		}, handleDrain);
		this.#updateFlow(connection);
	}

	#pipe(from: Socket, to: Socket, onBytes: (byteCount: number) => void, handleDrain: () => void): void {
		this.#sockets.add(from);
		from.setNoDelay(true);
		from.on('data', chunk => {
			onBytes(chunk.length);
			if (!to.write(chunk) && this.#hasBackpressure) {
				from.pause();
			}
		});
		to.on('drain', handleDrain);
		let isReset = false;
		from.on('end', async () => {
			// Node.js reports a reset as an end if it is read together with the last data; the system knows no other side then.
			isReset ||= from.remoteAddress === undefined;
			await this.#followUpstream();
			if (!isReset) {
				to.end();
			}
		});
		from.on('error', ({code}: NodeJS.ErrnoException) => {
			isReset ||= code === 'ECONNRESET';
		});
		from.on('close', async hadError => {
			this.#sockets.delete(from);
			await this.#followUpstream();
			// A reset must not look like a clean end on the other side.
			if (isReset) {
				to.resetAndDestroy();
			} else if (hadError) {
				to.destroy();
			} else {
				to.destroySoon();
			}
		});
	}

	/** Listens no longer if the upstream port refuses connections. */
	async #followUpstream(): Promise<void> {
		if (!this.#closesWithUpstream || !this.#server.listening) {
			return;
		}

		const socket = connect({port: this.#upstreamPort, host: loopbackHost});
		const isRefused = await new Promise<boolean>(resolve => {
			socket.once('connect', () => {
				resolve(false);
			});
			socket.once('error', ({code}: NodeJS.ErrnoException) => {
				resolve(code === 'ECONNREFUSED');
			});
		});
		socket.destroy();
		if (isRefused) {
			this.#server.close();
		}
	}

	#destroySockets(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}
}

function setPaused(socket: Socket, isPaused: boolean): void {
	if (isPaused) {
		socket.pause();
	} else {
		socket.resume();
	}
}
