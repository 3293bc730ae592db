/**
 * Tests targets that state in their responses that they are brittle: one that has to
 * reject more requests in a second than it states falls over.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, routeKind, sendOutcome, type SendOutcome, type TargetStatement,
} from '../index.js';
import {
	createRoute, createTables, createTargetChange, createTargetRecord, GatewayFixture, onceRoute,
} from './gateway-fixture.js';
import {SimulatedFleet} from './simulated-fleet.js';

/** Time from the statement on until targets may let fewer requests wait and fall over, in milliseconds. */
const contactMs = 3000;
/** Falls that the platform's rule allows: a fixed number, and one for each so many targets. */
const allowedFalls = {fixed: 2, share: 0.1};
/** Part of what the targets can do that has to be done in a burst. */
const minGoodput = 0.9;
const burstMs = 5000;
const room = {slots: 6, runMs: {min: 300, extra: 200}};
const meanRunMs = room.runMs.min + (room.runMs.extra / 2);
const queueLimits = {before: 6, brittle: 2};

const order = createRoute({
	name: 'order', prefix: '/order/', kind: routeKind.once, timeLimitMs: 4000, latencyTargetMs: 800, splits: [{pool: 'desk', weight: 1}], hasPrompts: false,
});
const question = createRoute({
	...order, name: 'question', prefix: '/question/', kind: routeKind.repeatable, targetLimit: 2, hasPrompts: true,
});
const tables = createTables(1, {routes: [order, question], pools: [{name: 'desk', coldRatePerS: 0}]});

type Scenario = {
	readonly gatewayCount: number;
	readonly engineCount: number;
	/** Rejections a second that a target survives. */
	readonly rejectionLimit: number;
	readonly callLoss: number;
	readonly seed: number;
};

/** Plays calm traffic, in which the targets begin to state that they are brittle, and a burst of twice what they can do. */
function playBurst({
	gatewayCount, engineCount, rejectionLimit, callLoss, seed,
}: Scenario) {
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, callLoss, engineName: 'desk', tables, engineRoom: room,
	});
	fleet.queueLimit = queueLimits.before;
	let part = 0.7;
	const onStep = () => {
		for (let count = fleet.drawCount(part * engineCount * room.slots * 1000 / meanRunMs); count > 0; count--) {
			const isOrder = fleet.random() < 0.5;
			fleet.sendRequest(isOrder ? order : question, isOrder ? [] : [`topic-${Math.floor(fleet.random() * engineCount)}`, 'own']);
		}
	};

	fleet.advance(5000);
	fleet.advance(3000, onStep);
	fleet.rejectionLimit = rejectionLimit;
	fleet.advance(contactMs, onStep);
	fleet.queueLimit = queueLimits.brittle;
	fleet.canFall = true;
	const calmFrom = fleet.now;
	fleet.advance(2000, onStep);
	const calm = fleet.requests.filter(({at}) => at >= calmFrom && at < fleet.now - 1000);
	part = 2;
	fleet.advance(500, onStep);
	const burstFrom = fleet.now;
	fleet.advance(burstMs, onStep);
	let doneMs = 0;
	for (const {at, slotMs} of fleet.completions) {
		doneMs += at > burstFrom ? slotMs : 0;
	}

	part = 0.7;
	fleet.advance(3000, onStep);
	return {
		fallCount: fleet.falls.length,
		goodput: doneMs / (burstMs * engineCount * room.slots),
		calmShare: calm.filter(({hasBegun}) => hasBegun).length / calm.length,
		rejectionCount: fleet.rejectionCount,
	};
}

const sizes = [
	{gatewayCount: 7, engineCount: 13},
	{gatewayCount: 60, engineCount: 40},
	{gatewayCount: 195, engineCount: 114},
];

const conditions = [
	{seed: 1, callLoss: 0},
	{seed: 2, callLoss: 0.15},
	{seed: 3, callLoss: 0},
	{seed: 4, callLoss: 0.15},
];

for (const {gatewayCount, engineCount} of sizes) {
	for (const {seed, callLoss} of gatewayCount < 100 ? conditions : conditions.slice(0, 2)) {
		// Guards against brittle targets that all fall over in a burst, because what one rejects is sent to the others at once (LIMIT).
		test(`a burst does not fell brittle targets, which do what they can (${gatewayCount} instances, seed ${seed}, ${callLoss} of the messages lost)`, t => {
			const {
				fallCount, goodput, calmShare, rejectionCount,
			} = playBurst({
				gatewayCount, engineCount, rejectionLimit: 10, callLoss, seed,
			});
			t.diagnostic(`${fallCount} falls, ${rejectionCount} rejections, ${goodput.toFixed(3)} of what the targets can do, ${calmShare.toFixed(3)} served before`);
			assert.ok(fallCount <= allowedFalls.fixed + (engineCount * allowedFalls.share), `${fallCount} falls of ${engineCount} targets`);
			assert.ok(goodput >= minGoodput, `${goodput} of what the targets can do`);
			assert.ok(calmShare >= minGoodput, `${calmShare} of the requests are served before the burst`);
		});
	}
}

const desks = ['desk-1', 'desk-2', 'desk-3'];

