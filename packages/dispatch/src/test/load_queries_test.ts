/**
 * Tests the queries for the present load of a target, at the instance that asks and at the one that tracks the load.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, type AnswerLoadPeerEffect, type CallLoadPeerEffect,
} from '../index.js';
import {createRoute, GatewayFixture} from './gateway-fixture.js';

const route = createRoute();
const prompt = ['document', 'turn'];
const engines = Array.from({length: 8}, (_, index) => `engine-${index}`);
const from = {id: 'gateway-9', incarnation: 'i'};

/** Creates a gateway with one peer, which knows only old loads. */
function createUncertainGateway(): GatewayFixture {
	const gateway = new GatewayFixture().loadDirectory(engines);
	gateway.createPeerAnswer();
	for (const target of gateway.state.targets.byId.values()) {
		target.reportedLoad = {at: gateway.now - 1500, load: 2, othersLoad: 2};
	}

	return gateway;
}

function findCall({effects}: GatewayFixture): CallLoadPeerEffect | undefined {
	return effects.findLast(effect => effect.kind === effectKind.callLoadPeer);
}

/** Receives requests with other prompts until one waits for the load of its target; returns the query. */
function receiveWaitingRequest(gateway: GatewayFixture): CallLoadPeerEffect {
	for (let count = 0; count < 20; count++) {
		gateway.receiveRequest(route, {prompt: [`document-${count}`, 'turn']});
		const call = findCall(gateway);
		if (call !== undefined) {
			assert.equal(gateway.listSends().length, 0, 'the request waits');
			return call;
		}
	}

	throw new Error('no request asked for a load');
}

// Guards against LIMIT: a target that others have filled since its last report.
test('a request goes to another target if the one that ranks first for its prompt is full, as its tracker knows', () => {
	const gateway = createUncertainGateway();
	const {address, message, openId} = receiveWaitingRequest(gateway);
	assert.equal(address, 'gateway-9:1');
	gateway.handle({
		kind: eventKind.loadPeerAnswered, address, openId, message: {
			from, targetId: message.targetId, bornAt: message.bornAt, load: 50,
		},
	});
	for (let call = findCall(gateway); call !== undefined && gateway.listSends().length === 0; call = findCall(gateway)) {
		gateway.handle({
			kind: eventKind.loadPeerAnswered, address, openId, message: {...call.message, from, load: 1},
		});
	}

	assert.notEqual(gateway.takeLastSend().targetId, message.targetId);
});

test('a request is sent by what the instance knows if a tracker does not respond, and the tracker is not asked again at once', () => {
	const gateway = createUncertainGateway();
	const {address, openId, message} = receiveWaitingRequest(gateway);
	gateway.handle({
		kind: eventKind.loadPeerAnswered, address, openId, fault: 'timeout',
	});
	assert.equal(gateway.takeLastSend().targetId, message.targetId);
	gateway.receiveRequest(route, {prompt});
	assert.equal(findCall(gateway), undefined);
	assert.equal(gateway.listSends().length, 1);
});

test('a request that waits for a load is sent after a short time in any case', () => {
	const gateway = createUncertainGateway();
	const {message} = receiveWaitingRequest(gateway);
	gateway.advance(75);
	assert.equal(gateway.takeLastSend().targetId, message.targetId);
});

test('a tracker counts the requests that it was asked about until a report contains them', () => {
	const gateway = createUncertainGateway();
	const [id = ''] = engines;
	const target = gateway.state.targets.byId.get(id)!;
	const {bornAt} = target.record;
	const ask = (fields: {readonly load?: number; readonly loadLimit?: number}) => {
		const effects = gateway.handle({
			kind: eventKind.loadPeerCalled, callId: 1, message: {
				from, targetId: id, bornAt, ...fields,
			},
		});
		return effects.find((effect): effect is AnswerLoadPeerEffect => effect.kind === effectKind.answerLoadPeer)!.message.load;
	};

	assert.equal(ask({loadLimit: 10}), undefined, 'its own report is too old');
	assert.equal(ask({load: 6}), 7, 'the request before may have arrived since');
	gateway.advance(100);
	const present = ask({load: 6, loadLimit: 10});
	assert.equal(present, 6);
	assert.equal(ask({loadLimit: 10}), 7);
	assert.equal(ask({loadLimit: 7}), 8, 'a request that exceeds its limit is not sent');
	assert.equal(ask({loadLimit: 10}), 8);
	const stranger = gateway.handle({
		kind: eventKind.loadPeerCalled, callId: 2, message: {
			from: {id: 'stranger', incarnation: 'x'}, targetId: id, bornAt, load: 90,
		},
	}).find((effect): effect is AnswerLoadPeerEffect => effect.kind === effectKind.answerLoadPeer);
	assert.equal(stranger!.message.load, undefined);
	assert.equal(target.reportedLoad?.load, 6);
});

test('nothing is asked where the slots are a tighter limit than the load limit', () => {
	const gateway = createUncertainGateway();
	for (const target of gateway.state.targets.byId.values()) {
		target.record = {...target.record, slots: 6};
	}

	for (let count = 0; count < 6; count++) {
		gateway.receiveRequest(route, {prompt: [`document-${count}`, 'turn']});
		assert.equal(findCall(gateway), undefined);
	}
});
