/**
 * The load cap over a fleet: each instance knows its own requests, and late
 * what targets told the others.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {effectKind, eventKind, sendOutcome} from '../index.js';
import {createFleet, exchange} from './fleet-fixture.js';
import {createDraw, createRoute, createTables} from './gateway-fixture.js';

/** The users' bound: a target holds no more than this multiple of its pool's mean, and a few beside. */
const bound = {multiple: 2, floor: 3};
/** Share of the requests of a span that may go to a target above the bound, and their number. */
const allowed = {share: 0.03, count: 20};
const spanMs = 5000;
const stepMs = 20;
const route = createRoute();

type Run = {
	readonly address: string;
	readonly openId: number;
	readonly sendId: number;
	readonly targetId: string;
	startsAt: number;
	readonly endsAt: number;
};
type Load = {
	readonly gateways: number;
	readonly engines: number;
	readonly perS: number;
	readonly hotShare: number;
	readonly longestMs: number;
	readonly seed: number;
};
type Reached = {readonly at: number; readonly isOver: boolean};

/** Plays ten seconds; returns when requests reached a target, and which of those that held too much. */
function playLoad({
	gateways, engines, perS, hotShare, longestMs, seed,
}: Load): Reached[] {
	const draw = createDraw(seed);
	const fleet = createFleet(gateways);
	const ids = Array.from({length: engines}, (_, index) => `engine-${index}`);
	for (const gateway of fleet.values()) {
		gateway.learn(ids, createTables(1, {pools: [{name: 'engines', coldRatePerS: 0}]}));
	}

	const addresses = [...fleet.keys()];
	const held = new Map(ids.map(id => [id, 0]));
	const reached: Reached[] = [];
	let runs: Run[] = [];
	let due = 0;
	for (let at = 0; at < 10_000; at += stepMs) {
		for (const gateway of fleet.values()) {
			gateway.advance(stepMs);
		}

		if (at % 100 === 0) {
			exchange(fleet, 1);
		}

		for (const run of runs) {
			const {address, openId, sendId, targetId} = run;
			const gateway = fleet.get(address)!;
			if (run.endsAt <= at) {
				held.set(targetId, held.get(targetId)! - 1);
				gateway.handle({
					kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.complete, detail: 'test',
				});
			} else if (run.startsAt <= at) {
				run.startsAt = Number.POSITIVE_INFINITY;
				gateway.handle({
					kind: eventKind.answerStarted, openId, sendId, targetLoad: held.get(targetId),
				});
			}
		}

		runs = runs.filter(({endsAt}) => endsAt > at);
		for (due += perS * stepMs / 1000; due >= 1; due--) {
			const address = addresses[Math.floor(draw() * addresses.length)]!;
			const gateway = fleet.get(address)!;
			const chat = Math.floor(draw() * 60);
			const isHot = draw() < hotShare;
			// A third of the chats, and in half of the runs the hot one, are long.
			const isLong = isHot ? seed % 2 === 0 : chat % 3 === 0;
			gateway.arrive(route, {prompt: [isHot ? 'hot' : `chat-${chat}`, 'turn'], partTokens: isLong ? 8000 : 500});
			const send = gateway.effects.find(effect => effect.kind === effectKind.send);
			if (send === undefined) {
				continue;
			}

			const {openId, sendId, targetId} = send;
			const mean = runs.length / engines;
			reached.push({at, isOver: held.get(targetId)! > (bound.multiple * mean) + bound.floor});
			held.set(targetId, held.get(targetId)! + 1);
			runs.push({
				address, openId, sendId, targetId, startsAt: at + 60 + (draw() * 200), endsAt: at + 200 + (draw() * longestMs),
			});
		}
	}

	return reached;
}

test('no more than a few requests go to targets that hold far more than the mean (hot key, many instances)', () => {
	fc.assert(fc.property(fc.record({
		gateways: fc.integer({min: 1, max: 9}),
		engines: fc.integer({min: 6, max: 20}),
		perS: fc.integer({min: 40, max: 160}),
		hotShare: fc.double({min: 0, max: 0.35, noNaN: true}),
		longestMs: fc.integer({min: 300, max: 3000}),
		seed: fc.integer({min: 1, max: 1_000_000}),
	}), load => {
		const reached = playLoad(load);
		for (let start = 0; start + spanMs <= 10_000; start += 500) {
			const inSpan = reached.filter(({at}) => at >= start && at < start + spanMs);
			const over = inSpan.filter(({isOver}) => isOver).length;
			assert.ok(over < allowed.count || over <= inSpan.length * allowed.share, `${over} of ${inSpan.length} from ${start} ms`);
		}
	}), {seed: 17, numRuns: 25});
});
