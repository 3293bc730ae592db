/**
 * Tests that a client account with several times its usual demand does not worsen the service of the others that
 * share a contended pool with it, and that nothing is limited without contention.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, sendOutcome, type RefuseEffect, type Route,
} from '../index.js';
import {
	AccountShare, computeFairShare, computeReturnMs, computeSentFraction,
} from '../lib/requests/account-share.js';
import {
	createRoute, createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture, onceRoute,
} from './gateway-fixture.js';
import {
	computeServedFraction, hotAccounts, largeAccounts, runSharedPool, settlingMs, type SharedPoolPlay, type SharedPoolResult,
} from './shared-pool-plays.js';

const pressed = {
	load: 110, slots: 100, hasRejected: false, hasWaiting: false,
};

test('max-min fairness gives small accounts all they ask for and divides the rest equally', () => {
	assert.equal(computeFairShare([1, 2, 3], 6), Number.POSITIVE_INFINITY);
	assert.equal(computeFairShare([1, 2, 30], 10), 7);
	assert.equal(computeFairShare([20, 1, 30], 11), 5);
	assert.equal(computeFairShare([20, 30], 0), 0);
	assert.equal(computeFairShare([], 5), Number.POSITIVE_INFINITY);
});

// Guards against an account that is limited because of the few requests that one instance sees.
test('few requests limit no account, and many limit only the one beyond its share', () => {
	const createFigures = (factor: number) => ({
		instanceCount: factor, completionsPerS: 4 * factor, requestsPerS: 6 * factor, rateByAccount: new Map([['hot', 3 * factor], ['a', 2 * factor], ['b', Number(factor)]]),
	});
	assert.equal(computeSentFraction(createFigures(0.5), 'hot', 1), 1);
	const fraction = computeSentFraction(createFigures(100), 'hot', 1);
	// The share of each is 2 of 4 completions, as `b` takes but one and `a` exactly two.
	assert.ok(fraction > 0.5 && fraction < 0.75, String(fraction));
	assert.equal(computeSentFraction(createFigures(100), 'b', 1), 1);
	assert.equal(computeSentFraction(createFigures(100), 'unknown', 1), 1);
});

// Guards against refusing everyone while all targets are cold or silent.
test('accounts with at most the mean demand are not limited when nothing completes', () => {
	const figures = {
		instanceCount: 100, completionsPerS: 0, requestsPerS: 600, rateByAccount: new Map([['hot', 400], ['a', 100], ['b', 100]]),
	};
	assert.equal(computeSentFraction(figures, 'a', 1), 1);
	assert.ok(computeSentFraction(figures, 'hot', 1) < 1);
});

function recordDemand(share: AccountShare, rateByAccount: Readonly<Record<string, number>>, completionsPerS: number): number {
	const end = 5000;
	for (let now = 0; now < end; now++) {
		for (const [account, perS] of Object.entries(rateByAccount)) {
			if (Math.floor(now * perS / 1000) !== Math.floor((now + 1) * perS / 1000)) {
				share.recordRequest('engines', account, now);
			}
		}

		if (Math.floor(now * completionsPerS / 1000) !== Math.floor((now + 1) * completionsPerS / 1000)) {
			share.recordCompletion('engines', now);
		}
	}

	return end;
}

// Guards against sums that count an instance again each time they return to it.
test('the own figures of each peer count once, however often and by whomever they are told', () => {
	const share = new AccountShare();
	const other = new AccountShare();
	const now = recordDemand(share, {hot: 20, a: 10}, 20);
	recordDemand(other, {hot: 20, a: 10}, 20);
	for (let round = 0; round < 5; round++) {
		other.applyShared('gateway-1', share.describe(['engines'], now), now);
		share.applyShared('gateway-2', other.describe(['engines'], now), now);
	}

	const [own, sum] = share.describe(['engines'], now);
	assert.deepEqual(own, {
		pool: 'engines', instances: 1, completionsPerS: 20, requestsPerS: 30, accounts: [{name: 'hot', requestsPerS: 20}, {name: 'a', requestsPerS: 10}],
	});
	assert.deepEqual(sum, {
		pool: 'engines', instances: 2, completionsPerS: 40, requestsPerS: 60, accounts: [{name: 'hot', requestsPerS: 40}, {name: 'a', requestsPerS: 20}],
	});
});

// Guards against limits that stay in force by figures of a demand that has ended, and against messages that grow with the accounts.
test('figures of peers expire, and a message is bounded', () => {
	const share = new AccountShare();
	share.recordRequest('engines', 'hot', 0);
	const figures = {
		pool: 'engines', instances: 70, completionsPerS: 100, requestsPerS: 300, accounts: ['hot', ...'abcdefghij'].map(name => ({name, requestsPerS: name === 'hot' ? 250 : 5})),
	};
	share.applyShared('gateway-2', [figures], 0);
	assert.ok(share.computeSentFraction('engines', 'hot', pressed, 3000) < 0.5);
	assert.equal(share.computeSentFraction('engines', 'hot', pressed, 3001), 1);

	const many = new AccountShare();
	for (let account = 0; account < 100; account++) {
		many.recordRequest('engines', `account-${account}`, 0);
		many.recordRequest('engines', `account-${account}`, 1500);
	}

	assert.equal(many.describe(['engines'], 1000).length, 0, 'the first window is not over');
	assert.equal(many.describe(['engines'], 2500)[0]!.accounts.length, 24);
});

test('the time until a return is longer for a smaller share, and bounded', () => {
	assert.ok(computeReturnMs(0.9) < computeReturnMs(0.5));
	assert.equal(computeReturnMs(0), 5000);
	assert.equal(computeReturnMs(1), 100);
});

const deskSlots = 2;

/** Creates a gateway with full targets and figures of the fleet by which the account is beyond its share. */
function createContendedGateway(): GatewayFixture {
	const gateway = new GatewayFixture().setFairShares();
	const tables = createTables();
	gateway.applyChanges(1, [createTablesChange(1, tables), createTargetChange(1, createTargetRecord('desk-1', {slots: deskSlots}))], 0);
	for (let count = 0; count <= deskSlots; count++) {
		gateway.receiveRequest(onceRoute);
		assert.equal(gateway.listSends().length, 1, 'a pool that is not contended limits nothing');
	}

	gateway.state.accountShare.applyShared('gateway-9', [{
		pool: 'desk', instances: 70, completionsPerS: 100, requestsPerS: 10_000, accounts: [{name: 'amina', requestsPerS: 9990}, {name: 'a', requestsPerS: 10}],
	}], gateway.now);
	Object.assign(gateway.state, {random: () => 0.99});
	return gateway;
}

