/**
 * Settings from flags and environment variables, all checked at start-up. If a
 * setting is invalid, the process exits with errors that name the flag, the
 * value and the allowed values. All faults are reported, not only the first.
 */
import process from 'node:process';
import {type Command, CommanderError, Option} from 'commander';
import {Err, Ok, type Result} from 'ts-results-es';

/** Exit code of a process with invalid settings. */
export const badSettingsExitCode = 2;

export const settingFaultKind = {
	/** The setting does not allow the value. */
	badValue: 'bad-setting',
	/** Neither flag nor variable is given for a required setting. */
	missing: 'missing-setting',
	/** The flag is given without a value. */
	noValue: 'no-value',
	unknownFlag: 'unknown-flag',
	unknownVariable: 'unknown-variable',
	unexpectedArgument: 'unexpected-argument',
} as const;

/** A fault of the settings. */
export type SettingFault = {
	readonly kind: typeof settingFaultKind[keyof typeof settingFaultKind];
	/** The flag with its dashes, or the name of the variable or operand; empty if there is none. */
	readonly flag: string;
	/** The given text; secrets are redacted. */
	readonly value: string | undefined;
	/** Description of the allowed values. */
	readonly allowed: string;
};

/** Definition of a setting: its flag, its help text and its parser. */
export type Setting<T> = {
	/** Flag without dashes, such as `peer-address`; the name of the variable is derived from it. */
	readonly flag: string;
	readonly description: string;
	readonly allowed: string;
	/** Text used if neither flag nor variable is given. A setting without it is required unless `isOptional`. */
	readonly defaultText?: string;
	readonly isOptional?: boolean;
	/** Whether the value is redacted in everything that is printed. */
	readonly isSecret?: boolean;
	/** Parses the text; returns `undefined` if it is not allowed. */
	readonly parse: (text: string) => T | undefined;
};

export type SettingsSchema = Readonly<Record<string, Setting<unknown>>>;
export type SettingsOf<S extends SettingsSchema> = {readonly [K in keyof S]: S[K] extends Setting<infer T> ? T : never};

/** Prefix of all environment variables. */
const variablePrefix = 'SEQUOIATALLY_';
/** Printed instead of a secret. */
const redactedSecret = '(secret)';

/** Makes a setting optional: its value is `undefined` if neither flag nor variable is given. */
export function makeOptional<T>(setting: Setting<T>): Setting<T | undefined> {
	return {...setting, isOptional: true};
}

type TextOptions = Omit<Setting<string>, 'parse' | 'allowed' | 'isOptional'> & {readonly pattern?: RegExp; readonly allowed?: string};

/** Defines a setting whose value is non-empty text that matches `pattern`, if given. */
export function defineText({pattern, allowed, ...rest}: TextOptions): Setting<string> {
	return {
		...rest,
		allowed: allowed ?? 'any non-empty text',
		parse: text => text !== '' && (pattern === undefined || pattern.test(text)) ? text : undefined,
	};
}

/** Defines a setting whose value is one of `choices`. */
export function defineChoice<const Choices extends readonly string[]>(choices: Choices, options: Omit<Setting<Choices[number]>, 'parse' | 'allowed'>): Setting<Choices[number]> {
	return {...options, allowed: `one of ${choices.join(', ')}`, parse: text => choices.find(word => word === text)};
}

/** A token and the name of its holder. */
export type NamedToken = {readonly name: string; readonly token: string};

/** Defines a secret setting whose value lists named tokens, such as `amina:0123456789abcdef,ci:fedcba9876543210`. */
export function defineNamedTokens(options: Omit<Setting<readonly NamedToken[]>, 'parse' | 'allowed' | 'isSecret'>): Setting<readonly NamedToken[]> {
	return {
		...options, isSecret: true, allowed: 'name:token,name:token with unique names of letters, digits, "-" or "_" and tokens of at least 16 characters', parse: parseNamedTokens,
	};
}

