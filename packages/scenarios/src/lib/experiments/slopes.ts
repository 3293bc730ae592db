/**
 * Measures the cost of each additional client account, target, peer, chat or open
 * request to a router, from runs of one reducer at several sizes.
 */
import {toBinary} from '@bufbuild/protobuf';
import {
	attemptOutcome, describeSummary, eventKind, type Configuration, type DispatchEffect,
} from '@sequoiatally/core';
import {SummarySchema} from '@sequoiatally/peer';
import {toWireSummary} from '@sequoiatally/router';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../example-configuration.js';
import {Experiment, type ResultTable} from '../experiment.js';
import {readHeapBytes} from '../heap.js';
import {computeLinearFit, type Point} from '../linear-fit.js';
import {ReducerProbe, type ProbeSize} from '../reducer-probe.js';

/** Virtual time until the reducer owns its share and serves requests, in milliseconds. */
const settleMs = 30_000;
const measuredTicks = 400;
const measuredRequests = 1000;
/** Rate and burst limit that no account reaches. */
const unlimitedRatePerSecond = 1_000_000;

/** A quantity and the counts at which it is measured. */
type Quantity = {readonly name: string; readonly counts: readonly number[]; readonly create: (count: number) => ReducerProbe};

type Metric = {readonly name: string; readonly unit: string; readonly digits: number; readonly read: (probe: ReducerProbe) => number};

const defaultSize: ProbeSize = {instanceCount: 8, targetCount: 16};

const quantities: readonly Quantity[] = [
	{name: 'client account', counts: [10, 100, 400, 1600], create: count => createProbe(createConfigurationWithAccounts(count), defaultSize)},
	{name: 'target', counts: [16, 100, 400, 1600], create: count => createProbe(createConfigurationWithAccounts(10), {...defaultSize, targetCount: count})},
	{name: 'peer', counts: [8, 50, 200, 800], create: count => createProbe(createConfigurationWithAccounts(10, count), {...defaultSize, instanceCount: count})},
	{name: 'chat seen', counts: [1000, 10_000, 40_000], create: createProbeWithChats},
	{name: 'open request', counts: [500, 2000, 8000], create: createProbeWithOpenRequests},
];

const metrics: readonly Metric[] = [
	{
		name: 'tick', unit: 'µs', digits: 2, read: measureTick,
	},
	{
		name: 'request, arrival to end', unit: 'µs', digits: 2, read: measureRequest,
	},
	{
		name: 'summary of a busy router', unit: 'bytes', digits: 1, read: measureSummary,
	},
];

/** Measures the cost per unit of each quantity. */
export class SlopesExperiment extends Experiment {
	override readonly name = 'slopes';
	override readonly question = 'How much time, memory and bandwidth does each additional client account, target, peer, chat or open request cost a router?';
	override readonly isReproducible = false;

	override async run(): Promise<readonly ResultTable[]> {
		const results = quantities.map(quantity => measureQuantity(quantity));
		return [
			{
				title: 'Cost per unit',
				columns: ['one more', 'sizes', 'memory, bytes', ...metrics.map(({name, unit}) => `${name}, ${unit}`), 'least part of the variance explained'],
				rows: results.map(({slopes}) => slopes),
				notes: ['Slopes of linear regressions. Memory is the used heap after a full garbage collection; a router has 20 ticks per second.'],
			},
			{
				title: 'Measured points',
				columns: ['what', 'count', 'memory, KiB', ...metrics.map(({name, unit}) => `${name}, ${unit}`), 'exchanges per second', 'calls to the configuration service per second'],
				rows: results.flatMap(({rows}) => rows),
				notes: ['The other quantities are 8 instances (1 for open requests), 16 targets and 10 client accounts. A busy router has at least one open request per client account and, on average, at least two per target.'],
			},
		];
	}
}

type QuantityResult = {readonly rows: Array<Array<string | number>>; readonly slopes: Array<string | number>};

