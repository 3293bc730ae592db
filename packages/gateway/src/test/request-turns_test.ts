/**
 * Tests that requests on a connection are read one after the other, whole and in order wherever their bytes are divided,
 * and what becomes of those that are sent too far ahead.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {LimitedServer, type ServerLimits} from '../lib/limited-server.js';
import {computeServerShares} from '../lib/server-shares.js';
import {testLimits, waitUntil} from './caller-server-fixture.js';

type Received = {readonly url: string; readonly body: string; readonly response: ServerResponse};

/** Connections that a test uses at a time, so that a busy machine serves them within the time limit of a condition. */
const connectionsAtOnce = 20;
/** A chunk of a body with one byte. */
const chunk = '1\r\nx\r\n';
/** Chunks that fill the buffer of the system for a connection. */
const chunkCount = 300_000;
const usualRequest = 'GET /usual HTTP/1.1\r\nHost: a\r\n\r\n';
/** Requests with all forms of bodies, which contain empty lines and what looks like requests. */
const requests = [
	usualRequest,
	'POST /length HTTP/1.1\r\nHost: a\r\nContent-Length: 38\r\n\r\nGET /no HTTP/1.1\r\n\r\n\n\nGET /no HTTP/1.\n',
	'POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na\r\n\r\nb\r\n4\r\n\n\n\r\n\r\n0\r\nTrailer: a\r\n\r\n',
	'\r\n\r\nGET /late HTTP/1.1\r\nHost: a\r\n\r\n',
	'POST /empty HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n',
	usualRequest,
];
const expected = ['/usual ', '/length GET /no HTTP/1.1\r\n\r\n\n\nGET /no HTTP/1.\n', '/chunks a\r\n\r\nb\n\n\r\n', '/late ', '/empty ', '/usual '];
const closers: Array<() => void> = [];
const received: Received[] = [];
const logged: string[] = [];

afterEach(() => {
	for (const close of closers.splice(0)) {
		close();
	}

	received.length = 0;
	logged.length = 0;
});

async function receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
	let body = '';
	request.on('data', chunk => {
		body += String(chunk);
	});
	await once(request, 'end');
	received.push({url: request.url!, body, response});
}

async function startServer(limits: Partial<ServerLimits>, handle = receive): Promise<{limited: LimitedServer; open: () => Promise<Socket>}> {
	const limited = new LimitedServer({
		name: 'test',
		server: {noDelay: true},
		limits: {...testLimits, ...limits},
		handle(request, response) {
			void handle(request, response);
		},
		log(event) {
			logged.push(event);
		},
	});
	limited.server.listen(0, '127.0.0.1');
	await once(limited.server, 'listening');
	closers.push(() => {
		limited.server.close();
		limited.server.closeAllConnections();
	});
	const {port} = limited.server.address() as AddressInfo;
	return {
		limited,
		async open() {
			const socket = connect({port, host: '127.0.0.1', noDelay: true});
			socket.on('error', () => {
				// The server may reset the connection.
			});
			closers.push(() => {
				socket.destroy();
			});
			await once(socket, 'connect');
			return socket;
		},
	};
}

/** Reads a connection; the result grows while responses arrive. */
function collectText(socket: Socket): {text: string; isEnded: boolean} {
	const collected = {text: '', isEnded: false};
	socket.on('data', chunk => {
		collected.text += String(chunk);
	});
	socket.on('end', () => {
		collected.isEnded = true;
	});
	return collected;
}

// Guards against requests that are divided wrongly, so that a part of a body is taken for a request.
test('pipelined requests are received whole and in order, wherever their bytes are divided', async () => {
	const {open} = await startServer({}, async (request, response) => {
		await receive(request, response);
		response.end(request.url);
	});
	const bytes = Buffer.from(requests.join(''));
	const sendDivided = async (cut: number) => {
		const socket = await open();
		const answers = collectText(socket);
		socket.write(bytes.subarray(0, cut));
		await delay(20);
		socket.write(bytes.subarray(cut));
		await waitUntil(`all are answered, divided at ${cut}`, () => answers.text.split('HTTP/1.1 200').length === requests.length + 1);
		socket.destroy();
	};

	for (let cut = 0; cut < bytes.length; cut += connectionsAtOnce) {
		await Promise.all(Array.from({length: Math.min(connectionsAtOnce, bytes.length - cut)}, async (_, index) => sendDivided(cut + index)));
	}

	const counts = new Map<string, number>();
	for (const {url, body} of received) {
		counts.set(`${url} ${body}`, (counts.get(`${url} ${body}`) ?? 0) + 1);
	}

	assert.deepEqual(counts, new Map([['/usual ', bytes.length * 2], ...expected.slice(1, -1).map(text => [text, bytes.length] as const)]));
});

