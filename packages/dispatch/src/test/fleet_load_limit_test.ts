/**
 * Tests that a large fleet keeps to the platform's load limit: its instances decide independently, and each receives few
 * of the responses in which targets report their load.
 */
import {test} from 'node:test';
import {checkLoadLimit, windowMs} from './check-load-limit.js';
import {createRoute} from './gateway-fixture.js';
import {SimulatedFleet, type Arrival} from './simulated-fleet.js';

/** Requests of one kind: they take `toBeginMs` and `toEndMs` on average, between half and one and a half times that. */
type RequestKind = {
	readonly name: string;
	/** Part of all requests. */
	readonly share: number;
	/** Number of prompts that the requests share; 0 for requests without a prompt. */
	readonly promptCount: number;
	readonly tokenCount: number;
	readonly toBeginMs: number;
	readonly toEndMs: number;
};

type Load = {
	readonly gatewayCount: number;
	readonly requestsPerS: number;
	readonly kinds: readonly RequestKind[];
	/** Availability zone that is evacuated. */
	readonly closedZone?: string;
	/** Number of instances that restart every two seconds. */
	readonly restartCount?: number;
};

const engineCount = 63;
const seeds = [1, 2];
/** Time before the traffic starts, in which the instances find each other, in milliseconds. */
const startUpMs = 6000;
const restartIntervalMs = 2000;
const restartMs = 600;
/** Exponent of the popularity of prompts: the tenth most popular one is half as popular as the first. */
const popularitySkew = 0.3;

function createKind(promptCount: number, tokenCount: number): RequestKind {
	return {
		name: 'chat', share: 1, promptCount, tokenCount, toBeginMs: 160, toEndMs: 400,
	};
}

/** Long prompts with short answers, short prompts with long ones, and others between. */
const mixedKinds: readonly RequestKind[] = [
	{
		name: 'review', share: 0.4, promptCount: 195, tokenCount: 8600, toBeginMs: 60, toEndMs: 650,
	},
	{
		name: 'question', share: 0.27, promptCount: 306, tokenCount: 2000, toBeginMs: 60, toEndMs: 220,
	},
	{
		name: 'draft', share: 0.33, promptCount: 170, tokenCount: 600, toBeginMs: 40, toEndMs: 2000,
	},
];
const equallyLongKinds = mixedKinds.map(kind => ({...kind, toEndMs: 1300}));

function drawKind(kinds: readonly RequestKind[], random: () => number): RequestKind {
	let rest = random();
	return kinds.find(({share}) => {
		rest -= share;
		return rest < 0;
	}) ?? kinds.at(-1)!;
}

/** Plays twelve seconds of the load; returns the requests that reached engines. */
function playLoad({gatewayCount, requestsPerS, kinds, closedZone, restartCount = 0}: Load, seed: number): Arrival[] {
	const fleet = new SimulatedFleet({
		gatewayCount, engineCount, seed, drawRunDurations([prompt = ''], random) {
			const {toBeginMs, toEndMs} = kinds.find(({name}) => prompt.startsWith(name)) ?? kinds[0]!;
			return {toBegin: toBeginMs * (0.5 + random()), toEnd: toEndMs * (0.5 + random())};
		},
	});
	const routes = new Map(kinds.map(({name}) => [name, createRoute({name, timeLimitMs: 15_000})]));
	fleet.advance(startUpMs);
	if (closedZone !== undefined) {
		fleet.closeZone(closedZone);
	}

	const startedAt = fleet.now;
	let restarted = 0;
	fleet.advance(windowMs + 7000, () => {
		const dueCount = Math.floor((fleet.now - startedAt) / restartIntervalMs) * restartCount;
		for (; restarted < dueCount; restarted++) {
			fleet.restart(fleet.nodes[restarted % gatewayCount]!, restartMs);
		}

		for (let count = fleet.drawCount(requestsPerS); count > 0; count--) {
			const {name, promptCount, tokenCount} = drawKind(kinds, fleet.random);
			const promptNumber = Math.floor(promptCount * (fleet.random() ** (1 / (1 - popularitySkew))));
			fleet.sendRequest(routes.get(name)!, promptCount === 0 ? [] : [`${name}-${promptNumber}`, 'turn'], undefined, tokenCount);
		}
	});
	return fleet.arrivals.filter(({at}) => at >= startedAt);
}

const withoutPrompt = [createKind(0, 0)];
const longPrompts = [createKind(195, 8000)];
const loads: ReadonlyArray<readonly [string, Load]> = [
	['three kinds of requests, while one of three zones is evacuated', {
		gatewayCount: 100, requestsPerS: 230, kinds: mixedKinds, closedZone: 'zone-a',
	}],
	['three kinds of requests that take equally long, while one of three zones is evacuated', {
		gatewayCount: 100, requestsPerS: 230, kinds: equallyLongKinds, closedZone: 'zone-a',
	}],
	['three kinds of requests, while one of three zones is evacuated and instances restart', {
		gatewayCount: 100, requestsPerS: 230, kinds: mixedKinds, closedZone: 'zone-a', restartCount: 8,
	}],
	['195 prompts', {gatewayCount: 100, requestsPerS: 200, kinds: longPrompts}],
	['195 prompts, while one of three zones is evacuated', {
		gatewayCount: 100, requestsPerS: 200, kinds: longPrompts, closedZone: 'zone-a',
	}],
	['60 prompts', {gatewayCount: 100, requestsPerS: 200, kinds: [createKind(60, 8000)]}],
	['requests without a prompt at 100 instances', {gatewayCount: 100, requestsPerS: 200, kinds: withoutPrompt}],
	['requests without a prompt at 58 instances', {gatewayCount: 58, requestsPerS: 335, kinds: withoutPrompt}],
	['requests without a prompt, while one of three zones is evacuated', {
		gatewayCount: 100, requestsPerS: 200, kinds: withoutPrompt, closedZone: 'zone-a',
	}],
];

// Guards against LIMIT: instances that decide by the same outdated loads, or by a mean that is too high, send too much to some targets.
for (const [name, load] of loads) {
	test(`a large fleet keeps to the load limit: ${name}`, () => {
		for (const seed of seeds) {
			checkLoadLimit(playLoad(load, seed), 0);
		}
	});
}
