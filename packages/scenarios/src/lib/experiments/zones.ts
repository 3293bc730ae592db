/**
 * Takes an availability zone out and brings it back, with warm targets or with
 * targets that restarted meanwhile.
 */
import {RendezvousChoice} from '@sequoiatally/core';
import {Experiment, type ResultTable} from '../experiment.js';
import {RoutingRun} from '../routing-run.js';

const seed = 43;
const zone = 'zone-b';
const warmUpMs = 40_000;
const outMs = 30_000;
const backMs = 30_000;
const sliceMs = 1000;

type Case = {readonly title: string; readonly restartsTargets: boolean; readonly stopsPlatform: boolean};

const cases: readonly Case[] = [
	{title: 'targets stay warm', restartsTargets: false, stopsPlatform: false},
	{title: 'targets return cold, all at once', restartsTargets: true, stopsPlatform: false},
	{title: 'targets return cold, and half of the routers cannot reach the configuration service', restartsTargets: true, stopsPlatform: true},
];

type Slice = {readonly requests: number; readonly served: number; readonly reuse: number};

/** Service, last new work and cold loads while a zone leaves and returns. */
export class ZonesExperiment extends Experiment {
	override readonly name = 'zones';
	override readonly question = 'While an availability zone is taken out and brought back: what part of the requests is served in each second, when does the last new work go into it, and how many requests are in flight on its cold targets?';
	override readonly isRepeatable = true;

	override async run(): Promise<readonly ResultTable[]> {
		return [{
			title: 'One of three zones out for 30 s and back, 7 routers, 13 targets, mean load 8, 4 s a request',
			columns: [
				'case', 'served', 'worst second while out', 'worst second after return', 'last new work after, ms', 'highest on a cold target (bears 2)', 'slot overrun', 'reuse before', 'first 10 s out', 'last 10 s out', 'first 10 s back', 'last 10 s back',
			],
			rows: cases.map(one => runCase(one)),
			notes: ['A second counts a request as served when it was placed in it; a request that waits into the next second lowers one and raises the other.'],
		}];
	}
}

function runCase({title, restartsTargets, stopsPlatform}: Case): Array<string | number> {
	const run = new RoutingRun({seed, chatCount: 1200, createChoice: () => new RendezvousChoice()});
	run.run(warmUpMs);
	const before = runSlices(run, 10_000);
	if (stopsPlatform) {
		for (const id of ['router-0', 'router-2', 'router-4']) {
			run.fleet.instances.get(id)!.isCutFromPlatform = true;
		}
	}

	const outAt = run.fleet.now;
	const zoneTargets = run.fleet.list.targets.filter(target => target.zone === zone).map(({id}) => id);
	run.publish({drainedZones: [zone]});
	const out = runSlices(run, outMs);
	const lastWork = Math.max(0, ...run.fleet.sent.filter(({targetId}) => zoneTargets.includes(targetId)).map(({at}) => at - outAt));
	if (restartsTargets) {
		for (const id of zoneTargets) {
			run.fleet.restartTarget(id);
		}
	}

	const returnAt = run.fleet.now;
	run.publish({drainedZones: []});
	const back = runSlices(run, backMs);
	const slices = [...before, ...out, ...back];
	return [
		title,
		renderPercent(sum(slices, slice => slice.served) / sum(slices, slice => slice.requests)),
		renderPercent(computeWorst(out)),
		renderPercent(computeWorst(back)),
		lastWork,
		restartsTargets ? computeHighestCold(run, zoneTargets, returnAt) : '-',
		Math.max(0, run.highestSlotOverrun),
		renderPercent(computeReuse(before)),
		renderPercent(computeReuse(out.slice(0, 10))),
		renderPercent(computeReuse(out.slice(-10))),
		renderPercent(computeReuse(back.slice(0, 10))),
		renderPercent(computeReuse(back.slice(-10))),
	];
}

function runSlices(run: RoutingRun, durationMs: number): Slice[] {
	const slices: Slice[] = [];
	for (let elapsed = 0; elapsed < durationMs; elapsed += sliceMs) {
		run.takeFigures();
		run.run(sliceMs);
		const {requestCount, servedCount, reusedTokens, promptTokens} = run.takeFigures();
		slices.push({requests: requestCount, served: servedCount, reuse: reusedTokens / promptTokens});
	}

	return slices;
}

function computeHighestCold(run: RoutingRun, targetIds: readonly string[], since: number): number {
	return Math.max(0, ...run.coldPeaks.filter(peak => peak.at >= since && targetIds.includes(peak.targetId)).map(({load}) => load));
}

function computeWorst(slices: readonly Slice[]): number {
	return Math.min(...slices.map(({served, requests}) => served / requests));
}

function computeReuse(slices: readonly Slice[]): number {
	return sum(slices, ({reuse}) => reuse) / slices.length;
}

function sum<Item>(items: readonly Item[], pick: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += pick(item);
	}

	return total;
}

function renderPercent(part: number): string {
	return `${(part * 100).toFixed(1)}%`;
}
