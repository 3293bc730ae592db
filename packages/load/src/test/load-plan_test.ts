/**
 * Tests of load plans: the example plans are valid, and each error is reported with its path.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {checkLoadPlan, parseLoadPlan, planErrorKind} from '../lib/load-plan.js';
import {examplePlan} from './example-plan.js';

const rootDirectory = new URL('../../../../', import.meta.url);

for (const name of ['rungwright', 'hoang-lien', 'demonstration']) {
	void test(`the example plan "${name}" is valid`, async () => {
		const text = await readFile(new URL(`examples/${name}-plan.json`, rootDirectory), 'utf8');
		assert.deepEqual(parseLoadPlan(text).isOk(), true);
	});
}

void test('all errors in a plan are reported with their paths', () => {
	const checked = checkLoadPlan({
		...examplePlan,
		traffic: {
			fewestTokens: 9, mostTokens: 8, surges: [{
				account: 'a', atMs: 5000, durationMs: 1, multiple: 2,
			}],
		},
		faults: [
			{kind: 'kill-router', atMs: 10, router: 2},
			{
				kind: 'drain-zone', atMs: 10, zone: 'zone-x', durationMs: 10,
			},
			{kind: 'turn-target-cold', atMs: 10, target: 'model-3'},
			{kind: 'replace-all-routers', atMs: 2000},
		],
	});
	assert.ok(checked.isErr());
	assert.deepEqual(checked.error.map(({kind, place}) => [kind, place]), [
		[planErrorKind.badRange, 'traffic.fewestTokens'],
		[planErrorKind.outsideRun, 'traffic.surges.0.atMs'],
		[planErrorKind.unknownRouter, 'faults.0.router'],
		[planErrorKind.unknownZone, 'faults.1.zone'],
		[planErrorKind.unknownTarget, 'faults.2.target'],
		[planErrorKind.outsideRun, 'faults.3.atMs'],
	]);
});

void test('a plan that violates the schema is rejected, including unknown fields and unknown faults', () => {
	for (const invalid of [{...examplePlan, extra: 1}, {...examplePlan, faults: [{kind: 'explode', atMs: 1}]}, {...examplePlan, durationMs: 1e9}]) {
		const checked = checkLoadPlan(invalid);
		assert.ok(checked.isErr());
		assert.ok(checked.error.every(({kind}) => kind === planErrorKind.schema));
	}

	const parsed = parseLoadPlan('{');
	assert.ok(parsed.isErr());
	assert.equal(parsed.error[0]!.kind, planErrorKind.notJson);
});
