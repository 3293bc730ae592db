/**
 * What the gateway needs to know of sockets beyond the public interface of Node.js: whether a connection was reset that
 * has unread bytes, and a stop of reading that takes effect at once.
 */
import type {Socket} from 'node:net';

/** The part of a socket that belongs to the system's connection; Node.js sets it, but its types do not name it. */
type SocketHandle = {
	reading: boolean;
	readonly readStart: () => void;
	readonly readStop: () => void;
	readonly getpeername?: (address: Record<string, unknown>) => number;
};

function findHandle(socket: Socket): SocketHandle | undefined {
	return (socket as Socket & {readonly _handle?: SocketHandle})._handle ?? undefined;
}

/**
 * Pauses a socket without another read: after `pause` alone, Node.js still reads a block of up to 64 KB into the buffer of the socket, which
 * no limit counts.
 */
export function stopReading(socket: Socket): void {
	socket.pause();
	// The stream starts another read in the tick after a block, which comes before this.
	queueMicrotask(() => {
		const handle = findHandle(socket);
		if (socket.isPaused() && handle?.reading) {
			handle.reading = false;
			handle.readStop();
		}
	});
}

/** Resumes a socket after `stopReading`. */
export function startReading(socket: Socket): void {
	socket.resume();
	const handle = findHandle(socket);
	if (handle?.reading === false) {
		handle.reading = true;
		handle.readStart();
	}
}

/**
 * Returns true if a connection was reset: it has no peer any more, also while what arrived before the reset has not been read.
 * `remoteAddress` does not tell, since Node.js keeps the address that it has found once.
 */
export function isReset(socket: Socket): boolean {
	const handle = findHandle(socket);
	return handle?.getpeername !== undefined && handle.getpeername({}) !== 0;
}
