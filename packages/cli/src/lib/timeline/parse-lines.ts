/**
 * Parses timeline files. A process that is killed during a write leaves a
 * truncated line; malformed lines are skipped and reported.
 */
import type {TimelineLine} from '@sequoiatally/runtime';
import {z} from 'zod';

const lineSchema = z.looseObject({
	wallMs: z.number(), monotonicMs: z.number(), process: z.string(), instanceId: z.string(), incarnation: z.string(), kind: z.string(), cause: z.string(),
});

/** A line that is not a valid entry; `lineNumber` starts at 1. */
export type MalformedLine = {readonly source: string; readonly lineNumber: number};

export type ParsedLines = {readonly lines: readonly TimelineLine[]; readonly malformed: readonly MalformedLine[]};

/** Parses the text of a timeline file; `source` names it in `malformed`. */
export function parseLines(source: string, text: string): ParsedLines {
	const lines: TimelineLine[] = [];
	const malformed: MalformedLine[] = [];
	for (const [index, lineText] of text.split('\n').entries()) {
		if (lineText.trim() === '') {
			continue;
		}

		const line = parseLine(lineText);
		if (line === undefined) {
			malformed.push({source, lineNumber: index + 1});
		} else {
			lines.push(line);
		}
	}

	return {lines, malformed};
}

function parseLine(text: string): TimelineLine | undefined {
	try {
		return lineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
