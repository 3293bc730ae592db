/**
 * Connections to targets. A connection is kept only after an exchange in which
 * nothing odd was seen; whatever arrives on an idle one belongs to no request,
 * so the connection is closed.
 */
import {connect, type Socket} from 'node:net';
import {parseAddress, type LifecycleManager} from '@sequoiatally/runtime';

/** Idle time after which a connection is closed if the target names none, in milliseconds. */
const defaultIdleTimeoutMs = 4000;
/** Time before the target's own limit at which an idle connection is no longer used, in milliseconds. */
const idleTimeoutMarginMs = 700;
/** Idle time within which a connection counts as alive without proof, in milliseconds. */
const assumedAliveIdleMs = 1000;
/** Idle connections that are kept to one target. */
const maxIdlePerTarget = 16;

type IdleConnection = {readonly socket: Socket; readonly idleSince: number; readonly expiresAt: number; readonly close: () => void};

/** A connection for one exchange. */
export type LeasedConnection = {readonly socket: Socket; readonly isNew: boolean};

export class ConnectionPool {
	/** Connections opened since the start. */
	openedCount = 0;
	readonly #idle = new Map<string, IdleConnection[]>();
	readonly #readClock: () => number;

	constructor(readClock: () => number, lifecycle: LifecycleManager) {
		this.#readClock = readClock;
		lifecycle.own('target connections', () => {
			this.#closeAll();
		});
		lifecycle.ownInterval('idle target connections', 1000, () => {
			this.#evictExpired();
		});
	}

	/** Takes an idle connection, the one used last; opens one if there is none that will do. */
	lease(address: string, needsProven: boolean): LeasedConnection {
		const now = this.#readClock();
		const list = this.#idle.get(address);
		for (let idle = list?.pop(); idle !== undefined; idle = list?.pop()) {
			idle.socket.removeListener('data', idle.close);
			idle.socket.removeListener('close', idle.close);
			if (idle.socket.destroyed || now >= idle.expiresAt) {
				idle.socket.destroy();
				continue;
			}

			if (needsProven && now - idle.idleSince > assumedAliveIdleMs) {
				// Still good for requests that may be repeated.
				this.#addIdle(address, idle);
				break;
			}

			idle.socket.ref();
			return {socket: idle.socket, isNew: false};
		}

		return {socket: this.#open(address), isNew: true};
	}

	/** Gives back a connection whose exchange ended well; `idleLimitMs` is the target's word on how long it stays open. */
	release(address: string, socket: Socket, targetIdleTimeoutMs: number | undefined): void {
		const list = this.#idle.get(address) ?? [];
		const idleTimeoutMs = Math.min(defaultIdleTimeoutMs, targetIdleTimeoutMs === undefined ? defaultIdleTimeoutMs : targetIdleTimeoutMs - idleTimeoutMarginMs);
		if (socket.destroyed || idleTimeoutMs <= 0 || list.length >= maxIdlePerTarget) {
			socket.destroy();
			return;
		}

		const now = this.#readClock();
		const close = () => {
			socket.destroy();
		};

		this.#addIdle(address, {
			socket, idleSince: now, expiresAt: now + idleTimeoutMs, close,
		});
	}

	#addIdle(address: string, idle: IdleConnection): void {
		const list = this.#idle.get(address) ?? [];
		idle.socket.on('data', idle.close);
		idle.socket.on('close', idle.close);
		idle.socket.unref();
		list.push(idle);
		this.#idle.set(address, list);
	}

	#open(address: string): Socket {
		this.openedCount++;
		// Registrations with any other address were not taken.
		const {host, port} = parseAddress(address)!;
		const socket = connect({host, port, noDelay: true});
		socket.on('error', () => {
			// The exchange that uses the connection is told by its request; an idle one is just closed.
		});
		return socket;
	}

	#evictExpired(): void {
		const now = this.#readClock();
		for (const [address, list] of this.#idle) {
			const kept = list.filter(({socket, expiresAt: usableUntil}) => {
				const isUsable = !socket.destroyed && now < usableUntil;
				if (!isUsable) {
					socket.destroy();
				}

				return isUsable;
			});
			if (kept.length === 0) {
				this.#idle.delete(address);
			} else {
				this.#idle.set(address, kept);
			}
		}
	}

	#closeAll(): void {
		for (const list of this.#idle.values()) {
			for (const {socket} of list) {
				socket.destroy();
			}
		}

		this.#idle.clear();
	}
}
