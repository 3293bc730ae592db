/**
 * A request from arrival to end: what is repeated, what is promised.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, factKind, sendOutcome, type SendEffect, type SendOutcome,
} from '../index.js';
import {
	createRoute, createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, onceRoute, repeatableRoute, resumableRoute,
} from './gateway-fixture.js';

function endSend(gateway: GatewayFixture, {openId, sendId}: SendEffect, outcome: SendOutcome, lastEventId?: string): void {
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome, detail: 'test', lastEventId,
	});
}

const desks = ['desk-1', 'desk-2', 'desk-3'];

test('a request that may run once is not sent again after its answer was lost', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.arrive(onceRoute);
	endSend(gateway, gateway.takeSend(), sendOutcome.lost);
	assert.deepEqual(gateway.listSends(), []);
	assert.deepEqual(gateway.listRefusals(), [502]);
});

test('a request that may run once goes to another target after proof that it did not run', () => {
	for (const outcome of [sendOutcome.rejected, sendOutcome.notSent, sendOutcome.misdirected]) {
		const gateway = new GatewayFixture().learn(desks);
		gateway.arrive(onceRoute);
		const first = gateway.takeSend();
		endSend(gateway, first, outcome);
		assert.notEqual(gateway.takeSend().targetId, first.targetId);
	}
});

test('a refusal promises "not run" only if no send may have run', () => {
	const gateway = new GatewayFixture().learn(['desk-1']);
	gateway.arrive(onceRoute);
	endSend(gateway, gateway.takeSend(), sendOutcome.rejected);
	assert.deepEqual(gateway.listRefusals(), [503]);
	gateway.arrive(repeatableRoute);
	const first = gateway.takeSend();
	gateway.learnChanges(2, [createTargetChange(2, createTargetRecord('desk-2'))]);
	endSend(gateway, first, sendOutcome.lost);
	endSend(gateway, gateway.takeSend(), sendOutcome.rejected);
	assert.deepEqual(gateway.listRefusals(), [502]);
});

test('a repeatable request runs on no more targets than its route allows', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.arrive(repeatableRoute);
	endSend(gateway, gateway.takeSend(), sendOutcome.lost);
	endSend(gateway, gateway.takeSend(), sendOutcome.lost);
	assert.deepEqual(gateway.listSends(), []);
	assert.deepEqual(gateway.listRefusals(), [502]);
});

test('the failure of the last target is delivered as it came', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.arrive(repeatableRoute);
	endSend(gateway, gateway.takeSend(), sendOutcome.failed);
	endSend(gateway, gateway.takeSend(), sendOutcome.failed);
	assert.ok(gateway.effects.some(({kind}) => kind === effectKind.deliverHeld));
});

test('a broken stream that may be resumed goes on after its last event', () => {
	const gateway = new GatewayFixture().learn(['engine-1', 'engine-2']);
	gateway.arrive(resumableRoute, {prompt: ['root', 'doc', 'own']});
	const first = gateway.takeSend();
	gateway.handle({kind: eventKind.answerStarted, openId: first.openId, sendId: first.sendId});
	endSend(gateway, first, sendOutcome.interrupted, '7');
	const second = gateway.takeSend();
	assert.equal(second.resumeAfterEventId, '7');
	assert.notEqual(second.targetId, first.targetId);
});

test('a stream that falls silent goes on after the event that was delivered last (quiet-1: pieces came twice)', () => {
	const gateway = new GatewayFixture().learn(['engine-1', 'engine-2']);
	gateway.arrive(resumableRoute, {prompt: ['root', 'doc', 'own']});
	const first = gateway.takeSend();
	gateway.handle({kind: eventKind.answerStarted, openId: first.openId, sendId: first.sendId});
	gateway.handle({
		kind: eventKind.answerSilent, openId: first.openId, sendId: first.sendId, lastEventId: '11',
	});
	assert.ok(gateway.effects.some(effect => effect.kind === effectKind.cancel && effect.sendId === first.sendId));
	assert.equal(gateway.takeSend().resumeAfterEventId, '11');
});

test('a silent target is not given up while there is no other (two of three gone, burst)', () => {
	const gateway = new GatewayFixture().learn(['desk-1']);
	const openId = gateway.arrive(repeatableRoute);
	const {sendId} = gateway.takeSend();
	gateway.handle({kind: eventKind.answerSilent, openId, sendId});
	assert.deepEqual(gateway.effects.filter(({kind}) => kind !== effectKind.log), []);
	gateway.learnChanges(2, [createTargetChange(2, createTargetRecord('desk-2'))]);
	gateway.handle({kind: eventKind.answerSilent, openId, sendId});
	assert.equal(gateway.takeSend().targetId, 'desk-2');
});

test('a stream that may not be resumed is broken off, not finished', () => {
	const gateway = new GatewayFixture().learn(['engine-1', 'engine-2']);
	gateway.arrive(createRoute(), {prompt: ['root', 'doc', 'own']});
	const send = gateway.takeSend();
	assert.equal(send.eventGapTimeoutMs, 0);
	gateway.handle({kind: eventKind.answerStarted, openId: send.openId, sendId: send.sendId});
	endSend(gateway, send, sendOutcome.interrupted, '7');
	assert.deepEqual(gateway.effects.filter(({kind}) => kind !== effectKind.log).map(({kind}) => kind), [effectKind.breakOff]);
});

test('a request ends at the earlier of the caller\'s limit and the route\'s', () => {
	for (const waitMs of [300, 60_000]) {
		const gateway = new GatewayFixture().learn(desks);
		gateway.arrive(onceRoute, {waitMs});
		gateway.takeSend();
		gateway.advance(Math.min(waitMs, onceRoute.timeLimitMs) - 60);
		assert.deepEqual(gateway.listRefusals(), []);
		gateway.advance(85);
		assert.deepEqual(gateway.listRefusals(), [504]);
		assert.ok(gateway.effects.some(({kind}) => kind === effectKind.cancel));
	}
});

test('a request for which there is no target is refused early, with a time to come back', () => {
	const gateway = new GatewayFixture().learn([]);
	gateway.arrive(onceRoute);
	gateway.advance(100);
	const refusal = gateway.effects.find(effect => effect.kind === effectKind.refuse);
	assert.equal(refusal?.failure.status, 503);
	assert.ok(refusal.failure.retryAfterMs! > 0);
});

test('a waiting request is sent as soon as a target registers', () => {
	const gateway = new GatewayFixture().learn([]);
	gateway.arrive(onceRoute);
	gateway.learnChanges(2, [createTargetChange(2, createTargetRecord('desk-9'))]);
	assert.equal(gateway.takeSend().targetId, 'desk-9');
});

test('a caller who leaves stops the work for it', () => {
	const gateway = new GatewayFixture().learn(desks);
	const openId = gateway.arrive(onceRoute);
	const {sendId} = gateway.takeSend();
	gateway.handle({kind: eventKind.callerLeft, openId});
	assert.ok(gateway.effects.some(effect => effect.kind === effectKind.cancel && effect.sendId === sendId));
	assert.equal(gateway.state.openRequests.size, 0);
});

test('an unknown key or path is refused for good only while the directory is current', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.arrive(onceRoute, {keyDigest: 'other'});
	assert.deepEqual(gateway.listRefusals(), [401]);
	gateway.arrive(onceRoute, {keyDigest: undefined});
	assert.deepEqual(gateway.listRefusals(), [401]);
	gateway.arrive(createRoute({prefix: '/elsewhere/'}));
	assert.deepEqual(gateway.listRefusals(), [404]);
	gateway.advance(3000);
	gateway.arrive(onceRoute, {keyDigest: 'other'});
	assert.deepEqual(gateway.listRefusals(), [503]);
	gateway.arrive(createRoute({prefix: '/elsewhere/'}));
	assert.deepEqual(gateway.listRefusals(), [503]);
});

test('without tables every request is refused as not run', () => {
	const gateway = new GatewayFixture();
	gateway.arrive(onceRoute);
	assert.deepEqual(gateway.listRefusals(), [503]);
});

test('a repeat is looked up again: a key that was taken away in between ends the request', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.arrive(repeatableRoute);
	const first = gateway.takeSend();
	gateway.learnChanges(2, [createTablesChange(2, createTables(2, {accounts: [{name: 'amina', keyDigests: []}]}))]);
	endSend(gateway, first, sendOutcome.rejected);
	assert.deepEqual(gateway.listSends(), []);
	assert.deepEqual(gateway.listRefusals(), [401]);
});

test('a repeat after new tables goes to the pool that they name', () => {
	const gateway = new GatewayFixture().learn([...desks, 'engine-1']);
	gateway.arrive(repeatableRoute);
	const first = gateway.takeSend();
	const moved = {...repeatableRoute, splits: [{pool: 'engines', weight: 1}]};
	gateway.learnChanges(2, [createTablesChange(2, createTables(2, {routes: [moved]}))]);
	endSend(gateway, first, sendOutcome.lost);
	assert.equal(gateway.takeSend().targetId, 'engine-1');
});

test('no send goes to a target that is leaving, or in a closed zone', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.learnChanges(2, [
		createTargetChange(2, createTargetRecord('desk-1', {isLeaving: true})),
		createTargetChange(2, createTargetRecord('desk-2', {zone: 'zone-b'})),
		{subject: 'zone/zone-b', revision: 2, fact: {kind: factKind.zoneClosed, zone: 'zone-b'}},
		{subject: 'target/desk-3', revision: 2},
	]);
	gateway.arrive(onceRoute);
	gateway.advance(100);
	assert.deepEqual(gateway.listRefusals(), [503]);
	gateway.learnChanges(3, [{subject: 'zone/zone-b', revision: 3}]);
	gateway.arrive(onceRoute);
	assert.equal(gateway.takeSend().targetId, 'desk-2');
});

test('repeats stop when the budget is spent (all targets erring)', () => {
	const gateway = new GatewayFixture().learn(desks);
	let repeats = 0;
	const requests = 200;
	for (let index = 0; index < requests; index++) {
		gateway.arrive(repeatableRoute);
		endSend(gateway, gateway.takeSend(), sendOutcome.failed);
		const again = gateway.listSends().at(-1);
		if (again !== undefined) {
			repeats++;
			endSend(gateway, again, sendOutcome.failed);
		}
	}

	assert.ok(repeats > 0 && repeats <= (0.2 * requests) + 52, `${repeats} repeats`);
});

test('an instance that drains takes requests for a while, then refuses them and ends', () => {
	const gateway = new GatewayFixture().learn(desks);
	gateway.handle({kind: eventKind.drainRequested, by: 'test'});
	gateway.arrive(onceRoute);
	const send = gateway.takeSend();
	gateway.advance(2700);
	gateway.effects = [];
	gateway.arrive(createRoute({timeLimitMs: 15_000}), {prompt: ['a', 'b']});
	assert.deepEqual(gateway.listRefusals(), [503]);
	gateway.arrive(onceRoute);
	endSend(gateway, gateway.takeSend(), sendOutcome.complete);
	gateway.advance(600);
	assert.ok(gateway.effects.every(({kind}) => kind !== effectKind.finishDrain) || gateway.state.openRequests.size === 0);
	endSend(gateway, send, sendOutcome.complete);
	gateway.advance(25);
	assert.ok(gateway.effects.some(({kind}) => kind === effectKind.finishDrain));
});

test('an instance that drains ends before the platform kills it, even with a request open', () => {
	const gateway = new GatewayFixture().learn(['engine-1']);
	gateway.arrive(createRoute({timeLimitMs: 60_000}), {prompt: ['a', 'b']});
	gateway.handle({kind: eventKind.drainRequested, by: 'test'});
	gateway.effects = [];
	gateway.advance(7600);
	assert.ok(gateway.effects.some(({kind}) => kind === effectKind.finishDrain));
});
