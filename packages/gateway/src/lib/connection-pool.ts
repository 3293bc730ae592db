/**
 * Keep-alive connections to targets. A connection is reused only after an
 * exchange without protocol errors. Data that arrives on an idle connection
 * belongs to no request, so the connection is closed.
 */
import {connect, type Socket} from 'node:net';
import {parseAddress, type LifecycleManager} from '@sequoiatally/runtime';
import {checkVerdict, ListenerCheck} from './listener-check.js';

/** Idle timeout of connections to targets, in milliseconds; a target may announce a shorter one. */
const defaultIdleTimeoutMs = 4000;
/** Time before the target's idle timeout at which an idle connection is no longer used, in milliseconds. */
const idleTimeoutMarginMs = 700;
/** Idle time up to which a connection is assumed to be open at the target, in milliseconds. */
const freshIdleMs = 1000;
/** Largest number of idle connections to one address. */
const maxIdlePerTarget = 16;

type IdleConnection = {readonly socket: Socket; readonly idleSince: number; readonly expiresAt: number; readonly close: () => void};

/** Receives the result of a check, the time at which it started, and whether its last connection still opened although each one was closed. */
type CheckListener = (isListening: boolean | undefined, startedAt: number, isAccepting: boolean) => void;

/** A connection in use by one exchange. */
export type LeasedConnection = {readonly socket: Socket; readonly isNew: boolean};

export class ConnectionPool {
	/** Connections opened since the process started. */
	openedCount = 0;
	readonly #idle = new Map<string, IdleConnection[]>();
	/** Checks in progress, by address. */
	readonly #checks = new Map<string, {readonly check: ListenerCheck; readonly listeners: CheckListener[]}>();
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

	/**
	 * Takes the most recently used idle connection, or opens one if none is usable. With
	 * `needsFresh`, only a connection that was idle for at most `freshIdleMs` is reused.
	 */
	lease(address: string, needsFresh: boolean): LeasedConnection {
		const now = this.#readClock();
		const list = this.#idle.get(address);
		for (let idle = list?.pop(); idle !== undefined; idle = list?.pop()) {
			idle.socket.removeListener('data', idle.close);
			idle.socket.removeListener('close', idle.close);
			if (idle.socket.destroyed || now >= idle.expiresAt) {
				idle.socket.destroy();
				continue;
			}

			if (needsFresh && now - idle.idleSince > freshIdleMs) {
				// Requests that may be retried can still use it.
				this.#addIdle(address, idle);
				break;
			}

			idle.socket.ref();
			return {socket: idle.socket, isNew: false};
		}

		return {socket: this.#open(address), isNew: true};
	}

	/**
	 * Returns a connection to the pool after an exchange without protocol errors.
	 * `targetIdleTimeoutMs` is the idle timeout that the target announced, if any.
	 */
	release(address: string, socket: Socket, targetIdleTimeoutMs: number | undefined): void {
		const list = this.#idle.get(address) ?? [];
		const idleTimeoutMs = Math.min(
			defaultIdleTimeoutMs,
			targetIdleTimeoutMs === undefined ? defaultIdleTimeoutMs : targetIdleTimeoutMs - idleTimeoutMarginMs,
		);
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

	/**
	 * Finds out whether a process listens on the address: false if it refuses connections,
	 * `undefined` if it does not respond. A check that is in progress serves all who ask. A connection that
	 * proves that the process runs is kept for the next request.
	 */
	check(address: string, onResult: CheckListener): void {
		const pending = this.#checks.get(address);
		if (pending !== undefined) {
			pending.listeners.push(onResult);
			return;
		}

		const listeners = [onResult];
		const startedAt = this.#readClock();
		const check = new ListenerCheck({
			open: () => this.#open(address),
			readClock: this.#readClock,
			onResult: ({verdict, isAccepting, socket}) => {
				this.#checks.delete(address);
				if (socket !== undefined) {
					this.release(address, socket, undefined);
				}

				for (const notify of listeners) {
					notify(verdict === checkVerdict.unknown ? undefined : verdict === checkVerdict.listening, startedAt, isAccepting);
				}
			},
		});
		this.#checks.set(address, {check, listeners});
		check.start();
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
		// Registrations whose address cannot be parsed are rejected when they are read.
		const {host, port} = parseAddress(address)!;
		const socket = connect({host, port, noDelay: true});
		socket.on('error', () => {
			// An exchange that uses the connection gets the error from its request; an idle connection is closed.
		});
		return socket;
	}

	#evictExpired(): void {
		const now = this.#readClock();
		for (const [address, list] of this.#idle) {
			const kept = list.filter(({socket, expiresAt}) => {
				const isUsable = !socket.destroyed && now < expiresAt;
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
		for (const {check} of this.#checks.values()) {
			check.stop();
		}

		this.#checks.clear();
		for (const list of this.#idle.values()) {
			for (const {socket} of list) {
				socket.destroy();
			}
		}

		this.#idle.clear();
	}
}
