/**
 * From where targets copy what others have read of a prompt.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	eventKind, factKind, sendOutcome, type SendEffect,
} from '../index.js';
import {CacheHolders} from '../lib/cache-holders.js';
import {recordVerdict, verdict} from '../lib/target-health.js';
import {applyTargetChanges, createTargetState} from '../lib/target-state.js';
import {
	createRoute, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const engines = Array.from({length: 12}, (_, index) => `engine-${index}`);
const chatRoute = createRoute();

function createGateway(id = 'gateway-1'): GatewayFixture {
	const gateway = new GatewayFixture(id).learn([]);
	gateway.learnChanges(2, engines.map((engine, index) => createTargetChange(2, createTargetRecord(engine, {address: `10.0.0.${index + 1}:80`}))));
	return gateway;
}

function findAddress(gateway: GatewayFixture, targetId: string): string {
	return gateway.state.targets.byId.get(targetId)!.record.address;
}

const prompts = Array.from({length: 24}, (_, index) => [`root-${index}`, `chat-${index}`, 'turn']);
const added = Array.from({length: 12}, (_, index) => `engine-new-${index}`);

/** As many targets again register. */
function addTargets(gateway: GatewayFixture): void {
	gateway.learnChanges(3, added.map((id, index) => createTargetChange(3, createTargetRecord(id, {address: `10.0.1.${index}:80`}))));
}

/** Sends a prompt whose answer begins, and is left open. */
function open(gateway: GatewayFixture, prompt: readonly string[]): SendEffect {
	gateway.arrive(chatRoute, {prompt});
	const send = gateway.takeSend();
	gateway.handle({kind: eventKind.answerStarted, openId: send.openId, sendId: send.sendId});
	return send;
}

function place(gateway: GatewayFixture, prompt: readonly string[]): SendEffect {
	const send = open(gateway, prompt);
	gateway.handle({
		kind: eventKind.sendEnded, openId: send.openId, sendId: send.sendId, outcome: sendOutcome.complete, detail: 'test',
	});
	gateway.advance(300);
	return send;
}

test('a target that has read the prompt copies nothing (returning chats)', () => {
	const gateway = createGateway();
	place(gateway, ['root', 'chat', 'turn-1']);
	assert.equal(place(gateway, ['root', 'chat', 'turn-2']).copyFromAddress, undefined);
});

test('a prompt that overflows its busy target is copied from there (hot key)', () => {
	const gateway = createGateway();
	const first = open(gateway, ['root', 'chat', 'turn']);
	const sends = Array.from({length: 12}, (_, index) => open(gateway, ['root', 'chat', `turn-${index}`]));
	const other = sends.find(({targetId}) => targetId !== first.targetId)!;
	assert.equal(other.copyFromAddress, findAddress(gateway, first.targetId));
});

test('an instance that has not seen the prompt names its usual target when that is too busy (hot key at many instances)', () => {
	const usual = place(createGateway(), ['root', 'chat', 'turn']).targetId;
	const gateway = createGateway('gateway-2');
	for (const [id, target] of gateway.state.targets.byId) {
		const load = id === usual ? 60 : 1;
		target.reportedLoad = {at: gateway.now, load, othersLoad: load};
	}

	const send = open(gateway, ['root', 'chat', 'turn']);
	assert.notEqual(send.targetId, usual);
	assert.equal(send.copyFromAddress, findAddress(gateway, usual));
});

test('a target that came later copies from the one that served the prompt before (release, scale out)', () => {
	const gateway = createGateway();
	gateway.advance(10_000);
	addTargets(gateway);
	const sends = prompts.map(prompt => place(gateway, prompt));
	const moved = sends.filter(({targetId}) => added.includes(targetId));
	assert.ok(moved.length > 0);
	const usualTarget = createGateway();
	for (const [index, prompt] of prompts.entries()) {
		const before = place(usualTarget, prompt).targetId;
		const send = sends[index]!;
		assert.equal(send.copyFromAddress, added.includes(send.targetId) ? findAddress(gateway, before) : undefined);
	}
});

test('what a leaving target has read is copied while it is there (scale in)', () => {
	const gateway = createGateway();
	const {targetId} = place(gateway, ['root', 'chat', 'turn']);
	const address = findAddress(gateway, targetId);
	gateway.learnChanges(3, [createTargetChange(3, createTargetRecord(targetId, {address, isLeaving: true}))]);
	assert.equal(open(gateway, ['root', 'chat', 'turn-2']).copyFromAddress, address);
	const second = createGateway();
	place(second, ['root', 'chat', 'turn']);
	second.learnChanges(3, [{subject: `target/${targetId}`, revision: 3}]);
	second.advance(500);
	assert.equal(open(second, ['root', 'chat', 'turn-2']).copyFromAddress, address, 'it goes on for a while after its registration is gone');
	const third = createGateway();
	place(third, ['root', 'chat', 'turn']);
	third.learnChanges(3, [{subject: `target/${targetId}`, revision: 3}]);
	third.advance(5000);
	assert.equal(open(third, ['root', 'chat', 'turn-2']).copyFromAddress, undefined);
});

test('a beginning that other prompts share is copied from a target that has read it (many chats with one beginning)', () => {
	const gateway = createGateway();
	const holders = new Set([findAddress(gateway, place(gateway, ['root', 'chat-0', 'turn']).targetId)]);
	for (let index = 1; index < 20; index++) {
		const send = place(gateway, ['root', `chat-${index}`, 'turn']);
		const address = findAddress(gateway, send.targetId);
		assert.equal(send.copyFromAddress !== undefined, !holders.has(address));
		assert.ok(send.copyFromAddress === undefined || holders.has(send.copyFromAddress));
		holders.add(address);
	}
});

