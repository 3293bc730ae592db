/**
 * Tests instances that are cut off from all targets while callers, the platform and the
 * other instances reach them.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eventKind, sendOutcome} from '../index.js';
import {
	createRoute, GatewayFixture, onceRoute, repeatableRoute,
} from './gateway-fixture.js';
import {
	cutMode, SimulatedFleet, type CutMode, type SimulatedRequest,
} from './simulated-fleet.js';

/** Time from the beginning of a cut after which callers have to be served again, in milliseconds. */
const contactMs = 3000;
/** Share of the first attempts, of that at the other instances, that has to be served at instances that are cut off. */
const minServedRatio = 0.9;
const cutMs = 9000;
/** Time within which a request is refused that no instance can serve, in milliseconds: an eighth of its latency target, and two steps of the simulation. */
const maxRefusalMs = 150;
const route = createRoute();

type Scenario = {
	readonly gatewayCount: number;
	readonly engineCount: number;
	readonly requestsPerSecond: number;
	readonly seed: number;
	readonly callLoss: number;
	/** Fraction of the instances that are cut off. */
	readonly cutFraction: number;
	readonly mode: CutMode;
	/** True if the cut ends and begins again each second. */
	readonly isFlapping?: boolean;
};

type Result = {readonly atCut: readonly SimulatedRequest[]; readonly atOthers: readonly SimulatedRequest[]; readonly fleet: SimulatedFleet};

function playCut({
	gatewayCount, engineCount, requestsPerSecond, seed, callLoss, cutFraction, mode, isFlapping = false,
}: Scenario): Result {
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, callLoss,
	});
	let turn = 0;
	const sendSound = () => {
		for (let count = fleet.drawCount(requestsPerSecond); count > 0; count--) {
			const first = Math.floor(fleet.random() * 8);
			fleet.sendRequest(route, [`first-${first}`, `chat-${first}-${Math.floor(fleet.random() * 10)}`, `turn-${turn++}`]);
		}
	};

	fleet.advance(5000);
	fleet.advance(4000, sendSound);
	const startedAt = fleet.now;
	const cutNodes = fleet.nodes.slice(0, Math.min(gatewayCount - 1, Math.ceil(gatewayCount * cutFraction)));
	fleet.advance(cutMs, () => {
		sendSound();
		const isCut = !isFlapping || Math.floor((fleet.now - startedAt) / 1000) % 2 === 0;
		for (const node of cutNodes) {
			if ((node.cut !== undefined) !== isCut) {
				fleet.setCut(node, isCut ? mode : undefined);
			}
		}
	});
	const judged = fleet.requests.filter(({at}) => at >= startedAt + contactMs && at < startedAt + cutMs - 1000);
	const addresses = new Set(cutNodes.map(({address}) => address));
	return {atCut: judged.filter(({receiver}) => addresses.has(receiver)), atOthers: judged.filter(({receiver}) => !addresses.has(receiver)), fleet};
}

function computeServedShare(requests: readonly SimulatedRequest[]): number {
	return requests.filter(({hasBegun}) => hasBegun).length / requests.length;
}

const sizes = [
	{
		gatewayCount: 7, engineCount: 13, requestsPerSecond: 60, cutFractions: [0.14, 0.5, 0.8],
	},
	{
		gatewayCount: 60, engineCount: 40, requestsPerSecond: 200, cutFractions: [0.14, 0.5, 0.8],
	},
	{
		gatewayCount: 195, engineCount: 114, requestsPerSecond: 400, cutFractions: [0.5],
	},
];

for (const mode of Object.values(cutMode)) {
	for (const {cutFractions, ...size} of sizes) {
		// Guards against callers of instances without a path to the targets being served far worse than others (incident RECOVER).
		test(`callers of instances that are cut off from all targets are served as often as others (${mode} cut, ${size.gatewayCount} instances)`, () => {
			for (const cutFraction of cutFractions) {
				const {atCut, atOthers} = playCut({
					...size, mode, cutFraction, seed: 5, callLoss: 0.05,
				});
				assert.ok(atCut.length >= 20 && atOthers.length >= 20);
				const [cutShare, otherShare] = [computeServedShare(atCut), computeServedShare(atOthers)];
				assert.ok(cutShare >= minServedRatio * otherShare, `${cutShare.toFixed(3)} of the first attempts are served at ${cutFraction} of the instances, ${otherShare.toFixed(3)} elsewhere`);
				assert.ok(otherShare >= 0.95, `${otherShare.toFixed(3)} of the first attempts are served at instances that are not cut off`);
				assert.ok([...atCut, ...atOthers].every(({arrivalCount}) => arrivalCount <= 1), 'no request that may run once reaches two targets');
			}
		});
	}
}

