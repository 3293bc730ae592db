/**
 * Counts the bytes of connections, those that are closed included.
 */
import type {Socket} from 'node:net';

/** The counters of a socket. */
export type CountedSocket = Pick<Socket, 'bytesRead' | 'bytesWritten' | 'once'>;

export type Traffic = {readonly read: number; readonly written: number};

/** Sums the bytes of the connections that it watches. */
export class TrafficMeter {
	readonly #open = new Set<CountedSocket>();
	#closedRead = 0;
	#closedWritten = 0;

	/** Counts a connection from now until it closes. */
	watch(socket: CountedSocket): void {
		this.#open.add(socket);
		socket.once('close', () => {
			if (this.#open.delete(socket)) {
				this.#closedRead += socket.bytesRead;
				this.#closedWritten += socket.bytesWritten;
			}
		});
	}

	/** Reads the sums since the start. */
	read(): Traffic {
		let read = this.#closedRead;
		let written = this.#closedWritten;
		for (const socket of this.#open) {
			read += socket.bytesRead;
			written += socket.bytesWritten;
		}

		return {read, written};
	}
}