function findRefusal(gateway: GatewayFixture): RefuseEffect | undefined {
	return gateway.effects.find(effect => effect.kind === effectKind.refuse);
}

// Guards against a caller of a hot account that gains by sending the refused request again at once.
test('a request beyond the share waits, is refused as not run, and is not sent if it comes again at once', () => {
	const gateway = createContendedGateway();
	gateway.receiveRequest(onceRoute, {fingerprint: 'same'});
	assert.equal(gateway.listSends().length, 0);
	assert.ok(gateway.effects.some(effect => effect.kind === effectKind.log && effect.event === 'held-back'));
	gateway.advance(100);
	const {failure, runCount} = findRefusal(gateway)!;
	assert.deepEqual([failure.status, failure.reason, runCount], [503, 'account-share', 0]);
	assert.ok(failure.retryAfterMs! > 500, String(failure.retryAfterMs));
	Object.assign(gateway.state, {random: () => 0});
	gateway.receiveRequest(onceRoute, {fingerprint: 'same'});
	assert.equal(gateway.listSends().length, 0, 'it came again too early');
	gateway.receiveRequest(onceRoute, {fingerprint: 'other'});
	assert.equal(gateway.listSends().length, 1);
});

// Guards against requests that wait although their pool has room again.
test('a request that is held back is sent once its pool is no longer contended', () => {
	const gateway = createContendedGateway();
	const sends = [...gateway.state.openRequests.values()].map(({openId, currentSend}) => ({openId, sendId: currentSend!.sendId}));
	gateway.receiveRequest(onceRoute);
	assert.equal(gateway.listSends().length, 0);
	for (const {openId, sendId} of sends) {
		gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.complete, detail: 'ok',
		});
	}

	assert.equal(gateway.listSends().length, 0, 'the load has fallen only now');
	gateway.advance(25);
	assert.equal(gateway.listSends().length, 1);
	assert.equal(findRefusal(gateway), undefined);
});

