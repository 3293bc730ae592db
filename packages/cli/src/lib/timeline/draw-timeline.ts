/**
 * Draws a timeline as a self-contained HTML page without scripts: an overview
 * with a lane for each process, and details of single requests with their path
 * through callers, routers and targets. A click on an entry shows its request.
 */
import {timelineKind} from '@sequoiatally/core';
import {
	computeX, createLayout, drawLanes, escapeHtml, findStyleClass, type LaneLayout,
} from './lane-layout.js';
import type {MergedTimeline} from './merge-timeline.js';
import {pageStyle} from './page-style.js';
import type {TimedLine} from './timed-line.js';

/** Largest number of entries in the overview. */
const maxOverviewLines = 20_000;
/** Largest number of requests drawn in detail, separately for answered and refused requests. */
const maxDetailedRequests = 150;
const overviewLaneHeightPx = 20;
const detailLaneHeightPx = 46;
const markerRadiusPx = 8;

const legend = [
	['step', 'sent'], ['good', 'answered'], ['refused', 'refused'], ['bad', 'failed'], ['alarm', 'alarm or operator action'], ['plain', 'other'],
] as const;

/** Draws the page. `selectedRequestId` is the request that is shown first. */
export function drawTimeline({lines, offsets}: MergedTimeline, selectedRequestId?: string): string {
	const requests = chooseRequests(lines, selectedRequestId);
	const firstRequestId = requests[0]?.[0];
	const sections = requests.map(([id, requestLines]) => drawRequest(id, requestLines, id === firstRequestId));
	// The section that is shown first is placed last: the style sheet can hide it only if the chosen section precedes it.
	const ordered = [...sections.slice(1), ...sections.slice(0, 1)];
	return [
		'<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Timeline</title>',
		`<style>${pageStyle}</style></head><body>`,
		'<h1>Timeline</h1>',
		`<p>${describeContent(lines, requests.length)}</p>`,
		...offsets.size === 0 ? [] : [`<p>${escapeHtml(describeOffsets(offsets))}</p>`],
		`<p class="legend">${legend.map(([name, text]) => `<span><svg viewBox="0 0 10 10"><circle class="${name}" cx="5" cy="5" r="4"/></svg> ${text}</span>`).join('')}</p>`,
		drawOverview(lines.slice(0, maxOverviewLines), new Set(requests.map(([id]) => id))),
		...ordered,
		'</body></html>\n',
	].join('\n');
}

function describeContent(lines: readonly TimedLine[], requestCount: number): string {
	const totalRequestCount = new Set(lines.flatMap(({requestId}) => typeof requestId === 'string' ? [requestId] : [])).size;
	const start = lines[0] === undefined ? '' : ` from ${new Date(lines[0].atMs).toISOString()}`;
	const truncationNote = lines.length > maxOverviewLines ? ` The overview shows the first ${maxOverviewLines}.` : '';
	const selectionNote = requestCount < totalRequestCount ? ` ${requestCount} of ${totalRequestCount} requests are shown in detail: the answered and the refused requests with the most entries. Filter the timeline to see others.` : '';
	return `${lines.length} entries${start}.${truncationNote}${selectionNote} Click an entry to see its request.`;
}

function describeOffsets(offsets: MergedTimeline['offsets']): string {
	const parts = [...offsets].map(([key, offset]) => `${key.split(' ', 2).join(' ')} by ${Math.round(-offset)} ms`);
	return `Clocks were corrected so that no answer precedes its request: ${parts.join(', ')}.`;
}

/** Chooses the requests that are drawn in detail; the first of them is the one shown first. */
function chooseRequests(lines: readonly TimedLine[], selectedRequestId: string | undefined): Array<[string, TimedLine[]]> {
	const groups = new Map<string, TimedLine[]>();
	for (const line of lines) {
		if (typeof line.requestId === 'string') {
			const group = groups.get(line.requestId) ?? [];
			group.push(line);
			groups.set(line.requestId, group);
		}
	}

	const byLength = [...groups].sort(([, a], [, b]) => b.length - a.length);
	const selected = byLength.filter(([id]) => id === selectedRequestId);
	const others = byLength.filter(([id]) => id !== selectedRequestId);
	const refused = others.filter(([, group]) => isRefused(group));
	const answered = others.filter(([, group]) => !isRefused(group));
	const chosen = moveWidestToFront([...answered.slice(0, maxDetailedRequests), ...refused.slice(0, maxDetailedRequests)]);
	return [...selected, ...chosen];
}

function isRefused(lines: readonly TimedLine[]): boolean {
	return lines.some(({kind}) => kind === timelineKind.requestRefused);
}

/** Moves the request that passed through the most processes to the front. */
function moveWidestToFront(requests: ReadonlyArray<[string, TimedLine[]]>): Array<[string, TimedLine[]]> {
	const countProcesses = ([, lines]: [string, TimedLine[]]) => new Set(lines.map(({processKey}) => processKey)).size;
	const maxProcessCount = Math.max(...requests.map(request => countProcesses(request)));
	const widest = requests.find(request => countProcesses(request) === maxProcessCount);
	return widest === undefined ? [] : [widest, ...requests.filter(request => request !== widest)];
}

