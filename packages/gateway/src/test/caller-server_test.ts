/**
 * Tests how requests are received: what their bodies take of the memory, and that callers receive a rejection
 * that is sent before their body has been read.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	request as startRequest, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage,
} from 'node:http';
import {connect} from 'node:net';
import {after, beforeEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {
	createFailure, eventKind, failureReason, type Event, type Failure, type RequestHead,
} from '@sequoiatally/dispatch';
import {BufferBudget, createLogger, LifecycleManager} from '@sequoiatally/runtime';
import {err, ok, type Result} from 'neverthrow';
import {CallerServer} from '../lib/caller-server.js';
import {
	findFreePort, PlainProtocol, waitUntil, testLimits,
} from './caller-server-fixture.js';

const memoryBytes = 200 * 1024 * 1024;
/** Large bodies of which four take more than the memory for bodies. */
const largeBytes = 7 * 1024 * 1024;

const lifecycle = new LifecycleManager(createLogger('test', 'error'));
const port = await findFreePort();
const bufferBudget = new BufferBudget(memoryBytes);
/** Time limit of the route `/short`, in milliseconds. */
const shortLimitMs = 200;
const events: Event[] = [];
const server = new CallerServer({
	protocol: new PlainProtocol(),
	bufferBudget,
	limits: testLimits,
	checkHead({path}) {
		return path === '/keyed' ? err(createFailure(failureReason.keyUnknown)) : ok(path === '/short' ? shortLimitMs : 60_000);
	},
	emit(event) {
		events.push(event);
	}, random: () => 0.5, log() {
		// Not checked here.
	},
});
await server.listen({host: '127.0.0.1', port}, lifecycle);
server.applyLimits({headBytes: 16_384, bodyBytes: 8 * 1024 * 1024, idleTimeoutMs: 15_000});

after(async () => lifecycle.closeAll());

beforeEach(() => {
	events.length = 0;
	assert.equal(bufferBudget.bodyBytes, 0);
});

function startPost(headers: IncomingHttpHeaders = {}, path = '/x'): ClientRequest {
	const request = startRequest({
		host: '127.0.0.1', port, path, method: 'POST', agent: false, headers,
	});
	request.on('error', () => {
		// The connection may be closed on purpose.
	});
	return request;
}

/** Starts requests of which the memory for bodies holds no further one. */
async function fillMemory(): Promise<ClientRequest[]> {
	const requests: ClientRequest[] = [];
	while (bufferBudget.bodyBytes + largeBytes <= bufferBudget.bodyBytesLimit * 0.87) {
		const heldBytes = bufferBudget.bodyBytes;
		const request = startPost({'content-length': String(largeBytes)});
		request.flushHeaders();
		requests.push(request);
		await waitUntil('the declared length is reserved', () => bufferBudget.bodyBytes === heldBytes + largeBytes);
	}

	return requests;
}

async function closeAll(requests: readonly ClientRequest[]): Promise<void> {
	for (const request of requests) {
		request.destroy();
	}

	await waitUntil('the memory is released', () => bufferBudget.bodyBytes === 0);
}

async function receive(request: ClientRequest): Promise<IncomingMessage> {
	const [response] = await once(request, 'response') as [IncomingMessage];
	response.resume();
	return response;
}

test('callers that leave before their body is complete hold no memory', async () => {
	const requests = await fillMemory();
	assert.ok(requests.length > 0);
	requests[0]!.write(Buffer.alloc(100_000));
	await closeAll(requests);
	assert.deepEqual(events, []);
});

// Guards against LOST: a body with a declared length that does not fit is read, and drives the process over its memory.
test('a request whose declared length does not fit is rejected as not run before its body is sent, and small ones go on', async () => {
	const held = await fillMemory();
	const request = startPost({'content-length': String(largeBytes)});
	request.flushHeaders();
	const {statusCode, headers} = await receive(request);
	assert.equal(statusCode, 503);
	assert.equal(headers['retry-after'], '0.5');
	request.destroy();
	const small = startPost();
	small.end('small');
	await waitUntil('the small request arrives', () => events.some(({kind}) => kind === eventKind.requestArrived));
	assert.equal(events.length, 1);
	await closeAll([...held, small]);
});

test('a request without a declared length is rejected as soon as the memory is full', async () => {
	const held = await fillMemory();
	const request = startPost({'transfer-encoding': 'chunked'});
	const received = receive(request);
	request.end(Buffer.alloc(largeBytes));
	const {statusCode, headers} = await received;
	assert.equal(statusCode, 503);
	assert.equal(headers['retry-after'], '0.5');
	await closeAll(held);
	assert.deepEqual(events, []);
});

// Guards against bodies that are rejected after their declared length was reserved, because of how they are cut into parts.
test('a body whose declared length takes the rest of the memory is received, in whatever parts it arrives', async () => {
	const held = await fillMemory();
	const heldBytes = bufferBudget.bodyBytes;
	const restBytes = (bufferBudget.bodyBytesLimit * 0.875) - heldBytes;
	const request = startPost({'content-length': String(restBytes)});
	request.setNoDelay(true);
	request.flushHeaders();
	await waitUntil('the declared length is reserved', () => bufferBudget.bodyBytes === heldBytes + restBytes);
	let isRejected = false;
	request.on('response', () => {
		isRejected = true;
	});
	let sentBytes = 0;
	for (const size of [1, 20_000, 1, 20_000, 1, 20_000, 1]) {
		request.write(Buffer.alloc(size));
		sentBytes += size;
		await delay(10);
	}

	request.write(Buffer.alloc(restBytes - sentBytes - 1));
	await delay(10);
	request.end('x');
	await waitUntil('the request is decided', () => isRejected || events.length > 0);
	assert.deepEqual(events.map(({kind}) => kind), [eventKind.requestArrived]);
	assert.equal(bufferBudget.bodyBytes, heldBytes + restBytes);
	await closeAll([...held, request]);
});

