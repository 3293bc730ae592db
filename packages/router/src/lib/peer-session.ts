/**
 * One HTTP/2 connection to a peer, for the calls of `connect-es`.
 *
 * The library's own session manager lets an error escape as an uncaught
 * exception when a peer ends an idle connection, which would end this process
 * whenever a peer is replaced. This one listens to every session for its whole
 * life and opens a new one after any error.
 */
import {
	connect, constants, type ClientHttp2Session, type ClientHttp2Stream, type ClientSessionRequestOptions, type OutgoingHttpHeaders,
} from 'node:http2';
import type {createConnectTransport} from '@connectrpc/connect-node';
import type {TrafficMeter} from './traffic-meter.js';

type TransportOptions = Parameters<typeof createConnectTransport>[0];
type SessionManager = NonNullable<Extract<TransportOptions, {sessionManager?: unknown}>['sessionManager']>;

/** Time between two pings on a connection that is watched, in milliseconds. */
const pingIntervalMs = 1000;
/** Time without an answer to a ping after which a connection counts as lost, in milliseconds. */
const pingTimeoutMs = 3000;

/** Keeps one session open, and replaces it when it is lost. */
export class PeerSession implements SessionManager {
	#session?: ClientHttp2Session;

	readonly #hasKeepalive: boolean;
	readonly #trafficMeter?: TrafficMeter;

	/** With `isWatched`, pings notice a connection that has gone silent while a long call waits on it. */
	constructor(readonly authority: string, hasKeepalive = false, trafficMeter?: TrafficMeter) {
		this.#hasKeepalive = hasKeepalive;
		this.#trafficMeter = trafficMeter;
	}

	/** Opens a stream, on a new connection if there is none. */
	async request(
		method: string,
		path: string,
		headers: OutgoingHttpHeaders,
		options: Omit<ClientSessionRequestOptions, 'signal'>,
	): Promise<ClientHttp2Stream> {
		const session = this.#open();
		return session.request({...headers, [constants.HTTP2_HEADER_METHOD]: method, [constants.HTTP2_HEADER_PATH]: path}, options);
	}

	/** Required by the library; silence is noticed by each call's own time limit. */
	notifyResponseByteRead(): void {
		// Nothing to note.
	}

	/** Closes the connection; the next call opens a new one. */
	close(): void {
		this.#session?.destroy();
		this.#session = undefined;
	}

	#open(): ClientHttp2Session {
		if (this.#session !== undefined && !this.#session.closed && !this.#session.destroyed) {
			return this.#session;
		}

		const session = connect(this.authority);
		const clearSession = () => {
			if (this.#session === session) {
				this.#session = undefined;
			}
		};

		session.once('connect', (_, socket) => {
			this.#trafficMeter?.addSocket(socket);
		});
		session.on('error', clearSession);
		session.on('close', clearSession);
		session.on('goaway', () => {
			clearSession();
			session.close();
		});
		this.#session = session;
		if (this.#hasKeepalive) {
			startKeepalive(session);
		}

		return session;
	}
}

/** Destroys a session, and with it the calls on it, once pings stay unanswered. */
function startKeepalive(session: ClientHttp2Session): void {
	let unansweredCount = 0;
	const timer = setInterval(() => {
		if (unansweredCount * pingIntervalMs >= pingTimeoutMs) {
			session.destroy();
			return;
		}

		unansweredCount++;
		if (!session.closed && !session.connecting) {
			session.ping(() => {
				unansweredCount = 0;
			});
		}
	}, pingIntervalMs);
	session.on('close', () => {
		clearInterval(timer);
	});
}
