/**
 * Settings: all faults are typed and reported together, and secrets are
 * redacted.
 */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {Command} from 'commander';
import fc from 'fast-check';
import {
	badSettingsExitCode, defineAddress, defineChoice, defineInteger, defineNamedTokens, defineText, describeSettings, makeOptional, parseSettings,
	settingFaultKind, toVariableName,
} from '../index.js';

const schema = {
	address: defineAddress({flag: 'address', description: 'Address'}),
	count: defineInteger(1, 9, {flag: 'count', description: 'Count', defaultText: '3'}),
	level: defineChoice(['low', 'high'], {flag: 'level', description: 'Level', defaultText: 'low'}),
	path: makeOptional(defineText({flag: 'path', description: 'Path'})),
	secret: defineText({
		flag: 'secret', description: 'Secret', pattern: /^.{16,}$/, allowed: 'at least 16 characters', isSecret: true,
	}),
	tokens: makeOptional(defineNamedTokens({flag: 'tokens', description: 'Tokens'})),
};

const goodFlags = ['--address', '127.0.0.1:7000', '--secret', '0123456789abcdef'];

function parse(flags: readonly string[], env: Record<string, string> = {}) {
	const program = new Command().configureOutput({writeErr() {/* Faults are returned instead. */}, writeOut() {/* No help is requested. */}});
	return parseSettings(program, schema, {argv: ['node', 'test', ...flags], env});
}

function listFaults(flags: readonly string[], env: Record<string, string> = {}): Array<[string, string]> {
	const parsed = parse(flags, env);
	return parsed.isErr() ? parsed.error.map(({kind, flag}) => [kind, flag]) : [];
}

test('flags take precedence over variables, and variables over defaults', () => {
	const settings = parse([...goodFlags, '--count', '7'], {[toVariableName('count')]: '8', [toVariableName('level')]: 'high'}).unwrap();
	assert.deepEqual([settings.count, settings.level, settings.path], [7, 'high', undefined]);
});

test('all faults are reported together, each with its kind', () => {
	const flags = ['--address', '127.0.0.1', '--count', '--colour', 'red', 'stray', '--level', 'middle'];
	assert.deepEqual(listFaults(flags, {[toVariableName('adress')]: '127.0.0.1:1'}), [
		[settingFaultKind.badValue, '--address'],
		[settingFaultKind.noValue, '--count'],
		[settingFaultKind.badValue, '--level'],
		[settingFaultKind.missing, '--secret'],
		[settingFaultKind.unknownFlag, '--colour'],
		[settingFaultKind.unexpectedArgument, ''],
		[settingFaultKind.unknownVariable, 'SEQUOIATALLY_ADRESS'],
	]);
});

test('secrets appear in no fault and in no description', () => {
	const short = 'tooshort';
	assert.doesNotMatch(JSON.stringify(parse(['--address', 'x', '--secret', short, '--tokens', `a:${short}`, `--sercet=${short}`])), /tooshort/);
	const tokens = 'amina:0123456789abcdef';
	const described = JSON.stringify(describeSettings(schema, parse([...goodFlags, '--tokens', tokens]).unwrap()));
	assert.doesNotMatch(described, /0123456789abcdef/);
});

test('named tokens require distinct names and tokens of at least 16 characters', () => {
	const token = '0123456789abcdef';
	assert.deepEqual(listFaults([...goodFlags, '--tokens', `a:${token},b:${token}x`]), []);
	for (const bad of [`a:${token},a:${token}x`, `a:${token},`, 'a:short', token, `:${token}`, `a b:${token}`]) {
		assert.deepEqual(listFaults([...goodFlags, '--tokens', bad]), [[settingFaultKind.badValue, '--tokens']], bad);
	}
});

test('arbitrary values result in settings within bounds or in typed faults', () => {
	const text = fc.oneof(fc.string(), fc.constantFrom('-1', '1e1', '0x1', ' 1', '9', '١', '127.0.0.1:70000', '256.0.0.1:1', '--', '-h1'));
	const texts = fc.record({[toVariableName('address')]: text, [toVariableName('count')]: text, [toVariableName('level')]: text});
	fc.assert(fc.property(texts, fc.array(text, {maxLength: 4}), (env, args) => {
		const flags = args.filter(argument => argument !== '-h' && argument !== '--help');
		const parsed = parse([...flags, '--secret', '0123456789abcdef'], env);
		if (parsed.isErr()) {
			assert.ok(parsed.error.every(({kind}) => Object.values(settingFaultKind).includes(kind)));
			return;
		}

		const {address, count, level} = parsed.value;
		assert.match(`${address.host}:${address.port}`, /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/);
		assert.ok(Number.isInteger(count) && count >= 1 && count <= 9);
		assert.ok(level === 'low' || level === 'high');
	}), {seed: 61, numRuns: 1000});
});

test('a router with invalid settings exits with the documented code and prints no secret', () => {
	const path = fileURLToPath(new URL('../../../router/build/bin/router.js', import.meta.url));
	const run = (flags: readonly string[]) => spawnSync(process.execPath, [path, ...flags], {encoding: 'utf8', timeout: 20_000, env: {}});
	const bad = run(['--zone', '', '--fleet-secret', 'short-secret', '--colour', 'red']);
	assert.equal(bad.status, badSettingsExitCode);
	assert.doesNotMatch(bad.stderr, /short-secret/);
	const events = new Set(bad.stderr.trim().split('\n').map(line => (JSON.parse(line) as {flag: string}).flag));
	for (const flag of ['--zone', '--fleet-secret', '--instance-id', '--caller-address', '--admin-tokens', '--colour']) {
		assert.ok(events.has(flag), flag);
	}

	const addresses = ['caller', 'peer', 'admin', 'platform'].flatMap((name, index) => [`--${name}-address`, `127.0.0.1:${7000 + index}`]);
	const secrets = ['--fleet-secret', 'a-fleet-secret-of-many', '--admin-tokens', 'amina:a-token-of-many-letters'];
	const good = run(['--instance-id', 'r1', '--zone', 'a', ...addresses, ...secrets, '--print-settings']);
	assert.equal(good.status, 0, good.stderr);
	assert.doesNotMatch(good.stdout, /of-many/);
	assert.equal((JSON.parse(good.stdout) as Record<string, unknown>)['instance-id'], 'r1');
});