function measureQuantity({name, counts, create}: Quantity): QuantityResult {
	// The first run warms up the JIT compiler and is not counted.
	measureAll(create(counts[0]!));
	const memory: Point[] = [];
	const points = metrics.map((): Point[] => []);
	const rows = counts.map(count => {
		const before = readHeapBytes();
		const probe = create(count);
		const bytes = readHeapBytes() - before;
		const values = measureAll(probe);
		memory.push([count, bytes]);
		for (const [index, value] of values.entries()) {
			points[index]!.push([count, value]);
		}

		const seconds = probe.now / 1000;
		return [
			name,
			count,
			(bytes / 1024).toFixed(0),
			...values.map((value, index) => value.toFixed(metrics[index]!.digits)),
			(probe.exchangeCount / seconds).toFixed(1),
			(probe.readCount / seconds).toFixed(1),
		];
	});
	const fits = [memory, ...points].map(series => computeLinearFit(series));
	const nonZeroFits = fits.filter(({slope}) => Math.abs(slope) > 0.01);
	const slopes = [
		name,
		counts.join(', '),
		fits[0]!.slope.toFixed(0),
		...fits.slice(1).map(({slope}, index) => slope.toFixed(metrics[index]!.digits + 2)),
		Math.min(1, ...nonZeroFits.map(({rSquared}) => rSquared)).toFixed(3),
	];
	return {rows, slopes};
}

function measureAll(probe: ReducerProbe): number[] {
	return metrics.map(({read}) => read(probe));
}

function measureTick(probe: ReducerProbe): number {
	let sum = 0;
	for (let index = 0; index < measuredTicks; index++) {
		sum += probe.measureTick();
	}

	return sum / measuredTicks;
}

function measureRequest(probe: ReducerProbe): number {
	const startedAt = performance.now();
	for (let index = 0; index < measuredRequests; index++) {
		runRequest(probe, `measured-${index}`);
	}

	return (performance.now() - startedAt) / measuredRequests * 1000;
}

/** Measures the summary of a busy router, in bytes: at least one open request per client account and, on average, at least two per target. */
function measureSummary(probe: ReducerProbe): number {
	const {state, now} = probe;
	const accountCount = state.tables.configuration!.accounts.length;
	const requestCount = Math.max(accountCount, 2 * state.targets.targets.size);
	for (let index = 0; index < requestCount; index++) {
		sendRequest(probe, `busy-${index}`, `account-${index % accountCount}`);
	}

	const {length} = toBinary(SummarySchema, toWireSummary(describeSummary(state, now)));
	for (const dispatch of probe.dispatches.splice(-requestCount)) {
		endAttempt(probe, dispatch);
	}

	return length;
}

function createConfigurationWithAccounts(count: number, ceiling = defaultSize.instanceCount): Configuration {
	const accounts = Array.from({length: count}, (_, index) => ({name: `account-${index}`, rate: unlimitedRatePerSecond, burst: unlimitedRatePerSecond}));
	return createExampleConfiguration(accounts, {ceiling}, {
		slotsPerTarget: 10_000, coldSlots: 10_000, loadMultiple: 100, queueLimit: 10_000,
	});
}

function createProbe(configuration: Configuration, size: ProbeSize): ReducerProbe {
	const probe = new ReducerProbe(configuration, size);
	probe.runFor(settleMs);
	return probe;
}

function createProbeWithChats(count: number): ReducerProbe {
	const probe = createProbe(createConfigurationWithAccounts(10), defaultSize);
	for (let index = 0; index < count; index++) {
		runRequest(probe, `chat-${index}`);
	}

	return probe;
}

function createProbeWithOpenRequests(count: number): ReducerProbe {
	// A single instance owns all slots.
	const probe = createProbe(createConfigurationWithAccounts(10, 1), {instanceCount: 1, targetCount: 16});
	for (let index = 0; index < count; index++) {
		sendRequest(probe, `open-${index}`);
	}

	return probe;
}

function runRequest(probe: ReducerProbe, id: string): void {
	sendRequest(probe, id);
	const dispatch = probe.dispatches.pop();
	if (dispatch?.requestId !== id) {
		throw new Error(`The request "${id}" was not dispatched.`);
	}

	endAttempt(probe, dispatch);
}

function sendRequest(probe: ReducerProbe, id: string, account = 'account-0'): void {
	probe.handle({
		kind: eventKind.requestArrived, requestId: id, method: 'POST', ...exampleModelRoute, keyDigest: describeExampleKey(account).digest, chatKey: id, priority: 0,
	});
}

function endAttempt(probe: ReducerProbe, {requestId, attemptId}: DispatchEffect): void {
	probe.handle({
		kind: eventKind.attemptEnded, requestId, attemptId, outcome: attemptOutcome.complete, deliveredCount: 16,
	});
}
