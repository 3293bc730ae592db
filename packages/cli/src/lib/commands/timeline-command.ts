/**
 * Merges the timelines of several processes, filters and draws them.
 */
import {readFile, writeFile} from 'node:fs/promises';
import {
	defineInteger, defineText, describeError, isSelected, makeOptional, type SettingsOf, type TimelineFilter,
} from '@sequoiatally/runtime';
import {callAll} from '../admin-client.js';
import {defineAddresses, defineToken} from '../admin-settings.js';
import {exitCode} from '../exit-code.js';
import {OperatorCommand, type CommandInput, type CommandReport} from '../operator-command.js';
import {drawTimeline} from '../timeline/draw-timeline.js';
import {mergeTimeline, type MergedTimeline} from '../timeline/merge-timeline.js';
import {parseLines, type ParsedLines} from '../timeline/parse-lines.js';
import type {TimedLine} from '../timeline/timed-line.js';

/** Latest time that a `Date` can represent. */
const maxWallMs = 8_640_000_000_000_000;

const defineFilter = (flag: string, description: string) => makeOptional(defineText({flag, description}));
const defineTime = (flag: string, description: string) => makeOptional(defineInteger(0, maxWallMs, {flag, description}));

const schema = {
	request: defineFilter('request', 'Only entries of this request; --html shows it first'),
	chat: defineFilter('chat', 'Only entries of this chat'),
	account: defineFilter('account', 'Only entries of this client account'),
	target: defineFilter('target', 'Only entries that name this target'),
	instance: defineFilter('instance', 'Only entries that this instance or target wrote'),
	kind: defineFilter('kind', 'Only entries of this kind'),
	sinceMs: defineTime('since-ms', 'Only entries from this time on, in milliseconds since 1970'),
	untilMs: defineTime('until-ms', 'Only entries up to this time, in milliseconds since 1970'),
	wholeRequests: makeOptional(defineText({
		flag: 'whole-requests', description: 'With "yes", each matching entry selects all entries of its request', pattern: /^(yes|no)$/, allowed: 'yes or no',
	})),
	html: makeOptional(defineText({flag: 'html', description: 'File to which the drawing is written as an HTML page'})),
	addresses: makeOptional(defineAddresses()),
	token: makeOptional(defineToken()),
};
type TimelineSettings = SettingsOf<typeof schema>;

/** A file that could not be read or written, or an instance that gave no usable answer. */
type SourceFault = {readonly source: string; readonly message: string};
type SourceLines = ParsedLines & {readonly faults: readonly SourceFault[]};

export class TimelineCommand extends OperatorCommand<typeof schema> {
	override readonly name = 'timeline';
	override readonly description = 'Merges timeline files and the recent entries of instances (--addresses), filters them, and draws them (--html).';
	override readonly schema = schema;
	override readonly operands = {name: '<files...>', minCount: 0};

	override async run({settings, operands}: CommandInput<typeof schema>): Promise<CommandReport> {
		const sources = [await readFiles(operands), await readInstances(settings)];
		const malformed = sources.flatMap(source => source.malformed);
		const faults = sources.flatMap(source => source.faults);
		const merged = mergeTimeline(sources.flatMap(source => source.lines));
		const selected = {...merged, lines: selectLines(merged.lines, settings)};
		if (settings.html !== undefined) {
			faults.push(...await writePage(settings.html, selected, settings.request));
		}

		return {
			exitCode: faults.length > 0 ? exitCode.unreachable : (selected.lines.length === 0 ? exitCode.bad : exitCode.ok),
			json: {
				lines: selected.lines, torn: malformed, faults, offsets: Object.fromEntries(merged.offsets),
			},
			lines: [
				...settings.html === undefined ? selected.lines.map(line => formatLine(line)) : [],
				`${selected.lines.length} of ${merged.lines.length} entries${settings.html === undefined ? '' : ` drawn in ${settings.html}`}; ${malformed.length} malformed lines skipped.`,
				...[...merged.offsets].map(([key, offset]) => `The clock of ${key.split(' ', 2).join(' ')} was corrected by ${Math.round(-offset)} ms.`),
				...faults.map(({source, message}) => `${source}: ${message}`),
			],
		};
	}
}

async function readFiles(paths: readonly string[]): Promise<SourceLines> {
	const sources: SourceLines[] = await Promise.all(paths.map(async path => {
		try {
			return {...parseLines(path, await readFile(path, 'utf8')), faults: []};
		} catch (error) {
			return {lines: [], malformed: [], faults: [{source: path, message: describeError(error)}]};
		}
	}));
	return {
		lines: sources.flatMap(({lines}) => lines), malformed: sources.flatMap(({malformed}) => malformed), faults: sources.flatMap(({faults}) => faults),
	};
}

async function readInstances({addresses = [], token = ''}: TimelineSettings): Promise<SourceLines> {
	const answers = await callAll({addresses, token}, async client => client.call('timeline', {query: {limit: '5000'}}));
	return {
		lines: answers.flatMap(({result}) => result.isOk() ? result.value.lines : []),
		malformed: [],
		faults: answers.flatMap(({address, result}) => result.isErr() ? [{source: address, message: result.error.message}] : []),
	};
}

/** Selects the lines that match the filter and, with `wholeRequests`, all lines of their requests. */
function selectLines(lines: readonly TimedLine[], settings: TimelineSettings): readonly TimedLine[] {
	const filter: TimelineFilter = settings;
	const matchingLines = lines.filter(line => isSelected(line, filter));
	if (settings.wholeRequests !== 'yes') {
		return matchingLines;
	}

	const requestIds = new Set(matchingLines.map(({requestId}) => requestId).filter(id => typeof id === 'string'));
	const selected = new Set(matchingLines);
	return lines.filter(line => selected.has(line) || requestIds.has(line.requestId as string));
}

async function writePage(path: string, timeline: MergedTimeline, requestId: string | undefined): Promise<SourceFault[]> {
	try {
		await writeFile(path, drawTimeline(timeline, requestId));
		return [];
	} catch (error) {
		return [{source: path, message: describeError(error)}];
	}
}

function formatLine(line: TimedLine): string {
	const fields = ['account', 'targetId', 'peerId', 'detail'].map(field => line[field]).filter(value => typeof value === 'string');
	return [new Date(line.atMs).toISOString(), line.instanceId.padEnd(12), line.kind.padEnd(22), line.cause, ...fields].join('  ');
}
