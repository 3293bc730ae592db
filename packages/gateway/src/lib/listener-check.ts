/**
 * Finds out whether a process listens on an address. One connection that opens proves
 * little: the operating system closes the sockets of an ending process one by one, so its
 * listening socket may still accept for a while after another connection was reset. Such a
 * connection is closed with the listening socket. A connection therefore has to stay
 * open for a time to prove that the process runs; if it is closed sooner, the address is
 * tried again, until it refuses or the time of the check is over. A target at its connection limit resets
 * each of them; that the last one still opens after that time shows as much as one that stayed open. One that is closed
 * without a reset may be that of a proxy whose target has ended.
 */
import type {Socket} from 'node:net';

/** Time for which a connection has to stay open to prove that the process runs, in milliseconds. */
const holdMs = 150;
/** Time limit of a whole check, in milliseconds. */
const checkTimeoutMs = 500;
/** Largest number of connections of one check: a target that resets each one is overloaded, not gone. */
const maxConnections = 4;
/** Time by which a timer may fire too early, in milliseconds. */
const timerMarginMs = 1;
/** Time between two connections of a check, in milliseconds. */
const reconnectDelayMs = 20;

/** What one connection of a check showed. */
export const connectionEvidence = {
	/** The address refused the connection. */
	refused: 'refused',
	/** The connection opened and stayed open. */
	held: 'held',
	/** The connection was closed or reset by the other side. */
	closed: 'closed',
	/** The connection failed in another way, or did not open in time. */
	unanswered: 'unanswered',
} as const;
export type ConnectionEvidence = typeof connectionEvidence[keyof typeof connectionEvidence];

export const checkVerdict = {
	listening: 'listening',
	notListening: 'not-listening',
	unknown: 'unknown',
	/** The address has to be tried again. */
	undecided: 'undecided',
} as const;
export type CheckVerdict = typeof checkVerdict[keyof typeof checkVerdict];

/** Weighs what the last of `connectionCount` connections showed, `elapsedMs` after the start of the check. */
export function computeVerdict(evidence: ConnectionEvidence, connectionCount: number, elapsedMs: number): CheckVerdict {
	switch (evidence) {
		case connectionEvidence.refused: {
			return checkVerdict.notListening;
		}

		case connectionEvidence.held: {
			return checkVerdict.listening;
		}

		case connectionEvidence.closed: {
			return connectionCount < maxConnections && elapsedMs + reconnectDelayMs < checkTimeoutMs ? checkVerdict.undecided : checkVerdict.unknown;
		}

		case connectionEvidence.unanswered: {
			return checkVerdict.unknown;
		}
	}
}

/** Computes the time until the next connection, in milliseconds: the last one opens when the first one would have stayed open for long enough. */
export function computeReconnectDelay(connectionCount: number, elapsedMs: number): number {
	return connectionCount < maxConnections - 1 ? reconnectDelayMs : Math.max(reconnectDelayMs, Math.ceil(holdMs - elapsedMs) + timerMarginMs);
}

export type CheckResult = {
	readonly verdict: Exclude<CheckVerdict, typeof checkVerdict.undecided>;
	/** True if each connection was closed, but the last one still opened after the time for which one has to stay open, and was reset. */
	readonly isAccepting: boolean;
	/** The open connection if the process listens and has sent nothing on it. */
	readonly socket?: Socket;
};

export type ListenerCheckOptions = {
	readonly open: () => Socket;
	readonly readClock: () => number;
	readonly onResult: (result: CheckResult) => void;
};

/** One check of one address. */
export class ListenerCheck {
	readonly #options: ListenerCheckOptions;
	readonly #startedAt: number;
	#connectionCount = 0;
	/** Time from the start of the check to that of the last connection, in milliseconds. */
	#connectedAfterMs = 0;
	#socket?: Socket;
	#timer?: NodeJS.Timeout;
	#isOver = false;
	/** True if the last connection was reset by the other side. */
	#wasReset = false;
	/** True if the last connection carried data, which belongs to no request. */
	#hasReceivedData = false;

	constructor(options: ListenerCheckOptions) {
		this.#options = options;
		this.#startedAt = options.readClock();
	}

	start(): void {
		this.#connect();
	}

	/** Ends the check without a verdict. */
	stop(): void {
		this.#isOver = true;
		clearTimeout(this.#timer);
		this.#socket?.destroy();
	}

	#connect(): void {
		const socket = this.#options.open();
		this.#socket = socket;
		this.#hasReceivedData = false;
		this.#wasReset = false;
		this.#connectionCount++;
		this.#connectedAfterMs = this.#computeElapsedMs();
		let hasOpened = false;
		this.#scheduleWeighing(connectionEvidence.unanswered, socket, Math.max(0, checkTimeoutMs - this.#computeElapsedMs()));
		socket.once('connect', () => {
			hasOpened = true;
			if (this.#socket === socket && !this.#isOver) {
				clearTimeout(this.#timer);
				this.#scheduleWeighing(connectionEvidence.held, socket, holdMs);
			}
		});
		socket.once('error', (error: Error & {code?: string}) => {
			this.#wasReset = error.code === 'ECONNRESET';
			const failure = error.code === 'ECONNREFUSED' ? connectionEvidence.refused : connectionEvidence.unanswered;
			this.#weigh(hasOpened || error.code === 'ECONNRESET' ? connectionEvidence.closed : failure, socket);
		});
		const handleClose = () => {
			this.#weigh(connectionEvidence.closed, socket);
		};

		// Reading also shows the end of the connection.
		socket.once('data', () => {
			this.#hasReceivedData = true;
		});
		socket.once('end', handleClose);
		socket.once('close', handleClose);
	}

	/** Weighs the evidence after a delay. If the process was paused meanwhile, what has happened on the connection is read first. */
	#scheduleWeighing(evidence: ConnectionEvidence, socket: Socket, delayMs: number): void {
		const timer = setTimeout(() => {
			setImmediate(() => {
				if (this.#timer === timer) {
					this.#weigh(evidence, socket);
				}
			});
		}, delayMs);
		this.#timer = timer;
	}

	#computeElapsedMs(): number {
		return this.#options.readClock() - this.#startedAt;
	}

	#weigh(evidence: ConnectionEvidence, socket: Socket): void {
		if (this.#isOver || this.#socket !== socket) {
			return;
		}

		clearTimeout(this.#timer);
		const elapsedMs = this.#computeElapsedMs();
		const verdict = computeVerdict(evidence, this.#connectionCount, elapsedMs);
		const isReusable = verdict === checkVerdict.listening && !this.#hasReceivedData;
		if (!isReusable) {
			this.#socket = undefined;
			socket.destroy();
		}

		if (verdict === checkVerdict.undecided) {
			this.#timer = setTimeout(() => {
				this.#connect();
			}, computeReconnectDelay(this.#connectionCount, elapsedMs));
			return;
		}

		this.#isOver = true;
		this.#options.onResult({
			verdict,
			isAccepting: evidence === connectionEvidence.closed && this.#wasReset && this.#connectedAfterMs >= holdMs,
			socket: isReusable ? socket : undefined,
		});
	}
}
