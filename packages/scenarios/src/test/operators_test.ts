/**
 * Scenarios of operators: the command line against real processes.
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

/** Longest time for a router to gather the share that a request needs, in milliseconds. */
const firstAnswerWithinMs = 20_000;
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
	code: ExitCode = 0;
	report!: Report;
	answer!: Answer;
	namedTargetId?: string;
	completedId?: string;
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

	findRouter(number: string): FleetRouter {
		return this.fleet.routers.find(({id}) => id === `router-${number}`)!;
	}

	/** Runs the command line as an operator would. */
	async run(routers: readonly FleetRouter[], args: readonly string[], token = adminToken): Promise<void> {
		let text = '';
		const addresses = routers.map(({adminAddress}) => adminAddress).join(',');
		const argv = ['node', 'sequoiatally', ...args, '--addresses', addresses, '--token', token, '--json'];
		this.code = await runCommands(createCommands(), {argv, env: {}}, {
			print(part) {
				text += part;
			},
			printError(part) {
				text += part;
			},
		});
		this.report = JSON.parse(text) as Report;
	}

	/** Sends a chat; one that finds no token yet is sent again. */
	async send(router: FleetRouter, account: string): Promise<void> {
		const startedAt = performance.now();
		do {
			this.answer = await this.caller.callChat(router.callerAddress, {...chat, key: `example-key-${account}`});
		} while (this.answer.reason === 'rate-exceeded' && performance.now() - startedAt < firstAnswerWithinMs);

		this.timelines.record(account, this.answer);
	}
}

await runFeature(new URL('../../features/operators.feature', import.meta.url), () => new World(), [
	[/^a fleet of (\d+) routers, (\d+) engines and 1 plain service$/, async (world, routers, engines) => world.start(Number(routers), Number(engines))],
	[/^the operator asks for the status$/, async world => world.run(world.fleet.routers, ['status'])],
	[/^both instances are ready with version 1$/, world => {
		assert.equal(world.code, 0);
		assert.deepEqual(world.report.instances.map(({isReady, configurationVersion}) => [isReady, configurationVersion]), [[true, 1], [true, 1]]);
	}],
	[/^the operator asks router (\d) where a chat of "(.+)" would go$/, async (world, number, account) => {
		await world.run([world.findRouter(number)], ['explain', '--chat', chat.chatId, '--model', chat.model, '--account', account]);
		world.namedTargetId = world.report.instances[0]!.chosenTargetId;
		assert.ok(world.namedTargetId !== undefined, JSON.stringify(world.report));
	}],
	[/^"(.+)" sends that chat to router (\d)$/, async (world, account, number) => world.send(world.findRouter(number), account)],
	[/^the answer came from the target that was named$/, world => {
		assert.deepEqual([world.answer.kind, world.answer.targetId], ['whole', world.namedTargetId]);
		world.completedId ??= world.answer.requestId;
	}],
	[/^the operator sees the request as "(.+)" at (that|no) target$/, async (world, end, place) => {
		await world.run(world.fleet.routers, ['explain', '--request', world.answer.requestId!]);
		assert.equal(world.code, 0);
		const known = world.report.instances.find(instance => instance.end !== undefined);
		assert.deepEqual([known?.end, known?.targetIds], [end, place === 'no' ? [] : [world.namedTargetId]]);
	}],
	[/^the operator (drain|undrain)s router (\d)$/, async (world, action, number) => world.run([world.findRouter(number)], [action])],
	[/^somebody with a wrong token drains router (\d)$/, async (world, number) => world.run([world.findRouter(number)], ['drain'], 'not-the-right-token')],
	[/^the command ends with (\d)$/, (world, code) => {
		assert.equal(world.code, Number(code), JSON.stringify(world.report));
	}],
	[/^the status of router (\d) is "(draining|ready)" and the command ends with (\d)$/, (world, number, state, code) => {
		const status = world.report.instances.find(({instanceId}) => instanceId === `router-${number}`)!;
		assert.deepEqual([status.isDraining, world.code], [state === 'draining', Number(code)]);
	}],
	[/^it is refused as "(.+)"$/, (world, reason) => {
		assert.deepEqual([world.answer.kind, world.answer.reason, world.answer.outcome], ['refused', reason, 'not-run']);
	}],
	[/^the time line of router (\d) names the operator of both actions$/, async (world, number) => {
		await world.run([world.findRouter(number)], ['timeline', '--kind', 'administrator-acted']);
		assert.deepEqual(world.report.lines.map(line => line.detail), ['loopback: drain', 'loopback: undrain']);
	}],
	[/^the metrics of router (\d) count (\d) completed requests and 1 refusal as "(.+)"$/, async (world, number, completed, reason) => {
		const {body} = await request(`http://${world.findRouter(number).adminAddress}/metrics`);
		const text = await body.text();
		assert.ok(text.includes(`sequoiatally_requests_total{route="fitbrain",outcome="completed"} ${completed}\n`), text);
		assert.ok(text.includes(`sequoiatally_refusals_total{reason="${reason}",outcome="not-run"} 1\n`), text);
	}],
	[/^the metrics of router (\d) count bytes to peers and to the platform$/, async (world, number) => {
		const {body} = await request(`http://${world.findRouter(number).adminAddress}/metrics`);
		const text = await body.text();
		for (const link of ['peers', 'platform']) {
			for (const direction of ['read', 'written']) {
				const [, bytes] = new RegExp(`control_bytes_total{link="${link}",direction="${direction}"} (\\d+)`).exec(text) ?? [];
				assert.ok(Number(bytes) > 100, `${link} ${direction}: ${bytes}`);
			}
		}
	}],
	[/^the merged time line follows the request through its caller, router and target$/, async world => {
		await world.fleet.stop();
		await world.timelines.close();
		await mergeTimelines(world.directory);
		const text = await readFile(path.join(world.directory, 'timeline.jsonl'), 'utf8');
		const lines = text.trim().split('\n').map(line => JSON.parse(line) as TimelineLine);
		const writers = lines.filter(line => line.requestId === world.completedId).map(({instanceId}) => instanceId);
		assert.deepEqual([...new Set(writers)], ['caller-lighthouse-crews', 'router-1', world.namedTargetId]);
	}],
]);
