/**
 * Starts a complete deployment as separate processes on loopback, for the
 * demonstration, the measurements and the scenarios. Only tools do so: the
 * product's own processes do not start other processes.
 */
import {waitUntil} from './wait-until.js';
import {spawn, type ChildProcess} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {openSync} from 'node:fs';
import {createServer} from 'node:net';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {linkState, TcpRelay, type LinkState} from './tcp-relay.js';

const loopbackHost = '127.0.0.1';
const startTimeoutMs = 60_000;
/** Range from which the ports of a fleet's processes are taken. */
const firstPort = 11_000;
const lastPort = 32_000;
const stopTimeoutMs = 5000;
/** Secret with which the routers of a fleet on loopback authenticate to each other. */
export const fleetSecret = 'loopback-fleet-secret';
/** Token for the administration API of fleets on loopback. */
export const adminToken = 'loopback-admin-token';

/** The processes of a deployment and their options. */
export type FleetPlan = {
	readonly routerCount: number;
	readonly zones: readonly string[];
	readonly modelPool: string;
	readonly engineCount: number;
	readonly plainPool: string;
	readonly plainCount: number;
	/** Text of the initial configuration. */
	readonly configurationText: string;
	/** Directory for the timelines of the processes. */
	readonly timelineDirectory: string;
	/** Additional flags of each engine stand-in. */
	readonly engineFlags?: readonly string[];
	/** Additional flags of each plain-service stand-in. */
	readonly plainFlags?: readonly string[];
	/** Additional flags of each router. */
	readonly routerFlags?: readonly string[];
	/** File for the logs of the processes; `undefined` to write them to standard error. */
	readonly logPath?: string;
	/** Whether connections to the configuration service and between routers pass through relays that count bytes and can cut the links. */
	readonly usesRelays?: boolean;
};

export type FleetProcess = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Resolves with the exit code, or with `undefined` if a signal ended the process. */
	readonly exited: Promise<number | undefined>;
};

export type FleetTarget = {
	readonly id: string; readonly pool: string; readonly address: string; readonly zone: string; process: FleetProcess; isLeaving: boolean;
};

/** Relays for the links of one router: to the configuration service, and from its peers. */
export type RouterLinks = {readonly platform: TcpRelay; readonly peers: TcpRelay};

/** A process of a fleet does not exist or exited too early. */
export class FleetError extends Error {
	override readonly name = 'FleetError';
}

export type FleetRouter = {
	readonly id: string; readonly zone: string; readonly callerAddress: string; readonly peerAddress: string; readonly adminAddress: string;
	/** Peer address in the published list: the router's own, or that of its relay. */
	readonly advertisedPeerAddress: string;
	readonly links?: RouterLinks;
	readonly timelinePath: string; readonly process: FleetProcess; isLeaving: boolean;
	/** Whether the router has reported that it is ready for callers. */
	isReady: boolean;
};