function parseNamedTokens(text: string): readonly NamedToken[] | undefined {
	const tokens: NamedToken[] = [];
	for (const part of text.split(',')) {
		const match = /^([\w-]{1,64}):([^\s,]{16,256})$/.exec(part);
		if (match === null || tokens.some(({name}) => name === match[1])) {
			return undefined;
		}

		tokens.push({name: match[1]!, token: match[2]!});
	}

	return tokens;
}

/** Defines a setting whose value is an integer from `min` to `max`. */
export function defineInteger(min: number, max: number, options: Omit<Setting<number>, 'parse' | 'allowed'>): Setting<number> {
	return {
		...options,
		allowed: `an integer from ${min} to ${max}`,
		parse(text) {
			const value = Number(text);
			return /^\d+$/.test(text) && value >= min && value <= max ? value : undefined;
		},
	};
}

/** An IP address and a port. */
export type SocketAddress = {readonly host: string; readonly port: number};

/** Defines a setting whose value is an IPv4 address and a port, such as `127.0.0.1:7000`. */
export function defineAddress(options: Omit<Setting<SocketAddress>, 'parse' | 'allowed'>): Setting<SocketAddress> {
	return {...options, allowed: 'an IPv4 address and a port, such as 127.0.0.1:7000 (port 0 for any free port)', parse: parseAddress};
}

/** Parses `a.b.c.d:port`; returns `undefined` for any other text. */
export function parseAddress(text: string): SocketAddress | undefined {
	const match = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/.exec(text);
	const host = match?.[1] ?? '';
	const port = Number(match?.[2]);
	const isValid = match !== null && port <= 65_535 && host.split('.').every(part => Number(part) <= 255);
	return isValid ? {host, port} : undefined;
}

/** Source of settings: the arguments as in `process.argv`, and the environment. */
export type SettingsSource = {
	readonly argv: readonly string[];
	readonly env: Readonly<Record<string, string | undefined>>;
};

/** Parses and checks the settings of the command line and the environment; returns all faults. */
export function parseSettings<S extends SettingsSchema>(
	program: Command,
	schema: S,
	source: SettingsSource = process,
): Result<SettingsOf<S>, readonly SettingFault[]> {
	addSettings(program, schema);
	program.exitOverride().parse([...source.argv]);
	const checked = checkSettings(program, schema, source.env);
	const argumentFaults = [
		...findUnexpectedArguments(program.args),
		...findUnknownVariables(schema, source.env),
	];
	if (argumentFaults.length === 0) {
		return checked;
	}

	return Err(checked.isErr() ? [...checked.error, ...argumentFaults] : argumentFaults);
}

/**
 * Adds a flag for each setting. Values are optional for the library, so that a
 * flag without a value is reported together with the other faults instead of
 * hiding them.
 */
export function addSettings(program: Command, schema: SettingsSchema): void {
	for (const setting of Object.values(schema)) {
		const option = new Option(`--${setting.flag} [value]`, describeSetting(setting));
		program.addOption(option);
	}

	program.allowUnknownOption().allowExcessArguments();
}

function describeSetting({flag, description, allowed, defaultText}: Setting<unknown>): string {
	const defaultNote = defaultText === undefined ? '' : `; default: ${defaultText}`;
	return `${description} (${allowed}${defaultNote}; variable: ${toVariableName(flag)})`;
}

/** Checks the settings of a command whose command line has been parsed; returns all faults. */
export function checkSettings<S extends SettingsSchema>(
	program: Command,
	schema: S,
	env: SettingsSource['env'],
): Result<SettingsOf<S>, readonly SettingFault[]> {
	const given = program.opts();
	const faults: SettingFault[] = [];
	const values: Record<string, unknown> = {};
	for (const [name, setting] of Object.entries(schema)) {
		const text = given[toCamelCase(setting.flag)] as string | true | undefined ?? env[toVariableName(setting.flag)] ?? setting.defaultText;
		const checked = checkSetting(setting, text);
		if (checked.isErr()) {
			faults.push(checked.error);
		} else {
			values[name] = checked.value;
		}
	}

	return faults.length > 0 ? Err(faults) : Ok(values as SettingsOf<S>);
}

