/**
 * Scenarios over real processes: a caller gets a complete answer or a typed error
 * despite faulty engines and services, callers that disconnect or stop reading,
 * withdrawn keys, and the replacement of routers under load.
 */
import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {after} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
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
let nextChatNumber = 0;

class World extends ProcessWorld {
	answers: Answer[] = [];
	exitCodes: Array<number | undefined> = [];
	caller = new Caller();
	/** Address at which callers open new connections, as a load balancer in front of the routers would choose it. */
	newConnectionAddress = '';
	isFleetReplaced = false;
	/** Number of bytes of padding requested in an answer, then number of bytes received, which includes the fields around the padding. */
	byteCounts: number[] = [];

	async callChats(count: number, maxTokens: number, address = this.findRouter(1).callerAddress): Promise<void> {
		this.answers = await Promise.all(Array.from({length: count}, async () => this.caller.callChat(address, {
			key: guestKey, model: exampleModelRoute.model, chatId: `chat-${nextChatNumber++}`, maxTokens,
		})));
	}

	/** Sends chats until each of the engines has received one. An engine that failed recently is avoided for a while, so several rounds may be needed. */
	async callUntilReached(engines: readonly FleetTarget[], maxTokens: number): Promise<void> {
		const readCounts = async () => {
			const stats = await Promise.all(engines.map(async target => this.readStats<EngineStats>(target)));
			return stats.map(({requests}) => requests);
		};

		const before = await readCounts();
		const allAnswers: Answer[] = [];
		await waitUntil('each faulty engine has received a request', async () => {
			await this.callChats(6, maxTokens);
			allAnswers.push(...this.answers);
			const counts = await readCounts();
			return counts.every((count, index) => count > before[index]!);
		});
		this.answers = allAnswers;
	}