// Guards against a different division of requests than that of the HTTP parser, which takes such an end in some releases of Node.js 20 and refuses it in others.
test('a head that ends with a line feed alone is received with the request behind it, or refused with all that follows', async () => {
	const {open} = await startServer({}, async (request, response) => {
		await receive(request, response);
		response.end();
	});
	const socket = await open();
	const answers = collectText(socket);
	socket.write(`GET /late HTTP/1.1\r\nHost: a\r\n\n${usualRequest}`);
	await waitUntil('all is answered or refused', () => answers.isEnded || answers.text.split('HTTP/1.1 200').length === 3);
	assert.deepEqual(received.map(({url}) => url), answers.isEnded ? [] : ['/late', '/usual']);
});

test('pipelined requests are received whole and in order if each byte arrives alone', async () => {
	const {open} = await startServer({}, async (request, response) => {
		await receive(request, response);
		response.end();
	});
	const socket = await open();
	for (const byte of Buffer.from(requests.join(''))) {
		socket.write(Buffer.of(byte));
		await delay(1);
	}

	await waitUntil('all arrive', () => received.length === requests.length);
	assert.deepEqual(received.map(({url, body}) => `${url} ${body}`), expected);
});

// Guards against one connection that takes the time of all others: tens of thousands of chunks are in the buffer of the system.
test('a request is received before the small chunks that another caller has sent before it', async () => {
	const {open} = await startServer({}, async (request, response) => {
		if (request.url === '/usual') {
			await receive(request, response);
			return;
		}

		request.on('data', (part: Uint8Array) => {
			bodyBytes += part.length;
		});
		request.on('error', () => {
			// The test ends before the body does.
		});
	});
	let bodyBytes = 0;
	const [greedy, usual] = [await open(), await open()];
	greedy.write(`POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(chunkCount)}0\r\n\r\n`);
	usual.write(usualRequest);
	await waitUntil('the other request arrives', () => received.some(({url}) => url === '/usual'));
	const blockBytes = 64 * 1024;
	assert.ok(bodyBytes <= blockBytes / chunk.length, `${bodyBytes} chunks`);
});

// Guards against bytes that are lost or stay behind when a connection is stopped in a body, and against one that never goes on.
test('bodies in small chunks arrive whole from many connections that send at the same time', async () => {
	const {open, limited} = await startServer({}, async (request, response) => {
		await receive(request, response);
		response.end();
	});
	const bodyLength = 20_000;
	const sockets = await Promise.all(Array.from({length: connectionsAtOnce}, async () => open()));
	const answers = sockets.map(socket => collectText(socket));
	for (const socket of sockets) {
		socket.write(`POST /chunks HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(bodyLength)}0\r\n\r\n${usualRequest}`);
	}

	await waitUntil('all are answered', () => answers.every(({text}) => text.split('HTTP/1.1 200').length === 3));
	const bodies = received.filter(({url}) => url === '/chunks').map(({body}) => body);
	assert.deepEqual(bodies, Array.from({length: connectionsAtOnce}, () => 'x'.repeat(bodyLength)));
	assert.equal(limited.readAheadBytes, 0);
	assert.deepEqual(logged, []);
});

// Guards against a connection whose bytes are read and ignored without end.
for (const lineEnd of ['\r\n', '\n']) {
	for (const before of ['', usualRequest]) {
		test(`empty lines (${JSON.stringify(lineEnd)}) beyond the limit for heads are refused with 431 behind ${before === '' ? 'nothing' : 'a request'}`, async () => {
			const {open} = await startServer({}, async (request, response) => {
				await receive(request, response);
				response.end();
			});
			const socket = await open();
			const answers = collectText(socket);
			socket.write(before + lineEnd.repeat(100_000));
			await waitUntil('it is refused', () => answers.isEnded);
			assert.match(answers.text, /HTTP\/1.1 431 .*\r\nConnection: close\r\n/);
			assert.equal(received.length, before === '' ? 0 : 1);
			assert.deepEqual(logged, ['unreadable-request']);
		});
	}
}

