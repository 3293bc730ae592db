/**
 * The published JSON Schema of the configuration, generated from the schema
 * that validates it. It covers the shape only; references between the tables
 * are checked by `parseConfiguration`.
 */
import {z} from 'zod';
import {configurationSchema} from './configuration.js';

/** Creates the JSON Schema of a configuration document. */
export function createConfigurationSchema(): Record<string, unknown> {
	return {
		title: 'sequoiatally configuration',
		...z.toJSONSchema(configurationSchema, {io: 'input'}),
	};
}
