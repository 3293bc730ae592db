/**
 * Tests of overload: short queues shed load fairly between accounts, and retries
 * stay within a budget.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {attemptOutcome} from '@sequoiatally/core';
import fc from 'fast-check';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../lib/example-configuration.js';
import {ReducerFleet} from '../lib/reducer-fleet.js';

const seed = 5004;
const queueLimit = 6;
const accounts = ['small', 'middle', 'large'].map(name => ({name, rate: 100_000, burst: 100_000}));

/** Starts one router whose requests never complete. A single target has one slot, which stays in use; several targets have ample slots. */
function createFleet(targetCount = 1): ReducerFleet {
	const pool = {slotsPerTarget: 1, queueLimit, queueMs: 60_000};
	const configuration = createExampleConfiguration(accounts, {ceiling: 1}, targetCount === 1 ? pool : {slotsPerTarget: 1000});
	const fleet = new ReducerFleet({seed, configuration});
	fleet.changeList(list => ({
		...list,
		targets: Array.from({length: targetCount}, (_, index) => ({
			id: `fitbrain-${index}`, pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live' as const, since: 0,
		})),
	}));
	fleet.onDispatch = () => {
		// No attempt ever ends, so that slots never become free and only the queue changes.
	};

	fleet.start('router-1');
	fleet.runFor(20_000);
	return fleet;
}

function call(fleet: ReducerFleet, requestId: string, account: string, priority = 0): void {
	fleet.request('router-1', requestId, {
		account, keyDigest: describeExampleKey(account).digest, priority, ...exampleModelRoute,
	});
	fleet.runFor(1);
}

function listQueuedAccounts(fleet: ReducerFleet): string[] {
	const {pending, queuedIds} = fleet.instances.get('router-1')!.state.requests;
	return [...queuedIds].map(requestId => pending.get(requestId)!.account);
}

void test('a full queue stays within its limit, and each account has at least an even share of it or all its calls in it', () => {
	const callsArbitrary = fc.array(fc.constantFrom('small', 'middle', 'large', 'large', 'large', 'large'), {minLength: 10, maxLength: 40});
	fc.assert(fc.property(callsArbitrary, callingAccounts => {
		const fleet = createFleet();
		call(fleet, 'first', 'large');
		for (const [index, account] of callingAccounts.entries()) {
			call(fleet, `call-${index}`, account);
			assert.ok(listQueuedAccounts(fleet).length <= queueLimit);
		}

		const queued = listQueuedAccounts(fleet);
		for (const {name} of accounts) {
			const calledCount = callingAccounts.filter(account => account === name).length;
			const fairShare = Math.floor(queueLimit / accounts.length);
			assert.ok(queued.filter(account => account === name).length >= Math.min(calledCount, fairShare), `${name}: ${queued.join(', ')}`);
		}

		assert.ok(fleet.refused.every(({refusal}) => refusal.outcome === 'not-run' && refusal.reason === 'overloaded' && refusal.retryAfterMs! > 0));
	}), {seed, numRuns: 60});
});

void test('a request of higher priority displaces the newest queued request of lower priority, and one of the lowest priority is refused', () => {
	const fleet = createFleet();
	for (let index = 0; index <= queueLimit; index++) {
		call(fleet, `low-${index}`, 'small', 1);
	}

	call(fleet, 'high', 'small', 5);
	assert.deepEqual(fleet.refused.map(({requestId}) => requestId), [`low-${queueLimit}`]);
	call(fleet, 'lower', 'middle', 0);
	assert.equal(fleet.refused.at(-1)?.requestId, 'lower');
});

void test('retries stay within a fifth of the first attempts plus a fixed reserve of 50, and every failed request is refused', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 300}), fc.integer({min: 0, max: 20}), (count, gapMs) => {
		const fleet = createFleet(5);
		fleet.onDispatch = (instance, effect) => {
			fleet.schedule(1, () => {
				fleet.endAttempt(instance, effect, attemptOutcome.unknown);
			});
		};

		for (let index = 0; index < count; index++) {
			call(fleet, `call-${index}`, 'large');
			fleet.runFor(gapMs);
		}

		fleet.runFor(10_000);
		const firstCount = new Set(fleet.sent.map(({requestId}) => requestId)).size;
		assert.ok(fleet.sent.length - firstCount <= 50 + (0.2 * firstCount), `${fleet.sent.length} attempts at ${firstCount} requests`);
		assert.equal(fleet.refused.length, count);
	}), {seed, numRuns: 20});
});
