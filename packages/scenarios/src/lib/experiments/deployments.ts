/**
 * Both deployments of the examples through their fault schedules, as
 * processes: what callers saw, over the run and in the 10 s after each fault.
 */
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	createRunResult, formatFraction, listResultRows, parseLoadPlan, runLoad, type RunResult,
} from '@sequoiatally/load';
import {Experiment, type ResultTable} from '../experiment.js';
import {examplesDirectory} from '../measured-fleet.js';

const planNames = ['rungwright', 'hoang-lien'] as const;

/** Runs the plans of both deployments. */
export class DeploymentsExperiment extends Experiment {
	override readonly name = 'deployments';
	override readonly question = 'What do the callers of both deployments see through a surge, a zone move, kills, a freeze, a cut, an outage of the configuration service, a rolling replacement and a withdrawn key?';
	override readonly isRepeatable = false;

	override async run(): Promise<readonly ResultTable[]> {
		const results: RunResult[] = [];
		for (const name of planNames) {
			results.push(await runPlan(name));
		}

		return [describeFigures(results), ...results.flatMap(result => [describeFaults(result), describeRefusals(result)])];
	}
}

async function runPlan(name: string): Promise<RunResult> {
	const plan = parseLoadPlan(await readFile(path.join(examplesDirectory, `${name}-plan.json`), 'utf8')).unwrap();
	const resultDirectory = await mkdtemp(path.join(tmpdir(), 'deployments-'));
	try {
		const run = await runLoad(plan, {planDirectory: examplesDirectory, resultDirectory});
		if (run.isErr()) {
			throw new Error(`${run.error.kind}: ${run.error.message}`);
		}

		return createRunResult(run.value);
	} finally {
		await rm(resultDirectory, {recursive: true, force: true});
	}
}

function describeFigures(results: readonly RunResult[]): ResultTable {
	const [first, ...others] = results.map(result => listResultRows(result));
	return {
		title: 'What the callers saw',
		columns: ['figure', ...results.map(({name}) => name)],
		rows: first!.map(({name, text}, index) => [name, text, ...others.map(rows => rows[index]!.text)]),
		notes: ['Latencies count from the intended time of each send. "Inside the rate" is what one exact counter for the whole fleet would admit. All processes ran on loopback: the distance between availability zones is not in the figures. The plans are in examples/; the tool itself writes a page with plots.'],
	};
}

function describeFaults({name, faults}: RunResult): ResultTable {
	return {
		title: `${name}: the 10 seconds after each fault`,
		columns: ['fault', 'at, s', 'until, s', 'whole', 'refused', 'lost with their router', 'wrong or missing', 'refused inside the rate', 'first token, 95 in 100, ms'],
		rows: faults.map(({label, atMs, endMs, counts, wrongful, inside, firstTokenP95Ms}) => [
			label,
			(atMs / 1000).toFixed(0),
			endMs === undefined ? '' : (endMs / 1000).toFixed(1),
			counts.whole,
			counts.refused,
			counts.lost,
			counts.wrong + counts.unanswered,
			formatFraction(wrongful, inside),
			firstTokenP95Ms.toFixed(0),
		]),
	};
}

function describeRefusals({name, refusals}: RunResult): ResultTable {
	return {
		title: `${name}: refusals by type and outcome`,
		columns: ['refusal', 'count'],
		rows: Object.entries(refusals).sort(([, a], [, b]) => b - a),
	};
}
