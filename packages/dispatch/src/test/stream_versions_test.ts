/**
 * Tests that a resumable stream stays at the software version that began it, inside one
 * response and when its caller takes it up at another instance.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, sendOutcome, type FactChange, type RefuseEffect, type SendEffect,
} from '../index.js';
import {chooseVersion} from '../lib/versions/stream-version.js';
import {verdict} from '../lib/targets/target-health.js';
import {TargetPath} from '../lib/paths/target-paths.js';
import {
	createRoute, createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, repeatableRoute, resumableRoute,
} from './gateway-fixture.js';

const route = {...resumableRoute, targetLimit: 4};
const onceOnlyRoute = createRoute();
const tables = createTables(1, {
	routes: [onceOnlyRoute, repeatableRoute, route], pools: [{name: 'engines', coldRatePerS: 0}, {name: 'desk', coldRatePerS: 0}],
});
/** Time for which a stream that was taken up once may last, and within which all instances know a change, in milliseconds. */
const streamWindowMs = (2 * route.timeLimitMs) + 3000;

function createVersionChanges(revision: number, targets: Readonly<Record<string, string>>): FactChange[] {
	return Object.entries(targets).map(([id, softwareVersion]) => createTargetChange(revision, createTargetRecord(id, {softwareVersion})));
}

const twoVersions = {
	'engine-1': 'v1', 'engine-2': 'v1', 'engine-3': 'v1', 'engine-4': 'v2', 'engine-5': 'v2', 'engine-6': 'v2',
};

function createGateway(targets: Readonly<Record<string, string>> = twoVersions, id = 'gateway-1'): GatewayFixture {
	const gateway = new GatewayFixture(id);
	gateway.applyChanges(1, [createTablesChange(1, tables), ...createVersionChanges(1, targets)], 0);
	return gateway;
}

function findVersion({state}: GatewayFixture, {targetId}: SendEffect): string {
	return state.targets.byId.get(targetId)!.record.softwareVersion;
}

function endSend(gateway: GatewayFixture, {openId, sendId}: SendEffect, outcome: typeof sendOutcome[keyof typeof sendOutcome], lastEventId?: string): void {
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome, detail: 'test', lastEventId,
	});
}

/** Fails a send, without an effect on later ones: health and retry budget are as before it. */
function loseSend(gateway: GatewayFixture, send: SendEffect, outcome: typeof sendOutcome[keyof typeof sendOutcome], lastEventId?: string): void {
	gateway.state.retryBudgets.clear();
	endSend(gateway, send, outcome, lastEventId);
	for (const {health} of gateway.state.targets.byId.values()) {
		health.ejectedUntil = 0;
	}
}

function startResponse(gateway: GatewayFixture, {openId, sendId}: SendEffect): void {
	gateway.handle({kind: eventKind.answerStarted, openId, sendId});
}

/** Begins streams and ends them; returns the version of each by its request identifier. */
function beginStreams(gateway: GatewayFixture, count: number, prefix = 'stream'): Map<string, string> {
	const versions = new Map<string, string>();
	for (let index = 0; index < count; index++) {
		const requestId = `${prefix}-${index}`;
		gateway.receiveRequest(route, {requestId, prompt: ['root', `doc-${index % 5}`, requestId]});
		const send = gateway.takeLastSend();
		versions.set(requestId, findVersion(gateway, send));
		startResponse(gateway, send);
		endSend(gateway, send, sendOutcome.complete);
		gateway.advance(100);
	}

	return versions;
}

function listReasons({effects}: GatewayFixture): string[] {
	return effects.filter((effect): effect is RefuseEffect => effect.kind === effectKind.refuse).map(({failure}) => `${failure.status} ${failure.reason}`);
}

/** Takes up a stream; returns the version at which it goes on, or why it does not. */
function takeUp(gateway: GatewayFixture, resumedRequestId: string | undefined, requestId?: string): string {
	gateway.receiveRequest(route, {
		requestId, resumesAfterEventId: '7', resumedRequestId, prompt: ['root', 'doc-1', 'own'],
	});
	const reasons = listReasons(gateway);
	if (reasons.length > 0) {
		assert.deepEqual(gateway.listSends(), []);
		return reasons.join(', ');
	}

	const send = gateway.takeLastSend();
	endSend(gateway, send, sendOutcome.complete);
	return findVersion(gateway, send);
}

/** Counts values, for messages. */
function countValues(values: Iterable<string>): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const value of values) {
		counts[value] = (counts[value] ?? 0) + 1;
	}

	return counts;
}

const unknown = '503 version-unknown';

