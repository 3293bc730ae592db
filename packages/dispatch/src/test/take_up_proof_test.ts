/**
 * Tests that an instance names the software version of a stream that another one began only if
 * it certainly knows all versions that were in service.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, type FactChange, type LogEffect, type RefuseEffect,
} from '../index.js';
import {
	createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, resumableRoute as route,
} from './gateway-fixture.js';
import {SimulatedFleet} from './simulated-fleet.js';
import {
	sendStreams, startVersion, takeUpStreams, type TakeUpCounts,
} from './take-up-plays.js';

/** Time for which instances run before versions change: longer than streams can be taken up, in milliseconds. */
const calmMs = 16_000;
/** Time after which a read may follow another one, in milliseconds. */
const refreshIntervalMs = 50;

/** Plays a new version that joins while an instance is paused or cut off; its streams begin elsewhere and are taken up at that instance. */
function playOutOfStep(gatewayCount: number, {
	versions, outOfStepMs, isPaused, seed,
}: {versions: readonly string[]; outOfStepMs: number; isPaused: boolean; seed: number}): TakeUpCounts {
	// Enough engines that one instance may begin all streams at once.
	const engineCount = Math.max(3, gatewayCount);
	const fleet = new SimulatedFleet({gatewayCount, engineCount, seed});
	fleet.advance(calmMs);
	const late = fleet.nodes[1]!;
	const beginning = fleet.nodes.find(node => node !== late && node.gateway.state.isWatching)!;
	for (const version of versions.slice(0, -1)) {
		startVersion(fleet, version, engineCount, calmMs);
	}

	const until = fleet.now + outOfStepMs;
	if (isPaused) {
		fleet.pause(late, outOfStepMs);
	} else {
		late.isIsolated = true;
	}

	startVersion(fleet, versions.at(-1)!, engineCount, outOfStepMs - 400);
	const streams = sendStreams(fleet, beginning, `stream-${seed}`);
	assert.ok([...streams.values()].filter(version => version === versions.at(-1)).length >= 5, 'the new version serves');
	fleet.restart(beginning, 10_000);
	fleet.advance(until - fleet.now - 25);
	return takeUpStreams(fleet, late, streams);
}

for (const gatewayCount of [2, 7, 60]) {
	for (const isPaused of [true, false]) {
		for (const [versions, outOfStepMs] of [[['v2'], 900], [['v2'], 2500], [['v2', 'v3'], 900]] as const) {
			const what = isPaused ? 'was paused' : 'is cut off from store and peers';
			// Guards against ORDER (issue 52): an instance that does not know the newest version takes its own versions for all that there were.
			test(`no stream goes on at another version at an instance that ${what} for ${outOfStepMs} ms while ${versions.at(-1)} joined (${gatewayCount} instances)`, context => {
				for (const seed of [1, 2, 3]) {
					const outcome = playOutOfStep(gatewayCount, {
						versions, outOfStepMs, isPaused, seed,
					});
					context.diagnostic(`seed ${seed}: ${JSON.stringify(outcome)}`);
					assert.equal(outcome.joined, 0, `seed ${seed}: ${JSON.stringify(outcome)}`);
				}
			});
		}
	}
}

/** Creates a gateway whose reads of the platform are answered by the test, after a time in which one version served. */
function createGateway(): GatewayFixture {
	const gateway = new GatewayFixture();
	gateway.applyChanges(1, [createTablesChange(1, createTables()), createTargetChange(1, createTargetRecord('engine-1'))], 0);
	gateway.canRefresh = false;
	gateway.advance(calmMs);
	return gateway;
}

function takeUpAt(gateway: GatewayFixture): number {
	return gateway.receiveRequest(route, {resumesAfterEventId: '1', resumedRequestId: 'stream-1'});
}

function countRefreshes({effects}: GatewayFixture): number {
	return effects.filter(({kind}) => kind === effectKind.refreshDirectory).length;
}

function answerRefresh(gateway: GatewayFixture, startedAt: number, changes: readonly FactChange[] = []): void {
	const {revision, epoch} = gateway.state.directory;
	gateway.handle({
		kind: eventKind.directoryRefreshed, startedAt, update: {
			epoch, since: revision, revision: revision + changes.length, changes,
		},
	});
}

function failRefresh(gateway: GatewayFixture): void {
	gateway.handle({kind: eventKind.directoryRefreshed, startedAt: gateway.now, fault: 'store-unreachable'});
}

function listReasons({effects}: GatewayFixture): string[] {
	return effects.filter((effect): effect is RefuseEffect => effect.kind === effectKind.refuse).map(({failure}) => `${failure.status} ${failure.reason}`);
}