function drawOverview(lines: readonly TimedLine[], linkedRequestIds: ReadonlySet<string>): string {
	const layout = createLayout(lines, overviewLaneHeightPx);
	const paths = new Map<string, string[]>();
	const dots: string[] = [];
	for (const line of lines) {
		const x = computeX(layout, line.atMs).toFixed(1);
		const {y} = layout.lanes.get(line.processKey)!;
		const id = typeof line.requestId === 'string' ? line.requestId : undefined;
		if (id !== undefined) {
			const path = paths.get(id) ?? [];
			path.push(`${x},${y}`);
			paths.set(id, path);
		}

		const dot = `<circle class="${findStyleClass(line)}" cx="${x}" cy="${y}" r="3"><title>${escapeHtml(describeLine(line))}</title></circle>`;
		dots.push(id !== undefined && linkedRequestIds.has(id) ? `<a href="#${createAnchor(id)}">${dot}</a>` : dot);
	}

	const drawnPaths = [...paths.values()].map(points => `<polyline class="path" points="${points.join(' ')}"/>`);
	return drawFrame(layout, [...drawnPaths, ...dots]);
}

function drawRequest(id: string, lines: readonly TimedLine[], isFirst: boolean): string {
	const layout = createLayout(lines, detailLaneHeightPx);
	const positions = placeMarkers(layout, lines);
	const points = positions.map(({x, y}) => `${x.toFixed(1)},${y.toFixed(1)}`).join(' ');
	const dots = lines.map((line, index) => {
		const {x, y} = positions[index]!;
		const circle = `<circle class="${findStyleClass(line)}" cx="${x.toFixed(1)}" cy="${y.toFixed(1)}" r="${markerRadiusPx}"/>`;
		return `<g>${circle}<text class="number" x="${x.toFixed(1)}" y="${(y + 3.5).toFixed(1)}">${index + 1}</text><title>${escapeHtml(describeLine(line))}</title></g>`;
	});
	return [
		`<section id="${createAnchor(id)}"${isFirst ? ' class="first"' : ''}>`,
		`<h2>Request ${escapeHtml(id)}</h2>`,
		`<p>${escapeHtml(describeRequest(lines))}</p>`,
		drawFrame(layout, [`<polyline class="followed" points="${points}"/>`, ...dots]),
		drawTable(layout, lines),
		'</section>',
	].join('\n');
}

type Position = {readonly x: number; readonly y: number};

/** Places the numbered markers: side by side where entries of a lane are close in time, and never to the left of the previous entry. */
function placeMarkers(layout: LaneLayout, lines: readonly TimedLine[]): Position[] {
	const lastX = new Map<string, number>();
	let previousX = 0;
	return lines.map(({processKey, atMs}) => {
		const minX = (lastX.get(processKey) ?? Number.NEGATIVE_INFINITY) + (markerRadiusPx * 2) + 1;
		previousX = Math.max(computeX(layout, atMs), minX, previousX);
		lastX.set(processKey, previousX);
		return {x: Math.min(previousX, layout.width - markerRadiusPx), y: layout.lanes.get(processKey)!.y};
	});
}

function drawTable(layout: LaneLayout, lines: readonly TimedLine[]): string {
	const rows = lines.map((line, index) => {
		const {name} = (layout.lanes.get(line.processKey)!);
		const cells = [name, line.kind, describeDetail(line)].map(text => `<td>${escapeHtml(text)}</td>`);
		return `<tr><td class="right">${index + 1}</td><td class="right">${(line.atMs - layout.fromMs).toFixed(1)} ms</td>${cells.join('')}</tr>`;
	});
	return `<table><tr><th class="right"></th><th class="right">after</th><th>process</th><th>entry</th><th>detail</th></tr>${rows.join('')}</table>`;
}

function drawFrame({width, height, ...rest}: LaneLayout, parts: readonly string[]): string {
	return `<svg viewBox="0 0 ${width} ${height}" role="img">${drawLanes({width, height, ...rest})}${parts.join('')}</svg>`;
}

function describeRequest(lines: readonly TimedLine[]): string {
	const findText = (field: string) => lines.map(line => line[field]).find(value => typeof value === 'string') ?? 'unknown';
	return `Route ${findText('route')}, client account ${findText('account')}, chat ${findText('chatKey')}.`;
}

function describeDetail(line: TimedLine): string {
	const target = line.kind === timelineKind.requestDispatched && typeof line.targetId === 'string' ? `to ${line.targetId}` : '';
	const detail = typeof line.detail === 'string' ? line.detail : '';
	return [target, detail].filter(part => part !== '').join('; ');
}

function describeLine(line: TimedLine): string {
	return `${line.instanceId}: ${line.kind} ${describeDetail(line)}`.trim();
}

function createAnchor(id: string): string {
	return `request-${encodeURIComponent(id).replaceAll('%', '_').replaceAll('\'', '_')}`;
}
