/**
 * Merges the time lines of a fleet's routers into one file, in the order of
 * the wall clock.
 */
import {readdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';

const mergedName = 'timeline.jsonl';

/** Merges the time lines in a directory; returns the number of entries. */
export async function mergeTimelines(directory: string): Promise<number> {
	const allNames = await readdir(directory);
	const names = allNames.filter(name => /^router-\d+\.jsonl$/.test(name));
	const texts = await Promise.all(names.map(async name => readFile(path.join(directory, name), 'utf8')));
	const timed = texts
		.flatMap(text => text.split('\n').slice(0, -1))
		.map(line => ({line, wallMs: readWallTime(line)}))
		.filter(({wallMs}) => wallMs !== undefined);
	timed.sort((a, b) => a.wallMs! - b.wallMs!);
	await writeFile(path.join(directory, mergedName), timed.map(({line}) => `${line}\n`).join(''));
	return timed.length;
}

/** Reads a line's time; undefined: a killed process left half of a line. */
function readWallTime(line: string): number | undefined {
	try {
		return (JSON.parse(line) as {wallMs: number}).wallMs;
	} catch {
		return undefined;
	}
}