/** Checks one setting; `text` is `true` for a flag without a value, as the library reports it. */
function checkSetting(setting: Setting<unknown>, text: string | true | undefined): Result<unknown, SettingFault> {
	const fault = {flag: `--${setting.flag}`, allowed: setting.allowed};
	if (text === true) {
		return Err({...fault, kind: settingFaultKind.noValue, value: undefined});
	}

	if (text === undefined) {
		return setting.isOptional ? Ok(undefined) : Err({...fault, kind: settingFaultKind.missing, value: undefined});
	}

	const value = setting.parse(text);
	return value === undefined
		? Err({...fault, kind: settingFaultKind.badValue, value: setting.isSecret ? redactedSecret : text})
		: Ok(value);
}

/** Finds unknown flags and unexpected arguments; an argument after an unknown flag counts as the value of the flag. */
export function findUnexpectedArguments(args: readonly string[]): SettingFault[] {
	const faults: SettingFault[] = [];
	let previousWasFlag = false;
	for (const argument of args) {
		const isFlag = argument.startsWith('-');
		if (isFlag) {
			// A value after "=" may be a secret given with a mistyped flag.
			const [flag] = argument.split('=', 1);
			faults.push({
				kind: settingFaultKind.unknownFlag, flag: flag!, value: undefined, allowed: 'a flag listed by --help',
			});
		} else if (!previousWasFlag) {
			faults.push({
				kind: settingFaultKind.unexpectedArgument, flag: '', value: argument, allowed: 'flags only',
			});
		}

		previousWasFlag = isFlag && !argument.includes('=');
	}

	return faults;
}

function findUnknownVariables(schema: SettingsSchema, env: SettingsSource['env']): SettingFault[] {
	const known = new Set(Object.values(schema).map(({flag}) => toVariableName(flag)));
	return Object.keys(env)
		.filter(name => name.startsWith(variablePrefix) && !known.has(name))
		.map(name => ({
			kind: settingFaultKind.unknownVariable, flag: name, value: undefined, allowed: 'a variable listed by --help',
		}));
}

/** Describes checked settings by their flags, with secrets redacted. */
export function describeSettings<S extends SettingsSchema>(schema: S, settings: SettingsOf<S>): Record<string, unknown> {
	const described: Record<string, unknown> = {};
	for (const [name, setting] of Object.entries(schema)) {
		const value: unknown = (settings as Record<string, unknown>)[name];
		described[setting.flag] = setting.isSecret && value !== undefined ? redactedSecret : value;
	}

	return described;
}

/**
 * Parses settings, or prints all faults and exits. With `--print-settings`,
 * prints the checked settings and exits.
 */
export function parseSettingsOrExit<S extends SettingsSchema>(program: Command, schema: S): SettingsOf<S> {
	program.option('--print-settings', 'Prints the checked settings with secrets redacted, and exits');
	const settings = parseOrExitWithHelp(program, schema);
	if (settings.isErr()) {
		for (const fault of settings.error) {
			process.stderr.write(`${JSON.stringify({level: 'error', event: fault.kind, ...fault})}\n`);
		}

		// A process with invalid settings must not start.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(badSettingsExitCode);
	}

	if (program.opts().printSettings === true) {
		process.stdout.write(`${JSON.stringify(describeSettings(schema, settings.value), undefined, '\t')}\n`);
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(0);
	}

	return settings.value;
}

function parseOrExitWithHelp<S extends SettingsSchema>(program: Command, schema: S): Result<SettingsOf<S>, readonly SettingFault[]> {
	try {
		return parseSettings(program, schema);
	} catch (error) {
		// The library has already printed the help text or its parse error.
		const isHelp = error instanceof CommanderError && error.exitCode === 0;
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(isHelp ? 0 : badSettingsExitCode);
	}
}

/** Converts a flag to the name of its environment variable, such as `SEQUOIATALLY_PEER_ADDRESS`. */
export function toVariableName(flag: string): string {
	return variablePrefix + flag.replaceAll('-', '_').toUpperCase();
}

function toCamelCase(flag: string): string {
	return flag.replaceAll(/-([a-z\d])/g, (_, letter: string) => letter.toUpperCase());
}
