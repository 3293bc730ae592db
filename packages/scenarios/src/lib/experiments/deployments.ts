/**
 * Runs both example deployments as processes through their fault schedules.
 * Reports the results of the callers over the run and in the 10 s after each
 * fault.
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
	override readonly question = 'What do the callers of both deployments observe during a surge, a drain of an availability zone, crashes, a freeze, a network partition, an outage of the configuration service, a rolling replacement and the withdrawal of a key?';
	override readonly isReproducible = false;

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
		notes: ['Latencies are measured from the scheduled time of each request. "Inside the rate" are the requests that one exact token bucket for the whole fleet would admit. All processes ran on loopback, so the figures exclude the latency between availability zones. The plans are in examples/; the load tool also writes a page with plots.'],
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