/** Ends the last send of a gateway; returns its target. */
function endLastSend(gateway: GatewayFixture, outcome: SendOutcome, statement: TargetStatement): string {
	const {openId, sendId, targetId} = gateway.takeLastSend();
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome, detail: 'test', targetReport: {...statement, at: gateway.now},
	});
	return targetId;
}

/** Creates a gateway to which each target has stated that it is brittle. */
function createBrittleGateway(rejectionsPerS: number, slots: number): GatewayFixture {
	const gateway = new GatewayFixture().loadDirectory([]);
	gateway.applyChanges(2, desks.map(id => createTargetChange(2, createTargetRecord(id, {slots}))));
	const told = new Set<string>();
	while (told.size < desks.length) {
		gateway.receiveRequest(onceRoute);
		told.add(endLastSend(gateway, sendOutcome.complete, {load: {running: 0, waiting: 0}, rejectionsPerS}));
		gateway.advance(100);
	}

	return gateway;
}

test('a request that a brittle target rejects is refused at once as not run if the others are as full, with a retry delay that spreads callers', () => {
	const gateway = createBrittleGateway(100, 2);
	for (const target of gateway.state.targets.byId.values()) {
		target.reportedLoad = {at: gateway.now, load: 2, othersLoad: 2};
	}

	const delays = new Set<number>();
	for (let count = 0; count < 5; count++) {
		gateway.receiveRequest(onceRoute);
		endLastSend(gateway, sendOutcome.rejected, {load: {running: 2, waiting: 0}, rejectionsPerS: 100});
		const refusal = gateway.effects.find(effect => effect.kind === effectKind.refuse);
		assert.equal(gateway.listSends().length, 0);
		assert.equal(refusal?.failure.status, 503);
		delays.add(refusal.failure.retryAfterMs!);
	}

	assert.equal(delays.size, 5);
});

test('a request that a brittle target rejects goes to another one that has free slots', () => {
	const gateway = createBrittleGateway(100, 8);
	gateway.receiveRequest(onceRoute);
	const first = endLastSend(gateway, sendOutcome.rejected, {load: {running: 8, waiting: 0}, rejectionsPerS: 100});
	assert.notEqual(gateway.takeLastSend().targetId, first);
});

test('what a target rejects is sent on at once to one that is as full if they are not brittle', () => {
	const gateway = new GatewayFixture().loadDirectory(desks);
	gateway.receiveRequest(onceRoute);
	for (const target of gateway.state.targets.byId.values()) {
		target.reportedLoad = {at: gateway.now, load: 200, othersLoad: 200};
	}

	const first = endLastSend(gateway, sendOutcome.rejected, {load: {running: 200, waiting: 0}});
	assert.notEqual(gateway.takeLastSend().targetId, first);
});

test('a brittle target that has used up the rejections of an instance gets nothing more of it until the second is over', () => {
	const gateway = createBrittleGateway(1, 1000);
	const sendAll = (): string[] => {
		const reached: string[] = [];
		for (let count = 0; count < 12; count++) {
			gateway.receiveRequest(onceRoute);
			if (gateway.listSends().length > 0) {
				reached.push(endLastSend(gateway, sendOutcome.rejected, {load: {running: 1000, waiting: 0}, rejectionsPerS: 1}));
				gateway.advance(20);
			}
		}

		return reached;
	};

	const first = sendAll();
	assert.ok(first.length > 0 && first.length === new Set(first).size, first.join(' '));
	gateway.advance(1200);
	assert.ok(sendAll().length > 0);
});

test('peers learn that a target is brittle, and that it is not any more; a process that starts again has not stated it', () => {
	const gateway = createBrittleGateway(40, 8);
	const {message} = gateway.takePeerCall();
	assert.deepEqual(new Set(message.limits?.map(({targetId}) => targetId)), new Set(desks));
	const peer = new GatewayFixture('gateway-2').loadDirectory(desks);
	const findLimit = (id: string) => peer.state.targets.byId.get(id)!.statements.limit?.rejectionsPerS;
	peer.handle({kind: eventKind.peerCalled, callId: 1, message});
	assert.deepEqual(desks.map(id => findLimit(id)), [40, 40, 40]);
	peer.advance(50);
	const ended = {...message, limits: [{targetId: 'desk-1', bornAt: 1, ageMs: 0}]};
	peer.handle({kind: eventKind.peerCalled, callId: 2, message: ended});
	assert.equal(findLimit('desk-1'), undefined);
	peer.applyChanges(2, [createTargetChange(2, createTargetRecord('desk-2', {bornAt: 2}))]);
	assert.equal(findLimit('desk-2'), undefined);
	assert.equal(findLimit('desk-3'), 40);
});

test('a change of the statement is logged once', () => {
	const gateway = createBrittleGateway(40, 8);
	const listLogs = () => gateway.effects.filter(effect => effect.kind === effectKind.log && effect.event === 'target-brittle');
	const answer = (statement: TargetStatement) => {
		gateway.receiveRequest(onceRoute);
		endLastSend(gateway, sendOutcome.complete, statement);
		return listLogs().length;
	};

	assert.equal(answer({rejectionsPerS: 40}), 0);
	assert.equal(answer({}), 1);
});
