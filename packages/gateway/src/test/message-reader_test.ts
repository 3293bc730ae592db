/**
 * Tests that messages that never end give way to others.
 */
import assert from 'node:assert/strict';
import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {MessageReader, PeerMessageError} from '../lib/message-reader.js';

const limits = {bytesPerMessage: 8000, bytes: 10_000};

/** Starts to read a message of which `bytes` have arrived. */
function startMessage(reader: MessageReader, bytes: number): {message: PassThrough; body: Promise<Uint8Array>} {
	const message = new PassThrough();
	const body = reader.read(message as unknown as IncomingMessage);
	message.write('x'.repeat(bytes));
	return {message, body};
}

// Guards against memory without a bound, and against the message of a real peer that is refused for the unfinished ones of others.
test('beyond the limit for all messages, those that were begun first are given up, and the newest is read', async () => {
	const givenUp: number[] = [];
	const reader = new MessageReader(limits, bytes => {
		givenUp.push(bytes);
	});
	const oldest = startMessage(reader, 6000);
	const failure = assert.rejects(oldest.body, PeerMessageError);
	await delay(0);
	const kept = startMessage(reader, 3000);
	await delay(0);
	const newest = startMessage(reader, 2000);
	await failure;
	newest.message.end();
	kept.message.end('x'.repeat(4000));
	const [newestBody, keptBody] = await Promise.all([newest.body, kept.body]);
	assert.deepEqual([newestBody.length, keptBody.length], [2000, 7000]);
	assert.deepEqual(givenUp, [6000]);
	// What was given up or read no longer counts.
	const next = startMessage(reader, 8000);
	next.message.end();
	const nextBody = await next.body;
	assert.equal(nextBody.length, 8000);
	assert.deepEqual(givenUp, [6000]);
});

test('a message over the limit for one is refused', async () => {
	const reader = new MessageReader(limits, () => {
		assert.fail('no message gives way');
	});
	await assert.rejects(startMessage(reader, 8001).body, PeerMessageError);
});
