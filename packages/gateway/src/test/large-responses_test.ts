/**
 * Tests that many large responses at the same time are read as the memory of all responses permits. The fixture's
 * responses may use 37.5 MB together.
 */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {eventKind, sendOutcome} from '@sequoiatally/dispatch';
import {
	createChunkedHead, createResponse, ExchangeFixture, writeChunk,
} from './exchange-fixture.js';

const mebibyte = 1024 * 1024;
const fixture = new ExchangeFixture();

afterEach(async () => {
	await fixture.close();
});

function createHead(requestId: string, bytes: number): string {
	return `HTTP/1.1 200 OK\r\nid: ${requestId}\r\ncontent-length: ${bytes}\r\n\r\n`;
}

/** Waits until `count` sends have ended; returns their outcomes by send. */
async function waitForEnds(count: number): Promise<Map<number, string>> {
	for (;;) {
		const outcomes = new Map(fixture.events.flatMap(event => event.kind === eventKind.sendEnded ? [[event.sendId, `${event.outcome}: ${event.detail}`]] : []));
		if (outcomes.size >= count) {
			return outcomes;
		}

		await fixture.waitForEvent();
	}
}

// Guards against responses that are given up although they would fit one after another, and whose bytes then wait for garbage collection.
test('responses that exceed the memory only if all are read at once are all delivered', async () => {
	const count = 100;
	const waiting: Socket[] = [];
	await fixture.startTarget((socket, requestId) => {
		socket.write(createHead(requestId, mebibyte) + 'x'.repeat(mebibyte * 0.75));
		waiting.push(socket);
		if (waiting.length === count) {
			for (const other of waiting) {
				other.write('x'.repeat(mebibyte * 0.25));
			}
		}
	});
	const callers = Array.from({length: count}, () => fixture.startSend());
	const outcomes = await waitForEnds(count);
	assert.deepEqual([...new Set(outcomes.values())], [`${sendOutcome.complete}: status 200`]);
	assert.ok(callers.every(({received}) => received.length === mebibyte));
});

// Guards against waiting for the oldest responses if their targets do not send the rest.
test('large and small responses are delivered beside those of twelve targets that stop in the middle', async () => {
	const slowCount = 12;
	const count = 60;
	await fixture.startTarget((socket, requestId) => {
		if (Number(requestId) <= slowCount) {
			socket.write(createHead(requestId, 8 * mebibyte) + 'x'.repeat(100_000));
		} else {
			socket.write(createResponse(requestId, 'x'.repeat(Number(requestId) % 2 === 0 ? mebibyte : 100)));
		}
	});
	fixture.nextOpenId = 1;
	for (let index = 0; index < slowCount; index++) {
		fixture.startSend();
	}

	await delay(50);
	for (let index = 0; index < count; index++) {
		fixture.startSend();
	}

	const outcomes = await waitForEnds(count);
	assert.deepEqual([...new Set(outcomes.values())], [`${sendOutcome.complete}: status 200`]);
});

/** Starts a target and fills the memory: 28 of 37.5 MB are held, and four responses are being read; the following requests are answered by `respond`. */
async function startBusyTarget(respond: (socket: Socket, requestId: string) => Promise<void>): Promise<void> {
	const heldBytes = 14 * mebibyte;
	const partBytes = 100_000;
	const partCount = 22;
	await fixture.startTarget(async (socket, requestId) => {
		if (Number(requestId) <= 2) {
			socket.write(createResponse(requestId, 'x'.repeat(heldBytes)));
		} else if (Number(requestId) <= 6) {
			socket.write(createHead(requestId, partBytes * partCount));
			for (let index = 0; index < partCount; index++) {
				socket.write('x'.repeat(partBytes));
				await delay(20);
			}
		} else {
			await respond(socket, requestId);
		}
	});
	fixture.nextOpenId = 1;
	for (let index = 0; index < 2; index++) {
		fixture.startSend().holdsBuffer = true;
		await fixture.assertOutcome(sendOutcome.complete);
	}

	for (let index = 0; index < 4; index++) {
		fixture.startSend();
	}

	await delay(40);
}

// Guards against another send of a request whose response waits here and not at its target.
test('a large response that waits for memory is not reported as silent', async () => {
	await startBusyTarget(async (socket, requestId) => {
		socket.write(createResponse(requestId, 'x'.repeat(mebibyte)));
	});
	fixture.startSend({responseStartTimeoutMs: 150});
	const outcomes = await waitForEnds(5);
	assert.deepEqual([...new Set(outcomes.values())], [`${sendOutcome.complete}: status 200`]);
	assert.deepEqual(fixture.events.filter(({kind}) => kind === eventKind.answerSilent), []);
});

// Guards against small responses that wait for large ones, in particular those in small parts, whose blocks take more than their bytes.
test('small responses do not wait where large ones do', async () => {
	await startBusyTarget(async (socket, requestId) => {
		if (requestId === '7') {
			socket.write(createResponse(requestId, 'x'.repeat(mebibyte)));
		} else {
			socket.write(requestId === '8' ? createChunkedHead(requestId) : createHead(requestId, 4000));
			for (let index = 0; index < 4; index++) {
				if (requestId === '8') {
					writeChunk(socket, 'x'.repeat(1000));
				} else {
					socket.write('x'.repeat(1000));
				}

				await delay(5);
			}

			socket.write(requestId === '8' ? '0\r\n\r\n' : '');
		}
	});
	const large = fixture.startSend();
	const small = [fixture.startSend(), fixture.startSend()];
	const outcomes = await waitForEnds(2);
	assert.deepEqual(new Set(outcomes.keys()), new Set([8, 9]), 'the small ones end first');
	assert.deepEqual(small.map(({received}) => received.length), [4000, 4000]);
	assert.equal(large.received, '');
	await waitForEnds(7);
	assert.equal(large.received.length, mebibyte);
});
