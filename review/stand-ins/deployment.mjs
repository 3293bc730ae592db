/**
 * Starts the project's gateways with the command of the deploy file, as separate
 * processes on loopback, and workers and clients as stand-ins. All that the parties
 * see is written to the record of the case.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request as startRequest} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Link} from './link.mjs';
import {Store} from './store.mjs';

const host = '127.0.0.1';
const root = fileURLToPath(new URL('../../', import.meta.url));
/** Time within which a process has to start, in milliseconds. */
const startTimeoutMs = 15_000;
/** Exit codes of a case. */
export const result = {held: 0, broken: 1, notRun: 2};

/** Reads the clock that all processes of the machine share, in milliseconds. */
export function readClock() {
	return Number(process.hrtime.bigint() / 1000n) / 1000;
}

/** Finds free ports outside of the range of outgoing connections. */
async function findPorts(count) {
	const ports = [];
	while (ports.length < count) {
		const port = 10_000 + Math.floor(Math.random() * 20_000);
		const server = createServer();
		const isFree = await new Promise(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, host, () => {
				server.close(() => {
					resolve(true);
				});
			});
		});
		if (isFree && !ports.includes(port)) {
			ports.push(port);
		}
	}

	return ports;
}

export class Deployment {
	store = new Store();
	/** False if the case is played without the disruption, as `run.sh` does with `TROUBLE=0`. */
	hasTrouble = process.argv[2] !== 'calm';
	#children = [];
	#links = [];
	#directory = mkdtempSync(path.join(tmpdir(), 'review-'));
	#recordPath;
	#startedAt = readClock();
	#requestCount = 0;

