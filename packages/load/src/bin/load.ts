#!/usr/bin/env node
/**
 * The command line of the load tool: validates and runs plans, and renders and
 * compares results.
 */
import {
	mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {parseLoadPlan, type LoadPlan} from '../lib/load-plan.js';
import {runLoad, type RunProgress} from '../lib/load-run.js';
import {mergeTimelines} from '../lib/merge-timeline.js';
import {renderComparisonPage, renderReportPage} from '../lib/report-page.js';
import {listResultRows} from '../lib/result-rows.js';
import {createRunResult, hasGuaranteeViolation, type RunResult} from '../lib/run-result.js';

/** Exit codes; `badInput` means that the plan or its configuration is invalid. */
const exitCode = {guaranteeViolated: 1, badInput: 2} as const;

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const printError = (fields: Readonly<Record<string, unknown>>) => {
	process.stderr.write(`${JSON.stringify({level: 'error', ...fields})}\n`);
};

const program = new Command('sequoiatally-load')
	.description('Runs a deployment under load and faults, and reports how the requests of its callers ended.')
	.addHelpText('after', '\nExit codes: 0 success, 1 a guarantee was violated (a wrong or missing answer, a doubled run, a false "not run", a key seen by a target), 2 bad input.');
program.command('check <plan>').description('checks a plan and prints all errors in it').action(async (planPath: string) => {
	if (await readPlan(planPath) !== undefined) {
		print(`${planPath} is a valid plan.`);
	}
});
program.command('run <plan>').description('runs a plan; writes result.json, answers.jsonl, report.html and the timelines')
	.option('--output <directory>', 'directory for the results (default: results/<name of the plan>)')
	.option('--seed <number>', 'seed that replaces the seed of the plan')
	.option('--quiet', 'do not print progress')
	.action(run);
program.command('report <result>').description('renders the report page of a result.json')
	.requiredOption('--output <file>', 'page to write')
	.action(async (resultPath: string, {output}: {output: string}) => {
		await writeFile(output, renderReportPage(await readResult(resultPath)));
	});
program.command('compare <first> <second>').description('renders two results, each a result.json, side by side')
	.requiredOption('--output <file>', 'page to write')
	.action(async (firstPath: string, secondPath: string, {output}: {output: string}) => {
		await writeFile(output, renderComparisonPage(await readResult(firstPath), await readResult(secondPath)));
	});
await program.parseAsync();

async function readPlan(planPath: string, seed?: string): Promise<LoadPlan | undefined> {
	const text = await readFile(planPath, 'utf8');
	const plan = parseLoadPlan(text).map(value => seed === undefined ? value : {...value, seed: Number(seed)});
	if (plan.isOk()) {
		return plan.value;
	}

	for (const fault of plan.error) {
		printError({event: 'bad-plan', path: planPath, ...fault});
	}

	process.exitCode = exitCode.badInput;
	return undefined;
}

async function readResult(resultPath: string): Promise<RunResult> {
	return JSON.parse(await readFile(resultPath, 'utf8')) as RunResult;
}

async function run(planPath: string, options: {output?: string; seed?: string; quiet?: boolean}): Promise<void> {
	const plan = await readPlan(planPath, options.seed);
	if (plan === undefined) {
		return;
	}

	const resultDirectory = options.output ?? `results/${plan.name}`;
	await rm(resultDirectory, {recursive: true, force: true});
	await mkdir(resultDirectory, {recursive: true});
	const record = await runLoad(plan, {
		planDirectory: path.dirname(planPath), resultDirectory, onProgress: options.quiet ? undefined : printProgress,
	});
	if (record.isErr()) {
		printError({event: record.error.kind, ...record.error});
		process.exitCode = exitCode.badInput;
		return;
	}

	const result = createRunResult(record.value);
	await mergeTimelines(resultDirectory);
	await writeFile(path.join(resultDirectory, 'result.json'), `${JSON.stringify(result)}\n`);
	await writeFile(path.join(resultDirectory, 'answers.jsonl'), record.value.records.map(answer => `${JSON.stringify(answer)}\n`).join(''));
	await writeFile(path.join(resultDirectory, 'report.html'), renderReportPage(result));
	for (const {name, text} of listResultRows(result)) {
		print(`${name.padEnd(40)}${text}`);
	}

	print(`report: ${path.join(resultDirectory, 'report.html')}`);
	process.exitCode = hasGuaranteeViolation(result) ? exitCode.guaranteeViolated : 0;
}

function printProgress({elapsedMs, sentCount, openCount, counts, fault}: RunProgress): void {
	const seconds = `${(elapsedMs / 1000).toFixed(1)} s`.padStart(8);
	if (fault !== undefined) {
		print(`${seconds}  fault: ${fault.label}`);
		return;
	}

	print(`${seconds}  sent ${sentCount}, open ${openCount}, whole ${counts.whole}, refused ${counts.refused}, lost ${counts.lost}, wrong ${counts.wrong}, not sent ${counts.unsent}`);
}
