/**
 * Checks a configuration document as a whole and gathers every fault in it.
 *
 * The result types follow one border: `ts-results` where many faults are
 * gathered into a list (settings, tables), `neverthrow` for all other flow.
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

/** One fault: what is wrong, and where in the document. */
export type ConfigurationFault = {
	readonly kind: typeof configurationFaultKind[keyof typeof configurationFaultKind];
	/** Place in the document, such as `routes.2.pool`. */
	readonly place: string;
	readonly message: string;
};

/** Parses JSON text and checks the document in it. */
export function parseConfiguration(text: string): Result<Configuration, readonly ConfigurationFault[]> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return Err([createFault('notJson', '', `The document is not JSON: ${(error as Error).message}`)]);
	}

	return checkConfiguration(value);
}

/** Checks a parsed document: first its shape, then the names that join its tables. */
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
			faults.push(createFault('duplicateName', `${table}.${index}.name`, `The name "${name}" stands twice in ${table}; rename one.`));
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
			faults.push(createFault('unknownPool', `${place}.pool`, `No pool is named "${route.pool}"; add it to pools or correct the name.`));
		}

		if (route.kind === routeKind.model && route.model === undefined) {
			faults.push(createFault('missingModel', `${place}.model`, 'A model route needs the name of its model.'));
		}

		if (route.open && !accountNames.has(route.openAccount ?? '')) {
			faults.push(createFault('unknownAccount', `${place}.openAccount`, 'An open route needs the name of a client account that holds its limits.'));
		}

		for (const method of route.methods) {
			const match = `${method} ${route.path} ${route.model ?? ''}`;
			if (matches.has(match)) {
				faults.push(createFault('duplicateMatch', place, `Another route already takes "${match.trim()}".`));
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
				faults.push(createFault('duplicateDigest', `accounts.${index}.keyDigests`, `A key belongs to both "${owner}" and "${account.name}".`));
			}

			owners.set(digest, account.name);
		}
	}

	return faults;
}