	constructor(caseUrl) {
		this.#recordPath = fileURLToPath(new URL('record.txt', caseUrl));
		writeFileSync(this.#recordPath, '');
		this.record(`disruption: ${this.hasTrouble ? 'yes' : 'no'}`);
	}

	/** Writes a line to the record. */
	record(text, at = readClock()) {
		appendFileSync(this.#recordPath, `${(at - this.#startedAt).toFixed(1).padStart(9)} ms  ${text}\n`);
	}

	/** Starts a worker process, on a free port or on `port`; `handle` receives each event that it reports. */
	async startWorker(id, {program = 'worker.mjs', port: fixedPort, ...options}, handle) {
		const [freePort] = await findPorts(1);
		const port = fixedPort ?? freePort;
		const workerPath = fileURLToPath(new URL(program, import.meta.url));
		const child = this.#spawn(process.execPath, [workerPath, id, String(port), JSON.stringify(options)], process.env, 'ipc');
		const reported = once(child.stdout, 'data');
		let rest = '';
		child.stdout.on('data', chunk => {
			const lines = (rest + String(chunk)).split('\n');
			rest = lines.pop();
			for (const line of lines) {
				const event = JSON.parse(line);
				if (event.text !== undefined) {
					this.record(`worker ${id}: ${event.text}`, event.at);
				}

				handle?.(id, event);
			}
		});
		await Promise.race([reported, this.#fail(`worker ${id} did not start`)]);
		return {id, port, child};
	}

	/** Opens a path to a worker that can be cut. */
	async openLink({port}) {
		const link = new Link(port);
		await link.open();
		this.#links.push(link);
		return link;
	}

	/** Writes the entry of a worker to the store. */
	registerWorker({id, port}, service, fields = {}) {
		this.store.put(`servers/${id}`, {
			service, address: `${host}:${port}`, zone: 'zone-a', version: 1, slots: 8, state: 'ready', coldRemainingMs: 0, sequence: 1, born: Date.now(), ...fields,
		});
	}

	/** Starts a gateway with the command of the deploy file and waits until it is ready. */
	async startGateway(id, storePort, seeds = []) {
		const [front, ready, control] = await findPorts(3);
		const settingsPath = path.join(this.#directory, `${id}.conf`);
		writeFileSync(settingsPath, [
			`node=${id}`,
			'role=gateway',
			'machineClass=front',
			'serves=front,control',
			'zone=zone-a',
			'region=region-a',
			'zones.zone-a=region-a',
			`listen.front=${host}:${front}`,
			`listen.ready=${host}:${ready}`,
			`listen.control=${host}:${control}`,
			`seeds=${seeds.join(',')}`,
			'bootstrap=true',
			'limits.cores=1',
			'limits.memoryMb=350',
			'heartbeatMs=1200',
			'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform',
			'bounds.contactMs=3000',
			'bounds.drainMs=2000',
			'bounds.graceS=8',
			'bounds.lossSlackMs=200',
			'bounds.configApplyMs=2000',
			'bounds.retryBudgetRatio=0.2',
			'bounds.budgetWindowS=10',
			'bounds.retryBudgetSlack=52',
			'bounds.coldOvershoot=1.5',
			'bounds.coldSlack=5',
			'bounds.evacuateMs=5000',
			`platform.address=${host}:${storePort}`,
			'platform.form=read',
			'platform.historyS=20',
			'',
		].join('\n'));
		const run = /^run = "(.*)"$/m.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))[1].split(' ');
		const {PATH, HOME = '/', LANG = 'C'} = process.env;
		const child = this.#spawn(run[0], run.slice(1), {
			PATH, HOME, LANG, SEQUOIATALLY_BOOT: settingsPath,
		});
		const logPath = path.join(this.#directory, `${id}.log`);
		child.stdout.on('data', chunk => {
			appendFileSync(logPath, chunk);
		});
		const gateway = {
			id, front, control: `${host}:${control}`, child, logPath,
		};
		const deadline = readClock() + startTimeoutMs;
		while (await this.#findStatus(ready) !== 200) {
			if (readClock() > deadline) {
				throw new Error(`${id} is not ready`);
			}

			await delay(50);
		}

		this.record(`gateway ${id} is ready`);
		return gateway;
	}

	/** Sends one request as a client does; resolves with what the client sees. */
	async send({front, id: gatewayId}, {path: url, headers = {}, body, agent, name = `r-${++this.#requestCount}`}) {
		const sentAt = readClock();
		const answer = await new Promise(resolve => {
			const request = startRequest({
				host, port: front, path: url, method: body === undefined ? 'GET' : 'POST', agent: agent ?? false, headers: {
					Host: 'a.example', 'Request-Id': name, 'X-Api-Key': 'key-of-crews', ...headers,
				},
			}, response => {
				let text = '';
				response.on('data', chunk => {
					text += String(chunk);
				});
				response.on('error', () => {
					// What was received in part is reported below.
				});
				response.on('close', () => {
					resolve({
						status: response.statusCode, headers: response.headers, body: text, isComplete: response.complete,
					});
				});
			});
			request.on('error', error => {
				resolve({
					status: 0, headers: {}, body: error.code ?? error.message, isComplete: false,
				});
			});
			request.end(body);
		});
		const took = readClock() - sentAt;
		this.record(`client: ${name} ${url} at ${gatewayId} -> ${answer.status}, ${answer.isComplete ? 'complete' : 'not complete'}, ${answer.body.length} bytes, ${took.toFixed(0)} ms`);
		return {...answer, name, sentAt};
	}

	/** Ends all processes that were started and removes the temporary folder. */
	async stop() {
		await Promise.all(this.#children.map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				const exit = once(child, 'exit');
				child.kill('SIGKILL');
				await exit;
			}
		}));
		await Promise.all(this.#links.map(async link => link.cut()));
		this.store.close();
		rmSync(this.#directory, {recursive: true, force: true});
	}

	#spawn(command, args, env, channel = 'ignore') {
		const child = spawn(command, args, {cwd: root, env, stdio: ['ignore', 'pipe', 'inherit', channel]});
		this.#children.push(child);
		return child;
	}

	async #findStatus(port) {
		return new Promise(resolve => {
			const request = startRequest({
				host, port, path: '/ready', agent: false, timeout: 1000,
			}, response => {
				response.resume();
				resolve(response.statusCode);
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end();
		});
	}

	async #fail(message) {
		await delay(startTimeoutMs, undefined, {ref: false});
		throw new Error(message);
	}
}

/** Runs a case: `play` returns the list of what broke the rule. Ends this process with the exit code of the case. */
export async function runCase(caseUrl, play) {
	const deployment = new Deployment(caseUrl);
	let exitCode;
	try {
		const breaks = await play(deployment);
		for (const text of breaks) {
			deployment.record(`BROKEN: ${text}`);
		}

		const verdict = breaks.length === 0 ? 'the rule held' : `the rule was broken, ${breaks.length} times`;
		deployment.record(verdict);
		console.log(verdict);
		exitCode = breaks.length === 0 ? result.held : result.broken;
	} catch (error) {
		deployment.record(`could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
		exitCode = result.notRun;
	} finally {
		await deployment.stop();
	}

	// A socket of a stand-in may still be open.
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
}
