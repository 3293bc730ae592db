/**
 * Layout of the drawing: a lane for each process, and time on the horizontal
 * axis.
 */
import {timelineKind} from '@sequoiatally/core';
import type {TimedLine} from './timed-line.js';

/** Width of the whole drawing, including the column with the names of the lanes. */
const drawingWidthPx = 1200;
const nameColumnWidthPx = 150;
const rightMarginPx = 60;
const axisHeightPx = 26;
/** Largest number of intervals between ticks on the axis. */
const maxTickIntervalCount = 10;

/** Order of lanes: along the path of a request, then all others. */
const processOrder = ['caller', 'router', 'engine', 'plain-service'];

/** Style sheet classes by kind of entry; all other kinds are `plain`. */
const styleClassByKind: Readonly<Record<string, string>> = {
	[timelineKind.callerSent]: 'step',
	[timelineKind.requestDispatched]: 'step',
	[timelineKind.requestCompleted]: 'good',
	[timelineKind.callerAnswered]: 'good',
	[timelineKind.targetAnswered]: 'good',
	[timelineKind.requestRefused]: 'refused',
	[timelineKind.callerLeft]: 'bad',
	[timelineKind.faultInjected]: 'bad',
	[timelineKind.configurationRejected]: 'bad',
	[timelineKind.alarmRaised]: 'alarm',
	[timelineKind.drainStarted]: 'alarm',
	[timelineKind.administratorActed]: 'alarm',
};

export type Lane = {readonly processKey: string; readonly name: string; readonly y: number};

export type LaneLayout = {
	readonly lanes: ReadonlyMap<string, Lane>;
	readonly laneHeight: number;
	readonly width: number;
	readonly height: number;
	readonly fromMs: number;
	readonly toMs: number;
};

/** Lays out the processes that wrote the given lines. */
export function createLayout(lines: readonly TimedLine[], laneHeight: number): LaneLayout {
	const byKey = new Map(lines.map(line => [line.processKey, line]));
	const sorted = [...byKey.values()].sort((a, b) => compareProcesses(a, b));
	const hasNamesake = (line: TimedLine) => sorted.some(other => other !== line && other.instanceId === line.instanceId && other.process === line.process);
	const lanes = new Map(sorted.map((line, index) => [line.processKey, {
		processKey: line.processKey,
		name: hasNamesake(line) ? `${line.instanceId} (${line.incarnation.slice(0, 4)})` : line.instanceId,
		y: axisHeightPx + ((index + 0.5) * laneHeight),
	}]));
	const fromMs = lines[0]?.atMs ?? 0;
	return {
		lanes,
		laneHeight,
		width: drawingWidthPx,
		height: axisHeightPx + (lanes.size * laneHeight) + 6,
		fromMs,
		toMs: Math.max(fromMs + 1, lines.at(-1)?.atMs ?? 0),
	};
}

function compareProcesses(a: TimedLine, b: TimedLine): number {
	const rank = ({process}: TimedLine) => {
		const index = processOrder.indexOf(process);
		return index === -1 ? processOrder.length : index;
	};

	return rank(a) - rank(b) || a.instanceId.localeCompare(b.instanceId, 'en', {numeric: true}) || a.atMs - b.atMs;
}

/** Computes the horizontal position of a time, in pixels. */
export function computeX({fromMs, toMs, width}: LaneLayout, atMs: number): number {
	return nameColumnWidthPx + ((atMs - fromMs) / (toMs - fromMs) * (width - nameColumnWidthPx - rightMarginPx));
}

/** Finds the style sheet class of an entry; failed attempts are `bad`, and answers that are refused or not whole are `refused`. */
export function findStyleClass({kind, detail}: TimedLine): string {
	if (kind === timelineKind.attemptEnded) {
		return detail === 'complete' ? 'good' : 'bad';
	}

	if (kind === timelineKind.callerAnswered || kind === timelineKind.targetAnswered) {
		return detail === undefined ? 'good' : 'refused';
	}

	return styleClassByKind[kind] ?? 'plain';
}

/** Draws the time axis, the lanes and their names as SVG. */
export function drawLanes(layout: LaneLayout): string {
	const {lanes, width, height} = layout;
	const parts: string[] = [];
	for (const {y, name} of lanes.values()) {
		parts.push(
			`<line class="grid" x1="${nameColumnWidthPx}" x2="${width}" y1="${y}" y2="${y}"/>`,
			`<text x="8" y="${y + 4}">${escapeHtml(shortenName(name))}</text>`,
		);
	}

	const durationMs = layout.toMs - layout.fromMs;
	const tickIntervalMs = chooseTickIntervalMs(durationMs);
	for (let atMs = 0; atMs <= durationMs; atMs += tickIntervalMs) {
		const x = computeX(layout, layout.fromMs + atMs).toFixed(1);
		parts.push(
			`<line class="grid" x1="${x}" x2="${x}" y1="${axisHeightPx}" y2="${height}"/>`,
			`<text class="axis" x="${x}" y="16" text-anchor="middle">${formatTick(atMs, tickIntervalMs)}</text>`,
		);
	}

	return parts.join('');
}

function shortenName(name: string): string {
	return name.length > 24 ? `${name.slice(0, 23)}…` : name;
}

/** Chooses the interval between ticks as 1, 2 or 5 times a power of ten. */
function chooseTickIntervalMs(durationMs: number): number {
	const minIntervalMs = durationMs / maxTickIntervalCount;
	const power = 10 ** Math.floor(Math.log10(minIntervalMs));
	return power * ([1, 2, 5].find(factor => factor * power >= minIntervalMs) ?? 10);
}

function formatTick(atMs: number, tickIntervalMs: number): string {
	return tickIntervalMs >= 100 ? `${Number((atMs / 1000).toFixed(1))} s` : `${Number(atMs.toFixed(2))} ms`;
}

/** Escapes text for HTML, also for attribute values in double quotes. */
export function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
