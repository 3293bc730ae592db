/**
 * Tests that instances which served a stream, or were told of it, name its software version when
 * it is taken up elsewhere.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, type CallStreamPeerEffect, type StreamMessage,
} from '../index.js';
import {BegunStreams, computeStreamKey} from '../lib/streams/begun-streams.js';
import {GatewayFixture, resumableRoute as route} from './gateway-fixture.js';
import {SimulatedFleet} from './simulated-fleet.js';
import {
	sendStreams, startVersion, takeUpStreams, type FleetNode, type TakeUpCounts,
} from './take-up-plays.js';

/** Share of the streams that go on wherever an instance lives that knows them. */
const minShare = 0.9;
/** Time for which instances run before versions change: longer than streams can be taken up, in milliseconds. */
const calmMs = 16_000;
const gatewayCounts = [7, 60, 195];

type PlayOptions = {
	readonly gatewayCount: number;
	/** Prepares the fleet after a calm time in which one version served. */
	readonly prepare: (fleet: SimulatedFleet, late: FleetNode, engineCount: number) => void;
	/** Kills instances after the streams have begun. */
	readonly kill: (fleet: SimulatedFleet, beginning: FleetNode) => void;
	readonly seed?: number;
};

/** Plays streams that begin at one instance, which is killed, and are taken up at another one. */
function play({
	gatewayCount, prepare, kill, seed = 1,
}: PlayOptions): TakeUpCounts {
	// Enough engines that one instance may begin all streams at once.
	const engineCount = gatewayCount;
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, callLoss: 0.03,
	});
	fleet.advance(calmMs);
	const late = fleet.nodes[1]!;
	const beginning = fleet.nodes.find(node => node !== late && node.gateway.state.isWatching)!;
	prepare(fleet, late, engineCount);
	const streams = sendStreams(fleet, beginning, `stream-${seed}`);
	kill(fleet, beginning);
	fleet.advance(200);
	return takeUpStreams(fleet, late, streams);
}

const killBeginning = (fleet: SimulatedFleet, beginning: FleetNode) => {
	fleet.advance(100);
	fleet.restart(beginning, 10_000);
};

const prepareChange: PlayOptions['prepare'] = (fleet, _late, engineCount) => {
	startVersion(fleet, 'v2', engineCount, 500);
};

const troubles: ReadonlyArray<readonly [string, PlayOptions['prepare']]> = [
	['at an instance that is in step while versions change', prepareChange],
	['at an instance that started after the change', (fleet, late, engineCount) => {
		prepareChange(fleet, late, engineCount);
		fleet.restart(late, 500);
		fleet.advance(2500);
	}],
	['while the platform cannot be read', fleet => {
		fleet.isPlatformDown = true;
		fleet.advance(3000);
	}],
	['at an instance that is cut off from the platform while versions change', (fleet, late, engineCount) => {
		late.canReadPlatform = false;
		prepareChange(fleet, late, engineCount);
		fleet.advance(2500);
	}],
];

for (const gatewayCount of gatewayCounts) {
	for (const [what, prepare] of troubles) {
		// Guards against LOST (issue 52): take-ups are refused although instances live that served the stream or could have been told.
		test(`nine tenths of the streams of an instance that was killed go on ${what} (${gatewayCount} instances)`, context => {
			for (const seed of [1, 2]) {
				const counts = play({
					gatewayCount, prepare, kill: killBeginning, seed,
				});
				context.diagnostic(`seed ${seed}: ${JSON.stringify(counts)}`);
				assert.equal(counts.joined, 0);
				assert.ok(counts.goingOn >= minShare * (counts.goingOn + counts.refused), JSON.stringify(counts));
			}
		});
	}

	test(`no stream goes on at another version when all instances that knew it were killed (${gatewayCount} instances)`, context => {
		const counts = play({
			gatewayCount, prepare: prepareChange, kill(fleet) {
				for (const node of fleet.nodes) {
					fleet.restart(node, 500);
				}

				fleet.advance(2500);
			},
		});
		context.diagnostic(JSON.stringify(counts));
		assert.equal(counts.joined, 0);
	});
}

test('peers are told nothing while one version serves and the platform is read', () => {
	const fleet = new SimulatedFleet({gatewayCount: 7, engineCount: 13, seed: 1});
	fleet.advance(calmMs);
	sendStreams(fleet, fleet.nodes[0]!, 'stream');
	fleet.advance(2000);
	assert.equal(fleet.streamCallCount, 0);
	fleet.softwareVersion = 'v2';
	fleet.addEngine();
	fleet.advance(1000);
	assert.ok(fleet.streamCallCount > 0, 'streams that can still be taken up are told when versions change');
});

