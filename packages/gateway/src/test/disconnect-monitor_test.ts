/**
 * Tests when a request has to wait until the ends of callers' connections have been read, with a clock of the test.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as waitForCheck} from 'node:timers/promises';
import {DisconnectMonitor} from '../lib/disconnect-monitor.js';

const sampleIntervalMs = 25;

class Fixture {
	now = 1000;
	readonly monitor = new DisconnectMonitor(() => this.now);

	/** Samples polls for some time; `acceptedPerPoll` connections are accepted in each of them. */
	async samplePolls(durationMs: number, acceptedPerPoll = 0): Promise<void> {
		for (const end = this.now + durationMs; this.now < end; this.now += sampleIntervalMs) {
			this.monitor.samplePoll(this.now);
			for (let count = 0; count < acceptedPerPoll; count++) {
				this.monitor.recordAccepted();
			}

			await waitForCheck();
		}
	}
}

// Guards against added delay while the event loop keeps up, and against a send by what was known before a pause.
test('nothing waits while polls are sampled, also with iterations of nearly 50 ms, and all does after a pause until two polls have passed', async () => {
	const fixture = new Fixture();
	const {monitor} = fixture;
	assert.ok(monitor.isBehind(fixture.now), 'before the first polls');
	await fixture.samplePolls(100);
	assert.ok(!monitor.isBehind(fixture.now));
	// The largest time from a sample to the end of the second one after it.
	fixture.now += 150;
	assert.ok(!monitor.isBehind(fixture.now));
	fixture.now += 1000;
	assert.ok(monitor.isBehind(fixture.now));
	monitor.samplePoll(fixture.now);
	await waitForCheck();
	assert.ok(monitor.isBehind(fixture.now), 'an end behind a request has not been read');
	await waitForCheck();
	assert.ok(!monitor.isBehind(fixture.now));
});

// Guards against requests on connections that were established long ago and are accepted one per poll.
test('what is sent waits as long as each poll accepts a connection', async () => {
	const fixture = new Fixture();
	await fixture.samplePolls(100, 3);
	assert.ok(fixture.monitor.isBehind(fixture.now));
	await fixture.samplePolls(100);
	assert.ok(!fixture.monitor.isBehind(fixture.now));
	await fixture.samplePolls(250, 1);
	assert.ok(!fixture.monitor.isBehind(fixture.now), 'connections may arrive often');
	await fixture.samplePolls(100, 1);
	assert.ok(fixture.monitor.isBehind(fixture.now));
});

test('what waits for polls runs after two of them, and waits for more if the second one took too long', async () => {
	const fixture = new Fixture();
	const {monitor} = fixture;
	const runs: string[] = [];
	const add = (name: string) => {
		monitor.waitForPolls(() => {
			runs.push(name);
		});
	};

	add('a');
	add('b');
	await waitForCheck();
	assert.deepEqual(runs, []);
	await waitForCheck();
	assert.deepEqual(runs, ['a', 'b']);
	add('c');
	await waitForCheck();
	add('d');
	fixture.now += 301;
	await waitForCheck();
	assert.deepEqual(runs, ['a', 'b']);
	await waitForCheck();
	await waitForCheck();
	assert.deepEqual(new Set(runs.slice(2)), new Set(['c', 'd']));
});

// Guards against a process that serves nothing because all of its iterations last too long.
test('what waits for polls runs in the end, also if all polls take too long', async () => {
	const fixture = new Fixture();
	let isRun = false;
	fixture.monitor.waitForPolls(() => {
		isRun = true;
	});
	for (let count = 0; count < 4; count++) {
		fixture.now += 400;
		await waitForCheck();
	}

	assert.ok(isRun);
});
