/**
 * Merges the timelines of a run's processes into one file and draws it as a page.
 */
import {readdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {drawTimeline, mergeTimeline, parseLines} from '@sequoiatally/cli';

const mergedFileName = 'timeline.jsonl';
const pageFileName = 'timeline.html';

/** Merges the timelines in a directory and draws the result; returns the number of entries. */
export async function mergeTimelines(directory: string): Promise<number> {
	const allNames = await readdir(directory);
	const fileNames = allNames.filter(name => name.endsWith('.jsonl') && name !== mergedFileName);
	const parsedFiles = await Promise.all(fileNames.map(async name => parseLines(name, await readFile(path.join(directory, name), 'utf8'))));
	const merged = mergeTimeline(parsedFiles.flatMap(({lines}) => lines));
	await writeFile(path.join(directory, mergedFileName), merged.lines.map(line => `${JSON.stringify(line)}\n`).join(''));
	await writeFile(path.join(directory, pageFileName), drawTimeline(merged));
	return merged.lines.length;
}
