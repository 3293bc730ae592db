/**
 * Tests the choice of the target from which another target copies cached parts of a
 * prompt.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	eventKind, factKind, sendOutcome, type SendEffect,
} from '../index.js';
import {CacheHolders} from '../lib/targets/cache-holders.js';
import {recordVerdict, verdict} from '../lib/targets/target-health.js';
import {applyTargetChanges, createTargetState} from '../lib/targets/target-state.js';
import {
	createRoute, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const engines = Array.from({length: 12}, (_, index) => `engine-${index}`);
const chatRoute = createRoute();

function createGateway(id = 'gateway-1'): GatewayFixture {
	const gateway = new GatewayFixture(id).loadDirectory([]);
	gateway.applyChanges(2, engines.map((engine, index) => createTargetChange(2, createTargetRecord(engine, {address: `10.0.0.${index + 1}:80`}))));
	return gateway;
}

function findAddress(gateway: GatewayFixture, targetId: string): string {
	return gateway.state.targets.byId.get(targetId)!.record.address;
}

const prompts = Array.from({length: 24}, (_, index) => [`root-${index}`, `chat-${index}`, 'turn']);
const addedIds = Array.from({length: 12}, (_, index) => `engine-new-${index}`);

/** Registers as many additional targets as there are. */
function registerAddedTargets(gateway: GatewayFixture): void {
	gateway.applyChanges(3, addedIds.map((id, index) => createTargetChange(3, createTargetRecord(id, {address: `10.0.1.${index}:80`}))));
}

/** Sends a prompt; its response has started and stays incomplete. */
function startRequest(gateway: GatewayFixture, prompt: readonly string[]): SendEffect {
	gateway.receiveRequest(chatRoute, {prompt});
	const send = gateway.takeLastSend();
	gateway.handle({kind: eventKind.answerStarted, openId: send.openId, sendId: send.sendId});
	return send;
}

/** Sends a prompt and completes its response. */
function completeRequest(gateway: GatewayFixture, prompt: readonly string[]): SendEffect {
	const send = startRequest(gateway, prompt);
	gateway.handle({
		kind: eventKind.sendEnded, openId: send.openId, sendId: send.sendId, outcome: sendOutcome.complete, detail: 'test',
	});
	gateway.advance(300);
	return send;
}

test('a target that has already read the prompt copies nothing (returning chats)', () => {
	const gateway = createGateway();
	completeRequest(gateway, ['root', 'chat', 'turn-1']);
	assert.equal(completeRequest(gateway, ['root', 'chat', 'turn-2']).copyFromAddress, undefined);
});

test('a prompt placed elsewhere because its target is overloaded is copied from that target (hot key)', () => {
	const gateway = createGateway();
	const first = startRequest(gateway, ['root', 'chat', 'turn']);
	const sends = Array.from({length: 12}, (_, index) => startRequest(gateway, ['root', 'chat', `turn-${index}`]));
	const other = sends.find(({targetId}) => targetId !== first.targetId)!;
	assert.equal(other.copyFromAddress, findAddress(gateway, first.targetId));
});

test('an instance without a record of the prompt copies from its preferred target when that target is overloaded (hot key at many instances)', () => {
	const preferredId = completeRequest(createGateway(), ['root', 'chat', 'turn']).targetId;
	const gateway = createGateway('gateway-2');
	for (const [id, target] of gateway.state.targets.byId) {
		const load = id === preferredId ? 60 : 1;
		target.reportedLoad = {at: gateway.now, load, othersLoad: load};
	}

	const send = startRequest(gateway, ['root', 'chat', 'turn']);
	assert.notEqual(send.targetId, preferredId);
	assert.equal(send.copyFromAddress, findAddress(gateway, preferredId));
});

test('a newly registered target copies from the target that served the prompt before (release, scale out)', () => {
	const gateway = createGateway();
	gateway.advance(10_000);
	registerAddedTargets(gateway);
	const sends = prompts.map(prompt => completeRequest(gateway, prompt));
	const moved = sends.filter(({targetId}) => addedIds.includes(targetId));
	assert.ok(moved.length > 0);
	const earlierGateway = createGateway();
	for (const [index, prompt] of prompts.entries()) {
		const previousId = completeRequest(earlierGateway, prompt).targetId;
		const send = sends[index]!;
		assert.equal(send.copyFromAddress, addedIds.includes(send.targetId) ? findAddress(gateway, previousId) : undefined);
	}
});

