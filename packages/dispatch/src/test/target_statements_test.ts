/**
 * Tests what targets state about themselves in their responses: that they leave, and that
 * they want no requests for a time.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	eventKind, sendOutcome, type SendEffect, type SendOutcome, type TargetStatement,
} from '../index.js';
import {
	createRoute, createTargetChange, createTargetRecord, GatewayFixture, onceRoute, repeatableRoute, resumableRoute,
} from './gateway-fixture.js';

const routes = [createRoute(), onceRoute, repeatableRoute, resumableRoute];

function endSend(gateway: GatewayFixture, {openId, sendId}: SendEffect, outcome: SendOutcome, statement?: TargetStatement): void {
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome, detail: 'test', targetReport: statement === undefined ? undefined : {...statement, at: gateway.now},
	});
}

/** Sends requests of all kinds, and returns the targets that they reach. */
function listReachedTargets(gateway: GatewayFixture): Set<string> {
	const reached = new Set<string>();
	for (let count = 0; count < 40; count++) {
		gateway.receiveRequest(routes[count % routes.length]!, {prompt: [`root-${count}`, `own-${count}`]});
		const send = gateway.listSends().at(-1);
		if (send !== undefined) {
			reached.add(send.targetId);
			endSend(gateway, send, sendOutcome.complete);
		}

		gateway.advance(100);
	}

	return reached;
}

function createGateway(): GatewayFixture {
	return new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'engine-1', 'engine-2']);
}

/** Lets the target `desk-1` make a statement, in a response with the given outcome. */
function state(gateway: GatewayFixture, statement: TargetStatement, outcome: SendOutcome = sendOutcome.complete): void {
	for (;;) {
		gateway.receiveRequest(onceRoute);
		const send = gateway.takeLastSend();
		const isSubject = send.targetId === 'desk-1';
		endSend(gateway, send, isSubject ? outcome : sendOutcome.complete, isSubject ? statement : undefined);
		if (isSubject) {
			return;
		}
	}
}

// Guards against requests that reach a target after a response has told that it leaves (incident DRAIN).
test('a target that states that it leaves receives no request of any kind, whatever its registration says (stale platform)', () => {
	const gateway = createGateway();
	assert.ok(listReachedTargets(gateway).has('desk-1'));
	state(gateway, {isLeaving: true});
	assert.ok(!listReachedTargets(gateway).has('desk-1'));

	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1', {slots: 97}))]);
	assert.ok(!listReachedTargets(gateway).has('desk-1'), 'its registration is renewed');
	gateway.applyChanges(3, [{subject: 'target/desk-1', revision: 3}]);
	gateway.advance(5000);
	gateway.applyChanges(4, [createTargetChange(4, createTargetRecord('desk-1'))]);
	assert.ok(!listReachedTargets(gateway).has('desk-1'), 'its registration was removed and returns');
	gateway.applyChanges(5, [createTargetChange(5, createTargetRecord('desk-1', {bornAt: 2}))]);
	assert.ok(listReachedTargets(gateway).has('desk-1'), 'another process starts under its id');
});

test('the statement that a target leaves counts in an error response, and in one that rejects the request', () => {
	for (const outcome of [sendOutcome.failed, sendOutcome.rejected]) {
		const gateway = createGateway();
		state(gateway, {isLeaving: true}, outcome);
		assert.ok(!listReachedTargets(gateway).has('desk-1'), outcome);
	}
});

test('an earlier response that arrives later does not take the statement back', () => {
	const gateway = createGateway();
	const sends: SendEffect[] = [];
	while (sends.length < 2) {
		gateway.receiveRequest(onceRoute);
		const send = gateway.takeLastSend();
		if (send.targetId === 'desk-1') {
			sends.push(send);
		}
	}

	endSend(gateway, sends[0]!, sendOutcome.complete, {isLeaving: true});
	endSend(gateway, sends[1]!, sendOutcome.complete, {load: {running: 1, waiting: 0}});
	assert.ok(!listReachedTargets(gateway).has('desk-1'));
});

