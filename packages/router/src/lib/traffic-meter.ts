/**
 * Counts the bytes of connections, those that are closed included.
 */
import type {Socket} from 'node:net';

/** The counters of a socket. */
export type MeteredSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'once'>;

export type TrafficTotals = {readonly read: number; readonly written: number};

/** Sums the bytes of the connections that it watches. */
export class TrafficMeter {
	readonly #openSockets = new Set<MeteredSocket>();
	#closedReadBytes = 0;
	#closedWrittenBytes = 0;

	/** Counts a connection from now until it closes. */
	addSocket(socket: MeteredSocket): void {
		this.#openSockets.add(socket);
		socket.once('close', () => {
			if (this.#openSockets.delete(socket)) {
				this.#closedReadBytes += socket.bytesRead;
				this.#closedWrittenBytes += socket.bytesWritten;
			}
		});
	}

	/** Reads the sums since the start. */
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
