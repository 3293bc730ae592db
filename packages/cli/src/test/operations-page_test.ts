/**
 * The operators' page documents exactly the settings, alarms, metrics and
 * refusals that exist.
 */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {
	alarmKind, createState, refusalReason, RendezvousChoice,
} from '@sequoiatally/core';
import {Metrics, Runner} from '@sequoiatally/router';

const page = await readFile(new URL('../../../../docs/OPERATIONS.md', import.meta.url), 'utf8');

/** Lists the names in the first column of the table below a heading. */
function listDocumented(heading: string): string[] {
	const section = page.split(`## ${heading}\n`)[1]!.split('\n## ')[0]!;
	return [...section.matchAll(/^\| `([^`]+)`/gm)].map(match => match[1]!).sort();
}

test('the page documents exactly the settings of the router', () => {
	const path = fileURLToPath(new URL('../../../router/build/bin/router.js', import.meta.url));
	const {stdout} = spawnSync(process.execPath, [path, '--help'], {encoding: 'utf8', timeout: 20_000});
	const flags = [...stdout.matchAll(/^ {2}(--[\w-]+) \[value]/gm)].map(match => match[1]!).sort();
	assert.deepEqual(listDocumented('Settings'), flags);
});

test('the page documents exactly the existing alarms', () => {
	assert.deepEqual(listDocumented('Alarms'), Object.values(alarmKind).toSorted());
});

test('the page documents exactly the existing refusal reasons', () => {
	assert.deepEqual(listDocumented('Refusals'), Object.values(refusalReason).toSorted());
});

test('the page documents exactly the existing metrics', async () => {
	const self = {
		instanceId: 'router-1', incarnation: 'i1', zone: 'zone-a', startedAt: 0,
	};
	const runner = new Runner(createState(self, {targetChoice: new RendezvousChoice()}), () => 0);
	const {registry} = new Metrics(runner, {raised: []});
	const metrics = await registry.getMetricsAsJSON();
	const names = metrics.map(({name}) => name).filter(name => name.startsWith('sequoiatally_'));
	const documented = listDocumented('Metrics').filter(name => name.startsWith('sequoiatally_'));
	assert.deepEqual(documented, names.toSorted());
});