test('a request behind a few empty lines and one with a large head are received', async () => {
	const {open} = await startServer({}, async (request, response) => {
		await receive(request, response);
		response.end();
	});
	const socket = await open();
	const answers = collectText(socket);
	socket.write(`${'\r\n'.repeat(100)}${usualRequest}${'\r\n'.repeat(100)}GET /large HTTP/1.1\r\nHost: a\r\nX-Large: ${'x'.repeat(15_000)}\r\n\r\n`.repeat(20));
	await waitUntil('all are answered', () => answers.text.split('HTTP/1.1 200').length === 41);
	assert.deepEqual(logged, []);
});

// Guards against memory for requests that wait: the parser would create thousands of them from one block.
test('a request is not parsed before the response to the one before it has been sent', async () => {
	let count = 0;
	const {open} = await startServer({}, async (request, response) => {
		count++;
		await receive(request, response);
	});
	const socket = await open();
	const answers = collectText(socket);
	socket.write(usualRequest.repeat(1000));
	for (let index = 0; index < 5; index++) {
		await waitUntil('the next request arrives', () => received.length === index + 1);
		await delay(20);
		assert.equal(count, index + 1);
		received[index]!.response.end();
	}

	await waitUntil('five are answered', () => answers.text.split('HTTP/1.1 200').length === 6);
});

test('all pipelined requests of a caller that is not read for some time are answered', async () => {
	const {open, limited} = await startServer({bytesPerConnection: 1000}, async (_request, response) => {
		await delay(1);
		response.end();
	});
	const socket = await open();
	const answers = collectText(socket);
	socket.write(usualRequest.repeat(140));
	await delay(50);
	socket.write(usualRequest.repeat(60));
	await waitUntil('all are answered', () => answers.text.split('HTTP/1.1 200').length === 201);
	assert.equal(limited.readAheadBytes, 0);
	assert.deepEqual(logged, []);
});

// Guards against a block of up to 64 KB in the buffer of each socket that is held back, which no limit counts.
test('a connection that is held back holds no bytes but those that are counted', async () => {
	const {open, limited} = await startServer({bytesPerConnection: 1000});
	const sockets: Socket[] = [];
	limited.server.on('connection', socket => {
		sockets.push(socket);
	});
	const greedy = await open();
	greedy.write(usualRequest.repeat(40_000));
	await waitUntil('the connection is held back', () => limited.readAheadBytes >= 1000);
	for (let count = 2; count <= 6; count++) {
		const other = await open();
		other.write(usualRequest);
		await waitUntil('another request arrives meanwhile', () => received.length === count);
	}

	assert.equal(sockets[0]!.readableLength, 0);
	assert.equal(sockets[0]!.bytesRead, usualRequest.length + limited.readAheadBytes);
	const answers = collectText(greedy);
	received[0]!.response.end();
	await waitUntil('the connection goes on', () => answers.text.includes('HTTP/1.1 200') && received.length === 7);
});

// Guards against the end of a connection that is not read, and against memory beyond the limit: only as many bytes more are read as it may hold anyway.
test('a connection that has been held back for some time is read on to find its end, but not without limit', async () => {
	const bytesPerConnection = 64 * 1024;
	const {open, limited} = await startServer({bytesPerConnection});
	const sockets: Socket[] = [];
	limited.server.on('connection', socket => {
		sockets.push(socket);
	});
	const [leaving, greedy] = [await open(), await open()];
	leaving.write(usualRequest.repeat(3000));
	greedy.write(usualRequest.repeat(400_000));
	await waitUntil('both are held back', () => limited.readAheadBytes >= bytesPerConnection * 2);
	leaving.end();
	await once(leaving, 'finish');
	await delay(20);
	const now = performance.now();
	assert.ok(sockets.every(socket => !limited.tryReadOn(socket, now)), 'they have been held back for a short time');
	assert.ok(sockets.every(socket => limited.tryReadOn(socket, now + 200)));
	await once(sockets[0]!, 'close');
	await delay(20);
	assert.ok(limited.readAheadBytes < bytesPerConnection * 3, `${limited.readAheadBytes} bytes`);
	for (let index = 0; index < 100; index++) {
		assert.ok(limited.tryReadOn(sockets[1]!, now + 10_000));
		await delay(1);
	}

	assert.ok(limited.readAheadBytes < bytesPerConnection * 3, `${limited.readAheadBytes} bytes`);
	assert.equal(sockets[1]!.readableLength, 0);
});

