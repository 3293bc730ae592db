/**
 * Tests how an instance tells connections to all targets that open and stay silent from
 * targets that are silent to all, or slow.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, probeResult, responseForm, sendOutcome, type ProbeTargetEffect, type Route, type SendEffect,
} from '../index.js';
import {
	createRoute, createTables, createTablesChange, GatewayFixture, onceRoute, repeatableRoute,
} from './gateway-fixture.js';
import {cutMode, SimulatedFleet} from './simulated-fleet.js';

const route = createRoute();
const gatewayCount = 7;
const engineCount = 13;
const requestsPerSecond = 60;
/** Time of the first sends after which the pool is silent and the path lost at the latest, in milliseconds. */
const lossMs = 2000;

function createFleet(seed: number): {fleet: SimulatedFleet; send: () => void} {
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, callLoss: 0.05,
	});
	const send = () => {
		for (let count = fleet.drawCount(requestsPerSecond); count > 0; count--) {
			fleet.sendRequest(route, [`first-${Math.floor(fleet.random() * 8)}`, `chat-${Math.floor(fleet.random() * 20)}`, `turn-${fleet.requests.length}`]);
		}
	};

	fleet.advance(5000);
	fleet.advance(4000, send);
	return {fleet, send};
}

function assertNoPathIsLost(fleet: SimulatedFleet): void {
	for (const {gateway} of fleet.nodes) {
		assert.ok([...gateway.state.paths.values()].every(({lostSince}) => lostSince === undefined), 'a path is lost');
	}
}

// Guards against probes, which cost targets time, on a day without disruption.
test('no target is probed while all answer (calm day)', () => {
	const {fleet, send} = createFleet(1);
	fleet.advance(30_000, send);
	assert.deepEqual(fleet.probes, []);
});

for (const silentCount of [1, 2, engineCount]) {
	test(`no path is lost and no request refused or lost while ${silentCount} of ${engineCount} targets are silent for 1.2 s`, () => {
		for (const seed of [1, 2, 3]) {
			const {fleet, send} = createFleet(seed);
			const step = () => {
				send();
				assertNoPathIsLost(fleet);
			};

			const from = fleet.requests.length;
			fleet.silentIds = new Set(fleet.listEngineIds().slice(0, silentCount));
			fleet.advance(1200, step);
			fleet.silentIds = new Set();
			fleet.advance(3000, step);
			fleet.advance(2000);
			assert.ok(fleet.requests.slice(from).every(({hasBegun, arrivalCount}) => hasBegun && arrivalCount === 1));
		}
	});
}

test('no path is lost and no request refused sooner than its deadline while the whole pool is silent for good', () => {
	const {fleet, send} = createFleet(4);
	fleet.silentIds = new Set(fleet.listEngineIds());
	const silentAt = fleet.now;
	fleet.advance(4000, () => {
		send();
		assertNoPathIsLost(fleet);
	});
	fleet.advance(1500);
	const early = fleet.requests.filter(({at, refusedAt, refusalStatus}) =>
		at >= silentAt && refusalStatus !== undefined && refusedAt! - at < route.timeLimitMs - 100);
	assert.deepEqual(early, []);
});

test('no path is lost, no request is refused and few targets are probed while all first bytes take 2.5 s', () => {
	const {fleet, send} = createFleet(5);
	fleet.beginDelayMs = 2500;
	const from = fleet.requests.length;
	fleet.advance(10_000, () => {
		send();
		assertNoPathIsLost(fleet);
	});
	fleet.advance(4000);
	assert.ok(fleet.requests.slice(from).every(({hasBegun}) => hasBegun));
	// Each instance finds out a few times that the targets are slow, with two probes.
	assert.ok(fleet.probes.length <= gatewayCount * 20, `${fleet.probes.length} probes`);
});

// Guards against callers who get no answer in the time before the path is known to be lost (RECOVER).
test('most callers are served also in the first three seconds of a cut in which connections open and stay silent', () => {
	const {fleet, send} = createFleet(6);
	const cutAt = fleet.now;
	const cutNodes = fleet.nodes.slice(0, 4);
	for (const node of cutNodes) {
		fleet.setCut(node, cutMode.accepted);
	}

	fleet.advance(3000, send);
	fleet.advance(2000);
	const addresses = new Set(cutNodes.map(({address}) => address));
	const atCut = fleet.requests.filter(({at, receiver}) => at >= cutAt && addresses.has(receiver));
	const served = atCut.filter(({hasBegun}) => hasBegun);
	assert.ok(served.length >= atCut.length * 2 / 3, `${served.length} of ${atCut.length}`);
	assert.ok(atCut.every(({arrivalCount}) => arrivalCount <= 1));
});

