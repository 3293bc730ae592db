/**
 * Measures the latency and processor time that a router adds between a caller
 * and a target, compared with a bare pass-through built on the same libraries and
 * with direct calls.
 */
import {setTimeout as wait} from 'node:timers/promises';
import type {Configuration} from '@sequoiatally/core';
import {
	answerKind, Caller, describeLatencies, findPercentile, readProcessUsage, type Answer, type Fleet,
} from '@sequoiatally/load';
import {Experiment, type ResultTable} from '../experiment.js';
import {readExampleConfiguration, runWithFleet} from '../measured-fleet.js';

const unlimitedRatePerSecond = 1_000_000;
/** Time until the router counts the targets as warm, in milliseconds. */
const targetWarmUpMs = 3000;
/** Number of uncounted requests, which warm up the JIT compiler and the connections. */
const warmUpRequests = 300;
const sequentialRequests = 600;
const concurrentRequests = 4000;
const concurrency = 32;
const tokensPerStream = 200;
const sequentialStreams = 80;
const concurrentStreams = 250;
const streamConcurrency = 8;

/** One path from the caller to the targets; `pids` are the processes on it whose processor time counts. */
type Path = {readonly name: string; readonly plainAddress: string; readonly chatAddress: string; readonly pids: readonly number[]};

type CallRun = {readonly answers: readonly Answer[]; readonly seconds: number; readonly processorMs: number};

/** Measures three paths to the same targets. */
export class OverheadExperiment extends Experiment {
	override readonly name = 'overhead';
	override readonly question = 'How much latency and processor time does a router add per request and per token, and what throughput does one core reach?';
	override readonly isReproducible = false;

	override async run(): Promise<readonly ResultTable[]> {
		const configuration = await readExampleConfiguration(raiseLimits);
		const planOverrides = {
			routerCount: 1, engineCount: 1, plainCount: 1, engineFlags: ['--token-ms', '0', '--warm-prefill-ms', '0', '--cold-prefill-ms', '0', '--warm-after-ms', '0', '--slots', '10000'], plainFlags: ['--run-ms', '0'],
		};
		return runWithFleet(planOverrides, configuration, async fleet => {
			await wait(targetWarmUpMs);
			const paths = await createPaths(fleet);
			const rows: Array<Array<string | number>> = [];
			const tokenRows: Array<Array<string | number>> = [];
			for (const path of paths) {
				rows.push(await measureRequests(path));
				tokenRows.push(await measureTokens(path));
			}

			return [
				{
					title: 'Per request',
					columns: ['path', 'median, ms', '95 in 100, ms', '99 in 100, ms', 'requests per second', 'processor per request, ms', 'requests per second and core'],
					rows,
					notes: [`Plain requests with a small response and no processing delay at the target. Latencies: ${sequentialRequests} sequential requests; rates: ${concurrentRequests} requests, ${concurrency} at once. The processor time is that of the router or the pass-through alone; the caller and the target run on the same machine, so they limit the rate too.`],
				},
				{
					title: 'Per token',
					columns: ['path', 'first token, median, ms', 'first token, 95 in 100, ms', 'tokens per second', 'processor per token, µs', 'tokens per second and core', 'added per token against direct, µs'],
					rows: subtractDirectTime(tokenRows),
					notes: [`Streams of ${tokensPerStream} tokens, as fast as the target sends; one server-sent event per token. First tokens and added time: ${sequentialStreams} sequential streams; the added time is the time from the first token to the end, divided by the number of tokens. Rates and processor time: ${concurrentStreams} streams, ${streamConcurrency} at once.`],
				},
			];
		});
	}
}

/** Raises the limits of accounts and targets so that no request is refused or queued. */
function raiseLimits(configuration: Configuration): Configuration {
	return {
		...configuration,
		fleet: {...configuration.fleet, ceiling: 1},
		pools: configuration.pools.map(pool => ({
			...pool, loadMultiple: 100, slotsPerTarget: 10_000, coldSlots: 10_000, warmAfterMs: 0, queueLimit: 10_000,
		})),
		accounts: configuration.accounts.map(account => ({...account, rate: unlimitedRatePerSecond, burst: unlimitedRatePerSecond})),
	};
}

