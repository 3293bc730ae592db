/**
 * Checks that the published JSON Schema matches the schema that validates the
 * configuration tables.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {createConfigurationSchema} from '../index.js';

test('the committed JSON Schema matches the configuration schema', async () => {
	const committed: unknown = JSON.parse(await readFile(new URL('../../../../docs/configuration.schema.json', import.meta.url), 'utf8'));
	assert.deepEqual(committed, createConfigurationSchema(), 'run "npm run generate:docs"');
});