// Guards against ORDER: the gateway resumes a stream inside one response at another software version than the one that began it (issue 48).
test('a stream that breaks off is resumed at a target with the software version that began it', () => {
	const gateway = createGateway();
	let mixedCount = 0;
	for (let index = 0; index < 60; index++) {
		gateway.receiveRequest(route, {prompt: ['root', `doc-${index}`, `own-${index}`]});
		const first = gateway.takeLastSend();
		startResponse(gateway, first);
		loseSend(gateway, first, sendOutcome.interrupted, '3');
		const second = gateway.takeLastSend();
		loseSend(gateway, second, sendOutcome.interrupted, '5');
		const third = gateway.takeLastSend();
		mixedCount += new Set([first, second, third].map(send => findVersion(gateway, send))).size - 1;
		endSend(gateway, third, sendOutcome.complete);
		gateway.advance(2000);
	}

	assert.equal(mixedCount, 0, `${mixedCount} of 60 streams hold events from two versions`);
});

// Guards against ORDER: a stream whose version has no other target goes on at another version (issue 48).
test('a stream that breaks off ends there if no other target has its software version', () => {
	const gateway = createGateway({'engine-1': 'v1', 'engine-2': 'v2', 'engine-3': 'v2'});
	let id = 0;
	let first: SendEffect;
	do {
		gateway.receiveRequest(route, {requestId: `r-${id++}`});
		first = gateway.takeLastSend();
	} while (first.targetId !== 'engine-1');

	startResponse(gateway, first);
	loseSend(gateway, first, sendOutcome.interrupted, '3');
	assert.deepEqual(gateway.listSends(), []);
	assert.ok(gateway.effects.some(({kind, ...effect}) => kind === effectKind.breakOff && 'openId' in effect && effect.openId === first.openId));
});

// Guards against ORDER: a silent target was started again under its id with another software version, and the stream returns there (issue 48).
test('a stream does not return to a silent target that was started again with another software version', () => {
	for (const [softwareVersion, sendCount] of [['v1', 1], ['v2', 0]] as const) {
		const gateway = createGateway({'engine-1': 'v1', 'engine-2': 'v1'});
		gateway.receiveRequest({...route, targetLimit: 2});
		const first = gateway.takeLastSend();
		startResponse(gateway, first);
		const silentSince = gateway.now;
		gateway.advance(1200);
		gateway.handle({
			kind: eventKind.answerSilent, openId: first.openId, sendId: first.sendId, silentSince, lastEventId: '3',
		});
		const second = gateway.takeLastSend();
		assert.notEqual(second.targetId, first.targetId);
		gateway.applyChanges(2, [createTargetChange(2, createTargetRecord(first.targetId, {softwareVersion, bornAt: 2}))]);
		gateway.effects = [];
		loseSend(gateway, second, sendOutcome.interrupted, '3');
		assert.equal(gateway.listSends().length, sendCount, softwareVersion);
	}
});

// Guards against ORDER: callers take up streams at another instance, which sends them to any software version (issue 48).
test('streams that callers take up at another instance go on at the software version that began them', () => {
	const begin = createGateway();
	const other = createGateway(twoVersions, 'gateway-2');
	other.advance(streamWindowMs);
	const versions = beginStreams(begin, 40);
	assert.ok(Object.values(countValues(versions.values())).every(count => count >= 10), JSON.stringify(countValues(versions.values())));
	const results = [...versions].map(([requestId, version]) => takeUp(other, requestId) === version);
	assert.equal(results.filter(isSame => !isSame).length, 0, 'streams that go on elsewhere, of 40');
});

// Guards against ORDER: the versions in service change between the begin of a stream and its take-up; guards against LOST: all such take-ups are refused (issue 48).
test('after a change of the software versions, streams go on at the version that began them, and few are refused', () => {
	for (const [changed, maxRefused] of [
		[{'engine-7': 'v2'}, 0.2], [{'engine-7': 'v3'}, 0.35], [{'engine-1': 'v2'}, 0.35],
	] as const) {
		const begin = createGateway();
		const other = createGateway(twoVersions, 'gateway-2');
		other.advance(streamWindowMs);
		const versions = beginStreams(begin, 60);
		for (const gateway of [begin, other]) {
			gateway.applyChanges(2, createVersionChanges(2, changed).map(({fact, ...change}) => ({
				...change, fact: fact?.kind === 'target' ? {...fact, target: {...fact.target, bornAt: 2}} : fact,
			})));
		}

		for (const [requestId, version] of beginStreams(begin, 60, 'later')) {
			versions.set(requestId, version);
		}

		const results = [...versions].map(([requestId, version]) => [version, takeUp(other, requestId)]);
		const refused = results.filter(([, result]) => result === unknown);
		const wrong = results.filter(([version, result]) => result !== unknown && result !== version);
		assert.equal(wrong.length, 0, `${wrong.length} of 120 streams go on at another version after ${JSON.stringify(changed)}`);
		assert.ok(refused.length <= 120 * maxRefused, `${refused.length} of 120 are refused after ${JSON.stringify(changed)}`);
		other.advance(streamWindowMs + 100);
		for (const [requestId, version] of beginStreams(begin, 20, 'last')) {
			assert.equal(takeUp(other, requestId), version, 'the change is over');
		}
	}
});

