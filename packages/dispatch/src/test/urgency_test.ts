/**
 * Tests the rank of requests in what is sent to targets. Load: two routes of rank 0 and 2
 * share the slots of one pool, as in the build farm; without ranks, its engines serve both
 * in order of arrival.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, sendOutcome, type Account, type PeerMessage, type Tables,
} from '../index.js';
import {
	createRoute, createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const urgentRoute = createRoute({name: 'edit', prefix: '/edit/', rank: 0});
const batchRoute = createRoute({name: 'batch', prefix: '/batch/', rank: 2});
const plainRoute = createRoute({name: 'chat', prefix: '/chat/'});

function createRankedTables(version: number, account: Partial<Account> = {}, routes = [urgentRoute, batchRoute, plainRoute]): Tables {
	return createTables(version, {routes, accounts: [{name: 'amina', keyDigests: ['digest-a'], ...account}, {name: 'ruth', keyDigests: ['digest-r']}]});
}

// Guards against sends without the rank, which engines serve with that of requests of unknown urgency.
test('a send states the rank of the account, otherwise that of the route, otherwise none', () => {
	const gateway = new GatewayFixture().loadDirectory(['engine-1'], createRankedTables(1, {rank: 4}));
	const cases = [[urgentRoute, 'digest-a', 4], [urgentRoute, 'digest-r', 0], [batchRoute, 'digest-r', 2], [plainRoute, 'digest-r', undefined]] as const;
	for (const [route, keyDigest, rank] of cases) {
		gateway.receiveRequest(route, {keyDigest});
		assert.equal(gateway.takeLastSend().rank, rank, `${route.name} of ${keyDigest}`);
	}
});

test('an account of rank 0 precedes the rank of its route', () => {
	const gateway = new GatewayFixture().loadDirectory(['engine-1'], createRankedTables(1, {rank: 0}));
	gateway.receiveRequest(batchRoute);
	assert.equal(gateway.takeLastSend().rank, 0);
});

// Guards against requests that keep the rank of tables that are no longer in force.
test('the rank of a request that waits or is sent again is that of the tables in force', () => {
	const gateway = new GatewayFixture().loadDirectory([], createRankedTables(1));
	gateway.receiveRequest(batchRoute);
	assert.deepEqual(gateway.listSends(), []);
	const tables = createRankedTables(2, {}, [urgentRoute, {...batchRoute, rank: 1}, plainRoute]);
	gateway.applyChanges(2, [createTablesChange(2, tables)]);
	gateway.applyChanges(3, ['engine-1', 'engine-2'].map(id => createTargetChange(3, createTargetRecord(id))));
	const {openId, sendId, rank} = gateway.takeLastSend();
	assert.equal(rank, 1);
	gateway.applyChanges(4, [createTablesChange(4, createRankedTables(3, {rank: 0}))]);
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.rejected, detail: 'test',
	});
	assert.equal(gateway.takeLastSend().rank, 0);
});

// Guards against a relayed request that reaches its target without a rank: its origin sends none to the peer.
test('a request that a peer relays gets its rank at the peer', () => {
	const gateway = new GatewayFixture().loadDirectory(['engine-1'], createRankedTables(1));
	gateway.handle({
		kind: eventKind.peerCalled,
		callId: 1,
		message: {
			from: {
				id: 'gateway-9', incarnation: 'i', address: 'gateway-9:1', zone: 'zone-b', ageMs: 0,
			},
			members: [], revision: 0, loads: [], readings: [], wantsUpdate: false,
		},
	});
	gateway.receiveRequest(batchRoute, {relayedFrom: {id: 'gateway-9', incarnation: 'i', runLimit: 1}});
	assert.equal(gateway.takeLastSend().rank, 2);
});

/** The ranked tables as an instance of the previous build passes them on: it drops the ranks from what it reads. */
function createTablesWithoutRanks(version: number): Tables {
	const {routes, accounts, ...rest} = createRankedTables(version, {rank: 4});
	return {
		...rest,
		routes: routes.map(({rank, ...route}) => route),
		accounts: accounts!.map(({rank, ...account}) => account),
	};
}

/** Creates a gateway that has received tables without ranks from an instance of the previous build. */
function createGatewayAfterRollout(): GatewayFixture {
	return new GatewayFixture('gateway-2').loadDirectory(['engine-1'], createTablesWithoutRanks(1));
}

