/**
 * Tests which responses are read at the same time, and which wait until others have released their memory.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PacedResponse, ResponsePacing} from '../lib/response-pacing.js';

const mebibyte = 1024 * 1024;
const limitBytes = 32 * mebibyte;
const noBytes = {heldBytes: 0, evictedBytes: 0};
const fullBytes = {heldBytes: limitBytes, evictedBytes: 0};

function createFixture() {
	const pacing = new ResponsePacing(limitBytes);
	const responses: PacedResponse[] = [];
	return {
		pacing,
		responses,
		add(count: number, declaredBytes: number | undefined, now: number, memoryUse = noBytes): void {
			for (let index = 0; index < count; index++) {
				const response = new PacedResponse(declaredBytes, now, () => undefined);
				responses.push(response);
				pacing.add(response, now, memoryUse);
			}
		},
		/** Lists the numbers of the responses that are read. */
		listRead: () => [...responses.keys()].filter(index => !responses[index]!.isPaused),
	};
}

// Guards against a wait where there is none to spare memory for.
test('responses whose rests fit are all read', () => {
	const {pacing, add} = createFixture();
	add(20, mebibyte, 1000);
	assert.equal(pacing.pausedCount, 0);
});

// Guards against more responses at once than the memory holds, which are then given up.
test('responses whose rests do not fit wait, and go on in their order', () => {
	const {pacing, responses, add, listRead} = createFixture();
	add(100, mebibyte, 1000);
	assert.deepEqual(listRead(), [...Array.from({length: 24}).keys()]);
	assert.equal(pacing.pausedCount, 76);
	pacing.remove(responses[3]!);
	pacing.remove(responses[99]!);
	assert.equal(pacing.pausedCount, 75);
	for (const response of responses.slice(0, 24)) {
		response.recordBytes(mebibyte / 2, 1010);
	}

	// Of 24 MB, 11.5 MB are held, and 4.7 MB by those that wait: 15 rests of 0.5 MB fit.
	pacing.update(1010, {heldBytes: 11.5 * mebibyte, evictedBytes: 0});
	assert.deepEqual(listRead(), [...Array.from({length: 24}).keys()].filter(index => index < 16 || index === 3));
});

// Guards against a standstill while callers that do not read hold all the memory.
test('the four oldest go on even if nothing fits', () => {
	const {pacing, responses, add, listRead} = createFixture();
	add(10, mebibyte, 1000, fullBytes);
	assert.deepEqual(listRead(), [0, 1, 2, 3]);
	pacing.remove(responses[1]!);
	pacing.update(1010, fullBytes);
	assert.deepEqual(listRead(), [0, 1, 2, 3, 4]);
});

// Guards against slow targets that hold up the responses of all others.
test('responses that stop or trickle do not count among the oldest, and are not paused', () => {
	const {pacing, responses, add, listRead} = createFixture();
	add(10, mebibyte, 1000, fullBytes);
	for (let now = 1010; now <= 1060; now += 10) {
		responses[0]!.recordBytes((now - 1000) * 100, now);
		responses[1]!.recordBytes((now - 1000) * 2000, now);
		pacing.update(now, fullBytes);
	}

	assert.deepEqual(listRead(), [0, 1, 2, 3, 4, 5, 6]);
	// Once they send again, they count, and the newer ones wait.
	for (const response of responses.slice(0, 4)) {
		response.recordBytes(mebibyte / 2, 1070);
	}

	pacing.update(1070, fullBytes);
	assert.deepEqual(listRead(), [0, 1, 2, 3]);
});

// Guards against reading on and on while what was given up waits for garbage collection.
test('bytes that were given up count as used for a while, and nothing waits for them for long', () => {
	const {pacing, add, listRead} = createFixture();
	add(10, mebibyte, 1000, {heldBytes: 0, evictedBytes: limitBytes});
	assert.deepEqual(listRead(), []);
	pacing.update(1040, {heldBytes: 0, evictedBytes: limitBytes});
	assert.deepEqual(listRead(), []);
	pacing.update(1080, {heldBytes: 0, evictedBytes: limitBytes});
	assert.deepEqual(listRead(), [0, 1, 2, 3]);
	pacing.update(1250, {heldBytes: 0, evictedBytes: limitBytes});
	assert.equal(pacing.pausedCount, 0);
});

test('a response without a declared length is expected to double', () => {
	const {pacing, responses, add, listRead} = createFixture();
	add(6, undefined, 1000);
	for (const response of responses) {
		response.recordBytes(4 * mebibyte, 1010);
	}

	pacing.update(1010, {heldBytes: 12 * mebibyte, evictedBytes: 0});
	assert.deepEqual(listRead(), [0, 1, 2, 3]);
});

test('a response that is larger than the memory that is left is read once it is among the oldest', () => {
	const {pacing, responses, add, listRead} = createFixture();
	add(4, mebibyte, 1000, fullBytes);
	add(1, 16 * mebibyte, 1000, fullBytes);
	assert.deepEqual(listRead(), [0, 1, 2, 3]);
	pacing.remove(responses[0]!);
	pacing.update(1010, fullBytes);
	assert.equal(responses[4]!.isPaused, false);
});