// Guards against ORDER (issue 52): a stream that was taken up before is older than the route's time limit, and the versions that began it count no more.
test('a stream that was taken up once does not go on at another version when it is taken up again', () => {
	const begin = createGateway({'engine-1': 'v1', 'engine-2': 'v1'});
	const other = createGateway({'engine-1': 'v1', 'engine-2': 'v1'}, 'gateway-2');
	for (const gateway of [begin, other]) {
		gateway.advance(streamWindowMs);
	}

	const versions = beginStreams(begin, 40);
	other.advance(begin.now - other.now);
	other.applyChanges(2, createVersionChanges(2, {'engine-3': 'v2', 'engine-4': 'v2'}));
	for (let ageMs = 500; ageMs < 2 * route.timeLimitMs; ageMs += 500) {
		other.advance(500);
		const results = [...versions].map(([requestId, version]) => [version, takeUp(other, requestId)]);
		assert.deepEqual(results.filter(([version, result]) => result !== unknown && result !== version), [], `${ageMs} ms after the change`);
	}

	assert.deepEqual(new Set(versions.values()), new Set(['v1']));
});

test('a stream is refused at once as not run while an instance does not know which versions may have begun it', () => {
	const fresh = createGateway();
	assert.equal(takeUp(fresh, 'stream-1'), unknown);
	fresh.receiveRequest(route, {requestId: 'new'});
	assert.equal(fresh.listSends().length, 1, 'new streams are served');
	const begin = createGateway(twoVersions, 'gateway-2');
	fresh.advance(streamWindowMs);
	for (const [requestId, version] of beginStreams(begin, 20)) {
		assert.equal(takeUp(fresh, requestId), version);
	}
});

test('a stream whose software version has no target any more is refused at once', () => {
	const gateway = createGateway();
	const versions = beginStreams(createGateway(twoVersions, 'gateway-2'), 20);
	gateway.advance(streamWindowMs);
	gateway.applyChanges(2, ['engine-1', 'engine-2', 'engine-3'].map(id => createTargetChange(2, createTargetRecord(id, {softwareVersion: 'v1', isLeaving: true}))));
	gateway.advance(100);
	for (const [requestId, version] of versions) {
		assert.ok(version === 'v2' || takeUp(gateway, requestId).startsWith('503 '), requestId);
	}

	assert.equal(takeUp(gateway, undefined), unknown);
});

test('a take-up without the identifier of the first attempt goes on only if all targets have had one software version', () => {
	const single = createGateway({'engine-1': 'v1', 'engine-2': 'v1'});
	const several = createGateway();
	for (const gateway of [single, several]) {
		gateway.advance(streamWindowMs);
	}

	assert.equal(takeUp(single, undefined), 'v1');
	assert.equal(takeUp(single, 'stream-1'), 'v1');
	assert.equal(takeUp(several, undefined), unknown);
});

test('a request that names an earlier attempt but no event begins a new stream, whose version follows from its own identifier', () => {
	const gateway = createGateway();
	gateway.advance(streamWindowMs);
	for (let index = 0; index < 20; index++) {
		const requestId = `new-${index}`;
		gateway.receiveRequest(route, {requestId, resumedRequestId: `other-${index}`});
		const version = findVersion(gateway, gateway.takeLastSend());
		assert.equal(takeUp(gateway, requestId), version);
	}
});

test('a stream that is taken up stays at its version when the send fails', () => {
	const gateway = createGateway();
	gateway.advance(streamWindowMs);
	for (const [requestId, version] of beginStreams(gateway, 10)) {
		gateway.receiveRequest(route, {resumesAfterEventId: '7', resumedRequestId: requestId});
		for (let attempt = 0; attempt < 3; attempt++) {
			const send = gateway.takeLastSend({opens: false});
			assert.equal(findVersion(gateway, send), version);
			loseSend(gateway, send, sendOutcome.rejected);
		}

		assert.deepEqual(gateway.listSends(), [], 'each target of the version has rejected it');
	}
});

