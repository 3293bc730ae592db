/**
 * What every command of the command line has: a name, settings, and a run that
 * returns a report. The report is printed as text or as JSON by its runner.
 */
import type {SettingsOf, SettingsSchema} from '@sequoiatally/runtime';
import type {ExitCode} from './exit-code.js';

/** What a command has found or done. */
export type CommandReport = {
	readonly exitCode: ExitCode;
	/** For programs: printed whole with `--json`. */
	readonly json: unknown;
	/** For people: one line each. */
	readonly lines: readonly string[];
};

/** Checked input of a run. */
export type CommandInput<S extends SettingsSchema> = {
	readonly settings: SettingsOf<S>;
	/** What stands on the command line beside the flags. */
	readonly operands: readonly string[];
};

/** What a command takes beside flags. */
export type OperandSpec = {
	/** Name for the help; undefined: the command takes none. */
	readonly name?: string;
	/** Fewest that the command needs. */
	readonly minCount: number;
};

/** For commands that take flags only. */
export const noOperands: OperandSpec = {minCount: 0};

/** Base class of all commands. */
export abstract class OperatorCommand<S extends SettingsSchema = SettingsSchema> {
	abstract readonly name: string;
	abstract readonly description: string;
	abstract readonly schema: S;
	abstract readonly operands: OperandSpec;

	abstract run(input: CommandInput<S>): Promise<CommandReport>;
}