function listLogs({effects}: GatewayFixture, event: string): Array<LogEffect['fields']> {
	return effects.filter((effect): effect is LogEffect => effect.kind === effectKind.log && effect.event === event).map(({fields}) => fields);
}

test('a take-up waits for a read of the platform that began after it arrived', () => {
	const gateway = createGateway();
	takeUpAt(gateway);
	assert.equal(countRefreshes(gateway), 1);
	assert.deepEqual(gateway.listSends(), []);
	const startedAt = gateway.now;
	gateway.advance(50);
	takeUpAt(gateway);
	assert.equal(countRefreshes(gateway), 0, 'one read at a time');
	answerRefresh(gateway, startedAt);
	assert.equal(gateway.listSends().length, 1, 'only the first one arrived before the read began');
	assert.equal(countRefreshes(gateway), 1);
	answerRefresh(gateway, gateway.now);
	assert.equal(gateway.listSends().length, 2);
	assert.deepEqual(listLogs(gateway, 'take-up-bound').map(({softwareVersion, waitedMs}) => ({softwareVersion, waitedMs})), [
		{softwareVersion: 'v1', waitedMs: 50}, {softwareVersion: 'v1', waitedMs: 0},
	]);
});

// Guards against ORDER (issue 52): a peer's call that waited on its way looks as if the directory had been confirmed when it was handled.
test('neither a peer\'s call nor a watch that ends proves that all versions are known', () => {
	const gateway = createGateway();
	const peer = new GatewayFixture('gateway-9');
	peer.applyChanges(1, [createTablesChange(1, createTables()), createTargetChange(1, createTargetRecord('engine-1'))], 0);
	takeUpAt(gateway);
	gateway.handle({kind: eventKind.peerCalled, callId: 1, message: peer.createPeerAnswer()});
	gateway.applyChanges(1, []);
	gateway.advance(100);
	assert.deepEqual(gateway.listSends(), []);
	answerRefresh(gateway, gateway.now, [createTargetChange(2, createTargetRecord('engine-2', {softwareVersion: 'v2'}))]);
	assert.equal(gateway.state.pendingTakeUps.size, 0);
});

test('a take-up is refused as not run when its read fails twice, or does not end in time', () => {
	const gateway = createGateway();
	takeUpAt(gateway);
	failRefresh(gateway);
	assert.equal(countRefreshes(gateway), 1, 'not at once');
	gateway.advance(refreshIntervalMs);
	assert.equal(countRefreshes(gateway), 2, 'the read is repeated');
	failRefresh(gateway);
	assert.deepEqual(listReasons(gateway), ['503 version-unknown']);
	assert.deepEqual(listLogs(gateway, 'take-up-refused').map(({cause}) => cause), ['unproved']);
	takeUpAt(gateway);
	gateway.advance(975);
	assert.deepEqual(listReasons(gateway), []);
	gateway.advance(25);
	assert.deepEqual(listReasons(gateway), ['503 version-unknown']);
	assert.equal(gateway.state.openRequests.size, 0);
});

// Guards against a platform that turns all instances away because each of them reads it for each take-up (review of issue 52).
test('take-ups that arrive one after another share reads of the platform', () => {
	const gateway = createGateway();
	let readCount = 0;
	let boundCount = 0;
	for (let index = 0; index < 40; index++) {
		takeUpAt(gateway);
		readCount += countRefreshes(gateway);
		if (countRefreshes(gateway) > 0) {
			answerRefresh(gateway, gateway.now);
		}

		boundCount += listLogs(gateway, 'take-up-bound').length;
		gateway.effects = [];
		gateway.advance(25);
		readCount += countRefreshes(gateway);
		if (countRefreshes(gateway) > 0) {
			answerRefresh(gateway, gateway.now);
		}

		boundCount += listLogs(gateway, 'take-up-bound').length;
		gateway.effects = [];
	}

	assert.ok(readCount <= 1 + (1000 / refreshIntervalMs), `${readCount} reads in a second`);
	assert.ok(boundCount >= 38, `${boundCount} of 40 take-ups are bound`);
});

test('a take-up that waits ends like other requests: its caller leaves, or the process stops', () => {
	const gateway = createGateway();
	const openId = takeUpAt(gateway);
	gateway.handle({kind: eventKind.callerLeft, openId});
	assert.equal(gateway.state.pendingTakeUps.size, 0);
	takeUpAt(gateway);
	gateway.handle({kind: eventKind.stopRequested, by: 'test'});
	assert.deepEqual(listReasons(gateway), ['503 draining']);
	answerRefresh(gateway, gateway.now);
	assert.deepEqual(gateway.listSends(), []);
	assert.equal(gateway.state.pendingTakeUps.size, 0);
});
