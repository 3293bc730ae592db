/**
 * Measures the cost of the platform's documents to a router, which always reads
 * them in full: size, and the time to check and to apply one, by the number of
 * entries.
 */
import {
	eventKind, listedState, parseConfiguration, parseInstanceList,
} from '@sequoiatally/core';
import {createExampleConfiguration} from '../example-configuration.js';
import {Experiment, type ResultTable} from '../experiment.js';
import {computeLinearFit} from '../linear-fit.js';
import {ReducerProbe} from '../reducer-probe.js';

const repetitions = 10;
const accountCounts = [10, 100, 380, 1600] as const;
const listEntryCounts = [100, 1000, 3000, 6000] as const;
const settleMs = 30_000;

type DocumentCost = {readonly document: string; readonly count: number; readonly bytes: number; readonly checkMs: number; readonly applyMs: number};

/** Measures configurations by the number of client accounts, and lists by the number of entries. */
export class DocumentsExperiment extends Experiment {
	override readonly name = 'documents';
	override readonly question = 'What does each full configuration and each full list that a router reads cost?';
	override readonly isReproducible = false;

	override async run(): Promise<readonly ResultTable[]> {
		// The first runs warm up the JIT compiler and are not counted.
		measureConfiguration(accountCounts[0]);
		measureList(listEntryCounts[0]);
		const costs = [...accountCounts.map(count => measureConfiguration(count)), ...listEntryCounts.map(count => measureList(count))];
		const slopes = [...new Set(costs.map(({document}) => document))].map(document =>
			describeSlopes(document, costs.filter(cost => cost.document === document)));
		return [
			{
				title: 'Per document',
				columns: ['document', 'entries', 'bytes', 'parse and check, ms', 'take into the state, ms'],
				rows: costs.map(({document, count, bytes, checkMs, applyMs}) => [document, count, bytes, checkMs.toFixed(2), applyMs.toFixed(2)]),
				notes: ['Lists hold one instance for every three targets. Each time is the mean of ten repetitions.'],
			},
			{
				title: 'Per entry',
				columns: ['document', 'bytes', 'parse and check, µs', 'take into the state, µs'],
				rows: slopes,
				notes: ['Slopes of linear regressions.'],
			},
		];
	}
}

function describeSlopes(document: string, costs: readonly DocumentCost[]): Array<string | number> {
	const fit = (read: (cost: DocumentCost) => number) => computeLinearFit(costs.map(cost => [cost.count, read(cost)])).slope;
	return [document, fit(({bytes}) => bytes).toFixed(0), (fit(({checkMs}) => checkMs) * 1000).toFixed(2), (fit(({applyMs}) => applyMs) * 1000).toFixed(2)];
}

function measureConfiguration(count: number): DocumentCost {
	const accounts = Array.from({length: count}, (_, index) => ({name: `client-account-${index}`, rate: 100, burst: 200}));
	const configuration = createExampleConfiguration(accounts);
	const text = JSON.stringify(configuration);
	const checkMs = measureMean(() => parseConfiguration(text).unwrap());
	const probe = new ReducerProbe(configuration, {instanceCount: 8, targetCount: 16});
	probe.runFor(settleMs);
	let version = 1;
	const applyMs = measureMean(() => {
		version++;
		probe.handle({
			kind: eventKind.configurationRead, configuration: {...configuration, version}, text, currentAt: probe.now, source: {revision: version},
		});
	});
	return {
		document: 'configuration, by client accounts', count, bytes: text.length, checkMs, applyMs,
	};
}

function measureList(count: number): DocumentCost {
	const probe = new ReducerProbe(createExampleConfiguration([{name: 'client-account', rate: 100, burst: 200}], {ceiling: 2000}), {
		instanceCount: Math.floor(count / 4), targetCount: Math.ceil(count * 3 / 4),
	});
	probe.runFor(settleMs);
	const list = probe.state.membership.list!;
	const text = JSON.stringify(list);
	const checkMs = measureMean(() => parseInstanceList(text)._unsafeUnwrap());
	const [first] = list.targets;
	let asOf = list.asOf + 1;
	const applyMs = measureMean(() => {
		asOf++;
		// One target changes its state in each list, so that consecutive lists differ.
		const targets = [{...first!, state: asOf % 2 === 0 ? listedState.live : listedState.leaving}, ...list.targets.slice(1)];
		probe.handle({
			kind: eventKind.listRead, list: {...list, asOf, targets}, currentAt: probe.now, source: {revision: asOf},
		});
	});
	return {
		document: 'list, by entries', count, bytes: text.length, checkMs, applyMs,
	};
}

function measureMean(run: () => unknown): number {
	const startedAt = performance.now();
	for (let index = 0; index < repetitions; index++) {
		run();
	}

	return (performance.now() - startedAt) / repetitions;
}
