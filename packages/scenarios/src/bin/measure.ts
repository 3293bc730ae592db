#!/usr/bin/env node
/**
 * Runs the experiments and writes docs/MEASUREMENTS.md, with the machine and
 * the date. `--only NAME` runs one and prints it without writing the page.
 */
import {writeFile} from 'node:fs/promises';
import {cpus} from 'node:os';
import process from 'node:process';
import {Command} from 'commander';
import {renderTable} from '../lib/experiment.js';
import {experiments} from '../lib/experiments/index.js';

const program = new Command('sequoiatally-measure')
	.description('Runs the experiments and writes docs/MEASUREMENTS.md.')
	.option('--only <name>', 'run one experiment and print it');
program.parse();
const {only} = program.opts<{only?: string}>();

const sections: string[] = [];
for (const experiment of experiments.filter(({name}) => only === undefined || name === only)) {
	process.stderr.write(`Running ${experiment.name} ...\n`);
	const tables = await experiment.run();
	const kind = experiment.isRepeatable ? 'Virtual time and a fixed seed: each run gives the same figures.' : 'Measured on the machine named above; figures vary between runs.';
	sections.push([`## ${experiment.name}`, '', experiment.question, '', kind, '', ...tables.map(table => renderTable(table))].join('\n'));
}

const machine = `${cpus().length} cores, ${cpus()[0]?.model ?? 'unknown processor'}, Node.js ${process.version}`;
const page = [
	'# Measurements',
	'',
	`Written by \`npm run measure\` on ${new Date().toISOString().slice(0, 10)}; ${machine}.`,
	'',
	...sections,
].join('\n');
if (only === undefined) {
	await writeFile('docs/MEASUREMENTS.md', page);
} else {
	process.stdout.write(`${page}\n`);
}
