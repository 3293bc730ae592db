/**
 * The bounded log: the lines of one event per second are limited, and dropped
 * lines are reported.
 */
import assert from 'node:assert/strict';
import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test} from 'node:test';

const program = `
	import {BoundedLog, createLogger, LifecycleManager} from ${JSON.stringify(new URL('../index.js', import.meta.url).href)};
	const lifecycle = new LifecycleManager(createLogger('test', 'silent'));
	const log = new BoundedLog({instance: 'i-1'}, () => 1_000_000, lifecycle);
	for (let index = 0; index < 1000; index++) log.write('info', {event: 'flood', index});
	log.write('info', {event: 'other'});
	await log.close();
	await lifecycle.closeAll();
`;

test('excess lines of one event are dropped and reported, and other events are still logged', () => {
	const {stdout} = spawnSync(process.execPath, ['--input-type=module', '--eval', program], {encoding: 'utf8'});
	const lines = stdout.trim().split('\n').map(line => JSON.parse(line) as {event: string; count?: number; instance: string});
	assert.equal(lines.filter(({event}) => event === 'flood').length, 400);
	assert.equal(lines.find(({event}) => event === 'log-lines-dropped')?.count, 600);
	assert.ok(lines.some(({event, instance}) => event === 'other' && instance === 'i-1'));
});

const closingProgram = `
	import process from 'node:process';
	import {BoundedLog, createLogger, LifecycleManager} from ${JSON.stringify(new URL('../index.js', import.meta.url).href)};
	const log = new BoundedLog({instance: 'i-1'}, () => 1_000_000, new LifecycleManager(createLogger('test', 'silent')));
	log.write('info', {event: 'first', text: 'x'.repeat(200_000)});
	const earlier = log.close();
	log.write('info', {event: 'last'});
	await log.close();
	process.exit(0);
`;

// Guards against a process that ends without its last log lines.
test('lines that are queued while a batch is being written are written before the log closes', () => {
	const {stdout} = spawnSync(process.execPath, ['--input-type=module', '--eval', closingProgram], {encoding: 'utf8'});
	assert.deepEqual(stdout.trim().split('\n').map(line => (JSON.parse(line) as {event: string}).event), ['first', 'last']);
});

/** Writes a batch that is larger than the buffers of a pipe; the first access to `stdout` makes Node.js set the pipe to non-blocking mode. */
const largeBatchProgram = `
	import process from 'node:process';
	import {BoundedLog, createLogger, LifecycleManager} from ${JSON.stringify(new URL('../index.js', import.meta.url).href)};
	const log = new BoundedLog({instance: 'i-1'}, () => 1_000_000, new LifecycleManager(createLogger('test', 'silent')));
	void process.stdout;
	for (let index = 0; index < 400; index++) log.write('info', {event: 'large', index, text: 'x'.repeat(2000)});
	await log.close();
	process.exit(0);
`;

// Guards against log lines that are lost, and one that is cut, because the reader is slower than the process for a moment.
test('a batch that the pipe cannot take at once is written whole before the log closes', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', largeBatchProgram], {stdio: ['ignore', 'pipe', 'inherit']});
	let text = '';
	let isPaused = false;
	child.stdout.on('data', (chunk: Uint8Array) => {
		text += String(chunk);
		if (!isPaused) {
			isPaused = true;
			child.stdout.pause();
			setTimeout(() => {
				child.stdout.resume();
			}, 50);
		}
	});
	await once(child, 'close');
	const indexes = text.trim().split('\n').map(line => (JSON.parse(line) as {index: number}).index);
	assert.deepEqual(indexes, Array.from({length: 400}, (_, index) => index));
});

// Guards against a process that does not end, and is killed, because nobody reads its log.
test('a log whose reader has stopped closes in a bounded time', async () => {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', largeBatchProgram], {stdio: ['ignore', 'pipe', 'inherit']});
	const [code] = await once(child, 'exit', {signal: AbortSignal.timeout(5000)}) as [number];
	assert.equal(code, 0);
	child.stdout.destroy();
});
