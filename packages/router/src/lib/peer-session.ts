/**
 * Session manager for the HTTP/2 connection of `connect-es` to one peer.
 *
 * The library's session manager raises an uncaught exception when a peer closes
 * an idle connection, which would end this process whenever a peer is replaced.
 * This one handles the errors of each session for the session's whole lifetime.
 * After an error, the next call opens a new session.
 */
import {
	connect, constants, type ClientHttp2Session, type ClientHttp2Stream, type ClientSessionRequestOptions, type OutgoingHttpHeaders,
} from 'node:http2';
import type {createConnectTransport} from '@connectrpc/connect-node';
import type {TrafficMeter} from './traffic-meter.js';

type TransportOptions = Parameters<typeof createConnectTransport>[0];
type SessionManager = NonNullable<Extract<TransportOptions, {sessionManager?: unknown}>['sessionManager']>;

/** Interval between keepalive pings, in milliseconds. */
const pingIntervalMs = 1000;
/** Time without a ping response after which a connection is considered lost, in milliseconds. */
const pingTimeoutMs = 3000;

/** Opens a session at the first call and replaces it at the next call after it is lost. */
export class PeerSession implements SessionManager {
	#session?: ClientHttp2Session;

	readonly #hasKeepalive: boolean;
	readonly #trafficMeter?: TrafficMeter;

	/** With `hasKeepalive`, pings detect a silent connection while a long call is waiting for its answer. */
	constructor(readonly authority: string, hasKeepalive = false, trafficMeter?: TrafficMeter) {
		this.#hasKeepalive = hasKeepalive;
		this.#trafficMeter = trafficMeter;
	}

	/** Opens a stream, on a new connection if none is open. */
	async request(
		method: string,
		path: string,
		headers: OutgoingHttpHeaders,
		options: Omit<ClientSessionRequestOptions, 'signal'>,
	): Promise<ClientHttp2Stream> {
		const session = this.#openSession();
		return session.request({...headers, [constants.HTTP2_HEADER_METHOD]: method, [constants.HTTP2_HEADER_PATH]: path}, options);
	}

	/** Required by the library. Unused, because each call's own timeout detects a silent connection. */
	notifyResponseByteRead(): void {
		// Nothing to do.
	}

	/** Closes the connection; the next call opens a new one. */
	close(): void {
		this.#session?.destroy();
		this.#session = undefined;
	}

	#openSession(): ClientHttp2Session {
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

/**
 * Pings the peer at an interval; destroys the session, and the calls on it, if
 * the pings are not answered. While the session is connecting, no ping is sent,
 * but each interval counts as an unanswered ping.
 */
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
