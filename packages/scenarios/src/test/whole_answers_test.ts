/**
 * Scenarios of answers over real processes: faults of engines and services,
 * callers that leave or do not read, keys, and a replacement under load.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after} from 'node:test';
import {
	answerKind, Caller, type Answer, type FleetTarget, waitUntil,
} from '@sequoiatally/load';
import {request} from 'undici';
import {describeExampleKey, exampleBookingPath, exampleModelRoute} from '../lib/example-configuration.js';
import {
	createProcessConfiguration, exampleAccount, noticesPath, ProcessWorld, recordsPath, stopSharedDeployment,
} from '../lib/process-world.js';
import {runFeature} from '../lib/run-feature.js';

const guestKey = describeExampleKey('guest').key;
let tablesVersion = 1;
let chatNumber = 0;

class World extends ProcessWorld {
	answers: Answer[] = [];
	exitCodes: Array<number | undefined> = [];
	caller = new Caller();
	/** Address to which the balancer sends new connections. */
	offered = '';
	isReplaced = false;
	/** Bytes wanted and got. */
	byteCounts: number[] = [];

	async callChats(count: number, maxTokens: number, address = this.findRouter(1).callerAddress): Promise<void> {
		this.answers = await Promise.all(Array.from({length: count}, async () => this.caller.callChat(address, {
			key: guestKey, model: exampleModelRoute.model, chatId: `chat-${chatNumber++}`, maxTokens,
		})));
	}

	/** Calls until each of some engines has had a request: one that failed lately is avoided for a while. */
	async callUntilReached(engines: readonly FleetTarget[], maxTokens: number): Promise<void> {
		const readCounts = async () => {
			const stats = await Promise.all(engines.map(async target => this.readStats<EngineStats>(target)));
			return stats.map(({requests}) => requests);
		};

		const before = await readCounts();
		const all: Answer[] = [];
		await waitUntil('each engine at fault was reached', async () => {
			await this.callChats(6, maxTokens);
			all.push(...this.answers);
			const counts = await readCounts();
			return counts.every((count, index) => count > before[index]!);
		});
		this.answers = all;
	}

	/** Reads an answer of a router only after the router was told to stop; returns the bytes that came. */
	async readLate(number: number, byteCount: number): Promise<number> {
		const router = this.findRouter(number);
		const {body} = await request(`http://${router.callerAddress}${noticesPath}?pad=${byteCount}`);
		router.process.child.kill('SIGTERM');
		await waitUntil('the router has begun to stop', async () => {
			const ready = await request(`http://${router.adminAddress}/readyz`);
			await ready.body.dump();
			return ready.statusCode === 503;
		});
		// Longer than the grace, so that only the unsent answer holds the router.
		await new Promise(resolve => {
			setTimeout(resolve, 800);
		});
		const text = await body.text();
		this.exitCodes.push(await router.process.exited);
		return text.length;
	}

	async failEngines(count: number, fault: string): Promise<void> {
		await Promise.all(this.listTargets('fitbrain').slice(0, count).map(async target => this.setFault(target, fault)));
	}

	async waitForKeyed(condition: string, isRight: (answer: Answer) => boolean): Promise<void> {
		await waitUntil(condition, async () => isRight(await this.callKeyed()));
	}

	async callKeyed(): Promise<Answer> {
		return this.caller.callPlain(this.findRouter(1).callerAddress, {key: this.key, method: 'GET', path: recordsPath});
	}

	/** Sends a chat over a socket and hands the socket over once the answer flows. */
	async openChat(): Promise<ReturnType<typeof connect>> {
		const [host, port] = this.findRouter(1).callerAddress.split(':');
		const body = JSON.stringify({model: exampleModelRoute.model});
		const socket = connect(Number(port), host);
		socket.on('error', () => {
			// The router may cut the connection; the engines say what became of the work.
		});
		socket.write([
			`POST ${exampleModelRoute.path} HTTP/1.1`, 'host: router', `authorization: Bearer ${guestKey}`, `x-chat-id: socket-${chatNumber++}`, `content-length: ${body.length}`, '', body,
		].join('\r\n'));
		await new Promise(resolve => {
			socket.once('data', resolve);
		});
		return socket;
	}

	async publishKey(isGiven: boolean): Promise<void> {
		await this.fleet.publishConfiguration(JSON.stringify(createProcessConfiguration(++tablesVersion, isGiven)));
	}

	/** Replaces each router, one after the other; the balancer offers an instance while it is ready. */
	async replaceRouters(): Promise<void> {
		for (const router of this.fleet.routers) {
			const fresh = await this.fleet.startRouter();
			await this.fleet.waitUntilReady([fresh]);
			this.offered = fresh.callerAddress;
			this.exitCodes.push(await this.fleet.drainRouter(router));
		}
	}

	/** Calls one chat after the other, each over a new connection, until the fleet is replaced. */
	async holdStreams(maxTokens: number): Promise<Answer[]> {
		const kept: Answer[] = [];
		while (!this.isReplaced) {
			const caller = new Caller();
			kept.push(await caller.callChat(this.offered, {
				key: guestKey, model: exampleModelRoute.model, chatId: `chat-${chatNumber++}`, maxTokens,
			}));
			await caller.close();
		}

		return kept;
	}

	override async dispose(): Promise<void> {
		await this.caller.close();
	}
}

