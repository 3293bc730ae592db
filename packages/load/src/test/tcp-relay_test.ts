/**
 * Tests of the TCP relay: it counts bytes, cuts and stalls links, and restores them.
 */
import assert from 'node:assert/strict';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {request} from 'undici';
import {createServer as createHttpServer} from 'node:http';
import {linkState, TcpRelay} from '../lib/tcp-relay.js';

void test('a relay counts the bytes of both directions, closes connections while cut, and relays again when up', async () => {
	const server = createHttpServer((_, response) => {
		response.end('x'.repeat(1000));
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const relay = new TcpRelay((server.address() as AddressInfo).port);
	await relay.listen();
	const fetchLength = async () => {
		const {body} = await request(`http://${relay.address}/`, {reset: true});
		const text = await body.text();
		return text.length;
	};

	try {
		assert.equal(await fetchLength(), 1000);
		assert.ok(relay.bytesOut > 1000);
		assert.ok(relay.bytesIn > 20);
		relay.setState(linkState.cut);
		await assert.rejects(fetchLength());
		relay.setState(linkState.up);
		assert.equal(await fetchLength(), 1000);
		assert.equal(relay.connectionCount, 2);
	} finally {
		await relay.close();
		server.closeAllConnections();
		server.close();
	}
});

// Guards against soaks in which a response that a target resets looks complete to the gateway (LOST).
void test('a relay passes on a reset as a reset, and a clean end as a clean end', async () => {
	for (const endsCleanly of [true, false]) {
		const server = createServer(socket => {
			socket.write('part', () => {
				if (endsCleanly) {
					socket.end();
				} else {
					setTimeout(() => socket.resetAndDestroy(), 50);
				}
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const relay = new TcpRelay((server.address() as AddressInfo).port);
		await relay.listen();
		const [host, port] = relay.address.split(':');
		const socket = connect(Number(port), host);
		try {
			const outcome = await new Promise<string>(resolve => {
				socket.resume();
				socket.on('end', () => {
					resolve('end');
				});
				socket.on('error', ({code}: NodeJS.ErrnoException) => {
					resolve(code ?? 'error');
				});
			});
			assert.equal(outcome, endsCleanly ? 'end' : 'ECONNRESET');
		} finally {
			socket.destroy();
			await relay.close();
			server.close();
		}
	}
});

void test('a silent relay keeps connections open, and delivers the delayed data once it is up again', async () => {
	const server = createServer(socket => {
		socket.pipe(socket);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const relay = new TcpRelay((server.address() as AddressInfo).port);
	await relay.listen();
	relay.setState(linkState.silent);
	const [host, port] = relay.address.split(':');
	const socket = connect(Number(port), host);
	const direct = connect((server.address() as AddressInfo).port, host);
	try {
		const echoed = readOnce(socket);
		socket.write('hello');
		// While the relay is silent, the server still answers on the direct connection.
		for (let round = 0; round < 50 || relay.connectionCount === 0; round++) {
			const answered = readOnce(direct);
			direct.write('round');
			assert.equal(await answered, 'round');
		}

		assert.equal(relay.bytesIn, 0);
		relay.setState(linkState.up);
		assert.equal(await echoed, 'hello');
	} finally {
		socket.destroy();
		direct.destroy();
		await relay.close();
		server.close();
	}
});

async function readOnce(socket: Socket): Promise<string> {
	return new Promise(resolve => {
		socket.once('data', chunk => {
			resolve(chunk.toString());
		});
	});
}