test('a prompt is copied from a leaving target as long as the target is reachable (scale in)', () => {
	const gateway = createGateway();
	const {targetId} = completeRequest(gateway, ['root', 'chat', 'turn']);
	const address = findAddress(gateway, targetId);
	gateway.applyChanges(3, [createTargetChange(3, createTargetRecord(targetId, {address, isLeaving: true}))]);
	assert.equal(startRequest(gateway, ['root', 'chat', 'turn-2']).copyFromAddress, address);
	const second = createGateway();
	completeRequest(second, ['root', 'chat', 'turn']);
	second.applyChanges(3, [{subject: `target/${targetId}`, revision: 3}]);
	second.advance(500);
	assert.equal(startRequest(second, ['root', 'chat', 'turn-2']).copyFromAddress, address, 'the target remains a copy source for a while after its registration is removed');
	const third = createGateway();
	completeRequest(third, ['root', 'chat', 'turn']);
	third.applyChanges(3, [{subject: `target/${targetId}`, revision: 3}]);
	third.advance(5000);
	assert.equal(startRequest(third, ['root', 'chat', 'turn-2']).copyFromAddress, undefined);
});

test('a shared prompt prefix is copied from a target that has read it (many chats with one beginning)', () => {
	const gateway = createGateway();
	const holders = new Set([findAddress(gateway, completeRequest(gateway, ['root', 'chat-0', 'turn']).targetId)]);
	for (let index = 1; index < 20; index++) {
		const send = completeRequest(gateway, ['root', `chat-${index}`, 'turn']);
		const address = findAddress(gateway, send.targetId);
		assert.equal(send.copyFromAddress !== undefined, !holders.has(address));
		assert.ok(send.copyFromAddress === undefined || holders.has(send.copyFromAddress));
		holders.add(address);
	}
});

test('prompts are copied from targets in a closed zone, even if these are cold (evacuation)', () => {
	const preferredId = completeRequest(createGateway(), ['root', 'chat', 'turn']).targetId;
	const gateway = createGateway('gateway-2');
	gateway.advance(21_000);
	gateway.state.targets.byId.get(preferredId)!.coldUntil = gateway.now + 5000;
	gateway.applyChanges(3, [createTargetChange(3, createTargetRecord(preferredId, {zone: 'zone-x', address: findAddress(gateway, preferredId), coldMs: 5000}))]);
	gateway.applyChanges(4, [{subject: 'zone/zone-x', revision: 4, fact: {kind: factKind.zoneClosed, zone: 'zone-x'}}]);
	const send = startRequest(gateway, ['root', 'chat', 'turn']);
	assert.notEqual(send.targetId, preferredId);
	assert.equal(send.copyFromAddress, findAddress(gateway, preferredId));
});

test('an ejected target is not a copy source (crash)', () => {
	const gateway = createGateway();
	const {targetId} = completeRequest(gateway, ['root', 'chat', 'turn']);
	gateway.state.targets.byId.get(targetId)!.health.ejectedUntil = gateway.now + 4000;
	const send = startRequest(gateway, ['root', 'chat', 'turn-2']);
	assert.notEqual(send.targetId, targetId);
	assert.notEqual(send.copyFromAddress, findAddress(gateway, targetId));
});

test('a target ejected for failed requests remains a copy source (grey workers)', () => {
	const preferredId = completeRequest(createGateway(), ['root', 'chat', 'turn']).targetId;
	const gateway = createGateway('gateway-2');
	const {health} = gateway.state.targets.byId.get(preferredId)!;
	for (let index = 0; index < 8; index++) {
		recordVerdict(health, verdict.failed, 0, gateway.now);
	}

	assert.ok(health.ejectedUntil > gateway.now);
	const send = startRequest(gateway, ['root', 'chat', 'turn']);
	assert.notEqual(send.targetId, preferredId);
	assert.equal(send.copyFromAddress, findAddress(gateway, preferredId));
});

