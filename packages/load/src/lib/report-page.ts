/**
 * Renders the result of one run, or of two runs side by side, as a
 * self-contained HTML page.
 */
import {recordOutcome, type RecordOutcome} from './answer-record.js';
import {reportedPercentiles, type LatencySummary} from './latency.js';
import {
	computeLoadSkew, formatFraction, formatMs, listResultRows,
} from './result-rows.js';
import type {FaultResult, RunResult} from './run-result.js';
import {
	escapeHtml, renderBars, renderHeatMap, renderLinePlot, seriesColors, type PlotMark, type PlotSeries,
} from './svg-plot.js';

const outcomeColors: Readonly<Record<RecordOutcome, string>> = {
	[recordOutcome.whole]: '#16a34a',
	[recordOutcome.refused]: '#d97706',
	[recordOutcome.lost]: '#7c3aed',
	[recordOutcome.wrong]: '#dc2626',
	[recordOutcome.unanswered]: '#111827',
	[recordOutcome.unsent]: '#9ca3af',
};

const style = `
:root { color-scheme: light; }
body { font: 15px/1.45 system-ui, sans-serif; color: #1f2937; background: #fff; margin: 24px auto; max-width: 960px; padding: 0 16px; }
body.wide { max-width: 1880px; }
h1 { font-size: 22px; margin: 0 0 4px; } h2 { font-size: 17px; margin: 28px 0 6px; } p { margin: 4px 0 10px; color: #4b5563; }
table { border-collapse: collapse; width: 100%; font-size: 14px; } th, td { text-align: left; padding: 4px 10px 4px 0; border-bottom: 1px solid #e5e7eb; vertical-align: top; }
th { font-weight: 600; color: #374151; } td.number, th.number { text-align: right; font-variant-numeric: tabular-nums; }
svg { width: 100%; max-width: 960px; height: auto; font: 11px system-ui, sans-serif; } svg text { fill: #374151; } svg text.small { font-size: 10px; fill: #6b7280; }
svg .grid { stroke: #e5e7eb; } svg .mark { stroke: #9ca3af; stroke-dasharray: 3 3; } svg .heat { fill: #1d4ed8; } svg .band { fill: #9ca3af; opacity: 0.12; }
.sides { display: grid; grid-template-columns: 1fr 1fr; gap: 32px; } .bad { color: #b91c1c; font-weight: 600; } .good { color: #15803d; font-weight: 600; }
pre { font-size: 12px; white-space: pre-wrap; }
`;

/** Rows that count violations of guarantees; their value must be 0 in every run. */
const violationRows = new Set(['wrong answers', 'unanswered', 'ran although refused as "not run"', 'ran twice although not repeatable', 'keys seen by targets']);

/** Renders the report page of one run. */
export function renderReportPage(result: RunResult): string {
	return renderPage(`Run ${result.name}`, '', [
		renderHeader(result),
		'<h2>Figures</h2>',
		renderTable(['figure', 'value'], listResultRows(result).map(({name, value, text}) => [name, renderValue(name, value, text)])),
		...renderSections(result),
	]);
}

/** Renders two runs side by side with the change of each figure. */
export function renderComparisonPage(first: RunResult, second: RunResult): string {
	const secondRows = listResultRows(second);
	const rows = listResultRows(first).map(({name, value, text}, index) => {
		const secondRow = secondRows[index]!;
		return [name, renderValue(name, value, text), renderValue(name, secondRow.value, secondRow.text), describeChange(value, secondRow.value)];
	});
	return renderPage(`${first.name} and ${second.name}`, 'wide', [
		'<h1>Two runs compared</h1>',
		'<h2>Figures</h2>',
		renderTable(['figure', escapeHtml(first.name), escapeHtml(second.name), 'change'], rows),
		'<h2>Latency of the first token</h2>',
		renderPercentiles([
			{name: first.name, color: seriesColors[0], summary: first.firstToken},
			{name: second.name, color: seriesColors[3], summary: second.firstToken},
		]),
		'<div class="sides">',
		...[first, second].flatMap(result => ['<div>', renderHeader(result), ...renderSections(result), '</div>']),
		'</div>',
	]);
}