/** An instance with targets that accept all and answer nothing, and a peer. */
class SilentPool {
	readonly gateway = new GatewayFixture();

	constructor(targetIds: readonly string[]) {
		// The retry budget leaves room for all retries.
		Object.assign(this.gateway.state.bounds, {retry: {...this.gateway.state.bounds.retry, allowance: 10_000}});
		this.gateway.loadDirectory(targetIds);
		this.gateway.advance(500);
	}

	/** Sends a request of a route; its connection opens. */
	send(sentRoute: Route): number {
		const openId = this.gateway.receiveRequest(sentRoute, {timeoutMs: sentRoute.timeLimitMs});
		this.gateway.takeLastSend();
		return openId;
	}

	takeProbes(): ProbeTargetEffect[] {
		const probes = this.gateway.effects.filter(effect => effect.kind === effectKind.probeTarget);
		this.gateway.effects = this.gateway.effects.filter(effect => effect.kind !== effectKind.probeTarget);
		return probes;
	}

	finishProbe({targetId}: ProbeTargetEffect, result: typeof probeResult[keyof typeof probeResult], startedAt = this.gateway.now): void {
		this.gateway.handle({
			kind: eventKind.targetProbed, targetId, startedAt, result,
		});
	}

	/** Advances the clock while probes stay unanswered, and the peer is served. */
	advance(durationMs: number): void {
		const {gateway} = this;
		for (const end = gateway.now + durationMs; gateway.now < end;) {
			const startedAt = gateway.now;
			const probes = this.takeProbes();
			gateway.advance(100);
			this.reportPeer();
			for (const probe of probes) {
				this.finishProbe(probe, probeResult.unanswered, startedAt);
			}
		}
	}

	reportPeer(): void {
		const message = {...new GatewayFixture('gateway-2').createPeerAnswer(), services: [{pool: 'desk', ageMs: 0}]};
		this.gateway.handle({kind: eventKind.peerCalled, callId: 1, message});
	}

	get path() {
		return this.gateway.state.paths.get('desk')!;
	}
}

const deskIds = ['desk-1', 'desk-2', 'desk-3', 'desk-4'];
const longOnceRoute = {...onceRoute, timeLimitMs: 8000};
const longRepeatableRoute = {...repeatableRoute, timeLimitMs: 8000};
const streamRoute = createRoute({
	name: 'answer', prefix: '/answer/', canResume: true, targetLimit: 2, timeLimitMs: 8000, splits: [{pool: 'desk', weight: 1}], hasPrompts: false,
});

/** Loads routes whose time limits leave room for a decision and a retry. */
function loadLongRoutes(gateway: GatewayFixture): void {
	gateway.applyChanges(2, [createTablesChange(2, createTables(2, {routes: [longOnceRoute, longRepeatableRoute, streamRoute]}))]);
}

// Guards against requests that stay where no answer comes from, and against those that may run once being sent twice.
test('of the sends that stay unanswered, those that may run again go to a peer once the path is lost, and no others', () => {
	const pool = new SilentPool(deskIds);
	loadLongRoutes(pool.gateway);
	const onceIds = [pool.send(longOnceRoute), pool.send(longOnceRoute)];
	const repeatableIds = [pool.send(longRepeatableRoute), pool.send(longRepeatableRoute)];
	pool.advance(lossMs);
	assert.notEqual(pool.path.lostSince, undefined);
	for (const openId of [...onceIds, ...repeatableIds]) {
		const send = pool.gateway.state.openRequests.get(openId)!.currentSend!;
		assert.equal(send.isRelayed, repeatableIds.includes(openId));
	}

	const cancelledIds = pool.gateway.effects.filter(effect => effect.kind === effectKind.cancel).map(({openId}) => openId);
	assert.deepEqual(cancelledIds, repeatableIds);
});

