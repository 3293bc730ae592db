/**
 * Tests how a planned stop ends the requests that are open.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, sendOutcome, type Route, type SendEffect, type SendOutcome,
} from '../index.js';
import {
	createRoute, createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, onceRoute, repeatableRoute, resumableRoute,
} from './gateway-fixture.js';

/** Time from the start of the drain until the responses of open requests are ended, in milliseconds; the settings of the fixture give it. */
const drainLimitMs = 7500;
/** Time that the caller waits, longer than the drain. */
const timeLimitMs = 20_000;
const routes = [onceRoute, repeatableRoute, resumableRoute, createRoute()].map(route => ({...route, timeLimitMs}));
const [slowOnceRoute, slowRepeatableRoute, slowResumableRoute, slowStreamRoute] = routes as [Route, Route, Route, Route];

function createGateway(targetIds: readonly string[] = ['desk-1', 'engine-1']): GatewayFixture {
	return new GatewayFixture().loadDirectory(targetIds, createTables(1, {routes}));
}

function startDrain(gateway: GatewayFixture): void {
	gateway.handle({kind: eventKind.drainRequested, by: 'test'});
}

/** Lets requests of the route take `durationMs` before now. */
function recordDurations(gateway: GatewayFixture, route: Route, durationMs: number): void {
	for (let count = 0; count < 20; count++) {
		gateway.state.routeDurations.record(route.name, durationMs, gateway.now);
	}
}

function endSend(gateway: GatewayFixture, {openId, sendId}: SendEffect, outcome: SendOutcome): void {
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome, detail: 'test',
	});
}

/** Lists the effects that end a response, with the status of a failure. */
function listEnds(gateway: GatewayFixture): string[] {
	return gateway.effects.flatMap(effect => {
		if (effect.kind === effectKind.refuse) {
			return [`${effect.failure.status} ${effect.failure.reason}`];
		}

		return effect.kind === effectKind.breakOff || effect.kind === effectKind.deliverHeld ? [effect.kind] : [];
	});
}

function listLogs(gateway: GatewayFixture): string[] {
	return gateway.effects.flatMap(effect => effect.kind === effectKind.log ? [effect.event] : []);
}

// Guards against requests at silent targets that are cut without any answer at the drain limit (LOST, issue 45).
test('a request that may have run is answered with 502 at the drain limit, and not earlier', () => {
	for (const route of [slowOnceRoute, slowRepeatableRoute, slowStreamRoute]) {
		const gateway = createGateway();
		gateway.receiveRequest(route, {prompt: ['root', 'own']});
		gateway.takeLastSend();
		startDrain(gateway);
		gateway.advance(drainLimitMs - 25);
		assert.deepEqual(listEnds(gateway), []);
		gateway.advance(25);
		assert.deepEqual(listEnds(gateway), ['502 answer-lost']);
		assert.ok(gateway.effects.some(({kind}) => kind === effectKind.cancel), 'the send is canceled');
		assert.ok(listLogs(gateway).includes('failed'));
		assert.equal(gateway.state.openRequests.size, 0);
	}
});

// Guards against failures at the drain limit that leave open whether a request ran although it has not: its caller may not repeat it (issue 45).
test('a request that was provably not sent is answered with 503 at the drain limit', () => {
	const gateway = createGateway();
	gateway.receiveRequest(slowOnceRoute);
	gateway.takeLastSend({opens: false});
	startDrain(gateway);
	gateway.advance(drainLimitMs);
	assert.deepEqual(listEnds(gateway), ['503 draining']);
	assert.ok(listLogs(gateway).includes('refused'));
});

// Guards against a target's error response that is lost at the drain limit (issue 45).
test('a held error response is delivered at the drain limit', () => {
	const gateway = createGateway(['desk-1', 'desk-2']);
	gateway.receiveRequest(slowRepeatableRoute);
	endSend(gateway, gateway.takeLastSend(), sendOutcome.failed);
	gateway.takeLastSend();
	startDrain(gateway);
	gateway.advance(drainLimitMs);
	assert.deepEqual(listEnds(gateway), ['deliver-held']);
});

// Guards against streams that are cut at the drain limit without a log line (issue 45).
test('a stream that has begun is broken off at the drain limit, also one that was just resumed', () => {
	const gateway = createGateway(['engine-1', 'engine-2']);
	gateway.receiveRequest(slowResumableRoute, {prompt: ['root', 'own']});
	const {openId, sendId} = gateway.takeLastSend();
	gateway.handle({kind: eventKind.answerStarted, openId, sendId});
	startDrain(gateway);
	gateway.advance(drainLimitMs - 25);
	endSend(gateway, {...gateway.listSends()[0], openId, sendId} as SendEffect, sendOutcome.interrupted);
	assert.equal(gateway.listSends().length, 1, 'it is resumed');
	gateway.advance(25);
	assert.deepEqual(listEnds(gateway), ['break-off']);
	assert.ok(listLogs(gateway).includes('broken-off'));
});

// Guards against a process that ends before the failures of its last requests are sent, or after it is killed (issue 45).
test('after the drain limit the process ends once all responses are sent, or shortly after', () => {
	const gateway = createGateway();
	gateway.receiveRequest(slowOnceRoute);
	startDrain(gateway);
	gateway.advance(drainLimitMs);
	const listFinishes = () => gateway.effects.filter(effect => effect.kind === effectKind.finishDrain);
	assert.deepEqual(listFinishes().map(({isLimitReached}) => isLimitReached), [false], 'not while a response is being sent');
	gateway.advance(125);
	assert.ok(listFinishes().every(({isLimitReached}) => !isLimitReached));
	gateway.advance(25);
	assert.equal(listFinishes().at(-1)!.isLimitReached, true);
});

