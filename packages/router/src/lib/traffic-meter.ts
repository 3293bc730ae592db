/**
 * Counts the bytes of open and closed connections.
 */
import type {Socket} from 'node:net';

/** The part of a socket that the meter uses. */
export type MeteredSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'once'>;

export type TrafficTotals = {readonly read: number; readonly written: number};

/** Sums the bytes of all sockets added to it. */
export class TrafficMeter {
	readonly #openSockets = new Set<MeteredSocket>();
	#closedReadBytes = 0;
	#closedWrittenBytes = 0;

	/** Adds a socket; its bytes remain counted after it has closed. */
	addSocket(socket: MeteredSocket): void {
		this.#openSockets.add(socket);
		socket.once('close', () => {
			if (this.#openSockets.delete(socket)) {
				this.#closedReadBytes += socket.bytesRead;
				this.#closedWrittenBytes += socket.bytesWritten;
			}
		});
	}

	/** Reads the bytes of all added sockets so far. */
	read(): TrafficTotals {
		let read = this.#closedReadBytes;
		let written = this.#closedWrittenBytes;
		for (const socket of this.#openSockets) {
			read += socket.bytesRead;
			written += socket.bytesWritten;
		}

		return {read, written};
	}
}
