/**
 * Runs commands with the `commander` library, either a single command or several
 * as subcommands of one program. Subcommands run in the same process.
 */
import {
	addSettings, checkSettings, findUnexpectedArguments, settingFaultKind, type SettingFault, type SettingsSource,
} from '@sequoiatally/runtime';
import {Command, CommanderError} from 'commander';
import {exitCode, exitCodeHelp, type ExitCode} from './exit-code.js';
import type {CommandReport, OperatorCommand} from './operator-command.js';

/** Output streams of a program. */
export type CommandOutput = {
	readonly print: (text: string) => void;
	readonly printError: (text: string) => void;
};

/** Runs a binary with a single command. */
export async function runCommand(command: OperatorCommand, source: SettingsSource, output: CommandOutput): Promise<ExitCode> {
	const program = new Command(`sequoiatally-${command.name}`);
	return runProgram(program, [[program, command]], source, output);
}

/** Runs the binary that has the given commands as subcommands. */
export async function runCommands(commands: readonly OperatorCommand[], source: SettingsSource, output: CommandOutput): Promise<ExitCode> {
	const program = new Command('sequoiatally').description('Command line for the operators of a router fleet.');
	const pairs = commands.map(command => [program.command(command.name), command] as const);
	program.addHelpText('after', exitCodeHelp);
	return runProgram(program, pairs, source, output);
}

type CommandPair = readonly [Command, OperatorCommand];

async function runProgram(program: Command, pairs: readonly CommandPair[], source: SettingsSource, output: CommandOutput): Promise<ExitCode> {
	const codes: ExitCode[] = [];
	for (const [parser, command] of pairs) {
		describeCommand(parser, command);
		parser.exitOverride().configureOutput({writeOut: output.print, writeErr: output.printError});
		parser.action(async () => {
			const report = await checkAndRun(parser, command, source);
			printReport(report, parser.opts().json === true, output);
			codes.push(report.exitCode);
		});
	}

	program.exitOverride().configureOutput({writeOut: output.print, writeErr: output.printError});
	try {
		await program.parseAsync([...source.argv]);
	} catch (error) {
		if (!(error instanceof CommanderError)) {
			throw error;
		}

		// Commander has already printed the help text or the error.
		return error.exitCode === 0 ? exitCode.ok : exitCode.usage;
	}

	return codes[0] ?? exitCode.ok;
}

function describeCommand(parser: Command, command: OperatorCommand): void {
	const {description, schema, operands: {name, minCount}} = command;
	addSettings(parser, schema);
	const operands = minCount > 0 ? name : `[${name}]`;
	parser
		.description(description)
		.usage(name === undefined ? '[flags]' : `[flags] ${operands}`)
		.option('--json', 'Prints the report as JSON')
		.addHelpText('after', exitCodeHelp);
}

async function checkAndRun(parser: Command, command: OperatorCommand, {env}: SettingsSource): Promise<CommandReport> {
	const operands = parser.args.filter(argument => !argument.startsWith('-'));
	const settings = checkSettings(parser, command.schema, env);
	const faults = [...settings.isErr() ? settings.error : [], ...findOperandFaults(command, parser.args)];
	return settings.isErr() || faults.length > 0
		? createUsageReport(faults)
		: command.run({settings: settings.value, operands});
}

function findOperandFaults({operands: {name, minCount}}: OperatorCommand, args: readonly string[]): SettingFault[] {
	const faults = findUnexpectedArguments(args)
		.filter(({kind}) => name === undefined || kind === settingFaultKind.unknownFlag);
	if (args.filter(argument => !argument.startsWith('-')).length < minCount) {
		faults.push({
			kind: settingFaultKind.missing, flag: name ?? '', value: undefined, allowed: `${minCount} or more`,
		});
	}

	return faults;
}

function createUsageReport(faults: readonly SettingFault[]): CommandReport {
	const lines = faults.map(({
		kind, flag, value, allowed,
	}) => `${kind}: ${flag}${value === undefined ? '' : ` "${value}"`}; allowed: ${allowed}`);
	return {exitCode: exitCode.usage, json: {faults}, lines: [...lines, 'See --help.']};
}

function printReport({exitCode: code, json, lines}: CommandReport, isJson: boolean, {print, printError}: CommandOutput): void {
	if (isJson) {
		print(`${JSON.stringify(json, undefined, '\t')}\n`);
		return;
	}

	const printLines = code === exitCode.usage ? printError : print;
	printLines(`${lines.join('\n')}\n`);
}
