/**
 * Tests limits that targets name in their responses: requests a second from all
 * instances together, for as long as they say so.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eventKind, effectKind, sendOutcome} from '../index.js';
import {
	createRoute, createTables, createTargetChange, createTargetRecord, GatewayFixture, onceRoute,
} from './gateway-fixture.js';
import {computeNamedLimitShare} from '../lib/targets/target-limits.js';
import {SimulatedFleet} from './simulated-fleet.js';

/** Time after which all instances have to keep to a limit, in milliseconds. */
const contactMs = 3000;
/** Window in which requests are counted, and what may reach a target in it: a multiple of its limit plus a fixed number. */
const windowMs = 4000;
const allowance = {multiple: 1.5, extra: 5};
/** Time after which an instance that has passed on a response with a limit counts, in milliseconds. */
const noticeMs = 500;
const route = createRoute();

type Scenario = {
	readonly gatewayCount: number;
	readonly engineCount: number;
	readonly requestsPerSecond: number;
	/** Fraction of the engines that name a limit, and the limit in requests a second. */
	readonly limitedFraction: number;
	readonly limitPerS: number;
	readonly callLoss: number;
	readonly interruptionsPerSecond: number;
	readonly seed: number;
};

type Result = {
	readonly fleet: SimulatedFleet;
	/** Largest number of counted requests in a window at one engine. */
	readonly mostArrivals: number;
	readonly allowed: number;
	/** Fraction of the requests that began while limits were named. */
	readonly begunShare: number;
};

/** Sends chats while some engines name a limit for 15 s, and counts what reaches these. */
function playLimits({
	gatewayCount, engineCount, requestsPerSecond, limitedFraction, limitPerS, callLoss, interruptionsPerSecond, seed,
}: Scenario): Result {
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, callLoss,
	});
	let turn = 0;
	const onStep = () => {
		for (let count = fleet.drawCount(requestsPerSecond); count > 0; count--) {
			const first = Math.floor(fleet.random() * 8);
			fleet.sendRequest(route, [`first-${first}`, `chat-${first}-${Math.floor(fleet.random() * 20)}`, `turn-${turn++}`]);
		}

		fleet.interruptInstances(interruptionsPerSecond);
	};

	fleet.advance(5000);
	fleet.advance(5000, onStep);
	const limitedIds = fleet.listEngineIds().slice(0, Math.round(engineCount * limitedFraction));
	for (const id of limitedIds) {
		fleet.engineLimits.set(id, limitPerS);
	}

	const namedAt = fleet.now;
	fleet.advance(15_000, onStep);
	let mostArrivals = 0;
	for (const id of limitedIds) {
		// An instance that was interrupted is excused.
		const counted = fleet.arrivals.filter(({engineId, at, sender, senderRunningSince}) => engineId === id && at >= namedAt + contactMs
			&& at - (fleet.limitHeardAt.get(`${sender} ${id}`) ?? Number.POSITIVE_INFINITY) >= noticeMs && at - senderRunningSince >= contactMs);
		for (const [index, {at}] of counted.entries()) {
			const inWindow = counted.slice(index).filter(other => other.at < at + windowMs).length;
			mostArrivals = Math.max(mostArrivals, inWindow);
		}
	}

	const during = fleet.requests.filter(({at}) => at >= namedAt + contactMs && at < fleet.now - 1000);
	return {
		fleet, mostArrivals,
		allowed: (allowance.multiple * limitPerS * windowMs / 1000) + allowance.extra,
		begunShare: during.filter(({hasBegun}) => hasBegun).length / during.length,
	};
}

const sizes = [
	{
		gatewayCount: 7, engineCount: 13, requestsPerSecond: 80, limitPerS: 2.2,
	},
	{
		gatewayCount: 60, engineCount: 40, requestsPerSecond: 280, limitPerS: 2.2,
	},
	{
		gatewayCount: 195, engineCount: 114, requestsPerSecond: 700, limitPerS: 1.5,
	},
];
const conditions = [
	{name: 'a calm fleet', callLoss: 0, interruptionsPerSecond: 0},
	{name: 'a fleet with lost messages, pauses and restarts', callLoss: 0.15, interruptionsPerSecond: 0.3},
];

for (const {name, ...condition} of conditions) {
	for (const size of sizes) {
		// Guards against targets that get more requests than the limit that they name (LIMIT).
		test(`targets that name a limit get no more requests from all instances together (capped targets; ${size.gatewayCount} instances, ${name})`, () => {
			const {mostArrivals, allowed, begunShare} = playLimits({
				...size, ...condition, limitedFraction: 0.6, seed: 5,
			});
			assert.ok(mostArrivals <= allowed, `${mostArrivals} requests in ${windowMs} ms, ${allowed} are allowed`);
			assert.ok(begunShare > 0.9, `${begunShare} of the requests begin, as the other targets have room`);
		});
	}
}

const desks = ['desk-1', 'desk-2'];

