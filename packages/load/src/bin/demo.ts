#!/usr/bin/env node
/**
 * The demonstration: starts a deployment as separate processes on loopback, sends
 * real traffic of several client accounts for a few seconds, prints a summary and
 * writes the merged timeline. Exits with 1 if the configuration is invalid, no
 * answer was whole, an answer was lost, wrong or missing, a non-idempotent request
 * ran twice or although refused as "not run", or a target received a key.
 */
import {
	mkdir, readFile, rm, writeFile,
} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {describeDemonstration, hasDemonstrationSucceeded} from '../lib/demonstration.js';
import {parseLoadPlan} from '../lib/load-plan.js';
import {runLoad} from '../lib/load-run.js';
import {mergeTimelines} from '../lib/merge-timeline.js';
import {renderReportPage} from '../lib/report-page.js';
import {createRunResult} from '../lib/run-result.js';

const planPath = 'examples/demonstration-plan.json';
const resultDirectory = 'results/demo';

const print = (line: string) => {
	process.stdout.write(`${line}\n`);
};

const plan = parseLoadPlan(await readFile(planPath, 'utf8')).unwrap();
const {routerCount, engineCount, plainCount} = plan.deployment;
await rm(resultDirectory, {recursive: true, force: true});
await mkdir(resultDirectory, {recursive: true});
print(`Starting the configuration service, ${engineCount} engines, ${plainCount} plain services and ${routerCount} routers ...`);
let isSending = false;
const run = await runLoad(plan, {
	planDirectory: path.dirname(planPath),
	resultDirectory,
	onProgress({sentCount, counts}) {
		if (!isSending) {
			isSending = true;
			print(`Sending traffic of several client accounts for ${plan.durationMs / 1000} s ...`);
		}

		print(`  ${sentCount} sent, ${counts.whole} answered whole, ${counts.refused} refused`);
	},
});
if (run.isErr()) {
	print(`${run.error.path}: ${run.error.message}`);
	process.exitCode = 1;
} else {
	const result = createRunResult(run.value);
	for (const line of describeDemonstration(run.value, result)) {
		print(line);
	}

	await writeFile(path.join(resultDirectory, 'report.html'), renderReportPage(result));
	const entryCount = await mergeTimelines(resultDirectory);
	print(`time line            ${entryCount} entries in ${resultDirectory}/timeline.jsonl, drawn in timeline.html`);
	print(`report               ${resultDirectory}/report.html`);
	process.exitCode = hasDemonstrationSucceeded(result) ? 0 : 1;
}
