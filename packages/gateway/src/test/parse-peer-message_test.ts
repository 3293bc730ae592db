/**
 * Checks that each message that an instance creates is accepted by its peers, after
 * its way through JSON.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createState, effectKind, eventKind, factKind, reduce, routeKind, type PeerMessage,
} from '@sequoiatally/dispatch';
import {parsePeerMessage, parseStreamMessage} from '../lib/parse-peer-message.js';

const peer = {
	id: 'peer', incarnation: 'i', address: '127.0.0.1:1', zone: 'zone-a', ageMs: 0,
};
const call: PeerMessage = {
	from: peer, members: [], revision: 0, loads: [], readings: [], wantsUpdate: true,
};
const tables = {
	version: 3,
	routes: [{
		name: 'chat', host: 'a.example', prefix: '/chat/', kind: routeKind.stream, canResume: true, timeLimitMs: 5000, latencyTargetMs: 800, eventGapMs: 400,
		splits: [{pool: 'engines', weight: 1}], targetLimit: 2, isPublic: false, hasPrompts: true,
	}],
	pools: [{name: 'engines', coldRatePerS: 5}, {name: 'desk', coldRatePerS: 0, probePath: '/health'}],
	accounts: [{name: 'crews', keyDigests: ['digest']}],
	limits: {headBytes: 16_384, bodyBytes: 100_000, idleTimeoutMs: 15_000},
};
const target = {
	id: 't', pool: 'engines', address: '127.0.0.1:2', zone: 'zone-a', slots: 8, isLeaving: false, coldMs: 0, bornAt: 1, softwareVersion: 'v1',
};
const update = {
	changes: [
		{subject: 'tables', revision: 1, fact: {kind: factKind.tables, tables}},
		{subject: 'target/t', revision: 2, fact: {kind: factKind.target, target}},
		{subject: 'zone/zone-b', revision: 3, fact: {kind: factKind.zoneClosed, zone: 'zone-b'}},
		{subject: 'target/u', revision: 4},
	],
	revision: 4,
	since: 0,
};

test('the response to a call is accepted, whether the age of the directory is known or not', () => {
	for (const directoryAgeMs of [undefined, 100]) {
		const state = createState({
			id: 'self', incarnation: 'i', address: '127.0.0.1:3', zone: 'zone-a',
		}, {
			retry: {ratio: 0.2, allowance: 52, spanMs: 10_000},
			cold: {overshoot: 1.5, slack: 5},
			drainLimitMs: 7500, registrationExpiryMs: 4800, changeLimitMs: 3000,
		}, [], () => 0.5);
		reduce(state, {
			kind: eventKind.peerCalled, callId: 1, message: {
				...call, update, directoryAgeMs, loads: [{targetId: 't', load: 3, ageMs: 20}],
			},
		}, 1000);
		const effects = reduce(state, {kind: eventKind.peerCalled, callId: 2, message: call}, 1500);
		const answer = effects.find(effect => effect.kind === effectKind.answerPeer)!;
		const parsed = parsePeerMessage(JSON.stringify(answer.message))._unsafeUnwrap();
		assert.equal(parsed.directoryAgeMs, directoryAgeMs === undefined ? undefined : 600);
		assert.equal(parsed.update?.changes.length, 3);
		assert.equal(parsed.from.id, 'self');
	}
});

// Guards against tables of instances of the previous build, which state no rank, being refused during a rollout.
test('tables are accepted with and without ranks, and not with one that is no number', () => {
	const createMessage = (rank?: unknown) => JSON.stringify({
		...call, tables: {...tables, routes: [{...tables.routes[0], rank}], accounts: [{...tables.accounts[0], rank}]},
	});
	assert.ok(parsePeerMessage(createMessage()).isOk());
	const parsed = parsePeerMessage(createMessage(2))._unsafeUnwrap();
	assert.equal(parsed.tables?.routes[0]?.rank, 2);
	assert.equal(parsed.tables?.accounts?.[0]?.rank, 2);
	assert.ok(parsePeerMessage(createMessage('0')).isErr());
	assert.equal(parsePeerMessage(JSON.stringify({...call, tablesRanks: 3}))._unsafeUnwrap().tablesRanks, 3);
	assert.ok(parsePeerMessage(JSON.stringify({...call, tablesRanks: '3'})).isErr());
});

test('text that is not JSON is refused', () => {
	assert.ok(parsePeerMessage('{"from"').isErr());
});

test('a message with the demand for prompts is accepted, and one with an unreadable demand is not', () => {
	assert.ok(parsePeerMessage(JSON.stringify({...call, demands: [{prefix: 'a1', requests: 12.5}]})).isOk());
	for (const demand of [{prefix: 'a1'}, {prefix: 1, requests: 2}, {prefix: 'a1', requests: null}, 'a1']) {
		assert.ok(parsePeerMessage(JSON.stringify({...call, demands: [demand]})).isErr());
	}
});

// Guards against figures of accounts that cannot be added up: they would decide about every later request.
test('a message with the requests of accounts is accepted as it is sent, and one with unreadable figures is not', () => {
	const load = {
		pool: 'engines', instances: 2, completionsPerS: 12.5, requestsPerS: 20, accounts: [{name: 'crews', requestsPerS: 15}],
	};
	assert.ok(parsePeerMessage(JSON.stringify({...call, accountLoads: [load]})).isOk());
	assert.ok(parsePeerMessage(JSON.stringify({...call, accountLoads: []})).isOk());
	const changes = [
		{pool: 1},
		{instances: 'all'},
		{completionsPerS: null},
		{requestsPerS: undefined},
		{accounts: undefined},
		{accounts: [{name: 'crews'}]},
		{accounts: [{name: 1, requestsPerS: 2}]},
		{accounts: ['crews']},
	];
	for (const change of changes) {
		assert.ok(parsePeerMessage(JSON.stringify({...call, accountLoads: [{...load, ...change}]})).isErr(), JSON.stringify(change));
	}
});

test('a message with software versions is accepted as it is sent, and one with unreadable versions is not', () => {
	const state = {counts: [['v1', 2], ['v2', 1]], endedMs: 20};
	const pool = {pool: 'engines', knownMs: 4000, states: [state, {counts: [['v1', 3]]}]};
	assert.ok(parsePeerMessage(JSON.stringify({...call, versionsKnownMs: 100, versions: [pool]})).isOk());
	assert.ok(parsePeerMessage(JSON.stringify({...call, versionsKnownMs: 'all'})).isErr());
	const unreadable = [{counts: [['v1']]}, {counts: [[1, 2]]}, {counts: [['v1', null]]}, {counts: {v1: 2}}, {endedMs: 5}, {...state, endedMs: 'now'}, 7];
	for (const unreadableState of unreadable) {
		assert.ok(parsePeerMessage(JSON.stringify({...call, versions: [{...pool, states: [unreadableState]}]})).isErr());
	}

	assert.ok(parsePeerMessage(JSON.stringify({...call, versions: [{states: []}]})).isErr());
});

test('messages about streams are accepted only in the form that instances send', () => {
	const {id, incarnation} = peer;
	const message = {from: {id, incarnation}, streams: [['1a-2b', 'v1']], askedKeys: ['3c-4d']};
	assert.deepEqual(parseStreamMessage(JSON.stringify(message))._unsafeUnwrap(), message);
	for (const change of [{from: undefined}, {streams: [['1a-2b']]}, {streams: [['1a-2b', 1]]}, {askedKeys: [7]}, {askedKeys: undefined}]) {
		assert.ok(parseStreamMessage(JSON.stringify({...message, ...change})).isErr(), JSON.stringify(change));
	}
});
