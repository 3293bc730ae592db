/**
 * Tests calls to a peer against a raw TCP server, which sends whatever a faulty peer or a
 * stranger at its address may send.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {afterEach, beforeEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	effectKind, eventKind, type Event, type PeerMessage,
} from '@sequoiatally/dispatch';
import {createLogger, LifecycleManager, readMonotonicMs} from '@sequoiatally/runtime';
import {PeerTransport} from '../lib/peer-transport.js';
import {findFreePort, testLimits, waitUntil} from './caller-server-fixture.js';

const message: PeerMessage = {
	from: {
		id: 'peer', incarnation: 'i', address: '127.0.0.1:1', zone: 'zone-a', ageMs: 0,
	},
	members: [], revision: 0, loads: [], readings: [], wantsUpdate: true,
};
const sockets = new Set<Socket>();
let server: Server;
let lifecycle: LifecycleManager;
let handle: (socket: Socket) => void;
let events: Event[];

beforeEach(async () => {
	lifecycle = new LifecycleManager(createLogger('test', 'error'));
	events = [];
	server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => {
			// The caller closes connections on purpose.
		});
		socket.once('data', () => {
			handle(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
});
afterEach(async () => {
	await lifecycle.closeAll();
	for (const socket of sockets) {
		socket.destroy();
	}

	sockets.clear();
	server.close();
});

function createTransport(): PeerTransport {
	return new PeerTransport({
		emit(event) {
			events.push(event);
		},
		readClock: readMonotonicMs,
		handleRelayed() {
			assert.fail('nothing is relayed');
		},
		renderMetrics: async () => '',
		log() {
			// Not checked here.
		},
	}, lifecycle);
}

function findAddress(): string {
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Calls the server and waits until the call has ended and all that it received was handled. */
async function callPeer(): Promise<Event[]> {
	await createTransport().call({kind: effectKind.callPeer, address: findAddress(), message});
	await delay(50);
	return events;
}