test('peers learn that a target leaves, also one that has just started and does not know the target yet', () => {
	const gateway = createGateway();
	state(gateway, {isLeaving: true});
	const {message} = gateway.takePeerCall();
	assert.deepEqual(message.leaving?.map(({targetId}) => targetId), ['desk-1']);
	const peer = new GatewayFixture('gateway-2');
	peer.handle({kind: eventKind.peerCalled, callId: 1, message});
	peer.loadDirectory(['desk-1', 'desk-2', 'engine-1', 'engine-2']);
	assert.ok(!listReachedTargets(peer).has('desk-1'));
	const restarted = new GatewayFixture('gateway-3');
	restarted.loadDirectory(['desk-2', 'engine-1', 'engine-2']).applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1', {bornAt: 7}))]);
	restarted.handle({kind: eventKind.peerCalled, callId: 1, message});
	assert.ok(listReachedTargets(restarted).has('desk-1'), 'the statement is about an earlier process');
});

test('a target that rejects a request and asks for a pause receives nothing from this instance until its end (Retry-After of targets)', () => {
	const gateway = createGateway();
	state(gateway, {pauseMs: 5000}, sendOutcome.rejected);
	assert.ok(!listReachedTargets(gateway).has('desk-1'));
	gateway.advance(1500);
	assert.ok(listReachedTargets(gateway).has('desk-1'));
	state(gateway, {pauseMs: Number.MAX_VALUE}, sendOutcome.rejected);
	gateway.advance(61_000);
	assert.ok(listReachedTargets(gateway).has('desk-1'), 'no pause is endless');
});

test('a request is refused at once if all targets ask for a pause, with the end of the first pause as retry delay', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	state(gateway, {pauseMs: 4000}, sendOutcome.rejected);
	gateway.receiveRequest(onceRoute);
	const refusal = gateway.effects.find(effect => effect.kind === 'refuse');
	assert.equal(refusal?.failure.status, 503);
	assert.ok(refusal.failure.retryAfterMs! >= 4000);
});

test('any sequence of statements leaves the gateway with finite times, and each process that left without requests', () => {
	const statement = fc.record({
		isLeaving: fc.boolean(),
		pauseMs: fc.option(fc.double({min: 0, noNaN: true}), {nil: undefined}),
		requestsPerS: fc.option(fc.double({min: 0, max: 1e9, noNaN: true}), {nil: undefined}),
	});
	fc.assert(fc.property(fc.array(statement, {maxLength: 12}), statements => {
		const gateway = createGateway();
		const leaving = new Set<string>();
		for (const said of statements) {
			gateway.receiveRequest(repeatableRoute);
			const send = gateway.listSends().at(-1);
			gateway.effects = [];
			if (send !== undefined) {
				assert.ok(!leaving.has(send.targetId));
				endSend(gateway, send, sendOutcome.complete, said);
				if (said.isLeaving) {
					leaving.add(send.targetId);
				}
			}

			gateway.advance(50);
		}

		for (const target of gateway.state.targets.byId.values()) {
			assert.ok(target.statements.pausedUntil <= gateway.now + 60_000);
		}

		assert.ok(!JSON.stringify(gateway.createPeerAnswer()).includes('null'), 'peers can read the message');
	}), {numRuns: 200, seed: 35});
});

// Guards against requests to a target whose statement came over a peer before its registration (DRAIN).
test('a statement that a peer relays counts for a target whose registration arrives later', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3']);
	gateway.receiveRequest(onceRoute);
	for (let count = 0; count < 3; count++) {
		endSend(gateway, gateway.takeLastSend({opens: false}), sendOutcome.connectionRefused);
	}

	gateway.advance(50);
	const message = {...new GatewayFixture('gateway-2').createPeerAnswer(), services: [{pool: 'desk', ageMs: 0}]};
	gateway.handle({kind: eventKind.peerCalled, callId: 1, message});
	gateway.advance(25);
	const send = gateway.takeLastSend();
	assert.ok(send.isRelayed);
	gateway.handle({
		kind: eventKind.sendEnded, openId: send.openId, sendId: send.sendId, outcome: sendOutcome.complete, detail: 'test',
		targetReport: {isLeaving: true, at: gateway.now, process: {id: 'desk-4', bornAt: 1}},
	});
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-4')), createTargetChange(2, createTargetRecord('desk-5'))]);
	assert.deepEqual(['desk-4', 'desk-5'].map(id => gateway.state.targets.byId.get(id)!.isGone), [true, false]);
});
