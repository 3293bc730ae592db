/**
 * Runs a short load plan on a small fleet and kills one router. The assertions
 * depend on the answers that callers receive, not on durations.
 */
import assert from 'node:assert/strict';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {checkLoadPlan} from '../lib/load-plan.js';
import {runLoad} from '../lib/load-run.js';
import {createRunResult, hasGuaranteeViolation} from '../lib/run-result.js';

const planDirectory = fileURLToPath(new URL('../../../../examples/', import.meta.url));

void test('when a router is killed, each answer is whole, refused with a type, or lost with that router', {timeout: 120_000}, async () => {
	const example = JSON.parse(await readFile(path.join(planDirectory, 'rungwright-plan.json'), 'utf8')) as {deployment: Record<string, unknown>};
	const plan = checkLoadPlan({
		...example,
		settleMs: 1500,
		durationMs: 4000,
		deployment: {
			...example.deployment, routerCount: 3, engineCount: 3, plainCount: 1,
		},
		traffic: {rateMultiple: 0.2, readFraction: 0.1},
		faults: [{kind: 'kill-router', atMs: 2000, router: 0}],
	}).unwrap();
	const resultDirectory = await mkdtemp(path.join(tmpdir(), 'load-run-'));
	const progressCounts: number[] = [];
	try {
		const record = await runLoad(plan, {
			planDirectory, resultDirectory, onProgress({sentCount}) {
				progressCounts.push(sentCount);
			},
		});
		assert.ok(record.isOk());
		const result = createRunResult(record.value);
		assert.equal(hasGuaranteeViolation(result), false, result.examples.join('\n'));
		assert.ok(result.counts.whole > 0);
		assert.deepEqual([...new Set(record.value.records.filter(({outcome}) => outcome === 'lost').map(({routerId}) => routerId))].filter(id => id !== 'router-1'), []);
		assert.ok(Object.keys(result.refusals).every(name => !name.includes('undefined')), 'every refusal has a type and an outcome');
		assert.equal(result.faults[0]!.label, 'router 0 killed');
		assert.ok(progressCounts.length > 0, 'progress was reported');
	} finally {
		await rm(resultDirectory, {recursive: true, force: true});
	}
});