// Guards against requests that are cut without an answer by a stop at once (issue 45).
test('a stop at once ends all open requests, with or without a drain before, and refuses all later ones', () => {
	for (const isDraining of [false, true]) {
		const gateway = createGateway();
		gateway.receiveRequest(slowOnceRoute);
		if (isDraining) {
			startDrain(gateway);
		}

		gateway.advance(500);
		gateway.effects = [];
		gateway.handle({kind: eventKind.stopRequested, by: 'test'});
		assert.deepEqual(listEnds(gateway), ['503 draining']);
		assert.ok(gateway.effects.some(({kind}) => kind === effectKind.refuseIncoming));
		assert.ok(listLogs(gateway).includes('stop-started'));
		gateway.receiveRequest(repeatableRoute);
		assert.deepEqual(listEnds(gateway), ['503 draining'], 'although its time limit ends before the drain limit');
		gateway.advance(25);
		const finish = gateway.effects.find(effect => effect.kind === effectKind.finishDrain);
		assert.equal(finish?.isLimitReached, false);
	}
});

// Guards against accepted requests that are refused or broken off as new ones, because the tables change during a drain (LOST, issue 45).
test('a request that was accepted is sent again and resumed during a drain, also after a change of the tables', () => {
	for (const route of [slowOnceRoute, slowRepeatableRoute, slowResumableRoute]) {
		for (const isDraining of [false, true]) {
			const gateway = createGateway(['desk-1', 'desk-2', 'engine-1', 'engine-2']);
			if (isDraining) {
				startDrain(gateway);
				recordDurations(gateway, route, 100);
			}

			gateway.receiveRequest(route, {prompt: ['root', 'own']});
			const first = gateway.takeLastSend();
			const hasBegun = route === slowResumableRoute;
			if (hasBegun) {
				gateway.handle({kind: eventKind.answerStarted, openId: first.openId, sendId: first.sendId});
			}

			startDrain(gateway);
			gateway.advance(4000);
			gateway.applyChanges(2, [createTablesChange(2, createTables(2, {routes}))]);
			endSend(gateway, first, hasBegun ? sendOutcome.interrupted : sendOutcome.rejected);
			assert.deepEqual(listEnds(gateway), [], route.name);
			assert.equal(gateway.listSends().length, 1, route.name);
			assert.notEqual(gateway.takeLastSend().targetId, first.targetId);
		}
	}
});

// Guards against requests that wait for a place when a planned stop ends, and are cut without an answer (issue 45).
test('a request that is queued during a drain is sent as soon as a target registers, or refused as not run at the drain limit', () => {
	const route = {...slowRepeatableRoute, latencyTargetMs: 60_000};
	for (const hasTarget of [true, false]) {
		const gateway = new GatewayFixture().loadDirectory([], createTables(1, {routes: [route]}));
		recordDurations(gateway, route, 100);
		startDrain(gateway);
		gateway.advance(2500);
		gateway.receiveRequest(route);
		assert.equal(gateway.state.queuedRequests.size, 1);
		gateway.advance(3000);
		if (hasTarget) {
			gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1'))]);
			assert.equal(gateway.listSends().length, 1);
		}

		assert.deepEqual(listEnds(gateway), []);
		gateway.advance(drainLimitMs - 5500);
		assert.deepEqual(listEnds(gateway), ['503 draining']);
		assert.equal(gateway.state.queuedRequests.size, 0);
	}
});

// Guards against streams that wait for the decision about a path, between two sends, when the process stops (issue 45).
test('a stream that waits for its next send is broken off by a stop, and a request that may have run is answered with 502', () => {
	for (const hasBegun of [true, false]) {
		const gateway = createGateway(['engine-1']);
		gateway.receiveRequest(slowResumableRoute, {prompt: ['root', 'own']});
		const waiting = gateway.takeLastSend();
		if (hasBegun) {
			gateway.handle({kind: eventKind.answerStarted, openId: waiting.openId, sendId: waiting.sendId});
		}

		gateway.advance(25);
		gateway.receiveRequest(slowResumableRoute, {prompt: ['root', 'other']});
		endSend(gateway, gateway.takeLastSend({opens: false}), sendOutcome.notSent);
		endSend(gateway, waiting, sendOutcome.interrupted);
		assert.ok([...gateway.state.queuedRequests].some(({openId}) => openId === waiting.openId), 'it waits');
		gateway.effects = [];
		gateway.handle({kind: eventKind.stopRequested, by: 'test'});
		assert.deepEqual(listEnds(gateway), [hasBegun ? 'break-off' : '502 answer-lost', '503 draining']);
		assert.equal(gateway.state.openRequests.size, 0);
		assert.equal(gateway.state.queuedRequests.size, 0);
	}
});

// Guards against a peer that ends relayed requests without telling the origin what is known about them (issue 45).
test('a relayed request ends at the drain limit of the peer like any other', () => {
	for (const opens of [true, false]) {
		const gateway = createGateway();
		gateway.createPeerAnswer();
		gateway.receiveRequest(slowOnceRoute, {relayedFrom: {id: 'gateway-9', incarnation: 'i', runLimit: 1}});
		gateway.takeLastSend({opens});
		startDrain(gateway);
		gateway.advance(drainLimitMs);
		assert.deepEqual(listEnds(gateway), [opens ? '502 answer-lost' : '503 draining']);
		gateway.receiveRequest(onceRoute, {relayedFrom: {id: 'gateway-9', incarnation: 'i', runLimit: 1}});
		assert.deepEqual(listEnds(gateway), ['503 draining'], 'the origin may go on elsewhere');
		assert.equal(gateway.state.relayedOpenIds.size, 0);
	}
});