function answerCall(gateway: GatewayFixture, message: PeerMessage): PeerMessage {
	return gateway.handle({kind: eventKind.peerCalled, callId: 1, message}).find(effect => effect.kind === effectKind.answerPeer)!.message;
}

/** Lets the gateway call a peer; returns the peer's response. */
function callPeer(gateway: GatewayFixture, peer: GatewayFixture, wantsUpdate = false): PeerMessage {
	const {message: call} = gateway.takePeerCall();
	const message = answerCall(peer, {...call, wantsUpdate});
	gateway.handle({
		kind: eventKind.peerAnswered, address: 'gateway-9:1', message, requestedAt: gateway.now,
	});
	return message;
}

function sendRanked(gateway: GatewayFixture): number | undefined {
	gateway.receiveRequest(batchRoute, {keyDigest: 'digest-r'});
	return gateway.takeLastSend().rank;
}

// Guards against an instance that sends no ranks after a rollout until the next version of the tables.
test('an instance with tables without ranks gets the ranks of the same version from a peer, once', () => {
	const gateway = createGatewayAfterRollout();
	const peer = new GatewayFixture('gateway-1').loadDirectory(['engine-1'], createRankedTables(1, {rank: 4}));
	assert.equal(sendRanked(gateway), undefined);
	assert.deepEqual(callPeer(gateway, peer).tables, peer.state.directory.tables);
	assert.equal(sendRanked(gateway), 2);
	assert.equal(callPeer(gateway, peer).tables, undefined, 'it has them');
});

// Guards against a follower that is always behind the directory of the peer that it calls, which changes all the time.
test('a peer states the ranks together with an update', () => {
	const gateway = createGatewayAfterRollout();
	const peer = new GatewayFixture('gateway-1').loadDirectory(['engine-1'], createRankedTables(1, {rank: 4}));
	peer.applyChanges(2, [createTargetChange(2, createTargetRecord('engine-2'))]);
	assert.ok(callPeer(gateway, peer, true).update !== undefined);
	assert.equal(sendRanked(gateway), 2);
});

test('an instance with tables without ranks takes the ranks of the same version from the platform', () => {
	for (const revision of [1, 2]) {
		const gateway = createGatewayAfterRollout();
		gateway.applyChanges(revision, [createTablesChange(revision, createRankedTables(1, {rank: 4})), createTargetChange(1, createTargetRecord('engine-1'))], 0);
		assert.equal(sendRanked(gateway), 2, `revision ${revision}`);
	}
});

// Guards against instances of the previous build that take the ranks away again from those that have them.
test('tables without ranks replace no tables with ranks of the same version', () => {
	const gateway = new GatewayFixture('gateway-1').loadDirectory(['engine-1'], createRankedTables(1, {rank: 4}));
	const withoutRanks = createTablesWithoutRanks(1);
	for (const revision of [1, 2]) {
		gateway.applyChanges(revision, [createTablesChange(revision, withoutRanks), createTargetChange(1, createTargetRecord('engine-1'))], 0);
		assert.equal(sendRanked(gateway), 2, `revision ${revision}`);
	}

	gateway.handle({kind: eventKind.peerCalled, callId: 1, message: {...createGatewayAfterRollout().takePeerCall().message, tables: withoutRanks}});
	assert.equal(sendRanked(gateway), 2);
});

// Guards against two builds that send tables back and forth: the previous one drops the ranks each time, and states no number of them.
test('an instance of the previous build gets no tables of the version that it has, and no response leads to another call', () => {
	const peer = new GatewayFixture('gateway-1').loadDirectory(['engine-1'], createRankedTables(1, {rank: 4}));
	const {message: call} = createGatewayAfterRollout().takePeerCall();
	const {tablesRanks, ...previousCall} = call;
	assert.equal(tablesRanks, 0);
	assert.equal(answerCall(peer, previousCall).tables, undefined);
	for (const message of [call, previousCall]) {
		peer.effects = [];
		peer.handle({
			kind: eventKind.peerAnswered, address: 'gateway-2:1', message, requestedAt: peer.now,
		});
		assert.deepEqual(peer.effects.filter(({kind}) => kind === effectKind.callPeer), []);
	}
});
