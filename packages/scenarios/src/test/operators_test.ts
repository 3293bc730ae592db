/**
 * Scenarios of operators who use the command line against real processes.
 */
import assert from 'node:assert/strict';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {createCommands, runCommands, type ExitCode} from '@sequoiatally/cli';
import {
	adminToken, Caller, CallerTimelines, Fleet, mergeTimelines, type Answer, type FleetRouter,
} from '@sequoiatally/load';
import type {TimelineLine} from '@sequoiatally/runtime';
import {request} from 'undici';
import {runFeature, ScenarioWorld} from '../lib/run-feature.js';

/** Time limit for a router to obtain the share that the first request needs, in milliseconds. */
const firstAnswerTimeoutMs = 20_000;
const chat = {model: 'fitbrain', chatId: 'chat-1', maxTokens: 5};
const configurationPath = new URL('../../../../examples/rungwright.json', import.meta.url);

type InstanceReport = {
	readonly instanceId: string; readonly isReady: boolean; readonly isDraining: boolean; readonly configurationVersion: number;
	readonly chosenTargetId?: string; readonly end?: string; readonly targetIds?: readonly string[];
};
type Report = {readonly instances: readonly InstanceReport[]; readonly lines: readonly TimelineLine[]};

class World extends ScenarioWorld {
	fleet!: Fleet;
	directory = '';
	exitCode: ExitCode = 0;
	report!: Report;
	answer!: Answer;
	predictedTargetId?: string;
	completedRequestId?: string;
	readonly caller = new Caller();
	timelines!: CallerTimelines;

	override async dispose(): Promise<void> {
		await this.caller.close();
		await this.fleet.stop();
		await this.timelines.close();
		await rm(this.directory, {recursive: true, force: true});
	}

	async start(routerCount: number, engineCount: number): Promise<void> {
		this.directory = await mkdtemp(path.join(tmpdir(), 'operators-'));
		this.timelines = new CallerTimelines(this.directory);
		this.fleet = new Fleet({
			routerCount,
			engineCount,
			plainCount: 1,
			zones: ['scot-central-a'],
			modelPool: 'fitbrain',
			plainPool: 'fieldbook',
			configurationText: await readFile(configurationPath, 'utf8'),
			timelineDirectory: this.directory,
			logPath: path.join(this.directory, 'processes.log'),
		});
		await this.fleet.start();
	}

	findRouter(routerNumber: string): FleetRouter {
		return this.fleet.routers.find(({id}) => id === `router-${routerNumber}`)!;
	}

	/** Runs a command in this process, with the arguments an operator would pass. */
	async runCommand(routers: readonly FleetRouter[], args: readonly string[], token = adminToken): Promise<void> {
		let output = '';
		const addresses = routers.map(({adminAddress}) => adminAddress).join(',');
		const argv = ['node', 'sequoiatally', ...args, '--addresses', addresses, '--token', token, '--json'];
		this.exitCode = await runCommands(createCommands(), {argv, env: {}}, {
			print(part) {
				output += part;
			},
			printError(part) {
				output += part;
			},
		});
		this.report = JSON.parse(output) as Report;
	}

	/** Sends a chat and repeats it while the router has no share of the account's rate yet. */
	async send(router: FleetRouter, account: string): Promise<void> {
		const startedAt = performance.now();
		do {
			this.answer = await this.caller.callChat(router.callerAddress, {...chat, key: `example-key-${account}`});
		} while (this.answer.reason === 'rate-exceeded' && performance.now() - startedAt < firstAnswerTimeoutMs);

		this.timelines.record(account, this.answer);
	}
}

