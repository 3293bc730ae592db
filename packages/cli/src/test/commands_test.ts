/**
 * Commands that need no instance: usage errors, help texts, and the check of
 * configuration documents.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import fc from 'fast-check';
import {
	checkConfigurationText, createCommands, exitCode, runCommands,
} from '../index.js';

const rungwrightPath = fileURLToPath(new URL('../../../../examples/rungwright.json', import.meta.url));

async function run(...args: string[]): Promise<{code: number; text: string; errorText: string}> {
	let text = '';
	let errorText = '';
	const code = await runCommands(createCommands(), {argv: ['node', 'sequoiatally', ...args], env: {}}, {
		print(part) {
			text += part;
		},
		printError(part) {
			errorText += part;
		},
	});
	return {code, text, errorText};
}

test('the help text of every command lists the exit codes', async () => {
	for (const {name} of createCommands()) {
		const {code, text} = await run(name, '--help');
		assert.equal(code, exitCode.ok);
		assert.match(text, /Exit codes:/);
	}
});

test('a usage error names every invalid flag, and an unknown command is a usage error', async () => {
	const {code, errorText} = await run('status', '--addresses', 'nowhere', '--colour', 'red');
	assert.equal(code, exitCode.usage);
	for (const part of ['--addresses', '--token', '--colour']) {
		assert.ok(errorText.includes(part), part);
	}

	const unknown = await run('destroy');
	assert.equal(unknown.code, exitCode.usage);
});

test('check accepts the example configuration and summarizes it', async () => {
	const {code, text} = await run('check', rungwrightPath, '--json');
	assert.equal(code, exitCode.ok);
	const {isValid, summary} = JSON.parse(text) as {isValid: boolean; summary: Record<string, unknown>};
	assert.deepEqual([isValid, summary.routes, summary.notRepeatableRoutes], [true, 4, ['fieldbook-booking']]);
});

test('check reports every fault with its place', async () => {
	const document = JSON.parse(await readFile(rungwrightPath, 'utf8')) as {routes: Array<Record<string, unknown>>; pools: Array<Record<string, unknown>>};
	document.routes[0]!.pool = 'nowhere';
	document.pools.push({...document.pools[0]});
	const {exitCode: code, json} = checkConfigurationText('file', JSON.stringify(document));
	assert.equal(code, exitCode.bad);
	const {faults} = json as {faults: Array<{kind: string; place: string}>};
	assert.deepEqual(faults.map(({kind, place}) => [kind, place]), [['duplicate-name', 'pools.2.name'], ['unknown-pool', 'routes.0.pool']]);
});

test('an unreadable file and an invalid or oversized document end with different exit codes', async () => {
	const missing = await run('check', '/nonexistent/file.json');
	assert.equal(missing.code, exitCode.unreachable);
	assert.equal(checkConfigurationText('file', '{').exitCode, exitCode.bad);
	assert.equal(checkConfigurationText('file', JSON.stringify({filler: 'x'.repeat(1024 * 1024)})).exitCode, exitCode.bad);
	const line = await run('timeline', '/nonexistent/file.jsonl');
	assert.equal(line.code, exitCode.unreachable);
});

test('every command line ends with a documented exit code', async () => {
	const word = fc.oneof(
		fc.string(),
		fc.constantFrom('check', 'status', 'explain', 'drain', 'timeline', '--addresses', '--token', '--request', '--json', '--', '--help', '-x', '--x=y', ''),
	);
	await fc.assert(fc.asyncProperty(fc.array(word, {maxLength: 6}), async args => {
		const {code} = await run(...args);
		assert.ok(Object.values<number>(exitCode).includes(code), `${code}`);
	}), {seed: 66, numRuns: 500});
});
