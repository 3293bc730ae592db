/**
 * Properties of the outcomes stated in refusals, for attempts with random outcomes
 * and a key that may be withdrawn between attempts.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	attemptOutcome, eventKind, type AttemptOutcome, type Configuration, type DispatchEffect,
} from '@sequoiatally/core';
import fc from 'fast-check';
import {
	createExampleConfiguration, describeExampleKey, exampleBookingPath, exampleModelRoute,
} from '../lib/example-configuration.js';
import {ReducerFleet, type FleetInstance} from '../lib/reducer-fleet.js';

const seed = 5001;
const runCount = 300;
const account = {name: 'crew', rate: 1000, burst: 1000};

type AttemptEnd = {readonly outcome: AttemptOutcome; readonly durationMs: number; readonly deliveredCount: number};
type Attempt = {readonly requestId: string; readonly outcome?: AttemptOutcome};

const notRunOutcomes = new Set<AttemptOutcome>([attemptOutcome.notRun, attemptOutcome.expired]);
const endArbitrary: fc.Arbitrary<AttemptEnd> = fc.record({
	outcome: fc.constantFrom(...Object.values(attemptOutcome)),
	durationMs: fc.integer({min: 1, max: 3000}),
	deliveredCount: fc.integer({min: 1, max: 5}),
});

/** Ends each attempt with the next scripted outcome and records the attempts. */
function scriptAttempts(fleet: ReducerFleet, ends: readonly AttemptEnd[]): Attempt[] {
	const attempts: Attempt[] = [];
	fleet.onDispatch = (instance, effect) => {
		const {outcome, durationMs, deliveredCount} = ends[attempts.length % ends.length]!;
		attempts.push({requestId: effect.requestId, outcome});
		fleet.schedule(durationMs, () => {
			const delivered = outcome === attemptOutcome.interrupted ? deliveredCount + effect.resumeFrom : effect.resumeFrom;
			endAttempt(fleet, instance, effect, outcome, delivered);
		});
	};

	return attempts;
}

function endAttempt(fleet: ReducerFleet, instance: FleetInstance, effect: DispatchEffect, outcome: AttemptOutcome, deliveredCount: number): void {
	fleet.emit(instance, {
		kind: eventKind.attemptEnded, requestId: effect.requestId, attemptId: effect.attemptId, outcome, deliveredCount,
	});
}

function createFleet(configuration: Configuration): ReducerFleet {
	const fleet = new ReducerFleet({seed, configuration});
	fleet.changeList(list => ({
		...list,
		targets: ['fitbrain', 'fieldbook'].flatMap(pool => [1, 2, 3].map(index => ({
			id: `${pool}-${index}`, pool, address: '', zone: 'zone-a', state: 'live' as const, since: 0,
		}))),
	}));
	fleet.start('router-1');
	fleet.runFor(20_000);
	return fleet;
}

/** Lists the outcomes of a request's attempts, oldest first. */
function listOutcomes(attempts: readonly Attempt[], requestId: string): AttemptOutcome[] {
	return attempts.filter(attempt => attempt.requestId === requestId).map(({outcome}) => outcome!);
}

const scriptArbitraries = {
	ends: fc.array(endArbitrary, {minLength: 1, maxLength: 8}),
	/** For each request, whether it is a booking, which is not retryable, or a chat. */
	requests: fc.array(fc.boolean(), {minLength: 1, maxLength: 6}),
	withdrawAfterMs: fc.integer({min: 1, max: 6000}),
};

function runScript(ends: readonly AttemptEnd[], requests: readonly boolean[], withdrawAfterMs: number): {fleet: ReducerFleet; attempts: Attempt[]} {
	const configuration = createExampleConfiguration([account]);
	const fleet = createFleet(configuration);
	const attempts = scriptAttempts(fleet, ends);
	const {digest} = describeExampleKey(account.name);
	for (const [index, isBooking] of requests.entries()) {
		const route = isBooking ? {path: exampleBookingPath} : exampleModelRoute;
		fleet.request('router-1', `${isBooking ? 'booking' : 'chat'}-${index}`, {account: account.name, keyDigest: digest, ...route});
	}

	fleet.schedule(withdrawAfterMs, () => {
		fleet.configuration = {...configuration, version: 2, accounts: [{...configuration.accounts[0]!, keyDigests: []}]};
	});
	fleet.runFor(30_000);
	return {fleet, attempts};
}

void test('a refusal has the outcome not-run if and only if every attempt proved that it did not run', () => {
	fc.assert(fc.property(scriptArbitraries.ends, scriptArbitraries.requests, scriptArbitraries.withdrawAfterMs, (ends, requests, withdrawAfterMs) => {
		const {fleet, attempts} = runScript(ends, requests, withdrawAfterMs);
		for (const {requestId, refusal} of fleet.refused) {
			const isProvenNotRun = listOutcomes(attempts, requestId).every(outcome => notRunOutcomes.has(outcome));
			assert.equal(refusal.outcome, isProvenNotRun ? 'not-run' : 'unknown', `${requestId}: ${refusal.reason}`);
		}
	}), {seed, numRuns: runCount});
});

void test('a request that is not retryable is not sent again after an attempt that may have run', () => {
	fc.assert(fc.property(scriptArbitraries.ends, scriptArbitraries.requests, scriptArbitraries.withdrawAfterMs, (ends, requests, withdrawAfterMs) => {
		const {attempts} = runScript(ends, requests, withdrawAfterMs);
		const bookings = new Set(attempts.map(({requestId}) => requestId).filter(requestId => requestId.startsWith('booking')));
		for (const requestId of bookings) {
			const earlierOutcomes = listOutcomes(attempts, requestId).slice(0, -1);
			assert.ok(earlierOutcomes.every(outcome => notRunOutcomes.has(outcome)), `${requestId}: ${earlierOutcomes.join(', ')}`);
		}
	}), {seed, numRuns: runCount});
});

void test('every request ends with an answer or a refusal', () => {
	fc.assert(fc.property(scriptArbitraries.ends, scriptArbitraries.requests, scriptArbitraries.withdrawAfterMs, (ends, requests, withdrawAfterMs) => {
		const {fleet} = runScript(ends, requests, withdrawAfterMs);
		const completed = fleet.timeline.filter(({kind}) => kind === 'request-completed').length;
		assert.equal(completed + fleet.refused.length, requests.length);
	}), {seed, numRuns: runCount});
});
