/**
 * Parses time line files. A process that ends while it writes leaves a torn
 * line; such lines are counted and left out.
 */
import type {TimelineLine} from '@sequoiatally/runtime';
import {z} from 'zod';

const lineSchema = z.looseObject({
	wallMs: z.number(), monotonicMs: z.number(), process: z.string(), instanceId: z.string(), incarnation: z.string(), kind: z.string(), cause: z.string(),
});

/** A line that could not be read. */
export type TornLine = {readonly source: string; readonly lineNumber: number};

export type ParsedLines = {readonly lines: readonly TimelineLine[]; readonly torn: readonly TornLine[]};

/** Parses the text of one file. */
export function parseLines(source: string, text: string): ParsedLines {
	const lines: TimelineLine[] = [];
	const torn: TornLine[] = [];
	for (const [index, part] of text.split('\n').entries()) {
		if (part.trim() === '') {
			continue;
		}

		const line = parseLine(part);
		if (line === undefined) {
			torn.push({source, lineNumber: index + 1});
		} else {
			lines.push(line);
		}
	}

	return {lines, torn};
}

function parseLine(text: string): TimelineLine | undefined {
	try {
		return lineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
