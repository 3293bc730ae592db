/**
 * Settings from flags and environment variables, all checked at the start. A
 * bad one ends the start with an error that names the flag, the value and what
 * is allowed. Every fault is reported, not only the first.
 */
import process from 'node:process';
import {type Command, Option} from 'commander';
import {Err, Ok, type Result} from 'ts-results-es';

/** Exit code of a start that a bad setting ended. */
export const badSettingsExitCode = 2;

/** One bad setting. */
export type SettingFault = {
	readonly kind: 'bad-setting';
	readonly flag: string;
	readonly value: string | undefined;
	/** What the setting takes. */
	readonly allowed: string;
};

/** How one setting is written and checked. */
export type Setting<T> = {
	/** Flag without dashes, such as `peer-address`; the variable's name follows from it. */
	readonly flag: string;
	readonly description: string;
	readonly allowed: string;
	/** Text used when neither flag nor variable is given; undefined: the setting is required unless `isOptional`. */
	readonly defaultText?: string;
	readonly isOptional?: boolean;
	/** Hidden from the resolved settings that are logged. */
	readonly isSecret?: boolean;
	/** Parses the text; undefined: not allowed. */
	readonly parse: (text: string) => T | undefined;
};

export type SettingsSchema = Readonly<Record<string, Setting<unknown>>>;
export type SettingsOf<S extends SettingsSchema> = {readonly [K in keyof S]: S[K] extends Setting<infer T> ? T : never};

/** Prefix of every environment variable. */
const variablePrefix = 'SEQUOIATALLY_';

/** Makes a setting optional: without flag and variable its value is undefined. */
export function makeOptional<T>(setting: Setting<T>): Setting<T | undefined> {
	return {...setting, isOptional: true};
}

type TextOptions = Omit<Setting<string>, 'parse' | 'allowed' | 'isOptional'> & {readonly pattern?: RegExp; readonly allowed?: string};

/** Defines a setting that is text, optionally of a pattern. */
export function defineText({pattern, allowed, ...rest}: TextOptions): Setting<string> {
	return {
		...rest,
		allowed: allowed ?? 'any text that is not empty',
		parse: text => text !== '' && (pattern === undefined || pattern.test(text)) ? text : undefined,
	};
}

/** Defines a setting that is one of a few words. */
export function defineChoice<const W extends readonly string[]>(words: W, rest: Omit<Setting<W[number]>, 'parse' | 'allowed'>): Setting<W[number]> {
	return {...rest, allowed: `one of ${words.join(', ')}`, parse: text => words.find(word => word === text)};
}

/** Defines a setting that is a whole number within bounds. */
export function defineInteger(min: number, max: number, rest: Omit<Setting<number>, 'parse' | 'allowed'>): Setting<number> {
	return {
		...rest,
		allowed: `a whole number from ${min} to ${max}`,
		parse(text) {
			const value = Number(text);
			return /^\d+$/.test(text) && value >= min && value <= max ? value : undefined;
		},
	};
}

/** An IP address and a port. */
export type SocketAddress = {readonly host: string; readonly port: number};

/** Defines a setting that is an IPv4 address with a port, such as `127.0.0.1:7000`. */
export function defineAddress(rest: Omit<Setting<SocketAddress>, 'parse' | 'allowed'>): Setting<SocketAddress> {
	return {...rest, allowed: 'an IPv4 address and a port, such as 127.0.0.1:7000 (port 0: any free one)', parse: parseAddress};
}

/** Parses `a.b.c.d:port`; undefined: not of that form. */
export function parseAddress(text: string): SocketAddress | undefined {
	const match = /^((?:\d{1,3}\.){3}\d{1,3}):(\d{1,5})$/.exec(text);
	const host = match?.[1] ?? '';
	const port = Number(match?.[2]);
	const isValid = match !== null && port <= 65_535 && host.split('.').every(part => Number(part) <= 255);
	return isValid ? {host, port} : undefined;
}

/** Parses the command line and the environment into checked settings. */
export function parseSettings<S extends SettingsSchema>(
	program: Command,
	schema: S,
	argv: readonly string[] = process.argv,
): Result<SettingsOf<S>, readonly SettingFault[]> {
	for (const {flag, description, allowed, defaultText} of Object.values(schema)) {
		const option = new Option(`--${flag} <value>`, `${description} (${allowed})`).env(toVariableName(flag));
		program.addOption(defaultText === undefined ? option : option.default(defaultText));
	}

	program.parse([...argv]);
	return checkSettings(schema, program.opts());
}

function checkSettings<S extends SettingsSchema>(schema: S, texts: Readonly<Record<string, unknown>>): Result<SettingsOf<S>, readonly SettingFault[]> {
	const faults: SettingFault[] = [];
	const values: Record<string, unknown> = {};
	for (const [name, setting] of Object.entries(schema)) {
		const text = texts[toCamelCase(setting.flag)] as string | undefined;
		if (text === undefined && setting.isOptional) {
			continue;
		}

		const value = text === undefined ? undefined : setting.parse(text);
		if (value === undefined) {
			faults.push({
				kind: 'bad-setting', flag: `--${setting.flag}`, value: setting.isSecret ? '(secret)' : text, allowed: setting.allowed,
			});
		}

		values[name] = value;
	}

	return faults.length > 0 ? Err(faults) : Ok(values as SettingsOf<S>);
}

/** Parses settings, or prints every fault and ends the process. */
export function parseSettingsOrExit<S extends SettingsSchema>(program: Command, schema: S): SettingsOf<S> {
	const settings = parseSettings(program, schema);
	if (settings.isErr()) {
		for (const fault of settings.error) {
			process.stderr.write(`${JSON.stringify({level: 'error', event: fault.kind, ...fault})}\n`);
		}

		// A process with bad settings must not start.
		// eslint-disable-next-line unicorn/no-process-exit
		process.exit(badSettingsExitCode);
	}

	return settings.value;
}

/** The environment variable of a flag, such as `SEQUOIATALLY_PEER_ADDRESS`. */
export function toVariableName(flag: string): string {
	return variablePrefix + flag.replaceAll('-', '_').toUpperCase();
}

function toCamelCase(flag: string): string {
	return flag.replaceAll(/-([a-z\d])/g, (_, letter: string) => letter.toUpperCase());
}