	/** Requests an answer with `byteCount` bytes of padding, reads it only after the router began to shut down, and returns the length received. */
	async readAfterShutdown(routerNumber: number, byteCount: number): Promise<number> {
		const router = this.findRouter(routerNumber);
		const {body} = await request(`http://${router.callerAddress}${noticesPath}?pad=${byteCount}`);
		router.process.child.kill('SIGTERM');
		await waitUntil('the router has begun to shut down', async () => {
			const ready = await request(`http://${router.adminAddress}/readyz`);
			await ready.body.dump();
			return ready.statusCode === 503;
		});
		// Longer than the grace period, so that only the unsent answer keeps the router running.
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

	async waitForCallWithKey(condition: string, isExpected: (answer: Answer) => boolean): Promise<void> {
		await waitUntil(condition, async () => isExpected(await this.callWithKey()));
	}

	async callWithKey(): Promise<Answer> {
		return this.caller.callPlain(this.findRouter(1).callerAddress, {key: this.key, method: 'GET', path: recordsPath});
	}

	/** Sends a chat over a raw socket and returns the socket when the first part of the answer arrives. */
	async openChat(): Promise<ReturnType<typeof connect>> {
		const [host, port] = this.findRouter(1).callerAddress.split(':');
		const body = JSON.stringify({model: exampleModelRoute.model});
		const socket = connect(Number(port), host);
		socket.on('error', () => {
			// The router may close the connection; the engines report whether the request was canceled.
		});
		socket.write([
			`POST ${exampleModelRoute.path} HTTP/1.1`, 'host: router', `authorization: Bearer ${guestKey}`, `x-chat-id: socket-${nextChatNumber++}`, `content-length: ${body.length}`, '', body,
		].join('\r\n'));
		await new Promise(resolve => {
			socket.once('data', resolve);
		});
		return socket;
	}

	async publishKey(hasKey: boolean): Promise<void> {
		await this.fleet.publishConfiguration(JSON.stringify(createProcessConfiguration(++tablesVersion, hasKey)));
	}

	/** Replaces the routers one after the other; new connections go to the replacement as soon as it is ready. */
	async replaceRouters(): Promise<void> {
		for (const router of this.fleet.routers) {
			const newRouter = await this.fleet.startRouter();
			await this.fleet.waitUntilReady([newRouter]);
			this.newConnectionAddress = newRouter.callerAddress;
			this.exitCodes.push(await this.fleet.drainRouter(router));
		}
	}

	/** Sends one chat after the other, each over a new connection, until all routers are replaced. */
	async streamUntilReplaced(maxTokens: number): Promise<Answer[]> {
		const answers: Answer[] = [];
		while (!this.isFleetReplaced) {
			const caller = new Caller();
			answers.push(await caller.callChat(this.newConnectionAddress, {
				key: guestKey, model: exampleModelRoute.model, chatId: `chat-${nextChatNumber++}`, maxTokens,
			}));
			await caller.close();
		}

		return answers;
	}

	override async dispose(): Promise<void> {
		await this.caller.close();
	}
}

type EngineStats = {readonly requests: number; readonly inFlight: number; readonly cancelledRequests: number};

/** Describes the typed error at the end of a stream. */
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
	[/^one service runs requests and closes the connection, and the others refuse$/, async world => {
		const [first, ...others] = world.listTargets('fieldbook');
		await world.setFault(first!, 'cut-after');
		await Promise.all(others.map(async target => world.setFault(target, 'refuse')));
	}],
	[/^(\d+) chats of (\d+) tokens are sent$/, async (world, count, tokens) => world.callChats(Number(count), Number(tokens))],
	[/^chats of (\d+) tokens are sent until both faulty engines received one$/, async (world, tokens) => {
		await world.callUntilReached(world.listTargets('fitbrain').slice(0, 2), Number(tokens));
	}],
	[/^(\d+) records are requested$/, async (world, count) => {
		world.answers = await Promise.all(Array.from({length: Number(count)}, async () => world.callWithKey()));
	}],
	[/^a booking is called without a ticket$/, async world => {
		world.answers = [await world.caller.callPlain(world.findRouter(1).callerAddress, {key: guestKey, method: 'POST', path: exampleBookingPath})];
	}],
	[/^a chat with a deadline of (\d+) ms is sent$/, async (world, deadlineMs) => {
		const {body} = await request(`http://${world.findRouter(1).callerAddress}${exampleModelRoute.path}`, {
			method: 'POST', headers: {authorization: `Bearer ${guestKey}`, 'x-deadline-ms': deadlineMs}, body: JSON.stringify({model: exampleModelRoute.model}),
		});
		world.answers = [describeStreamEnd(await body.text())];
	}],
	[/^a caller disconnects in the middle of a chat$/, async world => {
		const socket = await world.openChat();
		socket.destroy();
	}],
	[/^a caller stops reading in the middle of a chat$/, async world => {
		const socket = await world.openChat();
		socket.pause();
		socket.once('close', () => {
			socket.destroy();
		});
	}],
	[/^no engine has requests in flight$/, async world => {
		await waitUntil('every engine is idle', async () => {
			const stats = await Promise.all(world.listTargets('fitbrain').map(async target => world.readStats<EngineStats>(target)));
			return stats.every(({inFlight}) => inFlight === 0);
		});
	}],
	[/^every answer is complete$/, world => {
		assert.ok(world.answers.length > 0);
		assert.deepEqual(world.answers.filter(({kind}) => kind !== answerKind.whole), []);
	}],
	[/^every answer is a refusal with the outcome "(.+)"$/, (world, outcome) => {
		assert.ok(world.answers.length > 0);
		assert.deepEqual(world.answers.filter(answer => answer.kind !== answerKind.refused || answer.outcome !== outcome), []);
	}],
	[/^no service ran a request that was refused with the outcome "not-run"$/, async world => {
		const stats = await Promise.all(world.listTargets('fieldbook').map(async target => world.readStats<{runs: Record<string, number>}>(target)));
		const ranRequestIds = new Set(stats.flatMap(({runs}) => Object.keys(runs)));
		assert.deepEqual(world.answers.filter(({outcome, requestId}) => outcome === 'not-run' && ranRequestIds.has(requestId!)), []);
	}],
	[/^some requests were refused with the outcome "unknown"$/, world => {
		assert.ok(world.answers.some(({outcome}) => outcome === 'unknown'));
	}],
	[/^the services counted (\d+) runs$/, async (world, count) => {
		assert.equal(await world.countRuns(), Number(count));
	}],
	[/^the key of the account is withdrawn while a connection is open$/, async world => {
		await world.waitForCallWithKey('the key is accepted', ({kind}) => kind === answerKind.whole);
		await world.publishKey(false);
	}],
	[/^the key of the account is restored$/, async world => world.publishKey(true)],
	[/^a call on that connection is refused with the reason "(.+)" within 30 seconds$/, async (world, reason) => {
		await world.waitForCallWithKey(`${exampleAccount} is refused`, answer => answer.reason === reason);
	}],
	[/^a call on that connection is answered within 30 seconds$/, async world => {
		await world.waitForCallWithKey(`${exampleAccount} is served`, ({kind}) => kind === answerKind.whole);
	}],
	[/^every router is replaced while (\d+) callers read streams of (\d+) tokens$/, async (world, count, tokens) => {
		world.newConnectionAddress = world.findRouter(1).callerAddress;
		const streams = Promise.all(Array.from({length: Number(count)}, async () => world.streamUntilReplaced(Number(tokens))));
		await world.replaceRouters();
		world.isFleetReplaced = true;
		const answersByStream = await streams;
		world.answers = answersByStream.flat();
	}],
	[/^a caller reads (\d+) bytes only after router (\d+) began to shut down$/, async (world, byteCount, routerNumber) => {
		world.byteCounts = [Number(byteCount), await world.readAfterShutdown(Number(routerNumber), Number(byteCount))];
	}],
	[/^it got the complete answer$/, world => {
		const [requestedCount, receivedCount] = world.byteCounts;
		assert.ok(receivedCount! > requestedCount!, `${receivedCount} of ${requestedCount} bytes`);
	}],
	[/^router 1 receives SIGTERM twice and SIGINT twice in the middle of a chat$/, async world => {
		const {callerAddress, process: {child}} = world.findRouter(1);
		const {body} = await request(`http://${callerAddress}${exampleModelRoute.path}`, {
			method: 'POST', headers: {authorization: `Bearer ${guestKey}`}, body: JSON.stringify({model: exampleModelRoute.model}),
		});
		for (const signal of ['SIGTERM', 'SIGTERM', 'SIGINT'] as const) {
			child.kill(signal);
			// Longer than it takes to stop at once.
			await delay(400);
			assert.equal(child.exitCode, null, 'only a second SIGINT stops the router at once');
		}

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