// Guards against a rejection that is lost: closing a connection with unread bytes resets it, and the caller may drop what it has received.
test('a caller that sends its whole body before it reads receives the rejection', async () => {
	const held = await fillMemory();
	for (let index = 0; index < 5; index++) {
		const socket = connect(port, '127.0.0.1');
		socket.pause();
		socket.write(`POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${largeBytes}\r\n\r\n`);
		await delay(50);
		const isWritten = new Promise<Error | undefined>(resolve => {
			socket.on('error', resolve);
			socket.write(Buffer.alloc(largeBytes), error => {
				resolve(error ?? undefined);
			});
		});
		assert.equal(await isWritten, undefined, 'the connection stays open until the body is sent');
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
		});
		socket.resume();
		await once(socket, 'close');
		assert.match(text, /^HTTP\/1.1 503 /);
	}

	await closeAll(held);
	assert.deepEqual(events, []);
});

test('the connection of a caller that goes on sending after a rejection is closed', async () => {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => {
		// The connection is reset.
	});
	socket.write('POST /x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n');
	const chunk = `10000\r\n${'x'.repeat(65_536)}\r\n`;
	const write = () => {
		while (!socket.destroyed && socket.write(chunk)) {
			// Writes until the socket's buffer is full.
		}
	};

	socket.on('drain', write);
	write();
	let text = '';
	socket.on('data', part => {
		text += String(part);
	});
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	assert.match(text, /^HTTP\/1.1 413 /);
	assert.ok(socket.bytesWritten < 64 * 1024 * 1024, `${socket.bytesWritten} bytes`);
	assert.deepEqual(events, []);
});

// Guards against callers without a key that fill the memory with bodies, and so get the requests of others refused.
test('a request that its head alone decides is rejected before its body is sent, and reserves nothing', async () => {
	const request = startPost({'content-length': String(largeBytes)}, '/keyed');
	request.flushHeaders();
	const [response] = await once(request, 'response') as [IncomingMessage];
	let text = '';
	for await (const chunk of response) {
		text += String(chunk);
	}

	assert.equal(response.statusCode, 401);
	assert.deepEqual(JSON.parse(text), {error: {reason: failureReason.keyUnknown, requestId: '/keyed'}});
	assert.equal(bufferBudget.bodyBytes, 0);
	request.destroy();
	assert.deepEqual(events, []);
});

// Guards against callers that send their bodies slowly, and so get the requests of others refused.
test('a body that trickles in keeps its memory from others no longer than the time limit of its route', async () => {
	const late = startPost({'content-length': String(largeBytes)}, '/short');
	late.flushHeaders();
	await waitUntil('the declared length is reserved', () => bufferBudget.bodyBytes === largeBytes);
	const received = receive(late);
	const interval = setInterval(() => {
		late.write('x');
	}, 20);
	const held = await fillMemory();
	const early = startPost({'content-length': String(largeBytes)});
	early.flushHeaders();
	const earlyResponse = await receive(early);
	assert.equal(earlyResponse.statusCode, 503);
	early.destroy();
	await delay(shortLimitMs);
	const next = startPost({'content-length': String(largeBytes)});
	next.end(Buffer.alloc(largeBytes));
	const {statusCode} = await received;
	assert.equal(statusCode, 408);
	clearInterval(interval);
	await waitUntil('the next request arrives', () => events.length === 1);
	late.destroy();
	await closeAll([...held, next]);
});

test('a late body is received to its end while nobody needs its memory, and then gives way no more', async () => {
	const late = startPost({'content-length': String(largeBytes)}, '/short');
	late.flushHeaders();
	await delay(shortLimitMs * 2);
	late.end(Buffer.alloc(largeBytes));
	await waitUntil('the request arrives', () => events.length === 1);
	const held = await fillMemory();
	const next = startPost({'content-length': String(largeBytes)});
	next.flushHeaders();
	const {statusCode} = await receive(next);
	assert.equal(statusCode, 503);
	assert.equal(bufferBudget.bodyBytes, (held.length + 1) * largeBytes);
	next.destroy();
	await closeAll([...held, late]);
});

test('a body that arrives within the time limit of its route starts its request, however long that takes then', async () => {
	const request = startPost({}, '/short');
	request.end('small');
	await delay(shortLimitMs * 2);
	assert.deepEqual(events.map(({kind}) => kind), [eventKind.requestArrived]);
	request.destroy();
	await waitUntil('the memory is released', () => bufferBudget.bodyBytes === 0);
});

// Guards against a change of what counts as disconnected: a caller that closes its connection for sending gets no response.
test('a caller that sends a FIN behind its request counts as disconnected', async () => {
	const socket = connect({port, host: '127.0.0.1', allowHalfOpen: true});
	await once(socket, 'connect');
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.end('GET /x HTTP/1.1\r\nHost: a.example\r\n\r\n');
	await once(socket, 'end');
	await waitUntil('nothing is open', () => server.openExchanges.size === 0);
	assert.deepEqual(events.map(({kind}) => kind), [eventKind.requestArrived, eventKind.callerLeft]);
	assert.equal(text, '');
});
