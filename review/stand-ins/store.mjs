/**
 * Stand-in for the platform's store: range reads and watches, as the users' pages
 * describe them. It can be listened to on several ports; each of them may show other
 * addresses of the workers, as seen over the links of one gateway.
 */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const host = '127.0.0.1';
/** Number of items in one page of a range read. */
const pageSize = 500;

export class Store {
	#revision = 1;
	#items = new Map();
	#history = [];
	#waiting = new Set();
	#servers = [];

	/** Listens on a free port; `mapAddress` translates the address of a worker for those who read there. Returns the port. */
	async listen(mapAddress = (id, address) => address) {
		const server = createServer((request, response) => {
			this.#handle(new URL(request.url, 'http://store'), response, mapAddress);
		});
		await new Promise(resolve => {
			server.listen(0, host, resolve);
		});
		this.#servers.push(server);
		return server.address().port;
	}

	/** Writes an entry, or deletes it if there is no value. */
	put(key, value) {
		this.#revision++;
		const created = this.#items.get(key)?.created ?? this.#revision;
		const item = {
			key, value, revision: this.#revision, created, lease: 0, deleted: value === undefined,
		};
		this.#history.push(item);
		if (value === undefined) {
			this.#items.delete(key);
		} else {
			this.#items.set(key, item);
		}

		for (const wake of this.#waiting) {
			wake();
		}
	}

	close() {
		for (const server of this.#servers) {
			server.close();
			server.closeAllConnections();
		}
	}

	#handle(url, response, mapAddress) {
		const send = (status, body) => {
			response.writeHead(status, {'Content-Type': 'application/json'});
			response.end(JSON.stringify(body));
		};

		const encode = ({
			key, value, revision, created, lease, deleted,
		}) => {
			if (deleted) {
				return {key, revision, deleted};
			}

			const shown = key.startsWith('servers/') ? {...value, address: mapAddress(key.slice('servers/'.length), value.address)} : value;
			return {
				key, value: Buffer.from(JSON.stringify(shown)).toString('base64'), revision, created, lease,
			};
		};

		const prefix = url.searchParams.get('pathPrefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		if (url.pathname === '/kv-range') {
			const items = [...this.#items.values()]
				.filter(({key}) => key.startsWith(prefix) && key > after)
				.sort((a, b) => a.key < b.key ? -1 : 1);
			send(200, {items: items.slice(0, pageSize).map(item => encode(item)), truncated: items.length > pageSize, storeRevision: this.#revision});
			return;
		}

		if (url.pathname !== '/kv-watch') {
			send(404, {});
			return;
		}

		const listEvents = () => this.#history.filter(({key, revision}) => key.startsWith(prefix) && revision > Number(after)).map(item => encode(item));
		const wake = () => {
			if (listEvents().length > 0) {
				finish();
			}
		};

		const stopWaiting = () => {
			clearTimeout(timer);
			this.#waiting.delete(wake);
		};

		const finish = () => {
			stopWaiting();
			send(200, {events: listEvents(), storeRevision: this.#revision});
		};

		const timer = setTimeout(finish, Number(url.searchParams.get('waitMs')));
		this.#waiting.add(wake);
		response.on('close', stopWaiting);
		wake();
	}
}
