/**
 * Writes the pages that follow from the code: the OpenAPI page of the
 * administration API and the JSON Schema of the tables.
 */
import {writeFile} from 'node:fs/promises';
import {createConfigurationSchema} from '../packages/core/build/index.js';
import {createOpenApi} from '../packages/router/build/index.js';

const writeJson = async (path, value) => writeFile(path, `${JSON.stringify(value, undefined, '\t')}\n`);

await writeJson('docs/openapi.json', createOpenApi());
await writeJson('docs/configuration.schema.json', createConfigurationSchema());