test('what arrives while the pool is silent is not sent to a target, and is relayed or sent once it is known why', () => {
	for (const isAnswering of [true, false]) {
		const pool = new SilentPool(deskIds);
		loadLongRoutes(pool.gateway);
		pool.send(longOnceRoute);
		pool.send(longOnceRoute);
		pool.gateway.advance(400);
		const probes = pool.takeProbes();
		assert.ok(probes.length > 0);
		const openId = pool.gateway.receiveRequest(longOnceRoute);
		assert.deepEqual(pool.gateway.listSends(), []);
		if (isAnswering) {
			pool.finishProbe(probes[0]!, probeResult.answered);
		} else {
			pool.gateway.effects = [...probes];
			pool.advance(lossMs);
		}

		const {currentSend} = pool.gateway.state.openRequests.get(openId)!;
		assert.equal(currentSend?.isRelayed, !isAnswering);
	}
});

test('a lost path is regained when two targets have answered probes, not when connections open', () => {
	const pool = new SilentPool(deskIds);
	loadLongRoutes(pool.gateway);
	pool.send(longOnceRoute);
	pool.send(longOnceRoute);
	pool.advance(lossMs);
	for (const targetId of deskIds) {
		pool.gateway.handle({
			kind: eventKind.targetChecked, targetId, startedAt: pool.gateway.now, isListening: true,
		});
	}

	pool.gateway.advance(100);
	assert.notEqual(pool.path.lostSince, undefined);
	const answering = new Set<string>();
	while (answering.size < 2) {
		assert.notEqual(pool.path.lostSince, undefined);
		for (const probe of pool.takeProbes()) {
			answering.add(probe.targetId);
			pool.finishProbe(probe, probeResult.answered);
		}

		pool.gateway.advance(100);
	}

	assert.equal(pool.path.lostSince, undefined);
});

// Guards against an instance that takes its own pause for a lost path.
test('sends that stay unanswered over a pause of the instance do not make its path suspect (freeze)', () => {
	const pool = new SilentPool(deskIds);
	loadLongRoutes(pool.gateway);
	for (let count = 0; count < 4; count++) {
		pool.send(longOnceRoute);
	}

	pool.gateway.now += 3000;
	pool.gateway.handle({kind: eventKind.tick});
	pool.gateway.advance(200);
	assert.deepEqual(pool.takeProbes(), []);
	assert.equal(pool.path.silence.since, undefined);
});

test('probes that stay unanswered over a pause of the instance show nothing (freeze)', () => {
	const pool = new SilentPool(deskIds);
	loadLongRoutes(pool.gateway);
	pool.send(longOnceRoute);
	pool.send(longOnceRoute);
	pool.gateway.advance(400);
	const startedAt = pool.gateway.now;
	const probes = pool.takeProbes();
	pool.gateway.now += 2000;
	for (const probe of probes) {
		pool.finishProbe(probe, probeResult.unanswered, startedAt);
	}

	assert.equal(pool.path.silence.firstUnansweredAt, undefined);
});

// Guards against a peer that passes itself off as served because a proxy accepts its connections.
test('an instance without traffic probes a target when a peer asks, and reports the pool only once one has answered', () => {
	const pool = new SilentPool(deskIds);
	const {gateway} = pool;
	const message = {...new GatewayFixture('gateway-2').createPeerAnswer(), unreachedPools: ['desk']};
	const ask = () => {
		gateway.effects = [];
		gateway.handle({kind: eventKind.peerCalled, callId: 1, message});
		return gateway.effects.find(effect => effect.kind === effectKind.answerPeer)!.message.services;
	};

	assert.deepEqual(ask(), []);
	const [probe] = pool.takeProbes();
	gateway.handle({
		kind: eventKind.targetChecked, targetId: deskIds[0]!, startedAt: gateway.now, isListening: true,
	});
	assert.deepEqual(ask(), []);
	pool.finishProbe(probe!, probeResult.answered);
	assert.deepEqual(ask()?.map(({pool: name}) => name), ['desk']);
});

test('sends that several targets close without an answer make the path suspect at once', () => {
	const pool = new SilentPool(deskIds);
	for (const targetIds = new Set<string>(); targetIds.size < 3;) {
		pool.gateway.receiveRequest(onceRoute);
		const {openId, sendId, targetId} = pool.gateway.takeLastSend();
		targetIds.add(targetId);
		pool.gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.lost, detail: 'test',
		});
	}

	pool.gateway.advance(25);
	assert.ok(pool.takeProbes().length > 0);
});

