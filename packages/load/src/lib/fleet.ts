/**
 * Starts a whole deployment as separate processes on loopback, for the
 * demonstration, the measurements and the scenarios. It is a tool: the
 * product's own processes start no others.
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
/** Ports for the processes of a fleet. */
const firstPort = 11_000;
const lastPort = 32_000;
const stopTimeoutMs = 5000;
/** Secret that routers of fleets on loopback show each other. */
export const fleetSecret = 'loopback-fleet-secret';
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
	/** File that takes the processes' logs; undefined: this process's error stream. */
	readonly logPath?: string;
	/** True: links to the configuration service and between routers pass through relays that count and cut. */
	readonly usesRelays?: boolean;
};

export type FleetProcess = {
	readonly name: string;
	readonly child: ChildProcess;
	/** Resolves with the exit code, or undefined after a signal. */
	readonly exited: Promise<number | undefined>;
};

export type FleetTarget = {
	readonly id: string; readonly pool: string; readonly address: string; readonly zone: string; process: FleetProcess; isLeaving: boolean;
};

/** Links of one router that the fleet can cut. */
export type RouterLinks = {readonly platform: TcpRelay; readonly peers: TcpRelay};

/** Something of a fleet is not there, or ended too early. */
export class FleetError extends Error {
	override readonly name = 'FleetError';
}

export type FleetRouter = {
	readonly id: string; readonly zone: string; readonly callerAddress: string; readonly peerAddress: string; readonly adminAddress: string;
	/** Address that the list shows to other routers: the router's own, or its relay's. */
	readonly advertisedPeerAddress: string;
	readonly links?: RouterLinks;
	readonly timelinePath: string; readonly process: FleetProcess; isLeaving: boolean;
	/** True once it has said that callers may be sent to it. */
	isReady: boolean;
};

/**
 * Finds free ports on loopback, outside of the range from which the system
 * takes the ports of outgoing connections: one of those could take a port
 * between the look and its use.
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

/** Takes a port that this process has not taken lately; several tools may run on one machine, so each begins elsewhere. */
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

	/** Routers to which a balancer would send callers. */
	get availableRouters(): FleetRouter[] {
		return this.routers.filter(({isReady, isLeaving}) => isReady && !isLeaving);
	}

	/** Starts every process and waits until all routers are ready. */
	async start(): Promise<void> {
		const {plan} = this;
		const [platformPort] = await findFreePorts(1);
		this.platformAddress = `${loopbackHost}:${platformPort}`;
		this.#spawn('configuration-service', '@sequoiatally/stand-ins', ['--address', this.platformAddress]);
		await waitUntil('a process of the fleet answers', async () => hasStatusOk(`http://${this.platformAddress}/control/calls`), startTimeoutMs);
		await this.publishConfiguration(plan.configurationText);
		const ports = await findFreePorts(plan.engineCount + plan.plainCount);
		for (const [index, port] of ports.entries()) {
			this.#startTarget(index, port);
		}

		await Promise.all(Array.from({length: plan.routerCount}, async () => this.startRouter(false)));
		await Promise.all(this.targets.map(async ({address}) => waitUntil('a process of the fleet answers', async () => hasStatusOk(`http://${address}/control/stats`), startTimeoutMs)));
		await this.publishList();
		await this.waitUntilReady();
	}

	/** Starts one more router, and lists it unless told otherwise. */
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
					throw new FleetError(`${router.id} ended with ${router.process.child.exitCode} before it was ready.`);
				}

				return hasStatusOk(`http://${router.adminAddress}/readyz`);
			}, startTimeoutMs);
			router.isReady = true;
		}));
	}

	async publishConfiguration(text: string): Promise<void> {
		await request(`http://${this.platformAddress}/control/tables`, {method: 'POST', body: text});
	}

	/** Publishes the list of routers and targets as they are now. */
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

	/** Stops a router's process without ending it; `resumeRouter` lets it go on. */
	freezeRouter(router: FleetRouter): void {
		router.process.child.kill('SIGSTOP');
	}

	resumeRouter(router: FleetRouter): void {
		router.process.child.kill('SIGCONT');
	}

	/** Changes a router's links; the fleet has to use relays. */
	setLinkState({links}: FleetRouter, state: LinkState): void {
		links?.platform.setState(state);
		links?.peers.setState(state);
	}

	/** Ends a target at once; the list goes on showing it. */
	async killTarget(target: FleetTarget): Promise<void> {
		target.process.child.kill('SIGKILL');
		await target.process.exited;
	}

	/** Starts a killed target again at its address; it is cold, and its cache is empty. */
	async restartTarget(target: FleetTarget): Promise<void> {
		target.process = this.#spawnTarget(target);
		await waitUntil('a process of the fleet answers', async () => hasStatusOk(`http://${target.address}/control/stats`), startTimeoutMs);
	}

	/** Posts to a control route of a stand-in. */
	async sendControlRequest(address: string, path: string, content: Readonly<Record<string, unknown>> = {}): Promise<void> {
		const {body} = await request(`http://${address}/control/${path}`, {method: 'POST', body: JSON.stringify(content)});
		await body.dump();
	}

	/** Starts a bare pass-through in front of a target, and waits until it serves. */
	async startPassThrough(target: FleetTarget): Promise<{readonly address: string; readonly process: FleetProcess}> {
		const [port] = await findFreePorts(1);
		const address = `${loopbackHost}:${port}`;
		const process = this.#spawn('pass-through', '@sequoiatally/load', ['--address', address, '--target-address', target.address]);
		await waitUntil('a process of the fleet answers', async () => hasStatusOk(`http://${address}/healthz`), startTimeoutMs);
		return {address, process};
	}

	/** Reads how many calls the configuration service has had; a watch counts as one. */
	async readPlatformCallCount(): Promise<number> {
		const {body} = await request(`http://${this.platformAddress}/control/calls`);
		const {callCount} = await body.json() as {callCount: number};
		return callCount;
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
