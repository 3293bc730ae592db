/**
 * Drains an availability zone and restores it, with targets that stay warm or
 * that restart in the meantime.
 */
import {RendezvousChoice} from '@sequoiatally/core';
import {Experiment, type ResultTable} from '../experiment.js';
import {RoutingRun} from '../routing-run.js';

const seed = 43;
const zone = 'zone-b';
const warmUpMs = 40_000;
const zoneOutMs = 30_000;
const zoneBackMs = 30_000;
const sliceMs = 1000;

type ZoneCase = {readonly title: string; readonly restartsTargets: boolean; readonly cutsRoutersFromPlatform: boolean};

const cases: readonly ZoneCase[] = [
	{title: 'targets stay warm', restartsTargets: false, cutsRoutersFromPlatform: false},
	{title: 'targets return cold, all at once', restartsTargets: true, cutsRoutersFromPlatform: false},
	{title: 'targets return cold, and half of the routers cannot reach the configuration service', restartsTargets: true, cutsRoutersFromPlatform: true},
];

type TimeSlice = {readonly requests: number; readonly served: number; readonly reuse: number};

/** Measures served requests, the last dispatch to the zone and the load of its cold targets. */
export class ZonesExperiment extends Experiment {
	override readonly name = 'zones';
	override readonly question = 'While an availability zone is drained and restored: what fraction of the requests is served in each second, when is the last request sent to the zone, and how many requests are in flight at its cold targets?';
	override readonly isReproducible = true;

	override async run(): Promise<readonly ResultTable[]> {
		return [{
			title: 'One of three zones out for 30 s and back, 7 routers, 13 targets, mean load 8, 4 s a request',
			columns: [
				'case', 'served', 'worst second while out', 'worst second after return', 'last new work after, ms', 'highest on a cold target (bears 2)', 'slot overrun', 'reuse before', 'first 10 s out', 'last 10 s out', 'first 10 s back', 'last 10 s back',
			],
			rows: cases.map(zoneCase => runCase(zoneCase)),
			notes: ['A request counts as served in the second of its dispatch. A request that is queued until the next second lowers the figure of the first and raises that of the second.'],
		}];
	}
}

function runCase({title, restartsTargets, cutsRoutersFromPlatform}: ZoneCase): Array<string | number> {
	const run = new RoutingRun({seed, chatCount: 1200, createChoice: () => new RendezvousChoice()});
	run.run(warmUpMs);
	const slicesBefore = runSlices(run, 10_000);
	if (cutsRoutersFromPlatform) {
		for (const id of ['router-0', 'router-2', 'router-4']) {
			run.fleet.instances.get(id)!.isPlatformUnreachable = true;
		}
	}

	const zoneOutAt = run.fleet.now;
	const zoneTargets = run.fleet.list.targets.filter(target => target.zone === zone).map(({id}) => id);
	run.publish({drainedZones: [zone]});
	const zoneOutSlices = runSlices(run, zoneOutMs);
	const lastDispatchMs = Math.max(0, ...run.fleet.sent.filter(({targetId}) => zoneTargets.includes(targetId)).map(({at}) => at - zoneOutAt));
	if (restartsTargets) {
		for (const id of zoneTargets) {
			run.fleet.restartTarget(id);
		}
	}

	const zoneBackAt = run.fleet.now;
	run.publish({drainedZones: []});
	const zoneBackSlices = runSlices(run, zoneBackMs);
	const slices = [...slicesBefore, ...zoneOutSlices, ...zoneBackSlices];
	return [
		title,
		renderPercent(sum(slices, slice => slice.served) / sum(slices, slice => slice.requests)),
		renderPercent(computeLowestServedFraction(zoneOutSlices)),
		renderPercent(computeLowestServedFraction(zoneBackSlices)),
		lastDispatchMs,
		restartsTargets ? computeHighestColdLoad(run, zoneTargets, zoneBackAt) : '-',
		Math.max(0, run.highestSlotOverrun),
		renderPercent(computeReuse(slicesBefore)),
		renderPercent(computeReuse(zoneOutSlices.slice(0, 10))),
		renderPercent(computeReuse(zoneOutSlices.slice(-10))),
		renderPercent(computeReuse(zoneBackSlices.slice(0, 10))),
		renderPercent(computeReuse(zoneBackSlices.slice(-10))),
	];
}

function runSlices(run: RoutingRun, durationMs: number): TimeSlice[] {
	const slices: TimeSlice[] = [];
	for (let elapsed = 0; elapsed < durationMs; elapsed += sliceMs) {
		run.takeFigures();
		run.run(sliceMs);
		const {requestCount, servedCount, reusedTokens, promptTokens} = run.takeFigures();
		slices.push({requests: requestCount, served: servedCount, reuse: reusedTokens / promptTokens});
	}

	return slices;
}

function computeHighestColdLoad(run: RoutingRun, targetIds: readonly string[], fromMs: number): number {
	return Math.max(0, ...run.coldLoads.filter(entry => entry.at >= fromMs && targetIds.includes(entry.targetId)).map(({load}) => load));
}

function computeLowestServedFraction(slices: readonly TimeSlice[]): number {
	return Math.min(...slices.map(({served, requests}) => served / requests));
}

function computeReuse(slices: readonly TimeSlice[]): number {
	return sum(slices, ({reuse}) => reuse) / slices.length;
}

function sum<Item>(items: readonly Item[], pick: (item: Item) => number): number {
	let total = 0;
	for (const item of items) {
		total += pick(item);
	}

	return total;
}

function renderPercent(fraction: number): string {
	return `${(fraction * 100).toFixed(1)}%`;
}
