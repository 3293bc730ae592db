/**
 * The timeline writer: bounded memory, and files that cannot be written.
 */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {constants} from 'node:fs';
import {
	mkdtemp, open, readFile, rm,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {readMonotonicMs, TimelineWriter} from '../index.js';

const origin = {process: 'test', instanceId: 'test-1', incarnation: 'i1'};
/** Longest time to wait for a failure to be reported. */
const failureTimeoutMs = 10_000;
const longDetail = 'x'.repeat(10_000);

async function withDirectory(run: (directory: string) => Promise<void>): Promise<void> {
	const directory = await mkdtemp(path.join(tmpdir(), 'time-line-'));
	try {
		await run(directory);
	} finally {
		await rm(directory, {recursive: true, force: true});
	}
}

test('the most recent entries are kept in memory, oldest first', () => {
	const writer = new TimelineWriter(origin);
	for (let index = 0; index < 6000; index++) {
		writer.write({kind: 'k', cause: String(index)});
	}

	const kept = writer.listRecent().map(({cause}) => Number(cause));
	assert.deepEqual([kept.length, kept[0], kept.at(-1)], [5000, 1000, 5999]);
});

test('all written entries are in the file after the close', async () => withDirectory(async directory => {
	const file = path.join(directory, 'a.jsonl');
	const writer = new TimelineWriter(origin, file);
	writer.write({kind: 'k', cause: 'c1'});
	writer.write({kind: 'k', cause: 'c2'}, 1000);
	await writer.close();
	const text = await readFile(file, 'utf8');
	const [first, second] = text.trim().split('\n').map(line => JSON.parse(line) as {monotonicMs: number});
	assert.ok(first!.monotonicMs - second!.monotonicMs > 900, 'the second entry carries its earlier time');
}));

test('a file that cannot be written is reported once, and entries are kept in memory', async () => {
	const failures: string[] = [];
	const writer = new TimelineWriter(origin, '/nonexistent/directory/a.jsonl', detail => {
		failures.push(detail);
	});
	writer.write({kind: 'k', cause: 'c1'});
	const startedAt = readMonotonicMs();
	while (failures.length === 0 && readMonotonicMs() - startedAt < failureTimeoutMs) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	writer.write({kind: 'k', cause: 'c2'});
	await writer.close();
	assert.deepEqual([failures.length, writer.listRecent().length], [1, 2]);
});

test('a pipe without a reader is reported and does not delay the close', async () => withDirectory(async directory => {
	const pipe = path.join(directory, 'pipe');
	assert.equal(spawnSync('mkfifo', [pipe]).status, 0);
	const failures: string[] = [];
	const writer = new TimelineWriter(origin, pipe, detail => {
		failures.push(detail);
	});
	writer.write({kind: 'k', cause: 'c1'});
	await writer.close();
	assert.equal(failures.length, 1);
}));

test('a pipe with a stalled reader uses a bounded amount of memory', async () => withDirectory(async directory => {
	const pipe = path.join(directory, 'pipe');
	assert.equal(spawnSync('mkfifo', [pipe]).status, 0);
	// The reading end is open but never read.
	const reader = await open(pipe, constants.O_RDONLY | constants.O_NONBLOCK); // eslint-disable-line no-bitwise
	const writer = new TimelineWriter(origin, pipe);
	for (let index = 0; index < 2000; index++) {
		writer.write({kind: 'k', cause: String(index), detail: longDetail});
	}

	assert.ok(writer.droppedCount > 1000, `${writer.droppedCount} lines were dropped`);
	await writer.close();
	await reader.close();
}));
