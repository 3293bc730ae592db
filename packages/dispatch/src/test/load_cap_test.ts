/**
 * Tests the load limit over a fleet in which each instance knows its own requests, and
 * only with a delay the load that targets report to other instances.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {effectKind, eventKind, sendOutcome} from '../index.js';
import {createFleet, exchangePeerMessages} from './fleet-fixture.js';
import {createRandom, createRoute, createTables} from './gateway-fixture.js';

/** Load limit of the platform: a multiple of the pool's mean load, plus a fixed number of requests. */
const loadLimit = {multiple: 2, floor: 3};
/** Requests in a window that may reach a target above the limit: fewer than `count`, or at most this share of them. */
const allowedExcess = {share: 0.03, count: 20};
const windowMs = 5000;
const stepMs = 20;
const route = createRoute();

type ActiveRequest = {
	readonly address: string;
	readonly openId: number;
	readonly sendId: number;
	readonly targetId: string;
	startsAt: number;
	readonly endsAt: number;
};
type Workload = {
	readonly gatewayCount: number;
	readonly engineCount: number;
	readonly requestsPerSecond: number;
	readonly hotFraction: number;
	readonly maxDurationMs: number;
	readonly seed: number;
};
type Arrival = {readonly at: number; readonly isOver: boolean};

/** Simulates ten seconds of traffic; returns the time of each request sent, and whether its target was above the limit. */
function simulateLoad({
	gatewayCount, engineCount, requestsPerSecond, hotFraction, maxDurationMs, seed,
}: Workload): Arrival[] {
	const random = createRandom(seed);
	const fleet = createFleet(gatewayCount);
	const ids = Array.from({length: engineCount}, (_, index) => `engine-${index}`);
	for (const gateway of fleet.values()) {
		gateway.loadDirectory(ids, createTables(1, {pools: [{name: 'engines', coldRatePerS: 0}]}));
	}

	const addresses = [...fleet.keys()];
	const inFlight = new Map(ids.map(id => [id, 0]));
	const arrivals: Arrival[] = [];
	let activeRequests: ActiveRequest[] = [];
	let pendingCount = 0;
	for (let at = 0; at < 10_000; at += stepMs) {
		for (const gateway of fleet.values()) {
			gateway.advance(stepMs);
		}

		if (at % 100 === 0) {
			exchangePeerMessages(fleet, 1);
		}

		for (const request of activeRequests) {
			const {address, openId, sendId, targetId} = request;
			const gateway = fleet.get(address)!;
			if (request.endsAt <= at) {
				inFlight.set(targetId, inFlight.get(targetId)! - 1);
				gateway.handle({
					kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.complete, detail: 'test',
				});
			} else if (request.startsAt <= at) {
				request.startsAt = Number.POSITIVE_INFINITY;
				gateway.handle({
					kind: eventKind.answerStarted, openId, sendId, targetReport: {load: {running: inFlight.get(targetId)!, waiting: 0}, at: gateway.now},
				});
			}
		}

		activeRequests = activeRequests.filter(({endsAt}) => endsAt > at);
		for (pendingCount += requestsPerSecond * stepMs / 1000; pendingCount >= 1; pendingCount--) {
			const address = addresses[Math.floor(random() * addresses.length)]!;
			const gateway = fleet.get(address)!;
			const chat = Math.floor(random() * 60);
			const isHot = random() < hotFraction;
			// A third of the chats are long; the hot prompt is long if the seed is even.
			const isLong = isHot ? seed % 2 === 0 : chat % 3 === 0;
			gateway.receiveRequest(route, {prompt: [isHot ? 'hot' : `chat-${chat}`, 'turn'], partTokens: isLong ? 8000 : 500});
			const send = gateway.effects.find(effect => effect.kind === effectKind.send);
			if (send === undefined) {
				continue;
			}

			const {openId, sendId, targetId} = send;
			const mean = activeRequests.length / engineCount;
			arrivals.push({at, isOver: inFlight.get(targetId)! > (loadLimit.multiple * mean) + loadLimit.floor});
			inFlight.set(targetId, inFlight.get(targetId)! + 1);
			activeRequests.push({
				address, openId, sendId, targetId, startsAt: at + 60 + (random() * 200), endsAt: at + 200 + (random() * maxDurationMs),
			});
		}
	}

	return arrivals;
}

test('only a small share of requests is sent to targets far above the mean load (hot key, many instances)', () => {
	fc.assert(fc.property(fc.record({
		gatewayCount: fc.integer({min: 1, max: 9}),
		engineCount: fc.integer({min: 6, max: 20}),
		requestsPerSecond: fc.integer({min: 40, max: 160}),
		hotFraction: fc.double({min: 0, max: 0.35, noNaN: true}),
		maxDurationMs: fc.integer({min: 300, max: 3000}),
		seed: fc.integer({min: 1, max: 1_000_000}),
	}), workload => {
		const arrivals = simulateLoad(workload);
		for (let start = 0; start + windowMs <= 10_000; start += 500) {
			const inWindow = arrivals.filter(({at}) => at >= start && at < start + windowMs);
			const over = inWindow.filter(({isOver}) => isOver).length;
			assert.ok(over < allowedExcess.count || over <= inWindow.length * allowedExcess.share, `${over} of ${inWindow.length} requests above the limit from ${start} ms`);
		}
	}), {seed: 17, numRuns: 25});
});