test('callers of instances whose cut begins anew every two seconds are served as often as others (flapping path)', () => {
	for (const mode of [cutMode.silent, cutMode.reset, cutMode.accepted]) {
		const {atCut, atOthers} = playCut({
			...sizes[0]!, mode, cutFraction: 0.5, seed: 9, callLoss: 0.05, isFlapping: true,
		});
		const [cutShare, otherShare] = [computeServedShare(atCut), computeServedShare(atOthers)];
		assert.ok(cutShare >= minServedRatio * otherShare, `${mode}: ${cutShare.toFixed(3)} of the first attempts are served there, ${otherShare.toFixed(3)} elsewhere`);
	}
});

// Guards against failures that promise nothing for requests that never left the instance: callers do not repeat them (RECOVER).
test('a request whose connection never opened until its deadline is refused as not run', () => {
	for (const sentRoute of [onceRoute, repeatableRoute]) {
		const gateway = new GatewayFixture().loadDirectory(['desk-1']);
		gateway.receiveRequest(sentRoute, {timeoutMs: 250});
		gateway.advance(300);
		assert.deepEqual(gateway.listRefusalStatuses(), [503], sentRoute.name);
	}
});

// Guards against sound targets that are ejected everywhere, and sound prompts that are withheld, because instances that are cut off take their cut for crashes.
test('instances whose connections are reset convict no target and no prompt (reset cut of half of the instances)', () => {
	const {atOthers, fleet} = playCut({
		...sizes[0]!, mode: cutMode.reset, cutFraction: 0.5, seed: 3, callLoss: 0.05,
	});
	assert.equal(fleet.requests.filter(({refusalReason}) => refusalReason === 'prompt-quarantined').length, 0);
	assert.ok(atOthers.every(({refusalStatus}) => refusalStatus === undefined));
	for (const {gateway} of fleet.nodes) {
		assert.equal(gateway.state.quarantine.size, 0);
	}
});

test('requests are not relayed while the targets themselves are down, and are refused early (dead pool)', () => {
	const fleet = new SimulatedFleet({
		gatewayCount: 7, engineCount: 13, seed: 4, callLoss: 0.05,
	});
	fleet.advance(5000);
	fleet.crashEngines(13);
	const crashedAt = fleet.now;
	fleet.advance(3000, () => {
		for (let count = fleet.drawCount(60); count > 0; count--) {
			fleet.sendRequest(route, ['first-1', `turn-${fleet.requests.length}`]);
		}
	});
	const settled = fleet.requests.filter(({at}) => at >= crashedAt + 1500 && at < fleet.now - 500);
	assert.ok(settled.length > 50);
	for (const {at, refusedAt, refusalStatus} of settled) {
		assert.equal(refusalStatus, 503);
		assert.ok(refusedAt! - at <= maxRefusalMs, `refused after ${refusedAt! - at} ms`);
	}

	for (const {gateway} of fleet.nodes) {
		assert.ok([...gateway.state.paths.values()].every(({lostSince}) => lostSince === undefined), 'no path counts as lost');
	}
});

test('an instance that still reaches a few targets uses these instead of trying the others again and again (partial cut)', () => {
	for (const mode of [cutMode.silent, cutMode.reset]) {
		const fleet = new SimulatedFleet({
			gatewayCount: 7, engineCount: 13, seed: 6, callLoss: 0.05,
		});
		const send = () => {
			for (let count = fleet.drawCount(60); count > 0; count--) {
				fleet.sendRequest(route, [`first-${Math.floor(fleet.random() * 8)}`, `chat-${Math.floor(fleet.random() * 20)}`, `turn-${fleet.requests.length}`]);
			}
		};

		fleet.advance(5000);
		fleet.advance(3000, send);
		const cutAt = fleet.now;
		const node = fleet.nodes[0]!;
		fleet.setCut(node, mode, fleet.listEngineIds().slice(0, 3));
		fleet.advance(cutMs, send);
		const judged = fleet.requests.filter(({at, receiver}) => receiver === node.address && at >= cutAt + contactMs && at < fleet.now - 1000);
		assert.ok(judged.length >= 20);
		assert.ok(computeServedShare(judged) >= minServedRatio, `${mode}: ${computeServedShare(judged).toFixed(3)} of the first attempts are served there`);
	}
});

