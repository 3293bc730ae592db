/**
 * Tests what becomes of requests that a caller sends on one connection without waiting for responses, and of
 * requests whose body cannot be parsed.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {after, beforeEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createFailure, eventKind, failureReason, type Event,
} from '@sequoiatally/dispatch';
import {BufferBudget, createLogger, LifecycleManager} from '@sequoiatally/runtime';
import {ok} from 'neverthrow';
import {CallerServer} from '../lib/caller-server.js';
import {
	findFreePort, PlainProtocol, waitUntil, testLimits,
} from './caller-server-fixture.js';

const lifecycle = new LifecycleManager(createLogger('test', 'error'));
const port = await findFreePort();
const bufferBudget = new BufferBudget(200 * 1024 * 1024);
const events: Event[] = [];
const server = new CallerServer({
	protocol: new PlainProtocol(),
	bufferBudget,
	limits: testLimits,
	checkHead: () => ok(60_000),
	emit(event) {
		events.push(event);
	}, random: () => 0.5, log() {
		// Not checked here.
	},
});
await server.listen({host: '127.0.0.1', port}, lifecycle);

after(async () => lifecycle.closeAll());

beforeEach(() => {
	events.length = 0;
	assert.ok(!server.isBusy);
});

/** Opens a connection and sends requests on it without waiting for responses. */
async function pipeline(count: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	await once(socket, 'connect');
	socket.write('POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nhi'.repeat(count));
	return socket;
}

/** Answers the request that arrived last. */
function answer(): void {
	const [exchange] = server.openExchanges.values();
	exchange!.refuse(createFailure(failureReason.answerLost));
}

test('requests that a caller sends on one connection without waiting are handled one after the other', async () => {
	const socket = await pipeline(3);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	for (let count = 1; count <= 3; count++) {
		await waitUntil('the next request arrives', () => events.length === count);
		await delay(20);
		assert.equal(events.length, count);
		answer();
	}

	await waitUntil('all are answered', () => text.split('HTTP/1.1 502').length === 4);
	socket.destroy();
	await waitUntil('nothing is open', () => !server.isBusy);
});

// Guards against memory that is held, and a drain that does not end, since the responses of such requests are never reported as closed.
test('a caller that leaves while requests wait for its earlier ones leaves nothing open', async () => {
	const socket = await pipeline(3);
	await waitUntil('the first request arrives', () => events.length === 1);
	socket.destroy();
	await waitUntil('nothing is open', () => !server.isBusy && bufferBudget.bodyBytes === 0);
	assert.deepEqual(events.map(({kind}) => kind), [eventKind.requestArrived, eventKind.callerLeft]);
});

// Guards against a drain that waits for a caller whose request has been answered with 400 and that keeps its connection.
test('a request whose body cannot be parsed holds nothing although its caller keeps the connection', async () => {
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	await once(socket, 'connect');
	socket.resume();
	socket.write('POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nno-size\r\n');
	await waitUntil('nothing is open', () => !server.isBusy && bufferBudget.bodyBytes === 0);
	assert.deepEqual(events, []);
	socket.destroy();
});

// Guards against LOST: a request that was passed on loses its response, because that to an earlier one closes the connection. The last test, since it starts a drain.
test('a request that waits when a planned stop begins is not passed on after the response that closes its connection', async () => {
	const socket = await pipeline(2);
	await waitUntil('the first request arrives', () => events.length === 1);
	server.startDraining();
	answer();
	await once(socket.resume(), 'end');
	assert.equal(events.length, 1);
	await waitUntil('nothing is open', () => !server.isBusy);
	socket.destroy();
});