/** Describes the change from one value to another as a percentage. */
export function describeChange(before: number, after: number): string {
	if (before === after) {
		return 'same';
	}

	return before === 0 ? 'from 0' : `${after > before ? '+' : ''}${((after - before) / before * 100).toFixed(1)}%`;
}

function renderPage(title: string, className: string, parts: readonly string[]): string {
	return [
		'<!doctype html>',
		`<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title><style>${style}</style></head>`,
		`<body class="${className}">`,
		...parts,
		'</body></html>',
		'',
	].join('\n');
}

function renderHeader({name, seed, durationMs, routerCount, targetCount, omittedCount}: RunResult): string {
	const omitted = omittedCount > 0 ? ` ${omittedCount} requests were omitted because of the plan's request limit.` : '';
	return `<h1>${escapeHtml(name)}</h1><p>${routerCount} routers, ${targetCount} targets, ${durationMs / 1000} s of traffic, seed ${seed}. Latencies are measured from the intended send time. All processes ran on loopback, so the figures do not include network latency between availability zones.${omitted}</p>`;
}

function renderSections(result: RunResult): string[] {
	return [
		'<h2>Answers over time</h2>',
		renderAnswersOverTime(result),
		'<h2>Latency percentiles</h2>',
		renderPercentiles([
			{name: 'first token', color: seriesColors[0], summary: result.firstToken},
			{name: 'whole chat answer', color: seriesColors[1], summary: result.chat},
			{name: 'plain answer', color: seriesColors[2], summary: result.plain},
		]),
		'<h2>Client accounts</h2>',
		renderBars('Requests inside the rate that were answered whole', result.accounts.map(({name, inside, insideWhole}) => ({
			name, value: insideWhole / Math.max(1, inside), text: formatFraction(insideWhole, inside), color: seriesColors[1],
		}))),
		renderAccountTable(result),
		'<h2>Load per target</h2>',
		renderTargetLoad(result),
		...renderFaults(result.faults),
		...renderRefusals(result),
	];
}

function renderAnswersOverTime({answersOverTime: {stepMs, counts}, faults}: RunResult): string {
	const shownOutcomes = Object.values(recordOutcome).filter(outcome => counts[outcome].some(count => count > 0));
	return renderLinePlot({
		title: 'Answers over time',
		xLabel: 'seconds since the start of the traffic',
		yLabel: 'requests per second, by intended send time',
		marks: faults.map(fault => createMark(fault)),
		series: shownOutcomes.map(outcome => ({
			name: outcome,
			color: outcomeColors[outcome],
			points: counts[outcome].map((count, index) => [index * stepMs / 1000, count * 1000 / stepMs] as const),
		})),
	});
}

function createMark({atMs, endMs, label}: FaultResult): PlotMark {
	return {x: atMs / 1000, endX: endMs === undefined ? undefined : endMs / 1000, label};
}

function renderPercentiles(distributions: ReadonlyArray<{readonly name: string; readonly color: string; readonly summary: LatencySummary}>): string {
	const series: PlotSeries[] = distributions
		.filter(({summary}) => summary.count > 0)
		.map(({name, color, summary}) => ({name, color, points: summary.percentilesMs.map((value, index) => [index, value] as const)}));
	const table = renderTable(
		['milliseconds', 'count', 'mean', ...reportedPercentiles.map(percentile => percentile === 100 ? 'highest' : `${percentile} in 100`)],
		distributions.map(({name, summary: {count, meanMs, percentilesMs}}) =>
			[escapeHtml(name), String(count), ...[meanMs, ...percentilesMs].map(value => value.toFixed(1))]),
		true,
	);
	return table + renderLinePlot({
		title: 'Latency percentiles',
		xLabel: 'percentile',
		yLabel: 'milliseconds',
		hasLogarithmicY: true,
		series,
		xTicks: reportedPercentiles.map((percentile, index) => [index, percentile === 100 ? 'highest' : String(percentile)] as const),
	});
}