test('a request goes to the last target of a small pool at once when the others have ended (crash of two of three targets)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3']);
	gateway.receiveRequest(onceRoute);
	const targetIds = new Set<string>();
	for (const isRunning of [false, false, true]) {
		const {openId, sendId, targetId} = gateway.takeLastSend({opens: isRunning});
		targetIds.add(targetId);
		gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: isRunning ? sendOutcome.complete : sendOutcome.connectionRefused, detail: 'test',
		});
	}

	assert.equal(targetIds.size, 3);
	assert.deepEqual(gateway.listRefusalStatuses(), []);
});

/** Creates a gateway whose path to a pool of three targets is lost; one peer reaches the pool, and relays the request that found it. */
function createGatewayWithoutPath(): GatewayFixture {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3']);
	gateway.receiveRequest(repeatableRoute);
	for (let count = 0; count < 3; count++) {
		const {openId, sendId} = gateway.takeLastSend({opens: false});
		gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.connectionRefused, detail: 'test',
		});
	}

	gateway.advance(50);
	const message = {...new GatewayFixture('gateway-2').createPeerAnswer(), services: [{pool: 'desk', ageMs: 0}]};
	gateway.handle({kind: eventKind.peerCalled, callId: 1, message});
	gateway.advance(25);
	return gateway;
}

// Guards against requests that run on more targets than their route allows, because a peer used up the sends that are left (BUDGET).
test('a request that a peer relays is not sent again because it is silent, and the peer may run it as often as the route leaves', () => {
	const gateway = createGatewayWithoutPath();
	const send = gateway.takeLastSend();
	assert.ok(send.isRelayed);
	assert.equal(send.runLimit, repeatableRoute.targetLimit);
	assert.equal(send.responseStartTimeoutMs, 0);
});

// Guards against callers of an instance without a path who are sent into it again because targets of the only peer lose responses (RECOVER, soak seeds 9902 and 9928).
test('requests go over the only peer although targets that it reaches lose responses', () => {
	const gateway = createGatewayWithoutPath();
	gateway.effects = [];
	for (let count = 0; count < 6; count++) {
		gateway.receiveRequest(onceRoute);
		const {openId, sendId, isRelayed} = gateway.takeLastSend();
		assert.ok(isRelayed, `request ${count}`);
		gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.lost, detail: 'peer: answer-lost', runCount: 1,
		});
	}
});

// Guards against an instance that takes its own pause for a lost path: connection attempts time out while it does not run (soak, seed 9113).
test('connection attempts that time out over a pause of the instance do not make its path suspect (freeze)', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3']);
	gateway.advance(500);
	const sends = Array.from({length: 6}, () => {
		gateway.receiveRequest(onceRoute);
		return gateway.takeLastSend({opens: false});
	});
	gateway.now += 400;
	const end = ({openId, sendId}: typeof sends[number]) => {
		gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.notSent, detail: 'test',
		});
	};

	end(sends[0]!);
	end(sends[1]!);
	gateway.handle({kind: eventKind.tick});
	for (const send of sends.slice(2)) {
		end(send);
	}

	assert.equal(gateway.state.paths.get('desk')?.decisionAt, undefined);
});

test('peers that have not reported for half a minute are forgotten', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1']);
	const message = {...new GatewayFixture('gateway-2').createPeerAnswer(), services: [{pool: 'desk', ageMs: 0}]};
	gateway.handle({kind: eventKind.peerCalled, callId: 1, message});
	assert.ok(Number.isFinite(gateway.state.relayPeers.findServedAt('desk')));
	gateway.advance(31_000);
	assert.ok(!Number.isFinite(gateway.state.relayPeers.findServedAt('desk')));
});