/** Answers the last send; the response names a limit, or none. */
function answerNamingLimit(gateway: GatewayFixture, requestsPerS: number | undefined, at = gateway.now): string {
	const {openId, sendId, targetId} = gateway.takeLastSend();
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.complete, detail: 'test', targetReport: {requestsPerS, at},
	});
	return targetId;
}

/** Creates an instance that every target has told its limit. */
function createLimitedGateway(requestsPerS: number): GatewayFixture {
	const gateway = new GatewayFixture().loadDirectory(desks, createTables());
	while ([...gateway.state.targets.byId.values()].some(({statements: {limit}}) => limit === undefined)) {
		gateway.receiveRequest(onceRoute);
		answerNamingLimit(gateway, requestsPerS);
		gateway.advance(25);
	}

	return gateway;
}

/** Sends requests that are answered at once until one is refused; returns how many were sent to each target. */
function countSends(gateway: GatewayFixture, most: number): Map<string, number> {
	const counts = new Map<string, number>();
	for (let count = 0; count < most; count++) {
		gateway.receiveRequest(onceRoute);
		const send = gateway.listSends().at(-1);
		if (send === undefined) {
			break;
		}

		const limit = gateway.state.targets.byId.get(send.targetId)!.statements.limit?.requestsPerS;
		counts.set(answerNamingLimit(gateway, limit), (counts.get(send.targetId) ?? 0) + 1);
		gateway.advance(25);
	}

	return counts;
}

test('a request is refused at once when the limits of all targets are used, with the time until one allows more', () => {
	const gateway = createLimitedGateway(6);
	countSends(gateway, 50);
	gateway.receiveRequest(onceRoute);
	const refusal = gateway.effects.find(effect => effect.kind === effectKind.refuse);
	assert.equal(refusal?.failure.reason, 'targets-limited');
	assert.equal(refusal.failure.status, 503);
	const {retryAfterMs = 0} = refusal.failure;
	assert.ok(retryAfterMs > 2000 && retryAfterMs < 4500, `${retryAfterMs} ms`);
	gateway.advance(retryAfterMs);
	gateway.receiveRequest(onceRoute);
	assert.equal(gateway.listSends().length, 1);
});

test('a request goes to a target without a limit when the share of the others is used', () => {
	const gateway = createLimitedGateway(6);
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-3'))]);
	const counts = countSends(gateway, 50);
	assert.ok((counts.get('desk-3') ?? 0) >= 45, `${counts.get('desk-3')} of 50`);
});

test('a limit holds until a later response names another one or none, in whatever order responses are handled', () => {
	const gateway = createLimitedGateway(0);
	const {byId} = gateway.state.targets;
	countSends(gateway, 10);
	const target = byId.get('desk-1')!;
	const named = target.statements.limit!;
	gateway.advance(5000);
	assert.deepEqual(target.statements.limit, named);
	gateway.receiveRequest(onceRoute);
	const send = gateway.listSends().at(-1);
	if (send !== undefined) {
		answerNamingLimit(gateway, undefined, named.at - 1);
		assert.equal(byId.get(send.targetId)!.statements.limit!.requestsPerS, 0);
	}

	gateway.handle({
		kind: eventKind.peerCalled, callId: 1, message: {...gateway.createPeerAnswer(), limits: [{targetId: 'desk-1', bornAt: 1, ageMs: 0}]},
	});
	assert.equal(target.statements.limit.requestsPerS, undefined);
	assert.equal(countSends(gateway, 30).get('desk-1'), 30);
});

test('an instance keeps to a limit that it knows from a peer only, and forgets it when the target restarts', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	const createMessage = (bornAt: number) => ({
		...gateway.createPeerAnswer(), limits: [{
			targetId: 'desk-1', bornAt, requestsPerS: 0.1, ageMs: 100,
		}],
	});
	gateway.handle({kind: eventKind.peerCalled, callId: 1, message: createMessage(2)});
	assert.equal(gateway.state.targets.byId.get('desk-1')!.statements.limit, undefined);
	gateway.handle({kind: eventKind.peerCalled, callId: 1, message: createMessage(1)});
	assert.ok([...countSends(gateway, 20).values()].every(count => count <= 1));
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-1', {bornAt: 2}))]);
	assert.equal(countSends(gateway, 20).get('desk-1'), 20);
});

test('a limit of less than one request for each instance is divided into whole requests (small limit, large fleet)', () => {
	const memberHashes = Array.from({length: 195}, (_, index) => Math.imul(index + 1, 0x9E_37_79_B1) >>> 0); // eslint-disable-line no-bitwise
	for (const [requestsPerS, expected] of [[0, 1], [0.4, 1], [3.1, 12], [60, 240]] as const) {
		let total = 0;
		for (const selfHash of memberHashes) {
			total += computeNamedLimitShare(77, requestsPerS, {selfHash, memberHashes, size: 195});
		}

		assert.equal(total, expected);
	}
});