type EngineStats = {readonly requests: number; readonly inFlight: number; readonly cancelledRequests: number};

/** Reads the typed error at the end of a stream. */
function describeStreamEnd(text: string): Answer {
	const {error} = JSON.parse(text.slice(text.lastIndexOf('data: ') + 6)) as {error: {type: string; outcome: string}};
	return {
		kind: answerKind.refused, reason: error.type, outcome: error.outcome, totalMs: 0,
	};
}

after(stopSharedDeployment);

await runFeature(new URL('../../features/whole-answers.feature', import.meta.url), () => new World(), [
	[/^a deployment of (\d+) routers, (\d+) engines and (\d+) plain services$/, async (world, routers, engines, plains) => {
		await world.joinDeployment({routers: Number(routers), engines: Number(engines), plainServices: Number(plains)}, {
			engineFlags: ['--token-ms', '2'], routerFlags: ['--target-silence-ms', '1000', '--caller-silence-ms', '2000'],
		});
	}],
	[/^(\d+) engines fail with "(.+)"$/, async (world, count, fault) => world.failEngines(Number(count), fault)],
	[/^every service fails with "(.+)"$/, async (world, fault) => {
		await Promise.all(world.listTargets('fieldbook').map(async target => world.setFault(target, fault)));
	}],
	[/^one service runs and breaks the connection, and the others refuse$/, async world => {
		const [first, ...others] = world.listTargets('fieldbook');
		await world.setFault(first!, 'cut-after');
		await Promise.all(others.map(async target => world.setFault(target, 'refuse')));
	}],
	[/^(\d+) chats of (\d+) tokens are called$/, async (world, count, tokens) => world.callChats(Number(count), Number(tokens))],
	[/^chats of (\d+) tokens are called until both engines at fault were reached$/, async (world, tokens) => {
		await world.callUntilReached(world.listTargets('fitbrain').slice(0, 2), Number(tokens));
	}],
	[/^(\d+) records are called$/, async (world, count) => {
		world.answers = await Promise.all(Array.from({length: Number(count)}, async () => world.callKeyed()));
	}],
	[/^a booking is called without a ticket$/, async world => {
		world.answers = [await world.caller.callPlain(world.findRouter(1).callerAddress, {key: guestKey, method: 'POST', path: exampleBookingPath})];
	}],
	[/^a chat with a deadline of (\d+) ms is called$/, async (world, deadlineMs) => {
		const {body} = await request(`http://${world.findRouter(1).callerAddress}${exampleModelRoute.path}`, {
			method: 'POST', headers: {authorization: `Bearer ${guestKey}`, 'x-deadline-ms': deadlineMs}, body: JSON.stringify({model: exampleModelRoute.model}),
		});
		world.answers = [describeStreamEnd(await body.text())];
	}],
	[/^a caller leaves in the middle of a chat$/, async world => {
		const socket = await world.openChat();
		socket.destroy();
	}],
	[/^a caller stops to read in the middle of a chat$/, async world => {
		const socket = await world.openChat();
		socket.pause();
		socket.once('close', () => {
			socket.destroy();
		});
	}],
	[/^no engine has work in flight$/, async world => {
		await waitUntil('every engine is idle', async () => {
			const stats = await Promise.all(world.listTargets('fitbrain').map(async target => world.readStats<EngineStats>(target)));
			return stats.every(({inFlight}) => inFlight === 0);
		});
	}],
	[/^every answer is whole$/, world => {
		assert.ok(world.answers.length > 0);
		assert.deepEqual(world.answers.filter(({kind}) => kind !== answerKind.whole), []);
	}],
	[/^every answer is a refusal with the outcome "(.+)"$/, (world, outcome) => {
		assert.ok(world.answers.length > 0);
		assert.deepEqual(world.answers.filter(answer => answer.kind !== answerKind.refused || answer.outcome !== outcome), []);
	}],
	[/^no service ran a request that was refused as not-run$/, async world => {
		const stats = await Promise.all(world.listTargets('fieldbook').map(async target => world.readStats<{runs: Record<string, number>}>(target)));
		const ran = new Set(stats.flatMap(({runs}) => Object.keys(runs)));
		assert.deepEqual(world.answers.filter(({outcome, requestId}) => outcome === 'not-run' && ran.has(requestId!)), []);
	}],
	[/^some requests were refused as unknown$/, world => {
		assert.ok(world.answers.some(({outcome}) => outcome === 'unknown'));
	}],
	[/^the services counted (\d+) runs$/, async (world, count) => {
		assert.equal(await world.countRuns(), Number(count));
	}],
	[/^the key of the account is withdrawn while a connection is open$/, async world => {
		await world.waitForKeyed('the key works', ({kind}) => kind === answerKind.whole);
		await world.publishKey(false);
	}],
	[/^the key of the account is given back$/, async world => world.publishKey(true)],
	[/^a call on that connection is refused as "(.+)" within seconds$/, async (world, reason) => {
		await world.waitForKeyed(`${exampleAccount} is refused`, answer => answer.reason === reason);
	}],
	[/^a call on that connection is answered within seconds$/, async world => {
		await world.waitForKeyed(`${exampleAccount} is served`, ({kind}) => kind === answerKind.whole);
	}],
	[/^every router is replaced while (\d+) callers hold streams of (\d+) tokens$/, async (world, count, tokens) => {
		world.offered = world.findRouter(1).callerAddress;
		const streams = Promise.all(Array.from({length: Number(count)}, async () => world.holdStreams(Number(tokens))));
		await world.replaceRouters();
		world.isReplaced = true;
		const all = await streams;
		world.answers = all.flat();
	}],
	[/^a caller reads (\d+) bytes only after router (\d+) was told to stop$/, async (world, byteCount, number) => {
		world.byteCounts = [Number(byteCount), await world.readLate(Number(number), Number(byteCount))];
	}],
	[/^it got the whole answer$/, world => {
		const [wanted, got] = world.byteCounts;
		assert.ok(got! > wanted!, `${got} of ${wanted} bytes`);
	}],
	[/^router 1 is told twice to stop in the middle of a chat$/, async world => {
		const {callerAddress, process: {child}} = world.findRouter(1);
		const {body} = await request(`http://${callerAddress}${exampleModelRoute.path}`, {
			method: 'POST', headers: {authorization: `Bearer ${guestKey}`}, body: JSON.stringify({model: exampleModelRoute.model}),
		});
		child.kill('SIGTERM');
		child.kill('SIGINT');
		world.answers = [describeStreamEnd(await body.text())];
	}],
	[/^the reason is "(.+)"$/, (world, reason) => {
		assert.deepEqual(world.answers.map(answer => answer.reason), [reason]);
	}],
	[/^no router was killed$/, world => {
		assert.deepEqual(world.exitCodes, world.exitCodes.map(() => 0));
	}],
]);
