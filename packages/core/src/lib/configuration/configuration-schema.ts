/**
 * The published JSON Schema of the configuration, made from the schema that
 * checks it. It covers the shape; names that join the tables are checked by
 * `parseConfiguration` alone.
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
