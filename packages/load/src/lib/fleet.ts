/**
 * Starts a whole deployment as separate processes on loopback, for the
 * demonstration, the measurements and the scenarios. It is a tool: the
 * product's own processes start no others.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {createServer} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';

const host = '127.0.0.1';
const startTimeoutMs = 20_000;
const stopTimeoutMs = 5000;
const fleetSecret = 'loopback-fleet-secret';
/** Token of the administration API in fleets on loopback. */
export const adminToken = 'loopback-admin-token';

/** What a deployment consists of. */
export type FleetPlan = {
	readonly routerCount: number;
	readonly zones: readonly string[];
	readonly modelPool: string;
	readonly engineCount: number;
	readonly plainPool: string;
	readonly plainCount: number;
	/** Text of the configuration to publish first. */
	readonly configurationText: string;
	/** Directory for each process's time line. */
	readonly timelineDirectory: string;
	/** Further flags of every engine stand-in. */
	readonly engineFlags?: readonly string[];
	/** Further flags of every plain-service stand-in. */
	readonly plainFlags?: readonly string[];
	/** Further flags of every router. */
	readonly routerFlags?: readonly string[];
};

export type FleetProcess = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Resolves with the exit code, or undefined after a signal. */
	readonly exited: Promise<number | undefined>;
};

export type FleetTarget = {
	readonly id: string; readonly pool: string; readonly address: string; readonly zone: string; readonly process: FleetProcess; isLeaving: boolean;
};

export type FleetRouter = {
	readonly id: string; readonly zone: string; readonly callerAddress: string; readonly peerAddress: string; readonly adminAddress: string;
	readonly timelinePath: string; readonly process: FleetProcess; isLeaving: boolean;
};

/** Finds free ports on loopback. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer();
		await new Promise<void>(resolve => {
			server.listen(0, host, resolve);
		});
		return server;
	}));
	const ports = servers.map(server => (server.address() as {port: number}).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

/** A deployment that runs on loopback. */
export class Fleet {
	readonly routers: FleetRouter[] = [];
	readonly targets: FleetTarget[] = [];
	platformAddress = '';
	readonly #processes: FleetProcess[] = [];
	#nextRouter = 1;

	constructor(readonly plan: FleetPlan) {}

	/** Starts every process and waits until all routers are ready. */
	async start(): Promise<void> {
		const {plan} = this;
		const [platformPort] = await findFreePorts(1);
		this.platformAddress = `${host}:${platformPort}`;
		this.#spawn('configuration-service', '@sequoiatally/stand-ins', ['--address', this.platformAddress]);
		await waitUntil(async () => isOk(`http://${this.platformAddress}/control/calls`));
		await this.publishConfiguration(plan.configurationText);
		const ports = await findFreePorts(plan.engineCount + plan.plainCount);
		for (const [index, port] of ports.entries()) {
			this.#startTarget(index, port);
		}

		await Promise.all(Array.from({length: plan.routerCount}, async () => this.startRouter(false)));
		await Promise.all(this.targets.map(async ({address}) => waitUntil(async () => isOk(`http://${address}/control/stats`))));
		await this.publishList();
		await this.waitUntilReady();
	}

