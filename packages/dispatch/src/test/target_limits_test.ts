/**
 * Tests limits that targets name in their responses: requests a second from all
 * instances together, for as long as they say so.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRoute} from './gateway-fixture.js';
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
	const drawCount = (perSecond: number) => {
		const mean = perSecond * 0.025;
		return Math.floor(mean) + (fleet.random() < mean % 1 ? 1 : 0);
	};

	const onStep = () => {
		for (let count = drawCount(requestsPerSecond); count > 0; count--) {
			const first = Math.floor(fleet.random() * 8);
			fleet.sendRequest(route, [`first-${first}`, `chat-${first}-${Math.floor(fleet.random() * 20)}`, `turn-${turn++}`]);
		}

		const running = fleet.listRunning();
		for (let count = drawCount(interruptionsPerSecond); count > 0; count--) {
			const node = running[Math.floor(fleet.random() * running.length)]!;
			if (fleet.random() < 0.5) {
				fleet.pause(node, 500 + (fleet.random() * 2500));
			} else {
				fleet.restart(node, 500 + (fleet.random() * 1500));
			}
		}
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