test('other requests use the targets of all software versions as before', () => {
	for (const other of [onceOnlyRoute, repeatableRoute]) {
		const pool = other === repeatableRoute ? 'desk' : 'engines';
		const targets = Object.fromEntries(Object.entries(twoVersions).map(([id, version]) => [id.replace('engine', pool === 'desk' ? 'desk' : 'engine'), version]));
		const gateway = createGateway(targets);
		const counts = new Map([['v1', 3], ['v2', 3]]);
		let otherCount = 0;
		for (let index = 0; index < 40; index++) {
			const requestId = `other-${index}`;
			gateway.receiveRequest(other, {requestId, prompt: ['root', `doc-${index}`, 'own'], resumesAfterEventId: '3'});
			const send = gateway.takeLastSend();
			endSend(gateway, send, sendOutcome.complete);
			otherCount += findVersion(gateway, send) === chooseVersion(counts, requestId) ? 0 : 1;
		}

		assert.ok(otherCount >= 10, `${otherCount} of 40`);
	}
});

// Guards against LOST: the targets of one software version are ejected, and its streams are refused although these targets serve.
test('a stream goes to an ejected target if all targets of its software version are, as in a pool of such targets', () => {
	const gateway = createGateway();
	gateway.advance(streamWindowMs);
	for (const id of ['engine-1', 'engine-2', 'engine-3']) {
		const {health} = gateway.state.targets.byId.get(id)!;
		health.ejectedUntil = gateway.now + 60_000;
		health.lastVerdict = verdict.lost;
	}

	for (const [requestId, version] of beginStreams(gateway, 20)) {
		assert.equal(takeUp(gateway, requestId), version);
		assert.equal(chooseVersion(new Map([['v1', 3], ['v2', 3]]), requestId), version);
	}
});

// Guards against ORDER: a peer that relays a resume sends it to another software version (issue 48).
test('a peer uses only targets of the software version that a relayed request needs', () => {
	const peer = createGateway();
	const caller = createGateway(twoVersions, 'gateway-9');
	caller.handle({kind: eventKind.settingsChanged, seedAddresses: ['gateway-1:1']});
	peer.createPeerAnswer();
	for (const softwareVersion of ['v1', 'v2']) {
		for (let index = 0; index < 20; index++) {
			peer.receiveRequest(route, {
				resumesAfterEventId: '3', prompt: ['root', `doc-${index}`, 'own'],
				relayedFrom: {
					id: 'gateway-9', incarnation: 'i', runLimit: 4, softwareVersion,
				},
			});
			const send = peer.takeLastSend();
			assert.equal(findVersion(peer, send), softwareVersion);
			endSend(peer, send, sendOutcome.complete);
		}
	}

	peer.receiveRequest(route, {
		resumesAfterEventId: '3', relayedFrom: {
			id: 'gateway-9', incarnation: 'i', runLimit: 4, softwareVersion: 'v3',
		},
	});
	assert.deepEqual(peer.listSends(), []);
});

// Guards against ORDER: a peer is not told which software version a stream needs, or its statement which one responded is lost (issue 48).
test('an instance without a path tells the peer that relays a request which software version to use, and is bound to the one that responded', () => {
	const gateway = createGateway();
	const path = new TargetPath();
	gateway.state.paths.set('engines', path);
	gateway.advance(streamWindowMs);
	for (const id of Object.keys(twoVersions)) {
		path.recordUnreached(id, gateway.now);
	}

	gateway.advance(50);
	const counts = new Map([['v1', 3], ['v2', 3]]);
	for (let index = 0; index < 20; index++) {
		gateway.state.relayPeers.applyServices({
			id: 'gateway-2', incarnation: 'i', address: 'gateway-2:1', zone: 'zone-a', ageMs: 0,
		}, [{pool: 'engines', ageMs: 0}], gateway.now, gateway.now);
		path.update(6, gateway.now, gateway.now);
		const requestId = `relayed-${index}`;
		const isTakeUp = index % 2 === 1;
		const openId = gateway.receiveRequest(route, isTakeUp ? {resumesAfterEventId: '3', resumedRequestId: requestId} : {requestId});
		const send = gateway.takeLastSend();
		assert.ok(send.isRelayed);
		const version = chooseVersion(counts, requestId);
		assert.equal(send.softwareVersion, version);
		gateway.handle({
			kind: eventKind.answerStarted, openId: send.openId, sendId: send.sendId, softwareVersion: version,
		});
		assert.equal(gateway.state.openRequests.get(openId)?.boundVersion, version);
		endSend(gateway, send, sendOutcome.complete);
	}
});
