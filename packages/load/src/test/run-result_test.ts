/**
 * Tests of results and report pages, with handwritten records.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {recordOutcome, type AnswerRecord} from '../lib/answer-record.js';
import {callKind, type CallKind} from '../lib/call-schedule.js';
import {answerKind, type Answer} from '../lib/caller.js';
import {faultKind} from '../lib/load-plan.js';
import type {RunRecord} from '../lib/load-run.js';
import {describeChange, renderComparisonPage, renderReportPage} from '../lib/report-page.js';
import {findWorstServedAccount} from '../lib/result-rows.js';
import {createRunResult, hasGuaranteeViolation} from '../lib/run-result.js';
import {createExamplePlan} from './example-plan.js';

type RecordFields = {
	readonly account: string; readonly atMs: number; readonly kind?: CallKind; readonly turn?: number; readonly key?: string;
	readonly outcome: AnswerRecord['outcome']; readonly answer?: Partial<Answer>;
};

function createRecord({account, atMs, kind = callKind.chat, turn = 1, key, outcome, answer}: RecordFields): AnswerRecord {
	return {
		call: {
			kind, account, atMs, chatId: 'c', turn, maxTokens: 1, priority: 0, entry: 0,
		},
		routerId: 'router-1',
		outcome,
		endMs: atMs + 10,
		idempotencyKey: key,
		answer: {kind: answerKind.whole, totalMs: 10, ...answer},
	};
}

const createRefusal = (reason: string, outcome = 'not-run') => ({kind: answerKind.refused, reason, outcome});
const cleanReport = {
	id: 'plain-1', pool: 'plain', keySightings: 0, highestInFlight: 1, overrunCount: 0,
};
const exampleRun: RunRecord = {
	plan: createExamplePlan(),
	accounts: [{name: 'steady', rate: 1, burst: 2}, {name: 'greedy', rate: 1, burst: 1}],
	records: [
		createRecord({
			account: 'steady', atMs: 0, outcome: recordOutcome.whole, answer: {firstTokenMs: 5, targetId: 'model-1'},
		}),
		createRecord({
			account: 'steady', atMs: 900, turn: 2, outcome: recordOutcome.whole, answer: {firstTokenMs: 6, targetId: 'model-1', isCacheHit: true},
		}),
		createRecord({
			account: 'steady', atMs: 1800, outcome: recordOutcome.refused, answer: createRefusal('rate-exceeded'),
		}),
		createRecord({
			account: 'greedy', atMs: 10, kind: callKind.booking, key: 'k1', outcome: recordOutcome.refused, answer: createRefusal('target-unreachable'),
		}),
		createRecord({
			account: 'greedy', atMs: 20, outcome: recordOutcome.refused, answer: createRefusal('rate-exceeded'),
		}),
	],
	omittedCount: 0,
	faults: [{kind: faultKind.killRouter, label: 'router 0 killed <now>', atMs: 850}],
	targets: [{...cleanReport, runs: {}}],
	loads: {'plain-1': [0, 1]},
};

void test('a refusal counts as wrongful only if one exact token bucket admits the request', () => {
	const result = createRunResult(exampleRun);
	assert.equal(result.wrongful, 1);
	assert.equal(result.inside, 4);
	assert.deepEqual(result.refusals, {'rate-exceeded (not-run)': 2, 'target-unreachable (not-run)': 1});
	assert.deepEqual(result.reuse, {returning: 1, hits: 1});
	assert.equal(findWorstServedAccount(result.accounts)!.name, 'greedy');
	const [fault] = result.faults;
	assert.deepEqual([fault!.counts.whole, fault!.counts.refused, fault!.wrongful], [1, 1, 1]);
	assert.equal(hasGuaranteeViolation(result), false);
});

void test('a request that ran despite "not run", a doubled run, a key seen by a target and a wrong answer each violate a guarantee', () => {
	const wrong = createRecord({account: 'steady', atMs: 1, outcome: recordOutcome.wrong});
	const violations: Array<[RunRecord, number[]]> = [
		[{...exampleRun, targets: [{...cleanReport, runs: {k1: 1}}]}, [1, 0, 0, 0]],
		[{...exampleRun, targets: [{...cleanReport, runs: {k1: 1}}, {...cleanReport, id: 'plain-2', runs: {k1: 1}}]}, [1, 1, 0, 0]],
		[{...exampleRun, targets: [{...cleanReport, runs: {}, keySightings: 1}]}, [0, 0, 1, 0]],
		[{...exampleRun, records: [...exampleRun.records, wrong]}, [0, 0, 0, 1]],
	];
	for (const [record, expected] of violations) {
		const result = createRunResult(record);
		assert.deepEqual([result.falseNotRun, result.doubledRuns, result.keySightings, result.counts.wrong], expected);
		assert.equal(hasGuaranteeViolation(result), true);
	}
});

void test('the pages are self-contained, escape their texts and show both runs', () => {
	const result = createRunResult(exampleRun);
	const page = renderReportPage(result);
	assert.doesNotMatch(page, /(?:src|href)=|https?:|NaN|undefined/);
	assert.match(page, /router 0 killed &lt;now&gt;/);
	const comparison = renderComparisonPage(result, {...result, name: 'other', counts: {...result.counts, whole: 3}});
	assert.doesNotMatch(comparison, /(?:src|href)=|https?:|NaN|undefined/);
	assert.match(comparison, /other/);
	assert.deepEqual([describeChange(2, 3), describeChange(0, 1), describeChange(1, 1)], ['+50.0%', 'from 0', 'same']);
});