function createAnswer(): string {
	const body = JSON.stringify(message);
	return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

// Guards against two ends of one call: it failed and was answered, or its whole answer was given up.
test('the whole answer of a peer is used, and reported once, although odd bytes follow it in one segment', async () => {
	for (const addition of ['no-bytes-of-http', createAnswer()]) {
		events = [];
		handle = socket => {
			socket.write(createAnswer() + addition);
		};

		const [event, ...others] = await callPeer();
		assert.equal(event?.kind, eventKind.peerAnswered);
		assert.deepEqual(others, []);
	}
});

test('a call to a peer that sends odd bytes, part of an answer, or closes fails once', async () => {
	for (const text of ['no-bytes-of-http', createAnswer().slice(0, -3), 'HTTP/1.1 200 OK\r\n\r\nnot JSON', '']) {
		events = [];
		handle = socket => {
			socket.end(text);
		};

		const [event, ...others] = await callPeer();
		assert.equal(event?.kind, eventKind.peerFailed);
		assert.deepEqual(others, []);
	}
});

async function assertCallFails(answer: string): Promise<void> {
	events = [];
	handle = socket => {
		socket.write(answer);
	};

	const [event, ...others] = await callPeer();
	assert.equal(event?.kind, eventKind.peerFailed, answer);
	assert.deepEqual(others, []);
}

// Guards against messages that are taken from bytes that are no valid response of HTTP.
test('a call to a peer fails if the head of the answer is invalid', async () => {
	const answer = createAnswer();
	await assertCallFails(answer.replace('OK', 'O\u0001K'));
	for (const line of ['x odd: 3', ' x-odd: 3', '\rx-odd: 3', 'x\0odd: 3']) {
		await assertCallFails(answer.replace('\r\n', `\r\n${line}\r\n`));
		await assertCallFails(answer.replace('\r\n\r\n', `\r\n${line}\r\n\r\n`));
	}
});

// Guards against messages that are taken from a response that states a failure, or none of the statuses of HTTP.
test('a call to a peer fails if the answer states another status than 200', async () => {
	for (const status of ['000', '099', '500', '600']) {
		await assertCallFails(createAnswer().replace('200', status));
	}
});

test('a call to a peer that sends bytes without end fails, and its connection is closed', async () => {
	handle = socket => {
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n');
		const write = () => {
			while (!socket.destroyed && socket.write('x'.repeat(60_000))) {
				// Writes until the socket's buffer is full.
			}
		};

		socket.on('drain', write);
		write();
	};

	const [event, ...others] = await callPeer();
	assert.equal(event?.kind, eventKind.peerFailed);
	assert.deepEqual(others, []);
	const [socket] = sockets;
	while (!socket!.destroyed) {
		await delay(5);
	}
});

test('a call about streams goes to its own path, and its response or failure is reported with what was asked', async () => {
	const streamMessage = {from: {id: 'peer', incarnation: 'i'}, streams: [['1a-2b', 'v1'] as const], askedKeys: []};
	const call = {kind: effectKind.callStreamPeer, address: findAddress(), message: {...streamMessage, askedKeys: ['1a-2b']}};
	const body = JSON.stringify(streamMessage);
	for (const response of [`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`, 'HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n']) {
		handle = socket => {
			socket.end(response);
		};

		await createTransport().callStreamPeer(call);
	}

	assert.deepEqual(events.map(event => event.kind === eventKind.streamPeerAnswered && [event.askedKeys, event.message]), [[['1a-2b'], streamMessage], [['1a-2b'], undefined]]);
});

test('a message of a peer about streams is passed on, and its answer is sent back', async () => {
	const transport = createTransport();
	const host = '127.0.0.1';
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	await transport.listen({host, port}, {name: 'test', limits: testLimits}, lifecycle);
	const streamMessage = {from: {id: 'peer', incarnation: 'i'}, streams: [], askedKeys: ['1a-2b']};
	const call = transport.callStreamPeer({kind: effectKind.callStreamPeer, address: `${host}:${port}`, message: streamMessage});
	await delay(50);
	const [called] = events;
	assert.ok(called?.kind === eventKind.streamPeerCalled);
	assert.deepEqual(called.message, streamMessage);
	const answer = {from: {id: 'self', incarnation: 'i'}, streams: [['1a-2b', 'v2'] as const], askedKeys: []};
	transport.answer(called.callId, answer);
	await call;
	const answered = events.at(-1);
	assert.ok(answered?.kind === eventKind.streamPeerAnswered);
	assert.deepEqual(answered.message, answer);
});

test('a call about the load of a target has its own time limit, so that the request that waits for it is not held up by a silent peer', async () => {
	handle = () => {
		// The peer does not respond.
	};

	const startedAt = readMonotonicMs();
	await createTransport().callLoadPeer({
		kind: effectKind.callLoadPeer, address: findAddress(), message: {
			from: message.from, targetId: 'engine-1', bornAt: 1, loadLimit: 9,
		}, openId: 7, timeoutMs: 50,
	});
	const [event] = events;
	assert.ok(event?.kind === eventKind.loadPeerAnswered);
	assert.equal(event.openId, 7);
	assert.equal(event.message, undefined);
	assert.ok(event.fault);
	assert.ok(readMonotonicMs() - startedAt < 700, 'less than the time limit of other calls');
});

test('instances ask each other for the load of a target', async () => {
	const host = '127.0.0.1';
	const port = await findFreePort();
	const peer = createTransport();
	await peer.listen({host, port}, {name: 'peer', limits: testLimits}, lifecycle);
	const call = createTransport().callLoadPeer({
		kind: effectKind.callLoadPeer, address: `${host}:${port}`, message: {
			from: message.from, targetId: 'engine-1', bornAt: 1, loadLimit: 9,
		}, openId: 7, timeoutMs: 700,
	});
	await waitUntil('the peer is called', () => events.length > 0);
	const [called] = events;
	assert.ok(called?.kind === eventKind.loadPeerCalled);
	assert.equal(called.message.loadLimit, 9);
	peer.answer(called.callId, {
		from: message.from, targetId: 'engine-1', bornAt: 1, load: 4,
	});
	await call;
	const answered = events.find(({kind}) => kind === eventKind.loadPeerAnswered);
	assert.ok(answered?.kind === eventKind.loadPeerAnswered);
	assert.equal(answered.message?.load, 4);
});
