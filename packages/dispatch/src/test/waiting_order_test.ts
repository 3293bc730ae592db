/**
 * Tests the order in which waiting requests are sent. Load: the routes of the records service
 * (ranks 0, 1 and 2) wait for a pool of which one target may receive a few requests a second.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {effectKind, type Route, type SendEffect} from '../index.js';
import {RouteDurations} from '../lib/requests/route-durations.js';
import {estimateLatestStart, listInWaitingOrder, type WaitingRequest} from '../lib/requests/waiting-order.js';
import {
	createRoute, createTables, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const urgentRoute = createRoute({
	name: 'look', prefix: '/look/', rank: 0, latencyTargetMs: 608, timeLimitMs: 4100,
});
const usualRoute = createRoute({
	name: 'edit', prefix: '/edit/', rank: 1, latencyTargetMs: 815, timeLimitMs: 6100,
});
const batchRoute = createRoute({
	name: 'batch', prefix: '/batch/', rank: 2, latencyTargetMs: 506, timeLimitMs: 15_000,
});
const routes = [urgentRoute, usualRoute, batchRoute];
const now = 100_000;

function createDurations() {
	return {toStart: new RouteDurations(), toEnd: new RouteDurations()};
}

function createWaiting(route: Route, waitedMs: number, fields: Partial<WaitingRequest> = {}): WaitingRequest {
	return {
		route, rank: route.rank, arrivedAt: now - waitedMs, deadlineAt: now - waitedMs + route.timeLimitMs, hasResponseStarted: false, ...fields,
	};
}

// Guards against urgent requests that wait behind less urgent ones.
test('waiting requests are ordered by rank, then by latest useful start, then by arrival', () => {
	const urgent = createWaiting(urgentRoute, 0);
	const usual = createWaiting(usualRoute, 100);
	const batchLate = createWaiting(batchRoute, 100);
	const batchEarly = createWaiting(batchRoute, 200);
	const sameStart = createWaiting({...batchRoute, latencyTargetMs: 606}, 200);
	const inOrder = [urgent, usual, batchEarly, sameStart, batchLate];
	assert.deepEqual(listInWaitingOrder([batchLate, sameStart, batchEarly, usual, urgent], createDurations(), now), inOrder);
});

// Guards against requests without a rank being served here in another order than at the engines.
test('a request without a rank is ordered as engines order it, with rank 5', () => {
	const unranked = createWaiting(batchRoute, 0, {rank: undefined});
	const less = createWaiting(batchRoute, 0, {rank: 6});
	const more = createWaiting(batchRoute, 0, {rank: 4});
	assert.deepEqual(listInWaitingOrder([less, unranked, more], createDurations(), now), [more, unranked, less]);
});

test('a request that can no longer meet its latency target starts in time for its deadline', () => {
	const durations = createDurations();
	durations.toStart.record('look', 200, now);
	durations.toEnd.record('look', 1200, now);
	assert.equal(estimateLatestStart(createWaiting(urgentRoute, 100), durations, now), now - 100 + 608 - 200);
	assert.equal(estimateLatestStart(createWaiting(urgentRoute, 500), durations, now), now - 500 + 4100 - 1200);
});

// Guards against an interrupted stream that waits behind requests with time to spare.
test('a stream that has begun precedes new requests of its rank', () => {
	const begun = createWaiting(usualRoute, 300, {hasResponseStarted: true});
	const fresh = createWaiting(usualRoute, 400);
	assert.deepEqual(listInWaitingOrder([fresh, begun], createDurations(), now), [begun, fresh]);
});

// Guards against starvation: under lasting contention new urgent requests arrive all the time.
test('each waiting request precedes all new ones, also more urgent ones, before its time limit has run out', () => {
	fc.assert(fc.property(fc.option(fc.integer({min: 0, max: 1000}), {nil: undefined}), fc.integer({min: 5100, max: 60_000}), (rank, timeLimitMs) => {
		const route = {...batchRoute, rank, timeLimitMs};
		const last = createWaiting(route, timeLimitMs - 500);
		const fresh = createWaiting(urgentRoute, 0);
		assert.deepEqual(listInWaitingOrder([fresh, last], createDurations(), now), [last, fresh]);
	}), {seed: 21, numRuns: 500});
});

// Guards against a prompt that is read for long being postponed for others.
test('the size of the prompt has no influence on the order', () => {
	const large = {...createWaiting(batchRoute, 101), promptParts: [{id: 'p', tokenCount: 100_000}]};
	const small = {...createWaiting(batchRoute, 100), promptParts: [{id: 'p', tokenCount: 1}]};
	assert.deepEqual(listInWaitingOrder([small, large], createDurations(), now), [large, small]);
});

function countByRank(sends: readonly SendEffect[]): Array<number | undefined> {
	return sends.map(({rank}) => rank);
}

test('when a target becomes available that takes a part of the waiting requests, it gets the most urgent ones', () => {
	const gateway = new GatewayFixture().loadDirectory([], createTables(1, {routes}));
	for (let index = 0; index < 12; index++) {
		gateway.receiveRequest(batchRoute);
		gateway.receiveRequest(index % 2 === 0 ? usualRoute : urgentRoute);
	}

	gateway.effects = [];
	// One instance of a fleet may send one request a second to a cold target of this pool.
	const ids = Array.from({length: 8}, (_, index) => `engine-${index}`);
	gateway.applyChanges(2, ids.map(id => createTargetChange(2, createTargetRecord(id, {coldMs: 5000}))));
	assert.deepEqual(countByRank(gateway.listSends()), [0, 0, 0, 0, 0, 0, 1, 1]);
});

// Guards against a new request that takes the slot for which more urgent ones wait: a slot can become free between two ticks.
test('a new request does not overtake a more urgent one that waits', () => {
	const patient = routes.map(route => ({...route, latencyTargetMs: 16_000, timeLimitMs: 30_000}));
	const [urgent, , batch] = patient as [Route, Route, Route];
	const gateway = new GatewayFixture().loadDirectory([], createTables(1, {routes: patient}));
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('engine-1', {coldMs: 5000}))]);
	gateway.receiveRequest(batch);
	const urgentId = gateway.receiveRequest(urgent);
	assert.deepEqual(gateway.listSends(), [], 'the target may receive no more');
	gateway.now += 1151;
	gateway.receiveRequest(batch);
	const sends = gateway.effects.filter(effect => effect.kind === effectKind.send);
	assert.deepEqual(sends.map(({openId}) => openId), [urgentId]);
});
