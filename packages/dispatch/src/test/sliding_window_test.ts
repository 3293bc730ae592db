/**
 * Tests the counts of a sliding window, and that it does not grow.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SlidingWindow} from '../lib/sliding-window.js';

test('a window that is never counted keeps only recent events (sends to targets without a limit)', () => {
	const window = new SlidingWindow(1000);
	for (let now = 0; now < 100_000; now++) {
		window.record(now);
	}

	assert.ok(window.storedCount < 5000, `${window.storedCount} events are kept`);
	assert.equal(window.count(100_000), 999);
});

test('the time from which a window has room follows from the oldest events that must expire', () => {
	const window = new SlidingWindow(1000);
	for (const at of [100, 200, 300]) {
		window.record(at);
	}

	assert.equal(window.findFreeAt(4, 400), 400);
	assert.equal(window.findFreeAt(3, 400), 1100);
	assert.equal(window.findFreeAt(1, 400), 1300);
	assert.equal(window.count(1300), 0);
});
