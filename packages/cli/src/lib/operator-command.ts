/**
 * Base class of the commands: a name, settings, and a `run` that returns a
 * report. The caller prints the report as text or as JSON.
 */
import type {SettingsOf, SettingsSchema} from '@sequoiatally/runtime';
import type {ExitCode} from './exit-code.js';

/** Result of a command. */
export type CommandReport = {
	readonly exitCode: ExitCode;
	/** Printed with `--json`, for programs. */
	readonly json: unknown;
	/** Lines of text printed without `--json`. */
	readonly lines: readonly string[];
};

/** Checked settings and operands of a run. */
export type CommandInput<S extends SettingsSchema> = {
	readonly settings: SettingsOf<S>;
	/** Arguments that are not flags. */
	readonly operands: readonly string[];
};

/** Arguments that a command takes besides flags. */
export type OperandSpec = {
	/** Placeholder in the help text; `undefined` if the command takes no operands. */
	readonly name?: string;
	readonly minCount: number;
};

/** For commands that take only flags. */
export const noOperands: OperandSpec = {minCount: 0};

export abstract class OperatorCommand<S extends SettingsSchema = SettingsSchema> {
	abstract readonly name: string;
	abstract readonly description: string;
	abstract readonly schema: S;
	abstract readonly operands: OperandSpec;

	abstract run(input: CommandInput<S>): Promise<CommandReport>;
}