test('a stream that was begun at two versions has none, and streams are dropped after the time in which they can be taken up', () => {
	const streams = new BegunStreams();
	streams.record('a', 'v1', 'engines', 1000);
	streams.record('b', 'v1', 'engines', 2000);
	streams.applyShared([['b', 'v2'], ['c', 'v2']], 3000);
	assert.deepEqual(streams.describe(['a', 'b', 'c', 'd']), [['a', 'v1'], ['c', 'v2']]);
	streams.expire(2500);
	assert.deepEqual(streams.describe(['a', 'b', 'c']), [['c', 'v2']]);
	assert.deepEqual(streams.listUnsharedPools(), ['engines'], 'b was recorded again');
	streams.expire(3500);
	assert.deepEqual(streams.listUnsharedPools(), []);
});

test('each stream is told once, and not those that peers told', () => {
	const streams = new BegunStreams();
	for (const key of ['a', 'b', 'c']) {
		streams.record(key, 'v1', 'engines', 1000);
	}

	streams.applyShared([['d', 'v1']], 1000);
	assert.deepEqual(streams.takeUnshared('engines', 2), [['a', 'v1'], ['b', 'v1']]);
	streams.record('a', 'v1', 'engines', 1100);
	assert.deepEqual(streams.takeUnshared('engines', 2), [['c', 'v1']]);
	assert.deepEqual(streams.takeUnshared('engines', 2), []);
});

test('the key of a stream depends on its client account', () => {
	assert.equal(computeStreamKey('stream', 'amina'), computeStreamKey('stream', 'amina'));
	assert.notEqual(computeStreamKey('stream', 'amina'), computeStreamKey('stream', 'ben'));
	assert.notEqual(computeStreamKey('stream', undefined), computeStreamKey('stream', 'amina'));
	assert.ok(computeStreamKey('x'.repeat(100_000), 'amina').length < 20);
});

const peer = {
	id: 'gateway-9', incarnation: 'i', address: 'gateway-9:1', zone: 'zone-b', ageMs: 0,
};

/** Creates a gateway that knows `peer`, and cannot read the platform any more. */
function createGateway(): GatewayFixture {
	const gateway = new GatewayFixture().loadDirectory(['engine-1']);
	gateway.createPeerAnswer();
	gateway.advance(calmMs / 8);
	gateway.createPeerAnswer();
	gateway.canRefresh = false;
	gateway.effects = [];
	return gateway;
}

function takeUpAt(gateway: GatewayFixture): string {
	gateway.receiveRequest(route, {resumesAfterEventId: '1', resumedRequestId: 'stream-1'});
	return computeStreamKey('stream-1', 'amina');
}

function listStreamCalls({effects}: GatewayFixture): CallStreamPeerEffect[] {
	return effects.filter((effect): effect is CallStreamPeerEffect => effect.kind === effectKind.callStreamPeer);
}

test('a take-up goes on as soon as a member names its version, and nobody else is believed', () => {
	const gateway = createGateway();
	const key = takeUpAt(gateway);
	gateway.advance(25);
	assert.deepEqual(listStreamCalls(gateway).map(({address, message}) => [address, message.askedKeys]), [['gateway-9:1', [key]]]);
	const message: StreamMessage = {from: {id: 'gateway-8', incarnation: 'i'}, streams: [[key, 'v1']], askedKeys: []};
	gateway.handle({kind: eventKind.streamPeerCalled, callId: 1, message});
	assert.deepEqual(gateway.listSends(), [], 'the sender is no member');
	gateway.handle({
		kind: eventKind.streamPeerAnswered, address: peer.address, askedKeys: [key], message: {...message, from: peer},
	});
	assert.equal(gateway.listSends().length, 1);
});

test('an instance responds with the versions that it knows, whoever asks', () => {
	const gateway = createGateway();
	gateway.receiveRequest(route, {requestId: 'stream-1'});
	const {openId, sendId} = gateway.takeLastSend();
	gateway.handle({kind: eventKind.answerStarted, openId, sendId});
	const key = computeStreamKey('stream-1', 'amina');
	gateway.effects = [];
	gateway.handle({
		kind: eventKind.streamPeerCalled, callId: 7, message: {from: {id: 'gateway-8', incarnation: 'i'}, streams: [], askedKeys: [key, 'other']},
	});
	assert.deepEqual(gateway.effects, [{
		kind: effectKind.answerStreamPeer, callId: 7, message: {from: {id: 'gateway-1', incarnation: 'gateway-1-i'}, streams: [[key, 'v1']], askedKeys: []},
	}]);
});

test('a take-up is refused at once when the platform cannot be read and no peer that was asked knows its stream', () => {
	const gateway = createGateway();
	const key = takeUpAt(gateway);
	gateway.advance(25);
	for (let count = 0; count < 2; count++) {
		gateway.handle({kind: eventKind.directoryRefreshed, startedAt: gateway.now, fault: 'store-unreachable'});
	}

	assert.deepEqual(gateway.listRefusalStatuses(), [], 'a peer may still know it');
	gateway.handle({
		kind: eventKind.streamPeerAnswered, address: peer.address, askedKeys: [key], fault: 'timeout',
	});
	assert.deepEqual(gateway.listRefusalStatuses(), [503]);
});