await runFeature(new URL('../../features/operators.feature', import.meta.url), () => new World(), [
	[/^a fleet of (\d+) routers, (\d+) engines and 1 plain service$/, async (world, routers, engines) => world.start(Number(routers), Number(engines))],
	[/^the operator asks for the status$/, async world => world.runCommand(world.fleet.routers, ['status'])],
	[/^both instances are ready with version 1$/, world => {
		assert.equal(world.exitCode, 0);
		assert.deepEqual(world.report.instances.map(({isReady, configurationVersion}) => [isReady, configurationVersion]), [[true, 1], [true, 1]]);
	}],
	[/^the operator asks router (\d) which target it would choose for a chat of "(.+)"$/, async (world, routerNumber, account) => {
		await world.runCommand([world.findRouter(routerNumber)], ['explain', '--chat', chat.chatId, '--model', chat.model, '--account', account]);
		world.predictedTargetId = world.report.instances[0]!.chosenTargetId;
		assert.ok(world.predictedTargetId !== undefined, JSON.stringify(world.report));
	}],
	[/^"(.+)" sends that chat to router (\d)$/, async (world, account, routerNumber) => world.send(world.findRouter(routerNumber), account)],
	[/^the chat was answered by that target$/, world => {
		assert.deepEqual([world.answer.kind, world.answer.targetId], ['whole', world.predictedTargetId]);
		world.completedRequestId ??= world.answer.requestId;
	}],
	[/^the operator finds that the request ended as "(.+)" at (that|no) target$/, async (world, end, whichTarget) => {
		await world.runCommand(world.fleet.routers, ['explain', '--request', world.answer.requestId!]);
		assert.equal(world.exitCode, 0);
		const reporting = world.report.instances.find(instance => instance.end !== undefined);
		assert.deepEqual([reporting?.end, reporting?.targetIds], [end, whichTarget === 'no' ? [] : [world.predictedTargetId]]);
	}],
	[/^the operator (drain|undrain)s router (\d)$/, async (world, action, routerNumber) => world.runCommand([world.findRouter(routerNumber)], [action])],
	[/^router (\d) is drained with a wrong token$/, async (world, routerNumber) => world.runCommand([world.findRouter(routerNumber)], ['drain'], 'not-the-right-token')],
	[/^the command exits with (\d)$/, (world, exitCode) => {
		assert.equal(world.exitCode, Number(exitCode), JSON.stringify(world.report));
	}],
	[/^the status reports router (\d) as (draining|not draining) and the command exits with (\d)$/, (world, routerNumber, state, exitCode) => {
		const status = world.report.instances.find(({instanceId}) => instanceId === `router-${routerNumber}`)!;
		assert.deepEqual([status.isDraining, world.exitCode], [state === 'draining', Number(exitCode)]);
	}],
	[/^it is refused with the reason "(.+)"$/, (world, reason) => {
		assert.deepEqual([world.answer.kind, world.answer.reason, world.answer.outcome], ['refused', reason, 'not-run']);
	}],
	[/^the timeline of router (\d) records both actions with their operator$/, async (world, routerNumber) => {
		await world.runCommand([world.findRouter(routerNumber)], ['timeline', '--kind', 'administrator-acted']);
		assert.deepEqual(world.report.lines.map(line => line.detail), ['loopback: drain', 'loopback: undrain']);
	}],
	[/^the metrics of router (\d) count (\d) completed requests and 1 refusal with the reason "(.+)"$/, async (world, routerNumber, completed, reason) => {
		const {body} = await request(`http://${world.findRouter(routerNumber).adminAddress}/metrics`);
		const text = await body.text();
		assert.ok(text.includes(`sequoiatally_requests_total{route="fitbrain",outcome="completed"} ${completed}\n`), text);
		assert.ok(text.includes(`sequoiatally_refusals_total{reason="${reason}",outcome="not-run"} 1\n`), text);
	}],
	[/^the metrics of router (\d) count bytes read and written on the links to peers and to the platform$/, async (world, routerNumber) => {
		const {body} = await request(`http://${world.findRouter(routerNumber).adminAddress}/metrics`);
		const text = await body.text();
		for (const link of ['peers', 'platform']) {
			for (const direction of ['read', 'written']) {
				const [, bytes] = new RegExp(`control_bytes_total{link="${link}",direction="${direction}"} (\\d+)`).exec(text) ?? [];
				assert.ok(Number(bytes) > 100, `${link} ${direction}: ${bytes}`);
			}
		}
	}],
	[/^the merged timeline shows the first completed request at its caller, router and target$/, async world => {
		await world.fleet.stop();
		await world.timelines.close();
		await mergeTimelines(world.directory);
		const text = await readFile(path.join(world.directory, 'timeline.jsonl'), 'utf8');
		const lines = text.trim().split('\n').map(line => JSON.parse(line) as TimelineLine);
		const instanceIds = lines.filter(line => line.requestId === world.completedRequestId).map(({instanceId}) => instanceId);
		assert.deepEqual([...new Set(instanceIds)], ['caller-lighthouse-crews', 'router-1', world.predictedTargetId]);
	}],
]);
