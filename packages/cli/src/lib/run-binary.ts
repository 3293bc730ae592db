/**
 * Runs commands as the main program of a process.
 */
import process from 'node:process';
import type {CommandOutput} from './run-commands.js';
import type {ExitCode} from './exit-code.js';

const processOutput: CommandOutput = {
	print(text) {
		process.stdout.write(text);
	},
	printError(text) {
		process.stderr.write(text);
	},
};

/** Runs with the process's arguments and environment and sets the exit code; the process exits once its output is written. */
export async function runBinary(run: (source: NodeJS.Process, output: CommandOutput) => Promise<ExitCode>): Promise<void> {
	process.exitCode = await run(process, processOutput);
}
