/**
 * Tests the demand for a prompt in the whole fleet, and that a prompt with a large demand does not
 * overload the target that ranks first for it.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {effectKind, type LogEffect} from '../index.js';
import {PromptDemand} from '../lib/targets/prompt-demand.js';
import {checkLoadLimit, windowMs} from './check-load-limit.js';
import {createRoute, GatewayFixture} from './gateway-fixture.js';
import {SimulatedFleet, type Arrival} from './simulated-fleet.js';

const fleetSize = 10;
const settlingMs = 5000;

test('the demand for a prompt follows from the requests that this instance and its peers received', () => {
	const demand = new PromptDemand();
	for (let now = 0; now < 4000; now += 250) {
		demand.record('hot', 500, now);
	}

	assert.equal(demand.estimate('hot', fleetSize, 4000), 0, 'no peer receives the prompt');
	demand.applyArrivals('peer-1', [{prefix: 'hot', count: 8, durationMs: 500}], 4500);
	demand.applyArrivals('peer-2', [], 4500);
	// 12 of 13 requests in two seconds at three of ten instances, half a second each.
	const estimate = demand.estimate('hot', fleetSize, 4500);
	assert.equal(estimate, 10);
	assert.deepEqual(demand.describe(fleetSize, 4500).map(({prefix, instances}) => [prefix, instances]), [['hot', 3]]);
	assert.equal(demand.estimate('hot', fleetSize, 10_000), 0, 'the samples are outdated');
	assert.deepEqual(demand.describe(fleetSize, 10_000), []);
});

// Guards against LIMIT in a large fleet, where no instance receives even a hot prompt twice in the time that counts.
test('requests that each come to another instance add up, and a larger sample counts more than a smaller one', () => {
	const demand = new PromptDemand();
	demand.record('other', 500, 0);
	for (let peer = 0; peer < 39; peer++) {
		demand.applyArrivals(`peer-${peer}`, peer < 13 ? [{prefix: 'hot', count: 1, durationMs: 900}] : [], 1500);
	}

	// 12 of 13 requests in two seconds at 40 of 100 instances, 0.9 s each.
	assert.equal(Math.round(demand.estimate('hot', 100, 1500) * 10) / 10, 13.5);
	demand.applyShared([{prefix: 'hot', requests: 40, instances: 10}], 1500);
	assert.equal(Math.round(demand.estimate('hot', 100, 1500) * 10) / 10, 18.8);
	demand.applyArrivals('peer-0', [], 1600);
	assert.ok(demand.estimate('hot', 100, 2000) < 18.8, 'a later message of a peer replaces its sample');
});

// Guards against prompts of one caller that lose their cached parts: a caller's requests come to one instance.
test('a prompt that only this instance receives has no demand beyond it', () => {
	const demand = new PromptDemand();
	for (let now = 0; now < 4000; now += 100) {
		demand.record('session', 1000, now);
	}

	assert.equal(demand.estimate('session', fleetSize, 4000), 0);
});

test('an instance that has just started takes the demand from its peers', () => {
	const demand = new PromptDemand();
	demand.applyShared([{prefix: 'hot', requests: 30}], 100);
	demand.applyShared([{prefix: 'hot', requests: 50}], 120);
	demand.record('hot', 0, 150);
	assert.equal(demand.estimate('hot', fleetSize, 150), 40);
	assert.deepEqual(demand.describe(fleetSize, 150), [], 'estimates of peers are not passed on');
});

test('the number of prompts that are tracked is bounded', () => {
	const demand = new PromptDemand();
	for (let index = 0; index < 5000; index++) {
		demand.record(`prompt-${index}`, 500, 0);
		demand.record(`prompt-${index}`, 500, 1);
	}

	assert.ok(demand.describe(fleetSize, 1500).length <= 8);
	demand.applyShared([{prefix: 'prompt-0', requests: 9}], 1500);
	assert.equal(demand.estimate('prompt-0', fleetSize, 1500), 9, 'its own requests were forgotten, so only the report counts');
});

test('the log of a send tells among how many targets a prompt with a large demand is divided', () => {
	const gateway = new GatewayFixture();
	gateway.loadDirectory(Array.from({length: 8}, (_, index) => `engine-${index}`));
	const route = createRoute();
	const findSharers = () => gateway.effects.findLast(effect => effect.kind === effectKind.log && effect.event === 'sent') as LogEffect | undefined;
	gateway.receiveRequest(route, {prompt: ['hot', 'turn']});
	assert.equal(findSharers()?.fields.sharers, undefined);
	gateway.state.promptDemand.applyShared([{prefix: 'hot', requests: 3}], gateway.now);
	gateway.receiveRequest(route, {prompt: ['hot', 'turn']});
	assert.ok(Number(findSharers()?.fields.sharers) > 1);
});

/** Plays a prompt that gets `hotShare` of the requests, beside 600 others; `onStep` is called before each step of the traffic. */
function playHotPrompt(fleet: SimulatedFleet, requestsPerS: number, hotShare: number, onStep?: (sinceMs: number) => void): Arrival[] {
	const route = createRoute();
	fleet.advance(6000);
	const startedAt = fleet.now;
	fleet.advance(settlingMs + (2 * windowMs), () => {
		for (let count = fleet.drawCount(requestsPerS); count > 0; count--) {
			const prompt = fleet.random() < hotShare ? 'hot' : `chat-${Math.floor(fleet.random() * 600)}`;
			fleet.sendRequest(route, [prompt, 'turn'], undefined, 8000);
		}

		onStep?.(fleet.now - startedAt);
	});
	return fleet.arrivals.filter(({at}) => at >= startedAt);
}

// Guards against LIMIT: many instances, each with few requests, send a prompt to one target until its report reaches them.
for (const [gatewayCount, engineCount, requestsPerS] of [[7, 13, 64], [58, 63, 335], [100, 63, 203]] as const) {
	test(`a hot prompt at ${gatewayCount} instances stays within the load limit of its targets once its demand is known`, () => {
		for (const seed of [1, 2, 3]) {
			const fleet = new SimulatedFleet({gatewayCount, engineCount, seed});
			checkLoadLimit(playHotPrompt(fleet, requestsPerS, 0.3), settlingMs);
		}
	});
}

// Guards against LIMIT on the users' grown deployment: instances that have just started know neither loads nor demand.
test('a hot prompt stays within the load limit of its targets while instances restart in waves', () => {
	const gatewayCount = 58;
	for (const seed of [1, 2, 3]) {
		const fleet = new SimulatedFleet({gatewayCount, engineCount: 63, seed});
		let restartedCount = 0;
		const arrivals = playHotPrompt(fleet, 335, 0.3, sinceMs => {
			const waveCount = Math.floor((sinceMs - settlingMs) / 2000);
			for (; restartedCount < Math.min(gatewayCount / 2, waveCount * 6); restartedCount++) {
				fleet.restart(fleet.nodes[restartedCount]!, 600);
			}
		});
		checkLoadLimit(arrivals, settlingMs);
	}
});