/** Starts streams at different targets; their first events have arrived. */
function startStreams(pool: SilentPool, count: number): SendEffect[] {
	loadLongRoutes(pool.gateway);
	const sends: SendEffect[] = [];
	while (new Set(sends.map(({targetId}) => targetId)).size < count) {
		pool.gateway.receiveRequest(streamRoute);
		const send = pool.gateway.takeLastSend();
		pool.gateway.handle({kind: eventKind.answerStarted, openId: send.openId, sendId: send.sendId});
		sends.push(send);
	}

	pool.gateway.advance(100);
	pool.gateway.effects = [];
	return sends;
}

function breakOff(pool: SilentPool, {openId, sendId}: SendEffect): void {
	pool.gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.interrupted, detail: 'test', lastEventId: '1', form: responseForm.chunks,
	});
}

function reportSilence(pool: SilentPool, {openId, sendId}: SendEffect): void {
	pool.gateway.handle({
		kind: eventKind.answerSilent, openId, sendId, lastEventId: '1', silentSince: pool.gateway.now - 50,
	});
}

// Guards against resumable streams that end broken when all connections of an instance are reset: their resumes went over the same lost path (RECOVER).
test('streams that break off together are not resumed until it is known why, and then at targets or over a peer', () => {
	for (const isAnswering of [true, false]) {
		const pool = new SilentPool(deskIds);
		const sends = startStreams(pool, 3);
		for (const send of sends) {
			breakOff(pool, send);
		}

		assert.deepEqual(pool.gateway.listSends(), []);
		pool.gateway.advance(50);
		assert.deepEqual(pool.gateway.listSends(), []);
		if (isAnswering) {
			pool.finishProbe(pool.takeProbes()[0]!, probeResult.answered);
		} else {
			pool.advance(lossMs);
		}

		const resumes = pool.gateway.listSends();
		assert.deepEqual(resumes.map(({openId}) => openId).sort((a, b) => a - b), sends.map(({openId}) => openId).sort((a, b) => a - b));
		assert.ok(resumes.every(({isRelayed, resumeAfterEventId}) => isRelayed !== isAnswering && resumeAfterEventId === '1'));
	}
});

test('a stream that breaks off alone is resumed at once', () => {
	const pool = new SilentPool(deskIds);
	const [send] = startStreams(pool, 1);
	breakOff(pool, send!);
	assert.equal(pool.gateway.listSends().length, 1);
});

test('of several streams, one that breaks off or falls silent alone is resumed within two ticks, without a probe', () => {
	for (const interrupt of [breakOff, reportSilence]) {
		const pool = new SilentPool(deskIds);
		const [send] = startStreams(pool, 3);
		interrupt(pool, send!);
		assert.deepEqual(pool.gateway.listSends(), []);
		pool.gateway.advance(50);
		if (interrupt === reportSilence) {
			assert.ok(pool.gateway.effects.some(effect => effect.kind === effectKind.reportSilence && effect.sendId === send!.sendId));
			reportSilence(pool, send!);
		}

		assert.deepEqual(pool.gateway.listSends().map(({openId}) => openId), [send!.openId]);
		assert.deepEqual(pool.takeProbes(), []);
	}
});

test('streams that fall silent together are given up only when the path is lost, and go on over a peer', () => {
	const pool = new SilentPool(deskIds);
	const sends = startStreams(pool, 3);
	for (const send of sends) {
		reportSilence(pool, send);
	}

	pool.advance(lossMs);
	assert.notEqual(pool.path.lostSince, undefined);
	assert.deepEqual(pool.gateway.listSends(), []);
	const reportedIds = pool.gateway.effects.flatMap(effect => effect.kind === effectKind.reportSilence ? [effect.sendId] : []);
	assert.deepEqual(reportedIds, sends.map(({sendId}) => sendId));
	for (const send of sends) {
		reportSilence(pool, send);
	}

	assert.ok(pool.gateway.listSends().every(({isRelayed}) => isRelayed));
	assert.equal(pool.gateway.listSends().length, sends.length);
});
