/**
 * Measures the control overhead of each router with real processes: bytes to
 * peers and to the configuration service, calls to it, processor time and memory.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {
	callKind, Caller, createCallSchedule, parseLoadPlan, type Fleet, type LoadPlan,
} from '@sequoiatally/load';
import type {Configuration} from '@sequoiatally/core';
import {Experiment, type ResultTable} from '../experiment.js';
import {computeLinearFit} from '../linear-fit.js';
import {
	measureRouterUsage, readExampleConfiguration, runWithFleet, type RouterUsage,
} from '../measured-fleet.js';

const fleetSizes = [3, 6, 12] as const;
/** Time after the start until exchanges run at their normal rate, in milliseconds. */
const settleMs = 4000;
const measuredMs = 8000;
/** Time under load before the measurement starts, in milliseconds. */
const rampMs = 2000;
const seed = 11;
const bytesPerKib = 1024;

type FleetMeasurement = {readonly routerCount: number; readonly atRest: RouterUsage; readonly loaded: RouterUsage; readonly requestRate: number};

/** Measures fleets of three sizes, at rest and under load. */
export class ControlExperiment extends Experiment {
	override readonly name = 'control';
	override readonly question = 'How much do routers exchange with each other and read from the configuration service, and how much processor time and memory do they use at rest and under load?';
	override readonly isReproducible = false;

	override async run(): Promise<readonly ResultTable[]> {
		const results: FleetMeasurement[] = [];
		for (const routerCount of fleetSizes) {
			results.push(await measureFleet(routerCount));
		}

		const fitBytes = (read: (result: FleetMeasurement) => RouterUsage) =>
			computeLinearFit(results.map(result => [result.routerCount, read(result).peerBytesPerSecond + read(result).platformBytesPerSecond]));
		const atRest = fitBytes(result => result.atRest);
		const loaded = fitBytes(result => result.loaded);
		return [{
			title: 'Per router and second, on average over the fleet',
			columns: ['routers', 'state', 'peers, bytes', 'of those for each request', 'configuration service, bytes', 'configuration service, calls', 'processor, % of a core', 'memory, MiB'],
			rows: results.flatMap(result => {
				const {routerCount, atRest: rest, loaded: load, requestRate} = result;
				const perRequest = (load.peerBytesPerSecond - rest.peerBytesPerSecond) * routerCount / requestRate;
				return [describeUsage(routerCount, 'at rest', rest, ''), describeUsage(routerCount, 'under load', load, perRequest.toFixed(0))];
			}),
			notes: [
				'13 engines, 3 plain services and 10 client accounts at every size; under load, each account sends at half of its rate (about 180 requests per second in total). Bytes are TCP payload, sent and received, including HTTP; bytes between two routers count at both.',
				`Slope over the number of routers: ${atRest.slope.toFixed(0)} bytes per second and router at rest (${atRest.rSquared.toFixed(2)} of the variance), ${loaded.slope.toFixed(0)} under load (${loaded.rSquared.toFixed(2)}).`,
			],
		}];
	}
}

function describeUsage(routerCount: number, state: string, usage: RouterUsage, perRequest: string): Array<string | number> {
	return [
		routerCount,
		state,
		usage.peerBytesPerSecond.toFixed(0),
		perRequest,
		usage.platformBytesPerSecond.toFixed(0),
		usage.platformCallsPerSecond.toFixed(2),
		(usage.processorFraction * 100).toFixed(2),
		(usage.residentBytes / bytesPerKib / bytesPerKib).toFixed(0),
	];
}

async function measureFleet(routerCount: number): Promise<FleetMeasurement> {
	const configuration = await readExampleConfiguration(example => ({...example, fleet: {...example.fleet, ceiling: routerCount + 2}}));
	const planOverrides = {
		routerCount, engineCount: 13, plainCount: 3, usesRelays: true,
	};
	return runWithFleet(planOverrides, configuration, async fleet => {
		await wait(settleMs);
		const atRest = await measureRouterUsage(fleet, measuredMs);
		const sending = sendLoad(fleet, configuration, rampMs + measuredMs);
		await wait(rampMs);
		const loaded = await measureRouterUsage(fleet, measuredMs);
		const sentCount = await sending;
		return {
			routerCount, atRest, loaded, requestRate: sentCount / (rampMs + measuredMs) * 1000,
		};
	});
}

/** Sends requests at half of each account's rate for `durationMs`, with the schedule of a load plan; returns their number. */
async function sendLoad(fleet: Fleet, {accounts}: Configuration, durationMs: number): Promise<number> {
	const plan = createPlan(fleet, durationMs);
	const accountsWithKeys = accounts.filter(({keyDigests}) => keyDigests.length > 0);
	const {calls} = createCallSchedule(plan, accountsWithKeys);
	const caller = new Caller();
	const startedAt = performance.now();
	const responses: Array<Promise<unknown>> = [];
	for (const {kind, account, atMs, chatId, maxTokens, priority, entry} of calls) {
		await wait(Math.max(0, startedAt + atMs - performance.now()));
		const {callerAddress} = fleet.availableRouters[Math.floor(entry * fleet.availableRouters.length)]!;
		const key = `${plan.deployment.keyPrefix}${account}`;
		responses.push(kind === callKind.chat
			? caller.callChat(callerAddress, {
				key, model: plan.deployment.model, chatId, maxTokens, priority,
			})
			: caller.callPlain(callerAddress, {key, method: 'POST', path: plan.traffic.bookingPath}));
	}

	await Promise.all(responses);
	await caller.destroy();
	return calls.length;
}

function createPlan({plan}: Fleet, durationMs: number): LoadPlan {
	const {routerCount, zones, modelPool, engineCount, plainPool, plainCount} = plan;
	return parseLoadPlan(JSON.stringify({
		name: 'control',
		seed,
		durationMs,
		deployment: {
			configuration: 'none', routerCount, zones, modelPool, model: modelPool, engineCount, plainPool, plainCount,
		},
	})).unwrap();
}
