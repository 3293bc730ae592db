/**
 * Starts fleets of real processes for measurements and measures the resource
 * usage and the control traffic of their routers.
 */
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as wait} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseConfiguration, type Configuration} from '@sequoiatally/core';
import {
	Fleet, readProcessUsage, type FleetPlan, type FleetRouter,
} from '@sequoiatally/load';

export const examplesDirectory = fileURLToPath(new URL('../../../../examples/', import.meta.url));

/** Reads the example configuration `rungwright.json` and applies `update` to it. */
export async function readExampleConfiguration(update: (configuration: Configuration) => Configuration): Promise<Configuration> {
	const text = await readFile(path.join(examplesDirectory, 'rungwright.json'), 'utf8');
	return update(parseConfiguration(text).unwrap());
}

/** Sizes and other settings in which a fleet differs from the `rungwright` example deployment. */
export type FleetPlanOverrides = Pick<FleetPlan, 'routerCount' | 'engineCount' | 'plainCount'> & Partial<FleetPlan>;

/** Runs `action` with a started fleet; stops the fleet afterwards, also if `action` throws. */
export async function runWithFleet<T>(plan: FleetPlanOverrides, configuration: Configuration, action: (fleet: Fleet) => Promise<T>): Promise<T> {
	const directory = await mkdtemp(path.join(tmpdir(), 'measured-fleet-'));
	const fleet = new Fleet({
		zones: ['scot-central-a', 'scot-central-b', 'scot-central-c'],
		modelPool: 'fitbrain',
		plainPool: 'fieldbook',
		configurationText: JSON.stringify(configuration),
		timelineDirectory: directory,
		logPath: path.join(directory, 'processes.log'),
		...plan,
	});
	try {
		await fleet.start();
		return await action(fleet);
	} finally {
		await fleet.stop();
		await rm(directory, {recursive: true, force: true});
	}
}

/** Resource usage of one router, on average over the fleet. */
export type RouterUsage = {
	/** Bytes to and from peers; each message counts at the sender and at the receiver. */
	readonly peerBytesPerSecond: number;
	/** Bytes to and from the configuration service. */
	readonly platformBytesPerSecond: number;
	readonly platformCallsPerSecond: number;
	/** Fraction of one core; 1 is a fully used core. */
	readonly processorFraction: number;
	readonly residentBytes: number;
};

type UsageTotals = {
	readonly peerBytes: number;
	readonly platformBytes: number;
	readonly platformCalls: number;
	readonly processorMs: number;
	readonly residentBytes: number;
};

/** Measures the routers of a fleet for `durationMs`. The relays count the bytes; without relays, these are 0. */
export async function measureRouterUsage(fleet: Fleet, durationMs: number): Promise<RouterUsage> {
	const before = await readTotals(fleet);
	const startedAt = performance.now();
	await wait(durationMs);
	const after = await readTotals(fleet);
	const seconds = (performance.now() - startedAt) / 1000;
	const count = fleet.routers.length;
	return {
		peerBytesPerSecond: 2 * (after.peerBytes - before.peerBytes) / count / seconds,
		platformBytesPerSecond: (after.platformBytes - before.platformBytes) / count / seconds,
		platformCallsPerSecond: (after.platformCalls - before.platformCalls) / count / seconds,
		processorFraction: (after.processorMs - before.processorMs) / count / seconds / 1000,
		residentBytes: after.residentBytes / count,
	};
}

async function readTotals(fleet: Fleet): Promise<UsageTotals> {
	const usages = await Promise.all(fleet.routers.map(async ({process}) => readProcessUsage(process.child.pid!)));
	return {
		peerBytes: sumBytes(fleet.routers, 'peers'),
		platformBytes: sumBytes(fleet.routers, 'platform'),
		platformCalls: await fleet.readPlatformCallCount(),
		processorMs: usages.reduce((sum, {processorMs}) => sum + processorMs, 0),
		residentBytes: usages.reduce((sum, {residentBytes}) => sum + residentBytes, 0),
	};
}

function sumBytes(routers: readonly FleetRouter[], link: 'peers' | 'platform'): number {
	return routers.reduce((sum, {links}) => sum + (links === undefined ? 0 : links[link].bytesIn + links[link].bytesOut), 0);
}
