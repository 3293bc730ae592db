/**
 * Runs all tests, or the given files, with `node:test`. A failing test that is
 * listed in KNOWN-RED.txt is printed and ignored; any other failure fails the run.
 *
 * Each entry of KNOWN-RED.txt has a line `test: <name of the test>`.
 */
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {run} from 'node:test';
import {spec as SpecReporter} from 'node:test/reporters';

/** Number of test files that run concurrently; several files start a fleet of processes each. */
const maxConcurrentFiles = 3;
/** Longest time for which a test file may run. */
const fileTimeoutMs = 300_000;
/** Suffix of the files whose tests open a crowd of connections; they run one at a time, since they would disturb each other and the rest. */
const crowdTestSuffix = 'crowd_test.js';
const knownRedFile = 'KNOWN-RED.txt';

function listTestFiles() {
	const files = [];
	const folders = [...readdirSync('packages').map(name => `packages/${name}`), 'platform'];
	for (const folder of folders) {
		const directory = `${folder}/build/test`;
		const tests = existsSync(directory) ? readdirSync(directory) : [];
		files.push(...tests.filter(file => file.endsWith('_test.js')).map(file => `${directory}/${file}`));
	}

	return files.sort();
}

function readKnownRed() {
	const text = existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '';
	return new Set([...text.matchAll(/^test: (.+)$/gm)].map(match => match[1].trim()));
}

const requestedFiles = process.argv.slice(2);
const files = requestedFiles.length > 0 ? requestedFiles : listTestFiles();
const knownRed = readKnownRed();
const failed = [];
let passedCount = 0;

async function runFiles(filesOfRun, concurrency) {
	if (filesOfRun.length === 0) {
		return;
	}

	const tests = run({files: filesOfRun, concurrency, timeout: fileTimeoutMs});
	tests.on('test:pass', () => {
		passedCount++;
	});
	tests.on('test:fail', ({name}) => {
		failed.push(name);
	});
	const reporter = new SpecReporter();
	tests.compose(reporter).pipe(process.stdout);
	await new Promise(resolve => {
		reporter.on('end', resolve);
	});
}

await runFiles(files.filter(file => file.endsWith(crowdTestSuffix)), 1);
await runFiles(files.filter(file => !file.endsWith(crowdTestSuffix)), maxConcurrentFiles);

const knownFailures = failed.filter(name => knownRed.has(name));
const unexpectedFailures = failed.filter(name => !knownRed.has(name));
for (const name of knownFailures) {
	process.stdout.write(`known failure, ignored (${knownRedFile}): ${name}\n`);
}

process.exitCode = unexpectedFailures.length === 0 && passedCount > 0 ? 0 : 1;