function renderAccountTable({accounts}: RunResult): string {
	return renderTable(
		['client account', 'rate per second', 'sent', 'inside the rate', 'of these, answered whole', 'of these, refused because of the rate', 'all answered whole', 'first token, 95 in 100'],
		accounts.map(({name, rate, sent, inside, insideWhole, wrongful, whole, firstTokenP95Ms}) =>
			[escapeHtml(name), String(rate), String(sent), String(inside), String(insideWhole), String(wrongful), String(whole), formatMs(firstTokenP95Ms)]),
		true,
	);
}

function renderTargetLoad(result: RunResult): string {
	const {targets, loadOverTime: {stepMs, loads}, faults} = result;
	const answered = targets.filter(({answers}) => answers > 0);
	const mean = answered.reduce((sum, {answers}) => sum + answers, 0) / Math.max(1, answered.length);
	const bars = renderBars('Answers per model target', answered.map(({id, answers, highestInFlight, overrunCount}) => ({
		name: id,
		value: answers,
		text: `${answers} (${(answers / mean).toFixed(2)} of the mean), at most ${highestInFlight} in flight${describeOverrun(overrunCount)}`,
		color: seriesColors[0],
	})));
	const heat = renderHeatMap(
		'Requests in flight per target',
		targets.map(({id}) => ({name: id, values: loads[id] ?? []})),
		stepMs / 1000,
		faults.map(fault => createMark(fault)),
	);
	return `<p>The busiest model target answered ${computeLoadSkew(result).toFixed(2)} times the mean.</p>${bars}<p>Requests in flight at each target over time:</p>${heat}`;
}

function describeOverrun(overrunCount: number): string {
	return overrunCount > 0 ? `, ${overrunCount} above its limit` : '';
}

function renderFaults(faults: readonly FaultResult[]): string[] {
	if (faults.length === 0) {
		return [];
	}

	const rows = faults.map(({label, atMs, endMs, counts, wrongful, inside, firstTokenP95Ms}) => [
		escapeHtml(label),
		(atMs / 1000).toFixed(1),
		endMs === undefined ? '' : (endMs / 1000).toFixed(1),
		String(counts.whole),
		String(counts.refused),
		String(counts.lost),
		String(counts.wrong + counts.unanswered),
		formatFraction(wrongful, inside),
		formatMs(firstTokenP95Ms),
	]);
	return [
		'<h2>Faults, and the 10 seconds after each</h2>',
		renderTable(['fault', 'at, s', 'until, s', 'whole', 'refused', 'lost', 'wrong', 'refused inside the rate', 'first token, 95 in 100'], rows, true),
	];
}

function renderRefusals({refusals, examples}: RunResult): string[] {
	const rows = Object.entries(refusals).sort(([, a], [, b]) => b - a).map(([name, count]) => [escapeHtml(name), String(count)]);
	return [
		'<h2>Refusals by type and outcome</h2>',
		rows.length === 0 ? '<p>None.</p>' : renderTable(['refusal', 'count'], rows, true),
		...(examples.length === 0 ? [] : ['<h2>Examples of lost and wrong answers</h2>', `<pre>${examples.map(example => escapeHtml(example)).join('\n')}</pre>`]),
	];
}

function renderTable(columns: readonly string[], rows: ReadonlyArray<readonly string[]>, hasNumbers = false): string {
	const describeClass = (index: number) => hasNumbers && index > 0 ? ' class="number"' : '';
	return [
		'<table><thead><tr>',
		...columns.map((column, index) => `<th${describeClass(index)}>${column}</th>`),
		'</tr></thead><tbody>',
		...rows.map(row => `<tr>${row.map((cell, index) => `<td${describeClass(index)}>${cell}</td>`).join('')}</tr>`),
		'</tbody></table>',
	].join('\n');
}

function renderValue(name: string, value: number, text: string): string {
	if (!violationRows.has(name)) {
		return escapeHtml(text);
	}

	return `<span class="${value === 0 ? 'good' : 'bad'}">${escapeHtml(text)}</span>`;
}
