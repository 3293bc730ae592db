#!/usr/bin/env node
/**
 * Runs the experiments and writes their results to docs/MEASUREMENTS.md, with
 * the date and a description of the machine. `--only NAME` runs one experiment
 * and prints its results instead.
 */
import {writeFile} from 'node:fs/promises';
import {cpus} from 'node:os';
import process from 'node:process';
import {Command} from 'commander';
import {renderTable, type Experiment, type ResultTable} from '../lib/experiment.js';
import {experiments} from '../lib/experiments/index.js';

const program = new Command('sequoiatally-measure')
	.description('Runs the experiments and writes docs/MEASUREMENTS.md.')
	.option('--only <name>', 'run one experiment and print its results instead');
program.parse();
const {only} = program.opts<{only?: string}>();

const pagePath = 'docs/MEASUREMENTS.md';
const machine = `${cpus().length} cores, ${cpus()[0]?.model ?? 'unknown processor'}, Node.js ${process.version}`;
const selected = experiments.filter(({name}) => only === undefined || name === only);
const sections: string[] = [];
for (const [index, experiment] of selected.entries()) {
	process.stderr.write(`Running ${experiment.name} ...\n`);
	sections.push(renderSection(experiment, await experiment.run()));
	const page = renderPage(selected.slice(index + 1));
	if (only === undefined) {
		// Written after each experiment, so that an interrupted run keeps the results it has.
		await writeFile(pagePath, page);
	} else {
		process.stdout.write(`${page}\n`);
	}
}

function renderSection({name, question, isReproducible}: Experiment, tables: readonly ResultTable[]): string {
	const kind = isReproducible
		? 'Virtual time and a fixed seed: each run gives the same figures.'
		: 'Measured on the machine named above; figures vary between runs.';
	return [`## ${name}`, '', question, '', kind, '', ...tables.map(table => renderTable(table))].join('\n');
}

function renderPage(remaining: readonly Experiment[]): string {
	const names = remaining.map(({name}) => name).join(', ');
	return [
		'# Measurements',
		'',
		`Written by \`npm run measure\` on ${new Date().toISOString().slice(0, 10)}; ${machine}.`,
		...(names === '' ? [] : ['', `Not run: ${names}.`]),
		'',
		...sections,
	].join('\n');
}
