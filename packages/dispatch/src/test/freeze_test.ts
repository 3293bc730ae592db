/**
 * Tests processes that are suspended for seconds, and steps of the system clock.
 */
import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {eventKind} from '../index.js';
import {
	createTargetChange, createTargetRecord, GatewayFixture, onceRoute,
} from './gateway-fixture.js';

const sources = new URL('../../src/lib/', import.meta.url);

test('an instance that was suspended ends overdue requests at once and does not send them again (freeze)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	gateway.advance(100);
	const openId = gateway.receiveRequest(onceRoute);
	gateway.takeLastSend();
	gateway.now += 6000;
	gateway.handle({kind: eventKind.tick});
	assert.deepEqual(gateway.listRefusalStatuses(), [504]);
	assert.deepEqual(gateway.listSends(), []);
	assert.equal(gateway.state.openRequests.has(openId), false);
});

test('an instance that was suspended sends no permanent refusal until it has read the directory again (freeze)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	gateway.now += 6000;
	gateway.handle({kind: eventKind.tick});
	gateway.receiveRequest(onceRoute, {keyDigest: 'digest-of-a-key-that-was-added'});
	assert.deepEqual(gateway.listRefusalStatuses(), [503]);
	gateway.applyChanges(2, []);
	gateway.receiveRequest(onceRoute, {keyDigest: 'digest-of-nobody'});
	assert.deepEqual(gateway.listRefusalStatuses(), [401]);
});

test('a peer\'s call that waited while the instance was suspended does not make its directory current (freeze)', () => {
	for (const ticksFirst of [true, false]) {
		const gateway = new GatewayFixture().loadDirectory(['desk-1']);
		gateway.advance(500);
		const {message} = gateway.takePeerCall();
		gateway.now += 6000;
		if (ticksFirst) {
			gateway.handle({kind: eventKind.tick});
		}

		gateway.handle({
			kind: eventKind.peerCalled, callId: 1, message: {...message, from: {...message.from, id: 'gateway-2'}, directoryAgeMs: 10},
		});
		gateway.receiveRequest(onceRoute, {keyDigest: 'digest-of-a-key-that-was-added'});
		assert.deepEqual(gateway.listRefusalStatuses(), [503], ticksFirst ? 'after a tick' : 'before a tick');
	}
});

test('an instance that was suspended does not report uninterrupted reading of the platform (freeze)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	gateway.advance(5000);
	assert.ok(gateway.createPeerAnswer().readingMs! >= 5000);
	gateway.now += 6000;
	gateway.handle({kind: eventKind.tick});
	assert.equal(gateway.createPeerAnswer().readingMs, undefined);
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-2'))]);
	gateway.advance(500);
	assert.ok(gateway.createPeerAnswer().readingMs! < 1000);
});

test('no decision reads a clock or a global random source, so that a step of the system clock has no effect (clock step)', async () => {
	const entries = await readdir(sources, {recursive: true});
	const names = entries.filter(name => name.endsWith('.ts'));
	assert.ok(names.includes('reducer.ts') && names.includes('requests/send-request.ts'));
	for (const name of names) {
		const text = await readFile(new URL(name, sources), 'utf8');
		assert.doesNotMatch(text, /\bDate\b|performance\.now|hrtime|Math\.random|setTimeout|setInterval/, name);
	}
});