test('a prompt whose preferred target is new and cold stays at its previous target, which copies nothing (cold return of a zone)', () => {
	const earlierGateway = createGateway();
	const preferredIds = prompts.map(prompt => completeRequest(earlierGateway, prompt).targetId);
	const gateway = createGateway('gateway-2');
	gateway.advance(10_000);
	registerAddedTargets(gateway);
	for (const id of addedIds) {
		gateway.state.targets.byId.get(id)!.coldUntil = gateway.now + 30_000;
	}

	for (const [index, prompt] of prompts.entries()) {
		const send = completeRequest(gateway, prompt);
		assert.equal(send.targetId, preferredIds[index]);
		assert.equal(send.copyFromAddress, undefined);
	}
});

test('a prompt placed elsewhere because a new target is overloaded is copied from the target that served it before (scale out, hot key)', () => {
	const earlierGateway = createGateway();
	const preferredIds = prompts.map(prompt => completeRequest(earlierGateway, prompt).targetId);
	const gateway = createGateway('gateway-2');
	gateway.advance(10_000);
	registerAddedTargets(gateway);
	for (const [id, target] of gateway.state.targets.byId) {
		const load = addedIds.slice(0, 10).includes(id) || engines.slice(0, 8).includes(id) ? 60 : 1;
		target.reportedLoad = {at: gateway.now, load, othersLoad: load};
	}

	const sends = prompts.map(prompt => startRequest(gateway, prompt));
	assert.ok(sends.filter(({targetId}, index) => targetId !== preferredIds[index]).length > 12);
	for (const [index, {targetId, copyFromAddress: copyFrom}] of sends.entries()) {
		assert.equal(copyFrom, targetId === preferredIds[index] ? undefined : findAddress(gateway, preferredIds[index]!), `prompt ${index} at ${targetId}`);
	}
});

test('peers receive the cache entry of a prompt that its preferred target could not serve (hot key at many instances)', () => {
	const first = createGateway();
	const second = createGateway('gateway-2');
	const prompt = ['root', 'chat', 'turn'];
	const preferredId = completeRequest(first, prompt).targetId;
	first.state.targets.byId.get(preferredId)!.health.ejectedUntil = first.now + 4000;
	const other = completeRequest(first, prompt).targetId;
	assert.notEqual(other, preferredId);
	const message = first.createPeerAnswer();
	assert.ok(message.readings.length <= 16);
	second.handle({kind: eventKind.peerCalled, callId: 1, message});
	// The preferred target is removed, and the next in rank is ejected.
	second.applyChanges(3, [{subject: `target/${preferredId}`, revision: 3}]);
	second.advance(5000);
	const {health} = second.state.targets.byId.get(other)!;
	assert.ok(second.state.cacheHolders.has('chat', second.state.targets.byId.get(other)!));
	recordVerdict(health, verdict.failed, 0, second.now);
	health.ejectedUntil = second.now + 4000;
	assert.equal(startRequest(second, prompt).copyFromAddress, findAddress(second, other));
});

test('a cache entry from a peer does not apply to a target restarted under the same id (release)', () => {
	const first = createGateway();
	const second = createGateway('gateway-2');
	const {targetId} = completeRequest(first, ['root', 'chat', 'turn']);
	const message = first.createPeerAnswer();
	second.advance(1000);
	second.applyChanges(3, [createTargetChange(3, createTargetRecord(targetId, {bornAt: 2}))]);
	second.handle({kind: eventKind.peerCalled, callId: 1, message});
	assert.equal(second.state.cacheHolders.has('chat', second.state.targets.byId.get(targetId)!), false);
});

test('the number of recorded cache holders is bounded, and the most recently used entries are kept', () => {
	const targets = createTargetState();
	applyTargetChanges(targets, [createTargetChange(1, createTargetRecord('engine-1'))], 0, 0);
	const target = targets.byId.get('engine-1')!;
	const holders = new CacheHolders();
	for (let index = 0; index < 10_000; index++) {
		holders.record([{id: 'root', tokenCount: 1}, {id: `chat-${index}`, tokenCount: 1}, {id: 'turn', tokenCount: 1}], target, 0);
	}

	assert.equal(holders.has('chat-0', target), false);
	assert.equal(holders.has('chat-9999', target), true);
	assert.equal(holders.has('root', target), true);
	assert.equal(holders.has('turn', target), false);
});