// Guards against a request that is cut although it has been sent to a target, and against one that runs after its caller was told otherwise.
test('a connection that loses the requests that wait answers the one that is due, runs no other one, and closes', async () => {
	const {open, limited} = await startServer({bytes: 10_000});
	const greedy = await open();
	const modest = await open();
	const [greedyAnswers, modestAnswers] = [collectText(greedy), collectText(modest)];
	modest.write(usualRequest.repeat(3));
	await waitUntil('the first request of the modest caller arrives', () => received.length === 1);
	greedy.write(usualRequest.repeat(1000));
	await waitUntil('the requests that wait are dropped', () => logged.includes('read-ahead-dropped'));
	await waitUntil('the first request of the greedy caller arrives', () => received.length === 2);
	assert.equal(limited.readAheadBytes, usualRequest.length * 2);
	received[1]!.response.end();
	await waitUntil('the greedy connection ends', () => greedyAnswers.isEnded);
	assert.equal(greedyAnswers.text.split('HTTP/1.1 200').length, 2);
	for (let index = 0; index < 3; index++) {
		const next = received[index === 0 ? 0 : index + 1]!;
		next.response.end();
		await waitUntil('the modest caller is answered', () => modestAnswers.text.split('HTTP/1.1 200').length === index + 2);
		await waitUntil('its next request arrives', () => received.length === Math.min(4, index + 3));
	}
});

// Guards against a new caller that is turned away for connections that nobody uses.
test('beyond the limit, the connection closes that has been idle or unfinished for the longest time', async () => {
	const {open, limited} = await startServer({connections: 3});
	const busy = await open();
	busy.write(usualRequest);
	await waitUntil('the request arrives', () => received.length === 1);
	const unfinished = await open();
	unfinished.write('GET /');
	const idle = await open();
	await waitUntil('all are open', () => limited.connectionCount === 3);
	const newest = await open();
	await once(unfinished.resume(), 'close');
	const next = await open();
	await once(idle.resume(), 'close');
	assert.deepEqual([busy, newest, next].map(({destroyed}) => destroyed), [false, false, false]);
	assert.deepEqual(logged, ['connection-evicted', 'connection-evicted']);
	received[0]!.response.end();
	const [answer] = await once(busy, 'data') as [Uint8Array];
	assert.match(String(answer), /^HTTP\/1.1 200/);
});

test('if all connections have a request that runs, a new one closes', async () => {
	const {open} = await startServer({connections: 1});
	const busy = await open();
	busy.write(usualRequest);
	await waitUntil('the request arrives', () => received.length === 1);
	const newest = await open();
	await once(newest.resume(), 'close');
	assert.ok(!busy.destroyed);
});

test('a request without host is refused with 400, and one with an unknown expectation with 417', async () => {
	const {open} = await startServer({});
	for (const [lines, status] of [['', 400], ['Host: a\r\nExpect: more\r\n', 417]] as const) {
		const socket = await open();
		const answers = collectText(socket);
		socket.write(`GET / HTTP/1.1\r\n${lines}\r\n`);
		await waitUntil('it is answered', () => answers.text.startsWith(`HTTP/1.1 ${status}`));
	}

	assert.equal(received.length, 0);
});

test('the connections of all servers leave descriptors for files and for one connection to a target for each caller', () => {
	for (const maxDescriptors of [600, 2069, 4100, 65_536]) {
		const {callers, peers, status} = computeServerShares(maxDescriptors, 202 * 1024 * 1024);
		assert.ok(200 + (2 * callers.connections) + peers.connections + (2 * status.connections) <= maxDescriptors);
	}
});
