/**
 * Tests take-ups at instances whose knowledge of the software versions has gaps, which a read of
 * the platform's present state does not show.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, type FactChange, type LogEffect,
} from '../index.js';
import {chooseVersion} from '../lib/versions/stream-version.js';
import {
	createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, resumableRoute as route,
} from './gateway-fixture.js';
import {SimulatedFleet} from './simulated-fleet.js';
import {sendStreams, startVersion, takeUpStreams} from './take-up-plays.js';

/** Time for which instances run before versions change: longer than streams can be taken up, in milliseconds. */
const calmMs = 16_000;

/** Creates a gateway whose reads of the platform are answered by the test, after a time in which one version served. */
function createGateway(): GatewayFixture {
	const gateway = new GatewayFixture();
	gateway.applyChanges(1, [createTablesChange(1, createTables()), createTargetChange(1, createTargetRecord('engine-1'))], 0);
	gateway.canRefresh = false;
	gateway.advance(calmMs);
	return gateway;
}

/** Finds a stream that begins at the second version while both serve with one target each. */
function findStreamOfSecondVersion(): string {
	const counts = new Map([['v1', 1], ['v2', 1]]);
	return Array.from({length: 100}, (_, index) => `stream-${index}`).find(id => chooseVersion(counts, id) === 'v2')!;
}

/** Takes up a stream of the second version; the read of the platform that this starts returns `changes`. */
function takeUp(gateway: GatewayFixture, changes: readonly FactChange[]): void {
	const {epoch, revision} = gateway.state.directory;
	gateway.receiveRequest(route, {resumesAfterEventId: '1', resumedRequestId: findStreamOfSecondVersion()});
	gateway.handle({
		kind: eventKind.directoryRefreshed, startedAt: gateway.now, update: {
			epoch, since: revision, revision: revision + changes.length, changes,
		},
	});
	gateway.advance(200);
}

function listCauses({effects}: GatewayFixture): unknown[] {
	return effects
		.filter((effect): effect is LogEffect => effect.kind === effectKind.log && effect.event === 'take-up-refused')
		.map(({fields}) => fields.cause);
}

const secondVersion = createTargetRecord('engine-2', {softwareVersion: 'v2'});

// Guards against ORDER (issue 52): a version that joined and left while an instance was behind is missing in its history.
test('a stream is not bound if its version may have served only while the instance was behind, and a read shows that', () => {
	const gateway = createGateway();
	takeUp(gateway, [createTargetChange(2, secondVersion), {subject: 'target/engine-2', revision: 3}]);
	assert.deepEqual(gateway.listSends(), []);
	assert.deepEqual(listCauses(gateway), ['uncertain']);
});

// Guards against ORDER (issue 52): the same, when a peer tells the net change before the read.
test('a stream is not bound if its version may have served only while the instance was behind, and a peer told of its removal', () => {
	const gateway = createGateway();
	const peer = new GatewayFixture('gateway-9');
	peer.applyChanges(1, [createTablesChange(1, createTables()), createTargetChange(1, createTargetRecord('engine-1'))], 0);
	peer.applyChanges(2, [createTargetChange(2, secondVersion)]);
	peer.applyChanges(3, [{subject: 'target/engine-2', revision: 3}]);
	const call = gateway.takePeerCall();
	const answer = peer.handle({kind: eventKind.peerCalled, callId: 1, message: {...call.message, wantsUpdate: true}})
		.find(effect => effect.kind === effectKind.answerPeer)!;
	gateway.handle({
		kind: eventKind.peerAnswered, address: call.address, message: answer.message, requestedAt: gateway.now,
	});
	assert.equal(gateway.state.directory.revision, 3);
	takeUp(gateway, []);
	assert.deepEqual(gateway.listSends(), []);
});

for (const cutMs of [10_000, 20_000]) {
	// Guards against ORDER (issue 52): an instance that is cut off begins streams by versions that others take for past.
	test(`no stream goes on at another version that an instance began which had been cut off for ${cutMs / 1000} s`, context => {
		for (const seed of [1, 2, 3]) {
			const fleet = new SimulatedFleet({gatewayCount: 7, engineCount: 7, seed});
			fleet.advance(calmMs);
			const [late, other] = [fleet.nodes[1]!, fleet.nodes[2]!];
			late.isIsolated = true;
			startVersion(fleet, 'v2', 7, cutMs);
			const streams = sendStreams(fleet, late, `stream-${seed}`);
			fleet.restart(late, 10_000);
			fleet.advance(200);
			const counts = takeUpStreams(fleet, other, streams);
			context.diagnostic(`seed ${seed}: ${JSON.stringify(counts)}`);
			assert.equal(counts.joined, 0, `seed ${seed}: ${JSON.stringify(counts)}`);
		}
	});
}

// Guards against ORDER (issue 52): a peer that is behind tells a history that ends before the receiver's own begins.
test('a stream is not bound by the history of a peer that was behind when this instance started', () => {
	const peer = new GatewayFixture('gateway-9');
	peer.applyChanges(1, [createTablesChange(1, createTables()), createTargetChange(1, createTargetRecord('engine-1'))], 0);
	peer.advance(calmMs);
	peer.applyChanges(1, []);
	// The peer reads nothing from here on, while the second version joins and leaves.
	peer.advance(5000);
	const gateway = new GatewayFixture();
	gateway.canRefresh = false;
	gateway.now = peer.now;
	gateway.applyChanges(3, [createTablesChange(1, createTables()), createTargetChange(1, createTargetRecord('engine-1'))], 0);
	const call = gateway.takePeerCall();
	peer.now = gateway.now;
	const answer = peer.handle({kind: eventKind.peerCalled, callId: 1, message: {...call.message, versionsKnownMs: 0}})
		.find(effect => effect.kind === effectKind.answerPeer)!;
	gateway.handle({
		kind: eventKind.peerAnswered, address: call.address, message: answer.message, requestedAt: gateway.now,
	});
	gateway.advance(25);
	takeUp(gateway, []);
	assert.deepEqual(gateway.listSends(), []);
});
