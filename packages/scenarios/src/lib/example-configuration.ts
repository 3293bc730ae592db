/**
 * Example configurations for tests and measurements.
 */
import {createHash} from 'node:crypto';
import {checkConfiguration, type Configuration} from '@sequoiatally/core';

/** Describes the key of an account in example configurations: its text, and its SHA-256 digest in hexadecimal. */
export function describeExampleKey(account: string): {readonly key: string; readonly digest: string} {
	const key = `example-key-${account}`;
	return {key, digest: createHash('sha256').update(key).digest('hex')};
}

/** Path and model name of the model route in example configurations. */
export const exampleModelRoute = {path: '/v1/chat/completions', model: 'fitbrain'} as const;
/** Path of the non-idempotent route in example configurations. */
export const exampleBookingPath = '/v1/bookings';

type ExampleAccount = {readonly name: string; readonly rate: number; readonly burst: number};

/** Creates a checked configuration with one model pool and one plain pool. */
export function createExampleConfiguration(
	accounts: readonly ExampleAccount[],
	fleet: Partial<Configuration['fleet']> = {},
	modelPool: Partial<Configuration['pools'][number]> = {},
): Configuration {
	return checkConfiguration({
		version: 1,
		fleet: {ceiling: 8, listLagMs: 500, ...fleet},
		routes: [
			{
				name: 'fitbrain', kind: 'model', ...exampleModelRoute, pool: 'fitbrain', repeatable: true,
			},
			{
				name: 'booking', kind: 'plain', path: exampleBookingPath, pool: 'fieldbook', repeatable: false,
			},
		],
		pools: [
			{
				name: 'fitbrain', warmAfterMs: 0, ...modelPool,
			},
			{
				name: 'fieldbook', loadMultiple: 10, slotsPerTarget: 1000, coldSlots: 1000, warmAfterMs: 0,
			},
		],
		accounts: accounts.map(account => ({...account, keyDigests: [describeExampleKey(account.name).digest]})),
	}).unwrap();
}
