/**
 * Tests that the events of one response reach the caller in the order of their identifiers, whatever a target sends.
 */
import assert from 'node:assert/strict';
import type {Socket} from 'node:net';
import {afterEach, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {sendOutcome} from '@sequoiatally/dispatch';
import {createChunkedHead, ExchangeFixture, writeChunk} from './exchange-fixture.js';

const fixture = new ExchangeFixture();
/** Time between two segments, in milliseconds: long enough that they are read one by one. */
const segmentGapMs = 40;

afterEach(async () => {
	await fixture.close();
});

function createEvents(...eventIds: readonly number[]): string {
	return eventIds.map(eventId => `id: ${eventId}\ndata: piece ${eventId}\n\n`).join('');
}

const secondHead = 'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n';

const forms = {
	chunks: {createHead: createChunkedHead, write: writeChunk, last: '0\r\n\r\n'},
	'connection end': {
		createHead: (requestId: string) => `HTTP/1.1 200 OK\r\nid: ${requestId}\r\nconnection: close\r\n\r\n`,
		write: (socket: Socket, text: string) => socket.write(text),
		last: '',
	},
};

for (const [form, {createHead, write, last}] of Object.entries(forms)) {
	const startTarget = async (...segments: readonly string[]) => fixture.startTarget(async (socket, requestId) => {
		socket.write(createHead(requestId));
		for (const segment of segments) {
			write(socket, segment);
			await delay(segmentGapMs);
		}

		socket.end(last);
	});

	// Guards against ORDER: a target sends its events once more, and its stream goes back to the first one (issue 52).
	test(`a stream whose target sends its events twice is interrupted (${form})`, async () => {
		await startTarget(createEvents(1, 2), createEvents(1, 2));
		const caller = fixture.startSend({isStream: true});
		await fixture.assertOutcome(sendOutcome.interrupted);
		assert.equal(caller.received, createEvents(1, 2));
		assert.equal(caller.lastEventId, '2');
	});

	// Guards against ORDER: the head of a second response ends with an empty line, as an event does.
	test(`the head of a second response is not passed on as an event (${form})`, async () => {
		for (const [segments, received] of [
			[[createEvents(1, 2), secondHead], createEvents(1, 2)],
			[[createEvents(1, 2), createEvents(3) + secondHead], createEvents(1, 2, 3)],
		] as const) {
			await startTarget(...segments);
			const caller = fixture.startSend({isStream: true});
			await fixture.assertOutcome(sendOutcome.interrupted);
			assert.equal(caller.received, received);
			await fixture.close();
		}
	});

	// Guards against ORDER, and against the loss of events that had arrived: as above, if one segment holds both.
	test(`events that go back within a segment are not passed on, and those before them are (${form})`, async () => {
		await startTarget(createEvents(1, 2), createEvents(3, 2, 3));
		const caller = fixture.startSend({isStream: true});
		await fixture.assertOutcome(sendOutcome.interrupted);
		assert.equal(caller.received, createEvents(1, 2, 3));
		assert.equal(caller.lastEventId, '3');
	});

	// Guards against ORDER: nothing of a first segment that begins with the head of another response is passed on.
	test(`a stream that begins with the head of another response is lost (${form})`, async () => {
		await startTarget(secondHead + createEvents(1, 2));
		const caller = fixture.startSend({isStream: true});
		await fixture.assertOutcome(sendOutcome.lost);
		assert.equal(caller.received, '');
	});

	// Guards against ORDER: a resumed stream goes on with the next event, and then repeats it.
	test(`a resumed stream that repeats an event is interrupted (${form})`, async () => {
		await startTarget(createEvents(2), createEvents(2, 3));
		const caller = fixture.resumeStream();
		await fixture.assertOutcome(sendOutcome.interrupted);
		assert.equal(caller.received.endsWith(createEvents(2)), true);
		assert.equal(caller.lastEventId, '2');
	});

	// Guards against ORDER: a target goes on elsewhere in a stream that a caller takes up (issue 52).
	test(`a stream that is taken up goes on at the next event, or counts as lost (${form})`, async () => {
		for (const [first, isNext] of [[1, false], [2, false], [3, true], [4, false]] as const) {
			await startTarget(createEvents(first, first + 1));
			const caller = fixture.startSend({isStream: true, takesUpAfterEventId: '2'});
			const {outcome} = await fixture.waitForEnd();
			assert.equal(outcome === sendOutcome.lost, !isNext, String(first));
			assert.equal(caller.received.startsWith(createEvents(3, 4)), isNext, caller.received);
			assert.equal(caller.received === '', !isNext);
			await fixture.close();
		}
	});

	// Guards against LOST: identifiers increase, but need not be consecutive.
	test(`a stream whose identifiers increase in steps is passed on (${form})`, async () => {
		await startTarget(createEvents(1, 3), createEvents(10, 11));
		const caller = fixture.startSend({isStream: true});
		await fixture.assertOutcome(form === 'chunks' ? sendOutcome.complete : sendOutcome.endUnproved);
		assert.ok(caller.received.startsWith(createEvents(1, 3, 10, 11)), caller.received);
	});
}