// Guards against an urgent account beyond its share that keeps others from a slot: what waits behind its request is overtaken by new ones.
test('a waiting request goes ahead of a new one although a request that is held back precedes both', () => {
	const [urgent, usual, batch] = [0, 1, 2].map(rank => createRoute({
		name: `rank-${rank}`, prefix: `/rank-${rank}/`, rank, latencyTargetMs: 16_000, timeLimitMs: 30_000,
	})) as [Route, Route, Route];
	const ruth = {keyDigest: 'digest-r'};
	const accounts = [{name: 'amina', keyDigests: ['digest-a']}, {name: 'ruth', keyDigests: ['digest-r']}];
	const gateway = new GatewayFixture().setFairShares().loadDirectory([], createTables(1, {routes: [urgent, usual, batch], accounts}));
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('engine-1', {coldMs: 5000, slots: 1}))]);
	gateway.receiveRequest(batch, ruth);
	assert.equal(gateway.listSends().length, 1);
	const waitingId = gateway.receiveRequest(usual, ruth);
	assert.equal(gateway.listSends().length, 0, 'the target may receive no more');
	gateway.state.accountShare.applyShared('gateway-9', [{
		pool: 'engines', instances: 70, completionsPerS: 100, requestsPerS: 10_000, accounts: [{name: 'amina', requestsPerS: 9990}, {name: 'ruth', requestsPerS: 10}],
	}], gateway.now);
	Object.assign(gateway.state, {random: () => 0.99});
	const heldBackId = gateway.receiveRequest(urgent);
	gateway.now += 1151;
	gateway.receiveRequest(batch, ruth);
	assert.deepEqual(gateway.listSends().map(({openId}) => openId), [waitingId]);
	assert.ok(gateway.state.openRequests.get(heldBackId)?.shareReturnAt !== undefined, 'it is still held back');
});

// Guards against requests of one account that pile up while they are held back; how many can arrive is limited by the connections of callers.
test('all requests that are held back end with their queue time', () => {
	const gateway = createContendedGateway();
	const openCount = gateway.state.openRequests.size;
	for (let count = 0; count < 1000; count++) {
		gateway.receiveRequest(onceRoute);
	}

	assert.equal(gateway.state.queuedRequests.size, 1000);
	gateway.effects = [];
	gateway.advance(onceRoute.latencyTargetMs / 8);
	assert.equal(gateway.state.queuedRequests.size, 0);
	assert.equal(gateway.state.openRequests.size, openCount);
	assert.ok(gateway.listRefusalStatuses().every(status => status === 503));
});

// Guards against limits in deployments whose tables state no accounts.
test('without client accounts in the tables nothing is counted or limited', () => {
	const gateway = new GatewayFixture().setFairShares();
	gateway.applyChanges(1, [createTablesChange(1, createTables(1, {accounts: undefined})), createTargetChange(1, createTargetRecord('desk-1', {slots: 1}))], 0);
	for (let count = 0; count < 50; count++) {
		gateway.receiveRequest(onceRoute);
		assert.equal(gateway.listSends().length, 1);
	}

	assert.deepEqual(gateway.state.accountShare.listPools(gateway.now), []);
	assert.equal(gateway.createPeerAnswer().accountLoads, undefined);
});

test('figures about accounts are told to peers only while a pool is contended', () => {
	const gateway = createContendedGateway();
	gateway.advance(2500);
	gateway.receiveRequest(onceRoute);
	assert.equal(gateway.createPeerAnswer().accountLoads, undefined, 'the pool is calm');
	for (let count = 0; count <= deskSlots; count++) {
		gateway.receiveRequest(onceRoute);
	}

	assert.equal(gateway.createPeerAnswer().accountLoads?.[0]?.pool, 'desk');
});

/** A pool of 48 slots; the usual demand is close to its capacity, and one hot account makes it 1.3 times as large as that. */
const usualPlay = {
	gatewayCount: 7, engineCount: 6, slots: 8, seed: 1, usualLoad: 0.95,
} satisfies SharedPoolPlay;

/** Switches the limit off, as in a build without this part. */
function removeLimit({state}: GatewayFixture): void {
	state.accountShare.computeSentFraction = () => 1;
}

/** Lets an instance learn nothing from peers. */
function removeTotals({state}: GatewayFixture): void {
	state.accountShare.applyShared = () => undefined;
}

function computeOrdinaryFraction(result: SharedPoolResult): number {
	return computeServedFraction(result, account => !hotAccounts.two.has(account) && !largeAccounts.has(account));
}

