/**
 * Tests the directory: updates in any order, from the platform and from peers.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	applyUpdate, createDirectory, describeUpdate, factKind, type FactChange,
} from '../index.js';
import {
	createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, onceRoute,
} from './gateway-fixture.js';

const now = 1000;

test('tables are never replaced by an older version or removed, even at a newer revision', () => {
	const directory = createDirectory();
	applyUpdate(directory, {changes: [createTablesChange(5, createTables(9))], revision: 5, since: 0}, now);
	applyUpdate(directory, {changes: [createTablesChange(6, createTables(3))], revision: 6, since: 5}, now);
	assert.equal(directory.tables?.version, 9);
	applyUpdate(directory, {changes: [{subject: 'tables', revision: 7}], revision: 7, since: 6}, now);
	assert.equal(directory.tables?.version, 9);
});

test('a complete update removes the subjects that it omits, except newer ones', () => {
	const directory = createDirectory();
	applyUpdate(directory, {changes: [createTargetChange(3, createTargetRecord('old')), createTargetChange(9, createTargetRecord('new'))], revision: 9, since: 0}, now);
	const {changes} = applyUpdate(directory, {changes: [], revision: 7, since: 0}, now);
	assert.deepEqual(changes.map(({subject}) => subject), ['target/old']);
});

test('a heartbeat is a renewal rather than a change and is not sent to peers', () => {
	const directory = createDirectory();
	applyUpdate(directory, {changes: [createTargetChange(3, createTargetRecord('a'))], revision: 3, since: 0}, now);
	const {changes, renewals} = applyUpdate(directory, {changes: [createTargetChange(4, createTargetRecord('a'))], revision: 4, since: 3}, now);
	assert.equal(changes.length, 0);
	assert.equal(renewals.length, 1);
	assert.equal(describeUpdate(directory, 3).changes.length, 0);
});

test('the facts of an update after a gap are applied, but the directory revision does not advance', () => {
	const directory = createDirectory();
	applyUpdate(directory, {changes: [createTargetChange(3, createTargetRecord('a'))], revision: 3, since: 0}, now);
	const {hasGap} = applyUpdate(directory, {changes: [createTargetChange(9, createTargetRecord('b'))], revision: 9, since: 8}, now);
	assert.ok(hasGap && directory.facts.has('target/b'));
	assert.equal(directory.revision, 3);
});

test('updates result in the same directory in any order', () => {
	const change = fc.record({
		id: fc.constantFrom('a', 'b', 'c'), revision: fc.integer({min: 1, max: 40}), isGone: fc.boolean(), isLeaving: fc.boolean(),
	});
	fc.assert(fc.property(fc.uniqueArray(change, {selector: ({revision}) => revision, maxLength: 12}), fc.integer(), (entries, seed) => {
		const facts: FactChange[] = entries.map(({
			id, revision, isGone, isLeaving,
		}) => isGone ? {subject: `target/${id}`, revision} : createTargetChange(revision, createTargetRecord(id, {isLeaving})));
		const shuffled = [...facts].sort((a, b) => ((a.revision * 7919) ^ seed) - ((b.revision * 7919) ^ seed)); // eslint-disable-line no-bitwise -- a cheap shuffle
		const listFacts = (list: readonly FactChange[]) => {
			const directory = createDirectory();
			for (const fact of list) {
				applyUpdate(directory, {changes: [fact], revision: 0, since: 0.5}, now);
			}

			return [...directory.facts.values()]
				.filter(({fact}) => fact !== undefined)
				.map(({subject, fact}) => ({subject, fact}))
				.sort((a, b) => a.subject.localeCompare(b.subject));
		};

		assert.deepEqual(listFacts(shuffled), listFacts([...facts].sort((a, b) => a.revision - b.revision)));
	}), {seed: 11, numRuns: 300});
});

test('a peer with an older revision receives all missing changes, including deletions', () => {
	const first = createDirectory();
	const second = createDirectory();
	const completeUpdate = {changes: [createTargetChange(1, createTargetRecord('a')), createTargetChange(2, createTargetRecord('b'))], revision: 2, since: 0};
	applyUpdate(first, completeUpdate, now);
	applyUpdate(second, completeUpdate, now);
	applyUpdate(first, {changes: [{subject: 'target/a', revision: 5}, createTablesChange(6, createTables(4))], revision: 6, since: 2}, now);
	applyUpdate(second, describeUpdate(first, second.revision), now);
	assert.equal(second.revision, 6);
	assert.equal(second.facts.get('target/a')?.fact, undefined);
	assert.equal(second.tables?.version, 4);
});

test('registrations that expired during an outage of the platform are kept for a grace period, in which they can be renewed', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2']);
	gateway.handle({kind: 'directory-lost', detail: 'test'});
	gateway.advance(4000);
	gateway.applyChanges(9, [{subject: 'target/desk-1', revision: 8}, {subject: 'target/desk-2', revision: 8}]);
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, false);
	gateway.advance(1500);
	gateway.applyChanges(11, [createTargetChange(10, createTargetRecord('desk-1'))]);
	gateway.advance(1500);
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, false);
	assert.equal(gateway.state.targets.byId.has('desk-2'), false);
});

test('a missing registration is removed without a grace period after a short outage of the platform (hunt: trouble-1, seed 188377285629)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2']);
	gateway.handle({kind: 'directory-lost', detail: 'one response lost'});
	gateway.advance(700);
	gateway.applyChanges(9, [{subject: 'target/desk-1', revision: 8}]);
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, true);
});

const peerMessage = {
	from: {
		id: 'gateway-2', incarnation: 'i', address: 'gateway-2:1', zone: 'zone-b', ageMs: 0,
	},
	members: [],
	revision: 9,
	loads: [],
	readings: [],
	wantsUpdate: false,
};

test('the grace period ends when a peer has read the platform during the whole outage, since only this instance was disconnected (score: trouble-1 of Hoang Lien)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2']);
	gateway.handle({kind: 'directory-lost', detail: 'disconnected from the platform'});
	gateway.advance(9000);
	gateway.applyChanges(9, [{subject: 'target/desk-1', revision: 8}]);
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, false);
	gateway.handle({kind: 'peer-called', callId: 1, message: {...peerMessage, readingMs: 3000}});
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, false, 'the peer has read the platform only during a part of the outage');
	gateway.handle({kind: 'peer-called', callId: 2, message: {...peerMessage, readingMs: 20_000}});
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, true);
	gateway.applyChanges(10, [{subject: 'target/desk-2', revision: 10}]);
	assert.equal(gateway.state.targets.byId.get('desk-2')?.isGone, true);
});

test('an instance that could read the platform does not adopt the grace period of a disconnected peer', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	gateway.advance(500);
	gateway.handle({kind: 'peer-called', callId: 1, message: {...peerMessage, revision: 1, lapseGraceMs: 2000}});
	gateway.applyChanges(9, [{subject: 'target/desk-1', revision: 8}]);
	assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, true);
});

test('a target that was leaving before an outage of the platform gets no grace period', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1', {isLeaving: true}))]);
	gateway.handle({kind: 'directory-lost', detail: 'test'});
	gateway.advance(4000);
	gateway.applyChanges(9, [{subject: 'target/desk-1', revision: 8}]);
	assert.notEqual(gateway.state.targets.byId.get('desk-1')?.isGone, false);
});

test('a target that was leaving is removed when its registration is removed and its last request has ended', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2']);
	const openId = gateway.receiveRequest(onceRoute);
	const {targetId, sendId} = gateway.takeLastSend();
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord(targetId, {isLeaving: true}))]);
	gateway.applyChanges(3, [{subject: `target/${targetId}`, revision: 3}]);
	gateway.advance(100);
	assert.ok(gateway.state.targets.byId.has(targetId), 'its request is in flight');
	gateway.handle({
		kind: 'send-ended', openId, sendId, outcome: 'complete', detail: 'test',
	});
	gateway.advance(100);
	assert.equal(gateway.state.targets.byId.has(targetId), false);
	assert.deepEqual(gateway.state.targets.byPool.get('desk')?.map(({record}) => record.id), ['desk-1', 'desk-2'].filter(id => id !== targetId));
});

test('a few registrations that disappeared during an outage are not used, since the targets are probably leaving (score: scale-1 of the grown Pirouette)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3']);
	gateway.handle({kind: 'directory-lost', detail: 'test'});
	gateway.advance(4000);
	gateway.applyChanges(9, [{subject: 'target/desk-1', revision: 8}]);
	const usedIds = new Set<string>();
	for (let index = 0; index < 20; index++) {
		gateway.receiveRequest(onceRoute);
		usedIds.add(gateway.takeLastSend().targetId);
	}

	assert.deepEqual([...usedIds].sort(), ['desk-2', 'desk-3']);
	gateway.applyChanges(10, [{subject: 'target/desk-2', revision: 10}]);
	usedIds.clear();
	for (let index = 0; index < 20; index++) {
		gateway.receiveRequest(onceRoute);
		usedIds.add(gateway.takeLastSend().targetId);
	}

	assert.deepEqual([...usedIds].sort(), ['desk-1', 'desk-2', 'desk-3'], 'most of the pool has lapsed, so the platform was unavailable');
});

test('a target restarted under the same id starts with a new state', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	const before = gateway.state.targets.byId.get('desk-1')!;
	before.health.ejectedUntil = Number.POSITIVE_INFINITY;
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1', {bornAt: 2}))]);
	assert.equal(gateway.state.targets.byId.get('desk-1')?.health.ejectedUntil, 0);
	assert.equal(factKind.target, 'target');
});
