/**
 * The world of scenarios that run real processes on loopback. The scenarios of
 * a file share one small deployment, which the first of them starts.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
	Fleet, waitUntil, type FleetRouter, type FleetTarget,
} from '@sequoiatally/load';
import {request} from 'undici';
import {describeExampleKey, exampleBookingPath, exampleModelRoute} from './example-configuration.js';
import {ScenarioWorld} from './run-feature.js';

/** Path of the idempotent plain route in process scenarios. */
export const recordsPath = '/v1/records';
/** Path of the route that needs no key in process scenarios. */
export const noticesPath = '/public/notices';
/** Account whose key process scenarios send. */
export const exampleAccount = 'crew';

export type DeploymentSize = {readonly routers: number; readonly engines: number; readonly plainServices: number};

/** Creates the configuration tables of a process scenario in the form that is published. */
export function createProcessConfiguration(version = 1, hasAccountKey = true): Record<string, unknown> {
	const routeDefaults = {
		kind: 'plain', pool: 'fieldbook', repeatable: true, deadlineMs: 8000,
	};
	const poolDefaults = {
		loadMultiple: 50, slotsPerTarget: 4000, coldSlots: 4000, warmAfterMs: 0,
	};
	return {
		version,
		fleet: {
			ceiling: 4, listLagMs: 400, freshMs: 2000, loanTermMs: 1000,
		},
		routes: [
			{
				...routeDefaults, name: 'fitbrain', kind: 'model', pool: 'fitbrain', ...exampleModelRoute, deadlineMs: 60_000,
			},
			{
				...routeDefaults, name: 'booking', path: exampleBookingPath, repeatable: false,
			},
			{
				...routeDefaults, name: 'records', path: recordsPath, methods: ['GET', 'POST'],
			},
			{
				...routeDefaults, name: 'notices', path: noticesPath, methods: ['GET', 'POST'], open: true, openAccount: 'public',
			},
		],
		pools: [{name: 'fitbrain', ...poolDefaults}, {name: 'fieldbook', ...poolDefaults}],
		accounts: [
			{
				name: exampleAccount, rate: 100_000, burst: 100_000, keyDigests: hasAccountKey ? [describeExampleKey(exampleAccount).digest] : [],
			},
			{
				name: 'guest', rate: 100_000, burst: 100_000, keyDigests: [describeExampleKey('guest').digest],
			},
			{name: 'public', rate: 100_000, burst: 100_000},
		],
	};
}

type DeploymentFlags = Partial<Pick<Fleet['plan'], 'engineFlags' | 'plainFlags' | 'routerFlags'>>;

/** A deployment and the directory of its timelines. */
type Deployment = {readonly fleet: Fleet; readonly directory: string};

async function startDeployment({routers, engines, plainServices}: DeploymentSize, flags: DeploymentFlags): Promise<Deployment> {
	const directory = await mkdtemp(join(tmpdir(), 'sequoiatally-'));
	const fleet = new Fleet({
		routerCount: routers,
		zones: ['zone-a'],
		modelPool: 'fitbrain',
		engineCount: engines,
		plainPool: 'fieldbook',
		plainCount: plainServices,
		configurationText: JSON.stringify(createProcessConfiguration()),
		timelineDirectory: directory,
		...flags,
	});
	try {
		await fleet.start();
		await waitUntil('every router serves', async () => isServing(fleet));
	} catch (error) {
		await fleet.stop();
		throw error;
	}

	return {fleet, directory};
}

async function isServing(fleet: Fleet): Promise<boolean> {
	const statusCodes = await Promise.all(fleet.routers.map(async ({callerAddress}) => {
		const {statusCode, body} = await request(`http://${callerAddress}${noticesPath}`);
		await body.dump();
		return statusCode;
	}));
	return statusCodes.every(status => status === 200);
}

/** The deployment that the scenarios of a file share, because a new fleet needs seconds to obtain its shares. */
let sharedDeployment: Promise<Deployment> | undefined;

/**
 * Stops the shared deployment and removes its timelines. Test files register it
 * with `after`, so that the deployment stops whatever the results of the
 * scenarios.
 */
export async function stopSharedDeployment(): Promise<void> {
	const deployment = await sharedDeployment;
	if (deployment !== undefined) {
		await deployment.fleet.stop();
		await rm(deployment.directory, {recursive: true, force: true});
	}
}

/** A world that uses the shared deployment and the control routes of its stand-ins. */
export class ProcessWorld extends ScenarioWorld {
	fleet!: Fleet;
	readonly key = describeExampleKey(exampleAccount).key;
	/** Directory of the timelines. */
	timelineDirectory = '';
	/** Number of executions at all plain services before this scenario. */
	#initialRunCount = 0;

	/** Joins the shared deployment and clears the faults of all targets. The first call starts the deployment with `size` and `flags`; later calls ignore them. */
	async joinDeployment(size: DeploymentSize, flags: DeploymentFlags = {}): Promise<void> {
		sharedDeployment ??= startDeployment(size, flags);
		const {fleet, directory} = await sharedDeployment;
		this.fleet = fleet;
		this.timelineDirectory = directory;
		await Promise.all(fleet.targets.map(async target => this.setFault(target, 'none')));
		this.#initialRunCount = await this.#countAllRuns();
	}

	listTargets(pool: string): FleetTarget[] {
		return this.fleet.targets.filter(target => target.pool === pool);
	}

	/** Finds a router by its position, counted from 1. */
	findRouter(position: number): FleetRouter {
		return this.fleet.routers[position - 1]!;
	}

	async setFault(target: FleetTarget, fault: string): Promise<void> {
		const {body} = await request(`http://${target.address}/control/fault`, {method: 'POST', body: JSON.stringify({fault})});
		await body.dump();
	}

	async readStats<T>(target: FleetTarget): Promise<T> {
		const {body} = await request(`http://${target.address}/control/stats`);
		return await body.json() as T;
	}

	/** Counts the executions at all plain services since this scenario began. */
	async countRuns(): Promise<number> {
		return await this.#countAllRuns() - this.#initialRunCount;
	}

	async #countAllRuns(): Promise<number> {
		const stats = await Promise.all(this.listTargets('fieldbook').map(async target => this.readStats<{runs: Record<string, number>}>(target)));
		return stats.flatMap(({runs}) => Object.values(runs)).reduce((sum, count) => sum + count, 0);
	}
}
