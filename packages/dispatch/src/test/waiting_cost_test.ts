/**
 * Tests the work that waiting requests cost. Load: while the engines of the records service restart in a rollout, they take
 * no further request for some seconds, and more than a thousand requests wait in one instance.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {Route} from '../index.js';
import {advanceQueuedRequests} from '../lib/requests/reduce-requests.js';
import {trySend} from '../lib/requests/send-request.js';
import {listInWaitingOrder} from '../lib/requests/waiting-order.js';
import type {Step} from '../lib/state.js';
import {
	createRoute, createTables, createTargetChange, createTargetRecord, GatewayFixture, resumableRoute,
} from './gateway-fixture.js';

const floodSize = 1000;
/** Waits 250 ms for a target, so that all requests of a flood wait together. */
const route = createRoute({
	name: 'look', prefix: '/look/', latencyTargetMs: 2000, rank: 1,
});
const urgentRoute = createRoute({
	...route, name: 'edit', prefix: '/edit/', rank: 0,
});
const desk = createRoute({
	name: 'desk', prefix: '/desk/', latencyTargetMs: 2000, splits: [{pool: 'desk', weight: 1}],
});

type Work = {placements: number; means: number; visits: number};

/** Counts how often the targets of a pool are listed, which each placement does once, how often a duration is estimated, and how many waiting requests are looked at. */
function countWork({state}: GatewayFixture): Work {
	const work = {placements: 0, means: 0, visits: 0};
	const {queuedRequests} = state;
	const listQueued = queuedRequests.values.bind(queuedRequests);
	Object.assign(queuedRequests, {
		* [Symbol.iterator]() {
			for (const request of listQueued()) {
				work.visits++;
				yield request;
			}
		},
	});

	const {byPool} = state.targets;
	const findTargets = byPool.get.bind(byPool);
	byPool.get = name => {
		work.placements++;
		return findTargets(name);
	};

	for (const durations of Object.values(state.sendDurations)) {
		const computeMeanMs = durations.computeMeanMs.bind(durations);
		durations.computeMeanMs = (name, now) => {
			work.means++;
			return computeMeanMs(name, now);
		};
	}

	return work;
}

/** Creates a gateway whose engines are cold and have received what they may for now, with requests that wait. */
function createFullGateway(): GatewayFixture {
	const gateway = new GatewayFixture().loadDirectory(['desk-1'], createTables(1, {routes: [route, urgentRoute, desk]}));
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('engine-1', {coldMs: 5000}))]);
	while (gateway.state.queuedRequests.size === 0) {
		gateway.receiveRequest(route);
	}

	return gateway;
}

// Guards against arrivals that each list and sort all waiting requests, so that their time grows with the square of their number.
test('an arrival costs the same however many requests wait without a free target', () => {
	const gateway = createFullGateway();
	const work = countWork(gateway);
	for (let index = 0; index < floodSize; index++) {
		gateway.receiveRequest(index % 2 === 0 ? route : urgentRoute);
	}

	assert.equal(gateway.state.queuedRequests.size, floodSize + 1);
	assert.deepEqual([work.means, work.visits], [0, 0]);
	assert.ok(work.placements <= 3 * floodSize, `${work.placements} placements`);
});

// Guards against arrivals that look at all waiting requests to find out whether a pool is contended.
test('with fair shares, an arrival costs the same however many requests wait without a free target', () => {
	const gateway = createFullGateway().setFairShares();
	const work = countWork(gateway);
	for (let index = 0; index < floodSize; index++) {
		gateway.receiveRequest(index % 2 === 0 ? route : urgentRoute);
	}

	assert.equal(gateway.state.queuedRequests.size, floodSize + 1);
	assert.equal(work.means, 0);
	assert.ok(work.visits <= 3 * floodSize, `${work.visits} visits`);
});

// Guards against a tick that looks for a target for each of the requests that wait for the same full pool.
test('a tick looks once for a target for all waiting requests of a full pool', () => {
	const gateway = createFullGateway();
	for (let index = 0; index < floodSize; index++) {
		gateway.receiveRequest(route);
	}

	gateway.effects = [];
	const work = countWork(gateway);
	gateway.advance(25);
	assert.equal(gateway.state.queuedRequests.size, floodSize + 1);
	assert.ok(work.placements < 20, `${work.placements} placements`);
	assert.ok(work.means <= 2 * (floodSize + 1), `${work.means} means`);
});

// Guards against a full pool that keeps the requests of another one waiting, and against a pool that stays full after a target has joined.
test('a full pool does not keep requests of another pool waiting, and is tried again in the next step', () => {
	const gateway = new GatewayFixture().loadDirectory([], createTables(1, {routes: [route, urgentRoute, desk]}));
	gateway.receiveRequest(route);
	const deskId = gateway.receiveRequest(desk);
	gateway.effects = [];
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1'))]);
	assert.deepEqual(gateway.listSends().map(({openId}) => openId), [deskId]);
	gateway.effects = [];
	gateway.applyChanges(3, [createTargetChange(3, createTargetRecord('engine-1'))]);
	assert.equal(gateway.listSends().length, 1);
});

type Play = {readonly versions: readonly string[]; readonly arrivals: ReadonlyArray<{readonly route: Route; readonly waitMs: number}>; readonly waitMs: number};

/** Creates a gateway whose requests wait for cold engines of one or two software versions, and the step in which some of these are free again. */
function createPlayStep({versions, arrivals, waitMs}: Play): Step {
	const gateway = new GatewayFixture().loadDirectory([], createTables(1, {routes: playedRoutes}));
	const records = versions.map((softwareVersion, index) => createTargetRecord(`engine-${index}`, {coldMs: 8000, softwareVersion}));
	gateway.applyChanges(2, records.map(record => createTargetChange(2, record)));
	for (const {route: arrivingRoute, waitMs: gapMs} of arrivals) {
		gateway.now += gapMs;
		gateway.receiveRequest(arrivingRoute);
	}

	return {state: gateway.state, now: gateway.now + waitMs, effects: []};
}

/** All requests of a play wait for less than an eighth of this latency target, after which they would be refused. */
const patience = {latencyTargetMs: 16_000, timeLimitMs: 30_000};
const playedRoutes = [createRoute({...route, ...patience}), createRoute({...urgentRoute, ...patience}), createRoute({...resumableRoute, ...patience, rank: 1})];
const play: fc.Arbitrary<Play> = fc.record({
	versions: fc.array(fc.constantFrom('v1', 'v2'), {minLength: 1, maxLength: 4}),
	arrivals: fc.array(fc.record({route: fc.constantFrom(...playedRoutes), waitMs: fc.nat(20)}), {minLength: 5, maxLength: 30}),
	waitMs: fc.nat(1300),
});

// Guards against requests that are passed over although a target is free for them: those that need another software version than the ones before.
test('a tick sends the same requests in the same order as if it looked for a target for each', () => {
	let sendCount = 0;
	let keptCount = 0;
	fc.assert(fc.property(play, played => {
		const step = createPlayStep(played);
		const reference = createPlayStep(played);
		advanceQueuedRequests(step);
		for (const request of listInWaitingOrder(reference.state.queuedRequests, reference.state.sendDurations, reference.now)) {
			trySend(reference, request);
		}

		assert.deepEqual(step.effects, reference.effects);
		sendCount += step.effects.length;
		keptCount += step.state.queuedRequests.size;
	}), {seed: 7, numRuns: 300});
	assert.ok(sendCount > 300 && keptCount > 300, `${sendCount} effects, ${keptCount} still wait`);
});
