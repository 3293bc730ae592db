/**
 * Checks the source against docs/STYLE.md: exported functions begin with one of
 * its verbs, and every module begins with a doc comment.
 */
import assert from 'node:assert/strict';
import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('../../../../', import.meta.url));

async function listModules(): Promise<Array<{name: string; text: string}>> {
	const packages = await readdir(path.join(root, 'packages'));
	const folders = [...packages.map(name => path.join('packages', name)), 'platform'];
	const lists = await Promise.all(folders.map(async folder => {
		const directory = path.join(root, folder, 'src');
		const names = await readdir(directory, {recursive: true});
		return names.filter(file => file.endsWith('.ts') && !file.startsWith('gen')).map(file => path.join(directory, file));
	}));
	return Promise.all(lists.flat().map(async file => ({name: path.relative(root, file), text: await readFile(file, 'utf8')})));
}

async function readVerbs(): Promise<Set<string>> {
	const styleGuide = await readFile(path.join(root, 'docs/STYLE.md'), 'utf8');
	const section = styleGuide.split('## Functions begin with a verb')[1]!.split('\n## ')[0]!;
	const firstCells = [...section.matchAll(/^\|([^|]*)\|/gm)].map(match => match[1]!);
	return new Set(firstCells.flatMap(cell => [...cell.matchAll(/`([a-z]+)`/g)].map(match => match[1]!)));
}

test('every exported function begins with a verb listed in docs/STYLE.md', async () => {
	const verbs = await readVerbs();
	assert.ok(verbs.has('create') && verbs.size > 30, 'the verbs were read from docs/STYLE.md');
	const violations: string[] = [];
	for (const {name, text} of await listModules()) {
		for (const match of text.matchAll(/^export (?:async )?function\*? (([a-z]+)\w*)/gm)) {
			if (!verbs.has(match[2]!)) {
				violations.push(`${name}: ${match[1]}`);
			}
		}
	}

	assert.deepEqual(violations, []);
});

test('every module begins with a doc comment', async () => {
	const modules = await listModules();
	assert.ok(modules.length > 50, 'the modules were found');
	const modulesWithoutProse = modules.filter(({text}) => !/^(#!.*\n)?\/\*\*\n \* \S/.test(text)).map(({name}) => name);
	assert.deepEqual(modulesWithoutProse, []);
});
