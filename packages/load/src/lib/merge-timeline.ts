/**
 * Merges the time lines of a run's processes into one file, and draws it.
 */
import {readdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {drawTimeline, mergeTimeline, parseLines} from '@sequoiatally/cli';

const mergedName = 'timeline.jsonl';
const pageName = 'timeline.html';

/** Merges the time lines in a directory; returns the number of entries. */
export async function mergeTimelines(directory: string): Promise<number> {
	const allNames = await readdir(directory);
	const names = allNames.filter(name => name.endsWith('.jsonl') && name !== mergedName);
	const parts = await Promise.all(names.map(async name => parseLines(name, await readFile(path.join(directory, name), 'utf8'))));
	const merged = mergeTimeline(parts.flatMap(({lines}) => lines));
	await writeFile(path.join(directory, mergedName), merged.lines.map(line => `${JSON.stringify(line)}\n`).join(''));
	await writeFile(path.join(directory, pageName), drawTimeline(merged));
	return merged.lines.length;
}
