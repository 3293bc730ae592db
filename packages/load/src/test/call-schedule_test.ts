/**
 * Tests of the call schedule: arrivals, surges, turns of chats and limits.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {callKind, createCallSchedule, drawArrivalTimes} from '../lib/call-schedule.js';
import {RandomSource} from '../lib/random.js';
import {createExamplePlan} from './example-plan.js';

const accounts = [{name: 'large', rate: 100, burst: 200}, {name: 'small', rate: 10, burst: 20}];

void test('arrivals follow a Poisson process whose rate rises during a surge', () => {
	const surge = {
		account: 'large', atMs: 100_000, durationMs: 100_000, multiple: 5,
	};
	const times = drawArrivalTimes(new RandomSource(1), 20, 300_000, [surge]);
	const countWithin = (from: number, to: number) => times.filter(time => time >= from && time < to).length;
	// The standard deviation is 45 for a count of 2000 and 100 for a count of 10,000.
	assert.ok(Math.abs(countWithin(0, 100_000) - 2000) < 200);
	assert.ok(Math.abs(countWithin(100_000, 200_000) - 10_000) < 400);
	const gaps = times.slice(1, 1500).map((time, index) => time - times[index]!);
	const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
	const variance = gaps.reduce((sum, gap) => sum + ((gap - mean) ** 2), 0) / gaps.length;
	assert.ok(Math.abs((Math.sqrt(variance) / mean) - 1) < 0.15, 'gaps are exponential: their standard deviation equals their mean');
});

void test('the same plan gives the same schedule, and another seed gives a different one', () => {
	const plan = createExamplePlan();
	assert.deepEqual(createCallSchedule(plan, accounts), createCallSchedule(plan, accounts));
	assert.notDeepEqual(createCallSchedule(plan, accounts), createCallSchedule({...plan, seed: 8}, accounts));
});

void test('the turns of a chat come in order, with a pause before each later turn', () => {
	const plan = createExamplePlan({durationMs: 60_000, traffic: {chats: {pauseMs: 500, longFraction: 0.2, longPauseMs: 3000}}});
	const chats = createCallSchedule(plan, accounts).calls.filter(({kind}) => kind === callKind.chat);
	const lastTurns = new Map<string, {turn: number; atMs: number}>();
	const pauses: number[] = [];
	for (const {chatId, turn, atMs} of chats) {
		const previous = lastTurns.get(chatId);
		assert.equal(turn, (previous?.turn ?? 0) + 1);
		pauses.push(...(previous === undefined ? [] : [atMs - previous.atMs]));
		lastTurns.set(chatId, {turn, atMs});
	}

	pauses.sort((a, b) => a - b);
	// Exponential pauses have a median of 350 ms; a fifth of the pauses are long ones of at least 3000 ms.
	assert.ok(pauses[Math.floor(pauses.length / 2)]! > 350);
	assert.ok(pauses[Math.floor(pauses.length * 0.85)]! > 3000);

	const laterTurnCount = chats.filter(({turn}) => turn > 1).length;
	assert.ok(laterTurnCount / chats.length > 0.5, 'most chat requests are later turns');
});

void test('the sticky fraction of the requests of an account has the same entry, and the request limit is applied and reported', () => {
	const plan = createExamplePlan({durationMs: 60_000, traffic: {stickyFraction: 0.5}});
	const {calls} = createCallSchedule(plan, accounts);
	const entries = calls.filter(({account}) => account === 'large').map(({entry}) => entry);
	const stickyCount = entries.filter(entry => entries.indexOf(entry) !== entries.lastIndexOf(entry)).length;
	assert.ok(Math.abs((stickyCount / entries.length) - 0.5) < 0.05);

	const limited = createCallSchedule({...plan, requestLimit: 100}, accounts);
	assert.equal(limited.calls.length, 100);
	assert.equal(limited.omittedCount, calls.length - 100);
});
