/**
 * Stand-in for a network path to one port on loopback: it passes connections on, or
 * is cut. While it is cut, open connections are reset and new ones are refused.
 */
import {connect, createServer} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';

const host = '127.0.0.1';

export class Link {
	#target;
	#server;
	#port = 0;
	#sockets = new Set();

	constructor(targetPort) {
		this.#target = targetPort;
	}

	get address() {
		return `${host}:${this.#port}`;
	}

	async open() {
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(this.#port, host, resolve);
		});
		this.#port = this.#server.address().port;
	}

	/** Refuses new connections and resets those that are open. */
	async cut() {
		if (!this.#server.listening) {
			return;
		}

		this.#server.close();
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}

		while (await this.#isAccepting()) {
			await delay(5);
		}
	}

	async #isAccepting() {
		return new Promise(resolve => {
			const socket = connect({port: this.#port, host}, () => {
				socket.destroy();
				resolve(true);
			});
			socket.on('error', () => {
				resolve(false);
			});
		});
	}

	#accept(socket) {
		const other = connect({port: this.#target, host, noDelay: true});
		socket.setNoDelay(true);
		for (const [from, to] of [[socket, other], [other, socket]]) {
			this.#sockets.add(from);
			from.pipe(to);
			from.on('error', () => {
				to.destroy();
			});
			from.on('close', () => {
				this.#sockets.delete(from);
				to.destroy();
			});
		}
	}
}