/**
 * Finds free ports on loopback. They lie outside the ephemeral range, because an
 * outgoing connection could take a port from that range between the check and
 * its use.
 */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = takeNextPort();
		if (await isPortFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

let nextPort = randomInt(firstPort, lastPort);

/** Takes the ports of the range in turn, so that this process does not take a recent one again. The first is random, because several tools may run on one machine. */
function takeNextPort(): number {
	nextPort = nextPort >= lastPort ? firstPort : nextPort + 1;
	return nextPort;
}

async function isPortFree(port: number): Promise<boolean> {
	const server = createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, loopbackHost, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** A deployment that runs on loopback. */
export class Fleet {
	readonly routers: FleetRouter[] = [];
	readonly targets: FleetTarget[] = [];
	platformAddress = '';
	readonly #processes: FleetProcess[] = [];
	readonly #relays: TcpRelay[] = [];
	#logFileDescriptor?: number;
	#nextRouterNumber = 1;

	constructor(readonly plan: FleetPlan) {}

	/** Routers to which a load balancer would send callers. */
	get availableRouters(): FleetRouter[] {
		return this.routers.filter(({isReady, isLeaving}) => isReady && !isLeaving);
	}

	/** Starts all processes and waits until all routers are ready. */
	async start(): Promise<void> {
		const {plan} = this;
		const [platformPort] = await findFreePorts(1);
		this.platformAddress = `${loopbackHost}:${platformPort}`;
		this.#spawn('configuration-service', '@sequoiatally/stand-ins', ['--address', this.platformAddress]);
		await waitUntil('the configuration service responds', async () => hasStatusOk(`http://${this.platformAddress}/control/calls`), startTimeoutMs);
		await this.publishConfiguration(plan.configurationText);
		const ports = await findFreePorts(plan.engineCount + plan.plainCount);
		for (const [index, port] of ports.entries()) {
			this.#startTarget(index, port);
		}

		await Promise.all(Array.from({length: plan.routerCount}, async () => this.startRouter(false)));
		await Promise.all(this.targets.map(async ({address}) => waitUntil('a started target responds', async () => hasStatusOk(`http://${address}/control/stats`), startTimeoutMs)));
		await this.publishList();
		await this.waitUntilReady();
	}

	/** Starts another router; if `isListed`, publishes the list with it. */
	async startRouter(isListed = true): Promise<FleetRouter> {
		const number = this.#nextRouterNumber++;
		const id = `router-${number}`;
		const zone = this.plan.zones[number % this.plan.zones.length]!;
		const [callerPort, peerPort, adminPort] = await findFreePorts(3);
		const addresses = {callerAddress: `${loopbackHost}:${callerPort}`, peerAddress: `${loopbackHost}:${peerPort}`, adminAddress: `${loopbackHost}:${adminPort}`};
		const timelinePath = `${this.plan.timelineDirectory}/${id}.jsonl`;
		const links = this.plan.usesRelays ? await this.#startRelays(peerPort!) : undefined;
		const router: FleetRouter = {
			id, zone, ...addresses, links, advertisedPeerAddress: links?.peers.address ?? addresses.peerAddress, timelinePath, isLeaving: false, isReady: false,
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
				links?.platform.address ?? this.platformAddress,
				'--timeline-path',
				timelinePath,
				'--fleet-secret',
				fleetSecret,
				'--admin-tokens',
				`loopback:${adminToken}`,
				'--log-level',
				'warn',
				...(this.plan.routerFlags ?? []),
			]),
		};
		this.routers.push(router);
		if (isListed) {
			await this.publishList();
		}

		return router;
	}

	async waitUntilReady(routers: readonly FleetRouter[] = this.routers): Promise<void> {
		await Promise.all(routers.map(async router => {
			await waitUntil(`${router.id} is ready`, async () => {
				if (router.process.child.exitCode !== null) {
					throw new FleetError(`${router.id} exited with code ${router.process.child.exitCode} before it was ready.`);
				}

				return hasStatusOk(`http://${router.adminAddress}/readyz`);
			}, startTimeoutMs);
			router.isReady = true;
		}));
	}

	async publishConfiguration(text: string): Promise<void> {
		await request(`http://${this.platformAddress}/control/tables`, {method: 'POST', body: text});
	}

	/** Publishes the current list of routers and targets. */
	async publishList(): Promise<void> {
		const describeState = (isLeaving: boolean) => isLeaving ? 'leaving' : 'live';
		const list = {
			instances: this.routers.map(({
				id, advertisedPeerAddress, zone, isLeaving,
			}) => ({
				id, peerAddress: advertisedPeerAddress, zone, state: describeState(isLeaving), since: 0,
			})),
			targets: this.targets.map(({
				id, pool, address, zone, isLeaving,
			}) => ({
				id, pool, address, zone, state: describeState(isLeaving), since: 0,
			})),
		};
		await request(`http://${this.platformAddress}/control/list`, {method: 'POST', body: JSON.stringify(list)});
	}

	/** Kills a router with SIGKILL and removes it from the list. */
	async killRouter(router: FleetRouter): Promise<void> {
		router.process.child.kill('SIGKILL');
		await router.process.exited;
		this.routers.splice(this.routers.indexOf(router), 1);
		await this.publishList();
	}

	/** Lists a router as leaving, sends it SIGTERM and waits until it exits; returns its exit code. */
	async drainRouter(router: FleetRouter): Promise<number | undefined> {
		router.isLeaving = true;
		await this.publishList();
		router.process.child.kill('SIGTERM');
		const code = await router.process.exited;
		this.routers.splice(this.routers.indexOf(router), 1);
		await this.publishList();
		return code;
	}

	/** Suspends a router's process until `resumeRouter` is called. */
	freezeRouter(router: FleetRouter): void {
		router.process.child.kill('SIGSTOP');
	}

	resumeRouter(router: FleetRouter): void {
		router.process.child.kill('SIGCONT');
	}

	/** Sets the state of a router's links; has no effect without relays. */
	setLinkState({links}: FleetRouter, state: LinkState): void {
		links?.platform.setState(state);
		links?.peers.setState(state);
	}

	/** Kills a target with SIGKILL; it stays in the list. */
	async killTarget(target: FleetTarget): Promise<void> {
		target.process.child.kill('SIGKILL');
		await target.process.exited;
	}

	/** Restarts a killed target at its address; it is cold and its cache is empty. */
	async restartTarget(target: FleetTarget): Promise<void> {
		target.process = this.#spawnTarget(target);
		await waitUntil('a restarted target responds', async () => hasStatusOk(`http://${target.address}/control/stats`), startTimeoutMs);
	}

	/** Sends a POST request to a control route of a stand-in. */
	async sendControlRequest(address: string, path: string, content: Readonly<Record<string, unknown>> = {}): Promise<void> {
		const {body} = await request(`http://${address}/control/${path}`, {method: 'POST', body: JSON.stringify(content)});
		await body.dump();
	}

	/** Starts a pass-through proxy in front of a target and waits until it responds. */
	async startPassThrough(target: FleetTarget): Promise<{readonly address: string; readonly process: FleetProcess}> {
		const [port] = await findFreePorts(1);
		const address = `${loopbackHost}:${port}`;
		const process = this.#spawn('pass-through', '@sequoiatally/load', ['--address', address, '--target-address', target.address]);
		await waitUntil('a pass-through proxy responds', async () => hasStatusOk(`http://${address}/healthz`), startTimeoutMs);
		return {address, process};
	}

	/** Reads the number of calls that the configuration service has received; a watch counts as one call. */
	async readPlatformCallCount(): Promise<number> {
		const {body} = await request(`http://${this.platformAddress}/control/calls`);
		const {callCount} = await body.json() as {callCount: number};
		return callCount;
	}

	/** Stops all processes and relays of the fleet. Suspended processes are resumed first, so that SIGTERM reaches them. */
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
		await Promise.all(this.#relays.map(async relay => relay.close()));
	}

	async #startRelays(peerPort: number): Promise<RouterLinks> {
		const platform = new TcpRelay(Number(this.platformAddress.split(':')[1]));
		const peers = new TcpRelay(peerPort);
		for (const relay of [platform, peers]) {
			await relay.listen();
			this.#relays.push(relay);
		}

		return {platform, peers};
	}

	#startTarget(index: number, port: number): void {
		const {plan} = this;
		const isEngine = index < plan.engineCount;
		const pool = isEngine ? plan.modelPool : plan.plainPool;
		const id = `${pool}-${isEngine ? index + 1 : index - plan.engineCount + 1}`;
		const address = `${loopbackHost}:${port}`;
		const zone = plan.zones[index % plan.zones.length]!;
		this.targets.push({
			id, pool, address, zone, isLeaving: false, process: this.#spawnTarget({id, pool, address}),
		});
	}

	#spawnTarget({id, pool, address}: Pick<FleetTarget, 'id' | 'pool' | 'address'>): FleetProcess {
		const {modelPool, engineFlags = [], plainFlags = []} = this.plan;
		const isEngine = pool === modelPool;
		const timelinePath = `${this.plan.timelineDirectory}/${id}.jsonl`;
		const flags = ['--address', address, '--id', id, '--timeline-path', timelinePath, ...(isEngine ? engineFlags : plainFlags)];
		return this.#spawn(isEngine ? 'engine' : 'plain-service', '@sequoiatally/stand-ins', flags);
	}

	#spawn(binary: string, packageName: string, flags: readonly string[]): FleetProcess {
		const scriptPath = fileURLToPath(new URL(`bin/${binary}.js`, import.meta.resolve(packageName)));
		const {logPath} = this.plan;
		this.#logFileDescriptor ??= logPath === undefined ? undefined : openSync(logPath, 'a');
		const child = spawn(process.execPath, [scriptPath, ...flags], {stdio: ['ignore', 'ignore', this.#logFileDescriptor ?? 'inherit']});
		const exited = new Promise<number | undefined>(resolve => {
			child.on('exit', code => {
				resolve(code ?? undefined);
			});
		});
		const fleetProcess = {name: binary, child, exited};
		this.#processes.push(fleetProcess);
		return fleetProcess;
	}
}

async function hasStatusOk(url: string): Promise<boolean> {
	try {
		const {statusCode, body} = await request(url);
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
}