test('what targets of a closed zone have read is copied, also when they are cold (evacuation)', () => {
	const usual = place(createGateway(), ['root', 'chat', 'turn']).targetId;
	const gateway = createGateway('gateway-2');
	gateway.advance(21_000);
	gateway.state.targets.byId.get(usual)!.coldUntil = gateway.now + 5000;
	gateway.learnChanges(3, [createTargetChange(3, createTargetRecord(usual, {zone: 'zone-x', address: findAddress(gateway, usual), coldMs: 5000}))]);
	gateway.learnChanges(4, [{subject: 'zone/zone-x', revision: 4, fact: {kind: factKind.zoneClosed, zone: 'zone-x'}}]);
	const send = open(gateway, ['root', 'chat', 'turn']);
	assert.notEqual(send.targetId, usual);
	assert.equal(send.copyFromAddress, findAddress(gateway, usual));
});

test('a target that was set aside is not named (crash)', () => {
	const gateway = createGateway();
	const {targetId} = place(gateway, ['root', 'chat', 'turn']);
	gateway.state.targets.byId.get(targetId)!.health.ejectedUntil = gateway.now + 4000;
	const send = open(gateway, ['root', 'chat', 'turn-2']);
	assert.notEqual(send.targetId, targetId);
	assert.notEqual(send.copyFromAddress, findAddress(gateway, targetId));
});

test('what a target has read whose requests fail is copied from it (grey workers)', () => {
	const usual = place(createGateway(), ['root', 'chat', 'turn']).targetId;
	const gateway = createGateway('gateway-2');
	const {health} = gateway.state.targets.byId.get(usual)!;
	for (let index = 0; index < 8; index++) {
		recordVerdict(health, verdict.failed, 0, gateway.now);
	}

	assert.ok(health.ejectedUntil > gateway.now);
	const send = open(gateway, ['root', 'chat', 'turn']);
	assert.notEqual(send.targetId, usual);
	assert.equal(send.copyFromAddress, findAddress(gateway, usual));
});

test('a prompt that a new target cannot take yet goes on where it was, and copies nothing (cold return of a zone)', () => {
	const before = createGateway();
	const usual = prompts.map(prompt => place(before, prompt).targetId);
	const gateway = createGateway('gateway-2');
	gateway.advance(10_000);
	addTargets(gateway);
	for (const id of added) {
		gateway.state.targets.byId.get(id)!.coldUntil = gateway.now + 30_000;
	}

	for (const [index, prompt] of prompts.entries()) {
		const send = place(gateway, prompt);
		assert.equal(send.targetId, usual[index]);
		assert.equal(send.copyFromAddress, undefined);
	}
});

test('a prompt that moves on from a busy new target is copied from where it was before that came (scale out, hot key)', () => {
	const before = createGateway();
	const usual = prompts.map(prompt => place(before, prompt).targetId);
	const gateway = createGateway('gateway-2');
	gateway.advance(10_000);
	addTargets(gateway);
	for (const [id, target] of gateway.state.targets.byId) {
		const load = added.slice(0, 10).includes(id) || engines.slice(0, 8).includes(id) ? 60 : 1;
		target.reportedLoad = {at: gateway.now, load, othersLoad: load};
	}

	const sends = prompts.map(prompt => open(gateway, prompt));
	assert.ok(sends.filter(({targetId}, index) => targetId !== usual[index]).length > 12);
	for (const [index, {targetId, copyFromAddress: copyFrom}] of sends.entries()) {
		assert.equal(copyFrom, targetId === usual[index] ? undefined : findAddress(gateway, usual[index]!), `prompt ${index} at ${targetId}`);
	}
});

test('peers hear where a prompt went that its usual target could not take (hot key at many instances)', () => {
	const first = createGateway();
	const second = createGateway('gateway-2');
	const prompt = ['root', 'chat', 'turn'];
	const usual = place(first, prompt).targetId;
	first.state.targets.byId.get(usual)!.health.ejectedUntil = first.now + 4000;
	const other = place(first, prompt).targetId;
	assert.notEqual(other, usual);
	const message = first.tellPeer();
	assert.ok(message.readings.length <= 16);
	second.handle({kind: eventKind.peerCalled, callId: 1, message});
	// The usual target is lost, and so is the next in rank.
	second.learnChanges(3, [{subject: `target/${usual}`, revision: 3}]);
	second.advance(5000);
	const {health} = second.state.targets.byId.get(other)!;
	assert.ok(second.state.cacheHolders.has('chat', second.state.targets.byId.get(other)!));
	recordVerdict(health, verdict.failed, 0, second.now);
	health.ejectedUntil = second.now + 4000;
	assert.equal(open(second, prompt).copyFromAddress, findAddress(second, other));
});

test('a peer\'s word on a target does not hold for what starts anew under its id (release)', () => {
	const first = createGateway();
	const second = createGateway('gateway-2');
	const {targetId} = place(first, ['root', 'chat', 'turn']);
	const message = first.tellPeer();
	second.advance(1000);
	second.learnChanges(3, [createTargetChange(3, createTargetRecord(targetId, {bornAt: 2}))]);
	second.handle({kind: eventKind.peerCalled, callId: 1, message});
	assert.equal(second.state.cacheHolders.has('chat', second.state.targets.byId.get(targetId)!), false);
});

test('the memory of holders is bounded, and keeps what was used last', () => {
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
