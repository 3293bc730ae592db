/**
 * Checks a whole configuration document and collects all of its faults.
 *
 * Checks that collect several faults (settings, configuration) return
 * `ts-results-es` types; all other fallible functions return `neverthrow` types.
 */
import {Err, Ok, type Result} from 'ts-results-es';
import {configurationSchema, routeKind, type Configuration} from './configuration.js';

export const configurationFaultKind = {
	notJson: 'not-json',
	schema: 'schema',
	duplicateName: 'duplicate-name',
	unknownPool: 'unknown-pool',
	unknownAccount: 'unknown-account',
	duplicateMatch: 'duplicate-match',
	missingModel: 'missing-model',
	duplicateDigest: 'duplicate-digest',
} as const;

/** A fault of a configuration document. */
export type ConfigurationFault = {
	readonly kind: typeof configurationFaultKind[keyof typeof configurationFaultKind];
	/** Path in the document, such as `routes.2.pool`; empty for the whole document. */
	readonly place: string;
	readonly message: string;
};

/** Parses JSON text and checks the resulting document. */
export function parseConfiguration(text: string): Result<Configuration, readonly ConfigurationFault[]> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return Err([createFault('notJson', '', `The document is not valid JSON: ${(error as Error).message}`)]);
	}

	return checkConfiguration(value);
}

/** Checks a parsed document: first its shape, then the references between its tables. */
export function checkConfiguration(value: unknown): Result<Configuration, readonly ConfigurationFault[]> {
	const parsed = configurationSchema.safeParse(value);
	if (!parsed.success) {
		return Err(parsed.error.issues.map(issue => createFault('schema', issue.path.join('.'), issue.message)));
	}

	const configuration = parsed.data;
	const faults = [
		...findDuplicateNames('routes', configuration.routes),
		...findDuplicateNames('pools', configuration.pools),
		...findDuplicateNames('accounts', configuration.accounts),
		...findRouteFaults(configuration),
		...findDuplicateDigests(configuration),
	];
	return faults.length > 0 ? Err(faults) : Ok(configuration);
}

function createFault(kind: keyof typeof configurationFaultKind, place: string, message: string): ConfigurationFault {
	return {kind: configurationFaultKind[kind], place, message};
}

function findDuplicateNames(table: string, rows: ReadonlyArray<{readonly name: string}>): ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	const seen = new Set<string>();
	for (const [index, {name}] of rows.entries()) {
		if (seen.has(name)) {
			faults.push(createFault('duplicateName', `${table}.${index}.name`, `The name "${name}" is used more than once in ${table}; rename one of the entries.`));
		}

		seen.add(name);
	}

	return faults;
}

function findRouteFaults({routes, pools, accounts}: Configuration): ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	const poolNames = new Set(pools.map(pool => pool.name));
	const accountNames = new Set(accounts.map(account => account.name));
	const matches = new Set<string>();
	for (const [index, route] of routes.entries()) {
		const place = `routes.${index}`;
		if (!poolNames.has(route.pool)) {
			faults.push(createFault('unknownPool', `${place}.pool`, `No pool is named "${route.pool}"; add the pool or correct the name.`));
		}

		if (route.kind === routeKind.model && route.model === undefined) {
			faults.push(createFault('missingModel', `${place}.model`, 'A model route requires the name of its model.'));
		}

		if (route.open && !accountNames.has(route.openAccount ?? '')) {
			faults.push(createFault('unknownAccount', `${place}.openAccount`, 'An open route requires the name of a client account whose limits apply to it.'));
		}

		for (const method of route.methods) {
			const match = `${method} ${route.path} ${route.model ?? ''}`;
			if (matches.has(match)) {
				faults.push(createFault('duplicateMatch', place, `Another route already matches "${match.trim()}".`));
			}

			matches.add(match);
		}
	}

	return faults;
}

function findDuplicateDigests({accounts}: Configuration): ConfigurationFault[] {
	const faults: ConfigurationFault[] = [];
	const owners = new Map<string, string>();
	for (const [index, account] of accounts.entries()) {
		for (const digest of account.keyDigests) {
			const owner = owners.get(digest);
			if (owner !== undefined) {
				faults.push(createFault('duplicateDigest', `accounts.${index}.keyDigests`, `The same key digest is listed for "${owner}" and "${account.name}".`));
			}

			owners.set(digest, account.name);
		}
	}

	return faults;
}
