/**
 * Tests probes against servers that answer in different ways, or do not.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {after, test} from 'node:test';
import {probeResult, type TargetProbedEvent} from '@sequoiatally/dispatch';
import {createLogger, LifecycleManager, readMonotonicMs} from '@sequoiatally/runtime';
import {TargetProber} from '../lib/target-prober.js';
import {HeaderProtocol} from './exchange-fixture.js';

const lifecycle = new LifecycleManager(createLogger('test', 'error'));
const prober = new TargetProber(new HeaderProtocol(), readMonotonicMs, lifecycle);

after(async () => lifecycle.closeAll());

/** Probes a server; returns the result and what the server received. */
async function probe(handle: (socket: Socket) => void): Promise<{result: TargetProbedEvent['result']; received: string}> {
	let received = '';
	const server = createServer(socket => {
		socket.on('error', () => {
			// The connection is closed by the other side.
		});
		socket.on('data', chunk => {
			received += String(chunk);
			handle(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const result = await probeAddress(address);
	server.close();
	return {result, received};
}

async function probeAddress(address: string): Promise<TargetProbedEvent['result']> {
	return new Promise(resolve => {
		prober.probe({targetId: 'desk-1', address, path: '/health'}, result => {
			resolve(result);
		});
	});
}

test('any response answers a probe, also an error and bytes that are no response', async () => {
	for (const response of ['HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', 'HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\n', 'no bytes of HTTP\r\n\r\n']) {
		const {result, received} = await probe(socket => {
			socket.write(response);
		});
		assert.equal(result, probeResult.answered, response);
		assert.match(received, /^GET \/health HTTP\/1\.1\r\ntarget: desk-1\r\n/);
	}
});

test('a connection that opens and is silent, closed or reset leaves a probe unanswered', async () => {
	const handlers: Array<(socket: Socket) => void> = [() => undefined, socket => {
		socket.end();
	}, socket => {
		socket.resetAndDestroy();
	}];
	for (const handle of handlers) {
		const {result} = await probe(handle);
		assert.equal(result, probeResult.unanswered);
	}
});

test('an address that refuses the connection is not reached', async () => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	assert.equal(await probeAddress(`127.0.0.1:${port}`), probeResult.unreached);
});
