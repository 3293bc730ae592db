/**
 * Checks a configuration document: reports each fault with its place, or
 * summarizes a valid document.
 */
import {readFile} from 'node:fs/promises';
import {parseConfiguration, type Configuration, type ConfigurationFault} from '@sequoiatally/core';
import {describeError} from '@sequoiatally/runtime';
import {exitCode} from '../exit-code.js';
import {OperatorCommand, type CommandInput, type CommandReport} from '../operator-command.js';

/** Largest document that the configuration service stores. */
const maxDocumentBytes = 1024 * 1024;

export class CheckCommand extends OperatorCommand {
	override readonly name = 'check';
	override readonly description = 'Checks a configuration document before it is published.';
	override readonly schema = {};
	override readonly operands = {name: '<file>', minCount: 1};

	override async run({operands}: CommandInput<Record<never, never>>): Promise<CommandReport> {
		const [path = ''] = operands;
		try {
			return checkConfigurationText(path, await readFile(path, 'utf8'));
		} catch (error) {
			const message = describeError(error);
			return {exitCode: exitCode.unreachable, json: {file: path, error: {kind: 'unreadable-file', message}}, lines: [`${path}: ${message}`]};
		}
	}
}

/** Checks the text of a configuration document; `file` names it in the report. */
export function checkConfigurationText(file: string, text: string): CommandReport {
	const parsed = parseConfiguration(text);
	const faults: Array<Omit<ConfigurationFault, 'kind'> & {kind: string}> = parsed.isErr() ? [...parsed.error] : [];
	const bytes = new TextEncoder().encode(text).length;
	if (bytes > maxDocumentBytes) {
		faults.push({kind: 'too-large', place: '', message: `The document has ${bytes} bytes; the configuration service stores at most ${maxDocumentBytes}.`});
	}

	if (parsed.isErr() || faults.length > 0) {
		const lines = faults.map(({kind, place, message}) => `${file}: ${place === '' ? 'document' : place}: ${message} (${kind})`);
		return {exitCode: exitCode.bad, json: {file, isValid: false, faults}, lines: [...lines, `${faults.length} faults; routers would reject the whole document.`]};
	}

	const summary = summarizeConfiguration(parsed.value, bytes);
	return {
		exitCode: exitCode.ok, json: {
			file, isValid: true, faults, summary,
		}, lines: [`${file}: valid`, ...formatSummary(summary)],
	};
}

type ConfigurationSummary = {
	readonly version: number;
	readonly bytes: number;
	readonly ceiling: number;
	readonly routes: number;
	readonly notRepeatableRoutes: readonly string[];
	readonly openRoutes: readonly string[];
	readonly pools: number;
	readonly accounts: number;
	readonly keys: number;
	/** Sum of the rates of all client accounts, in requests per second. */
	readonly totalRate: number;
	readonly accountsWithoutKey: readonly string[];
	readonly drainedZones: readonly string[];
};

function summarizeConfiguration(configuration: Configuration, bytes: number): ConfigurationSummary {
	const {
		version, fleet, routes, pools, accounts, drainedZones,
	} = configuration;
	return {
		version,
		bytes,
		ceiling: fleet.ceiling,
		routes: routes.length,
		notRepeatableRoutes: routes.filter(({repeatable}) => !repeatable).map(({name}) => name),
		openRoutes: routes.filter(({open}) => open).map(({name}) => name),
		pools: pools.length,
		accounts: accounts.length,
		keys: accounts.reduce((sum, {keyDigests}) => sum + keyDigests.length, 0),
		totalRate: accounts.reduce((sum, {rate}) => sum + rate, 0),
		accountsWithoutKey: accounts.filter(({keyDigests}) => keyDigests.length === 0).map(({name}) => name),
		drainedZones,
	};
}

function formatSummary(summary: ConfigurationSummary): string[] {
	const formatNames = (names: readonly string[]) => names.length === 0 ? 'none' : names.join(', ');
	return [
		`version ${summary.version}, ${summary.bytes} bytes, at most ${summary.ceiling} instances`,
		`routes: ${summary.routes}; not repeatable: ${formatNames(summary.notRepeatableRoutes)}; open: ${formatNames(summary.openRoutes)}`,
		`pools: ${summary.pools}; drained availability zones: ${formatNames(summary.drainedZones)}`,
		`client accounts: ${summary.accounts} with ${summary.keys} keys and ${summary.totalRate} requests/s in total; without a key: ${formatNames(summary.accountsWithoutKey)}`,
	];
}