function computeLargeFraction(result: SharedPoolResult): number {
	return computeServedFraction(result, account => largeAccounts.has(account));
}

function describeResult(result: SharedPoolResult): string {
	return `ordinary ${computeOrdinaryFraction(result).toFixed(3)}, large ${computeLargeFraction(result).toFixed(3)}, hot ${computeServedFraction(result, account => hotAccounts.two.has(account)).toFixed(3)}, used ${result.usedFraction.toFixed(3)}`;
}

/** Part of the requests by which the share that is served may differ between two plays by chance: a few standard deviations of some hundred requests. */
const chance = 0.04;

// Guards against SHARE: one client account, or two, at seven times the usual rate take the slots from all others.
for (const [gatewayCount, hotCount] of [[7, 'one'], [7, 'two'], [70, 'one'], [195, 'one']] as const) {
	test(`accounts within their share are served at ${gatewayCount} instances as often with ${hotCount} hot as without`, t => {
		const play = {...usualPlay, gatewayCount};
		const usual = runSharedPool({...play, prepare: removeLimit});
		const limited = runSharedPool({...play, hotAccounts: hotAccounts[hotCount]});
		const report = `without hot accounts: ${describeResult(usual)}; limited: ${describeResult(limited)}`;
		t.diagnostic(report);
		assert.ok(computeOrdinaryFraction(limited) >= computeOrdinaryFraction(usual) - chance, report);
		assert.ok(limited.usedFraction >= usual.usedFraction * 0.8, report);
	});
}

// Guards against limits that harm: without totals, an instance has only its own figures.
test('without totals of peers no account is served less often than without the limit', t => {
	const play = {...usualPlay, hotAccounts: hotAccounts.one};
	const unlimited = runSharedPool({...play, prepare: removeLimit});
	const alone = runSharedPool({...play, prepare: removeTotals});
	const report = `unlimited: ${describeResult(unlimited)}; without totals: ${describeResult(alone)}`;
	t.diagnostic(report);
	assert.ok(computeOrdinaryFraction(alone) >= computeOrdinaryFraction(unlimited) - chance, report);
	assert.ok(computeLargeFraction(alone) >= computeLargeFraction(unlimited) - chance, report);
});

// Guards against limits on an account that is merely large: nothing is limited while all are served.
test('an account with half of the demand is never limited while the pool has room', () => {
	for (const seed of [1, 2, 3]) {
		const {limitedCount, servedByAccount} = runSharedPool({
			...usualPlay, seed, usualLoad: 0.4, hotAccounts: new Map([[0, 4]]),
		});
		assert.equal(limitedCount, 0);
		assert.equal(servedByAccount[0], 1);
	}
});

// Guards against callers that gain by sending refused requests again at once.
test('an account whose callers repeat refused requests at once gets no more than one whose callers do not', t => {
	const play = {...usualPlay, hotAccounts: hotAccounts.one};
	const [hot] = [...hotAccounts.one.keys()];
	const patient = runSharedPool(play);
	const repeating = runSharedPool({...play, repeatsAtOnce: true});
	const report = `hot account ${patient.servedRateByAccount[hot!]} a second, with repeats ${repeating.servedRateByAccount[hot!]}; ${describeResult(repeating)}`;
	t.diagnostic(report);
	assert.ok(repeating.servedRateByAccount[hot!]! <= patient.servedRateByAccount[hot!]! * 1.2, report);
	assert.ok(computeOrdinaryFraction(repeating) >= computeOrdinaryFraction(patient) - chance, report);
});

// Guards against an instance that limits nothing, or the wrong accounts, since it has started only now.
test('an instance that starts while the pool is contended limits as the others do', t => {
	let startedAt = Number.POSITIVE_INFINITY;
	const result = runSharedPool({
		...usualPlay, hotAccounts: hotAccounts.one, onStep(fleet, sinceMs) {
			if (sinceMs >= settlingMs + 3500 && startedAt === Number.POSITIVE_INFINITY) {
				startedAt = fleet.now + 500;
				fleet.restart(fleet.nodes[3]!, 500);
			}
		},
	});
	const late = {...result, requests: result.requests.filter(({request}) => request.receiver === 'gateway-3:1')};
	t.diagnostic(describeResult(late));
	assert.ok(computeOrdinaryFraction(late) >= 0.95, describeResult(late));
	assert.ok(late.requests.some(({request}) => request.refusalReason === 'account-share'));
});
