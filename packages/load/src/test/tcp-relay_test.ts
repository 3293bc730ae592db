/**
 * Tests of the TCP relay: it counts bytes, cuts and stalls links, and restores them.
 */
import assert from 'node:assert/strict';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {request} from 'undici';
import {createServer as createHttpServer} from 'node:http';
import process from 'node:process';
import {listLocalPorts} from '../lib/local-ports.js';
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
	for (const [endsCleanly, last] of [[true, ''], [false, ''], [true, 'last'], [false, 'last']] as const) {
		const server = createServer(socket => {
			socket.write('part', () => {
				setTimeout(() => {
					socket.write(last);
					if (endsCleanly) {
						socket.end();
					} else {
						socket.resetAndDestroy();
					}
				}, 50);
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
					// A reset that is read together with the last data comes as an end, but without another side.
					resolve(socket.remoteAddress === undefined ? 'ECONNRESET' : 'end');
				});
				socket.on('error', ({code}: NodeJS.ErrnoException) => {
					resolve(code ?? 'error');
				});
			});
			assert.equal(outcome, endsCleanly ? 'end' : 'ECONNRESET', last);
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

void test('a relay cuts the link for the connections of one process only, those that are open and new ones', async () => {
	const server = createServer(socket => {
		socket.on('error', () => {
			// The relay resets the connection.
		});
		socket.write('hello');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const relay = new TcpRelay((server.address() as AddressInfo).port);
	await relay.listen();
	const open = async () => {
		const socket = connect({port: Number(relay.address.split(':')[1]), host: '127.0.0.1'});
		socket.on('error', () => {
			// `destroyed` tells it.
		});
		await new Promise(resolve => {
			socket.once('data', resolve);
			socket.once('close', resolve);
		});
		return socket;
	};

	try {
		const kept = await open();
		await relay.setStateFor(async () => linkState.up);
		const allowed = await open();
		assert.ok(!kept.destroyed && !allowed.destroyed);
		const closed = new Promise(resolve => {
			kept.once('close', resolve);
		});
		await relay.setStateFor(async port => {
			const ports = await listLocalPorts(process.pid);
			return ports.has(port) ? linkState.cut : linkState.up;
		});
		await closed;
		const refused = await open();
		assert.ok(refused.destroyed && refused.bytesRead === 0);
		await relay.setStateFor(undefined);
		const restored = await open();
		assert.equal(restored.bytesRead, 5);
		restored.destroy();
	} finally {
		await relay.close();
		server.close();
	}
});

void test('a relay silences the link for one caller, both ways or only towards it, and delivers what it held back', async () => {
	const received: string[] = [];
	const server = createServer(socket => {
		socket.on('data', data => {
			received.push(String(data));
			socket.write(`echo of ${String(data)}`);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const relay = new TcpRelay((server.address() as AddressInfo).port);
	await relay.listen();
	const open = async () => {
		const socket = connect({port: Number(relay.address.split(':')[1]), host: '127.0.0.1'});
		await once(socket, 'connect');
		return socket;
	};

	const sockets: Socket[] = [];
	try {
		const kept = await open();
		sockets.push(kept, await open());
		const {localPort} = kept;
		for (const [state, arrives] of [[linkState.silent, false], [linkState.oneWay, true]] as const) {
			const answers: string[] = [];
			kept.on('data', data => {
				answers.push(String(data));
			});
			received.length = 0;
			await relay.setStateFor(async port => port === localPort ? state : linkState.up);
			kept.write(state);
			sockets[1]!.write('other');
			await once(sockets[1]!, 'data');
			await delay(50);
			assert.deepEqual([received.includes(state), answers], [arrives, []]);
			const answer = once(kept, 'data');
			await relay.setStateFor(undefined);
			await answer;
			assert.deepEqual([received.includes(state), answers], [true, [`echo of ${state}`]]);
			kept.removeAllListeners('data');
		}

		await relay.setStateFor(async () => linkState.silent);
		const silenced = await open();
		sockets.push(silenced);
		silenced.write('new');
		await delay(50);
		assert.ok(!received.includes('new'));
		const answer = once(silenced, 'data');
		await relay.setStateFor(undefined);
		assert.deepEqual(await answer, [Buffer.from('echo of new')]);
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		await relay.close();
		server.close();
	}
});

// Guards against soaks in which a worker that was killed looks as if it still listened.
void test('a relay that closes with its upstream refuses connections before it passes on the end that the process left', async () => {
	const sockets: Socket[] = [];
	const server = createServer(socket => {
		sockets.push(socket);
		socket.write('part');
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const relay = new TcpRelay((server.address() as AddressInfo).port, {closesWithUpstream: true});
	await relay.listen();
	const port = Number(relay.address.split(':')[1]);
	const caller = connect({port, host: '127.0.0.1'});
	await new Promise(resolve => {
		caller.once('data', resolve);
	});
	const ended = new Promise(resolve => {
		caller.once('end', resolve);
	});
	server.close();
	sockets[0]!.end();
	await ended;
	const later = connect({port, host: '127.0.0.1'});
	const code = await new Promise(resolve => {
		later.once('error', ({code}: NodeJS.ErrnoException) => {
			resolve(code);
		});
		later.once('connect', () => {
			resolve('connected');
		});
	});
	assert.equal(code, 'ECONNREFUSED');
	caller.destroy();
	await relay.close();
});

// Guards against a soak that ends with an error, since a worker whose relay has closed writes its address once more (seed 9700).
void test('a relay that was closed still names the address on which it listened', async () => {
	const relay = new TcpRelay(1);
	await relay.listen();
	const {address} = relay;
	await relay.close();
	assert.equal(relay.address, address);
});
