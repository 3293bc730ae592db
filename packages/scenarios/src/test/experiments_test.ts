/**
 * Tests of the pieces that measurements rest on.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {attemptOutcome, eventKind} from '@sequoiatally/core';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../lib/example-configuration.js';
import {experiments} from '../lib/experiments/index.js';
import {computeLinearFit} from '../lib/linear-fit.js';
import {ReducerProbe} from '../lib/reducer-probe.js';

void test('a line is found exactly, and scatter shows in the part of the variance explained', () => {
	assert.deepEqual(computeLinearFit([[1, 5], [2, 7], [4, 11]]), {slope: 2, intercept: 3, rSquared: 1});
	assert.ok(computeLinearFit([[1, 0], [2, 9], [3, 1], [4, 8]]).rSquared < 0.5);
});

void test('experiments have names of their own', () => {
	assert.equal(new Set(experiments.map(({name}) => name)).size, experiments.length);
});

void test('the reducer of a probe joins, talks to its peers and serves a request', () => {
	const probe = new ReducerProbe(createExampleConfiguration([{name: 'a', rate: 1000, burst: 1000}], {ceiling: 8}), {instanceCount: 8, targetCount: 16});
	probe.runFor(30_000);
	assert.ok(probe.exchangeCount > 0);
	assert.ok(probe.readCount > 0);
	probe.handle({
		kind: eventKind.requestArrived, requestId: 'r', method: 'POST', ...exampleModelRoute, keyDigest: describeExampleKey('a').digest, chatKey: 'c', priority: 0,
	});
	const [dispatch] = probe.dispatches;
	assert.equal(dispatch?.requestId, 'r');
	assert.equal(probe.state.requests.pending.size, 1);
	probe.handle({
		kind: eventKind.attemptEnded, requestId: 'r', attemptId: dispatch.attemptId, outcome: attemptOutcome.complete, deliveredCount: 1,
	});
	assert.equal(probe.state.requests.pending.size, 0);
});