async function createPaths(fleet: Fleet): Promise<Path[]> {
	const engine = fleet.targets.find(({pool}) => pool === fleet.plan.modelPool)!;
	const plain = fleet.targets.find(({pool}) => pool === fleet.plan.plainPool)!;
	const chatPassThrough = await fleet.startPassThrough(engine);
	const plainPassThrough = await fleet.startPassThrough(plain);
	const router = fleet.routers[0]!;
	return [
		{
			name: 'direct', plainAddress: plain.address, chatAddress: engine.address, pids: [],
		},
		{
			name: 'bare pass-through', plainAddress: plainPassThrough.address, chatAddress: chatPassThrough.address, pids: [plainPassThrough.process.child.pid!, chatPassThrough.process.child.pid!],
		},
		{
			name: 'router', plainAddress: router.callerAddress, chatAddress: router.callerAddress, pids: [router.process.child.pid!],
		},
	];
}

async function measureRequests({name, plainAddress, pids}: Path): Promise<Array<string | number>> {
	const call = async (caller: Caller) => caller.callPlain(plainAddress, {key: 'example-key-silo-works', method: 'GET', path: '/v1/records'});
	await runCalls(pids, warmUpRequests, concurrency, call);
	const sequential = await runCalls(pids, sequentialRequests, 1, call);
	const concurrent = await runCalls(pids, concurrentRequests, concurrency, call);
	const latency = describeLatencies(sequential.answers.map(({totalMs}) => totalMs));
	const perRequest = concurrent.processorMs / concurrentRequests;
	return [
		name,
		findPercentile(latency, 50),
		findPercentile(latency, 95),
		findPercentile(latency, 99),
		(concurrentRequests / concurrent.seconds).toFixed(0),
		...(pids.length === 0 ? ['', ''] : [perRequest.toFixed(3), (1000 / perRequest).toFixed(0)]),
	];
}

async function measureTokens({name, chatAddress, pids}: Path): Promise<Array<string | number>> {
	const call = async (caller: Caller, index: number) => caller.callChat(chatAddress, {
		key: 'example-key-silo-works', model: 'fitbrain', chatId: `chat-${index % 50}`, maxTokens: tokensPerStream,
	});
	await runCalls(pids, streamConcurrency * 4, streamConcurrency, call);
	const sequential = await runCalls(pids, sequentialStreams, 1, call);
	const run = await runCalls(pids, concurrentStreams, streamConcurrency, call);
	const firstToken = describeLatencies(sequential.answers.map(({firstTokenMs}) => firstTokenMs ?? 0));
	const meanMs = sequential.answers.reduce((sum, {totalMs, firstTokenMs}) => sum + totalMs - (firstTokenMs ?? 0), 0) / sequential.answers.length;
	const tokenCount = concurrentStreams * tokensPerStream;
	const perToken = run.processorMs / tokenCount * 1000;
	return [
		name,
		findPercentile(firstToken, 50),
		findPercentile(firstToken, 95),
		(tokenCount / run.seconds).toFixed(0),
		...(pids.length === 0 ? ['', ''] : [perToken.toFixed(1), (1_000_000 / perToken).toFixed(0)]),
		meanMs / tokensPerStream * 1000,
	];
}

/** Replaces the mean time per token in the last column with its difference from the first row, the direct path. */
function subtractDirectTime(rows: ReadonlyArray<ReadonlyArray<string | number>>): Array<Array<string | number>> {
	const direct = Number(rows[0]!.at(-1));
	return rows.map(row => [...row.slice(0, -1), (Number(row.at(-1)) - direct).toFixed(1)]);
}

/** Runs `count` calls, `maxInFlight` at once, and measures the processor time of `pids`. Throws if a call is refused or its response is incomplete. */
async function runCalls(
	pids: readonly number[],
	count: number,
	maxInFlight: number,
	call: (caller: Caller, index: number) => Promise<Answer>,
): Promise<CallRun> {
	const caller = new Caller();
	const before = await readProcessorMs(pids);
	const startedAt = performance.now();
	const answers: Answer[] = [];
	let next = 0;
	const runWorker = async () => {
		while (next < count) {
			answers.push(await call(caller, next++));
		}
	};

	await Promise.all(Array.from({length: maxInFlight}, async () => runWorker()));
	const seconds = (performance.now() - startedAt) / 1000;
	const processorMs = await readProcessorMs(pids) - before;
	await caller.destroy();
	const incomplete = answers.find(({kind}) => kind !== answerKind.whole);
	if (incomplete !== undefined) {
		throw new Error(`A call was refused or its response was incomplete: ${JSON.stringify(incomplete)}`);
	}

	return {answers, seconds, processorMs};
}

async function readProcessorMs(pids: readonly number[]): Promise<number> {
	const usages = await Promise.all(pids.map(async pid => readProcessUsage(pid)));
	return usages.reduce((sum, {processorMs}) => sum + processorMs, 0);
}