	/** Starts one more router, and lists it unless told otherwise. */
	async startRouter(isPublished = true): Promise<FleetRouter> {
		const number = this.#nextRouter++;
		const id = `router-${number}`;
		const zone = this.plan.zones[number % this.plan.zones.length]!;
		const [callerPort, peerPort, adminPort] = await findFreePorts(3);
		const addresses = {callerAddress: `${host}:${callerPort}`, peerAddress: `${host}:${peerPort}`, adminAddress: `${host}:${adminPort}`};
		const timelinePath = `${this.plan.timelineDirectory}/${id}.jsonl`;
		const router = {
			id, zone, ...addresses, timelinePath, isLeaving: false,
			process: this.#spawn('router', '@sequoiatally/router', [
				'--instance-id',
				id,
				'--zone',
				zone,
				'--caller-address',
				addresses.callerAddress,
				'--peer-address',
				addresses.peerAddress,
				'--admin-address',
				addresses.adminAddress,
				'--platform-address',
				this.platformAddress,
				'--timeline-path',
				timelinePath,
				'--fleet-secret',
				fleetSecret,
				'--admin-token',
				adminToken,
				'--log-level',
				'warn',
				...(this.plan.routerFlags ?? []),
			]),
		};
		this.routers.push(router);
		if (isPublished) {
			await this.publishList();
		}

		return router;
	}

	async waitUntilReady(routers: readonly FleetRouter[] = this.routers): Promise<void> {
		await Promise.all(routers.map(async ({adminAddress}) => waitUntil(async () => isOk(`http://${adminAddress}/readyz`))));
	}

	async publishConfiguration(text: string): Promise<void> {
		await request(`http://${this.platformAddress}/control/tables`, {method: 'POST', body: text});
	}

	/** Publishes the list of routers and targets as they are now. */
	async publishList(): Promise<void> {
		const describeState = (isLeaving: boolean) => isLeaving ? 'leaving' : 'live';
		const content = {
			instances: this.routers.map(({
				id, peerAddress, zone, isLeaving,
			}) => ({
				id, peerAddress, zone, state: describeState(isLeaving), since: 0,
			})),
			targets: this.targets.map(({
				id, pool, address, zone, isLeaving,
			}) => ({
				id, pool, address, zone, state: describeState(isLeaving), since: 0,
			})),
		};
		await request(`http://${this.platformAddress}/control/list`, {method: 'POST', body: JSON.stringify(content)});
	}

	/** Ends a router at once and takes it from the list. */
	async killRouter(router: FleetRouter): Promise<void> {
		router.process.child.kill('SIGKILL');
		await router.process.exited;
		this.routers.splice(this.routers.indexOf(router), 1);
		await this.publishList();
	}

	/** Lists a router as leaving, asks it to end, and waits until it has; returns its exit code. */
	async drainRouter(router: FleetRouter): Promise<number | undefined> {
		router.isLeaving = true;
		await this.publishList();
		router.process.child.kill('SIGTERM');
		const code = await router.process.exited;
		this.routers.splice(this.routers.indexOf(router), 1);
		await this.publishList();
		return code;
	}

	/** Stops everything that this fleet started. */
	async stop(): Promise<void> {
		for (const {child} of this.#processes) {
			child.kill('SIGCONT');
			child.kill('SIGTERM');
		}

		const timer = setTimeout(() => {
			for (const {child} of this.#processes) {
				child.kill('SIGKILL');
			}
		}, stopTimeoutMs);
		await Promise.all(this.#processes.map(async ({exited}) => exited));
		clearTimeout(timer);
	}

	#startTarget(index: number, port: number): void {
		const {plan} = this;
		const isEngine = index < plan.engineCount;
		const pool = isEngine ? plan.modelPool : plan.plainPool;
		const id = `${pool}-${isEngine ? index + 1 : index - plan.engineCount + 1}`;
		const address = `${host}:${port}`;
		const flags = ['--address', address, '--id', id, ...((isEngine ? plan.engineFlags : plan.plainFlags) ?? [])];
		this.targets.push({
			id, pool, address, zone: plan.zones[index % plan.zones.length]!, isLeaving: false,
			process: this.#spawn(isEngine ? 'engine' : 'plain-service', '@sequoiatally/stand-ins', flags),
		});
	}

	#spawn(binary: string, packageName: string, flags: readonly string[]): FleetProcess {
		const path = fileURLToPath(new URL(`bin/${binary}.js`, import.meta.resolve(packageName)));
		const child = spawn(process.execPath, [path, ...flags], {stdio: ['ignore', 'ignore', 'inherit']});
		const exited = new Promise<number | undefined>(resolve => {
			child.on('exit', code => {
				resolve(code ?? undefined);
			});
		});
		const started = {name: binary, child, exited};
		this.#processes.push(started);
		return started;
	}
}

async function isOk(url: string): Promise<boolean> {
	try {
		const {statusCode, body} = await request(url);
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
}

async function waitUntil(check: () => Promise<boolean>): Promise<void> {
	const startedAt = performance.now();
	while (!await check()) {
		if (performance.now() - startedAt > startTimeoutMs) {
			throw new Error('A process of the fleet did not become ready in time.');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
	}
}
