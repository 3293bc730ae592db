/**
 * Generates the documents that are derived from the code: the OpenAPI document of
 * the administration API and the JSON Schema of the configuration tables.
 */
import {writeFile} from 'node:fs/promises';
import {createConfigurationSchema} from '../packages/core/build/index.js';
import {createOpenApi} from '../packages/router/build/index.js';

const writeJson = async (path, value) => writeFile(path, `${JSON.stringify(value, undefined, '\t')}\n`);

await writeJson('docs/openapi.json', createOpenApi());
await writeJson('docs/configuration.schema.json', createConfigurationSchema());
