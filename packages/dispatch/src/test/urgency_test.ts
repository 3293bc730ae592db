/**
 * Tests the rank of requests in what is sent to targets. Load: two routes of rank 0 and 2
 * share the slots of one pool, as in the build farm; without ranks, its engines serve both
 * in order of arrival.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	eventKind, sendOutcome, type Account, type Tables,
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
