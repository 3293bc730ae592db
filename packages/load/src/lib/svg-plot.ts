/**
 * Renders line plots, bars and heat maps as inline SVG, without a library. Fonts
 * and the colors of texts, grids and marks come from the style sheet of the page.
 */

export type PlotSeries = {readonly name: string; readonly color: string; readonly points: ReadonlyArray<readonly [x: number, y: number]>};

/** A labeled position on the x axis, or a range if it has `endX`. */
export type PlotMark = {readonly x: number; readonly endX?: number; readonly label: string};

export type LinePlot = {
	readonly title: string;
	readonly xLabel: string;
	readonly yLabel: string;
	readonly series: readonly PlotSeries[];
	readonly marks?: readonly PlotMark[];
	/** Labels at positions of the x axis; `undefined` for round numbers. */
	readonly xTicks?: ReadonlyArray<readonly [x: number, text: string]>;
	readonly hasLogarithmicY?: boolean;
};

export type Bar = {readonly name: string; readonly value: number; readonly text: string; readonly color: string};

const width = 900;
const height = 300;
const margin = {
	top: 34, right: 30, bottom: 44, left: 58,
};
const barHeight = 20;
const barLabelWidth = 170;
const barTextWidth = 290;
const heatRowHeight = 14;
const markRowHeight = 11;
const maxTickCount = 8;

/** Colors of series for which no particular color is defined. */
export const seriesColors = ['#2563eb', '#16a34a', '#d97706', '#dc2626', '#7c3aed', '#0891b2', '#be185d', '#4d7c0f', '#9333ea', '#0f766e', '#b45309', '#475569', '#e11d48', '#65a30d', '#1d4ed8', '#a16207'] as const;

/** Escapes text for HTML and SVG. */
export function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}

/** Renders lines over a common axis with a legend above them; marks appear as labeled vertical lines. */
export function renderLinePlot(plot: LinePlot): string {
	const points = plot.series.flatMap(({points: seriesPoints}) => seriesPoints);
	const minX = Math.min(...points.map(([x]) => x), 0);
	const maxX = Math.max(...points.map(([x]) => x), minX + 1);
	const ys = points.map(([, y]) => y);
	const scale = plot.hasLogarithmicY ? createLogarithmicScale(ys) : createLinearScale(ys);
	const markRows = Math.min(plot.marks?.length ?? 0, 12);
	const top = margin.top + (markRows * markRowHeight);
	const totalHeight = height + (markRows * markRowHeight);
	const plotWidth = width - margin.left - margin.right;
	const plotHeight = height - margin.top - margin.bottom;
	const toX = (x: number) => margin.left + ((x - minX) / (maxX - minX) * plotWidth);
	const toY = (y: number) => top + ((1 - scale.toFraction(y)) * plotHeight);
	const xTicks = plot.xTicks ?? listTicks(minX, maxX).map(x => [x, formatNumber(x)] as const);
	const bottom = top + plotHeight;
	return [
		`<svg viewBox="0 0 ${width} ${totalHeight}" role="img" aria-label="${escapeHtml(plot.title)}">`,
		...scale.ticks.map(y => `<line class="grid" x1="${margin.left}" x2="${width - margin.right}" y1="${roundToTenths(toY(y))}" y2="${roundToTenths(toY(y))}"/><text x="${margin.left - 6}" y="${roundToTenths(toY(y) + 4)}" text-anchor="end">${formatNumber(y)}</text>`),
		...xTicks.map(([x, text]) => `<text x="${roundToTenths(toX(x))}" y="${bottom + 18}" text-anchor="middle">${escapeHtml(text)}</text>`),
		`<text x="${margin.left + (plotWidth / 2)}" y="${bottom + 36}" text-anchor="middle">${escapeHtml(plot.xLabel)}</text>`,
		`<text x="14" y="${top + (plotHeight / 2)}" text-anchor="middle" transform="rotate(-90 14 ${top + (plotHeight / 2)})">${escapeHtml(plot.yLabel)}</text>`,
		...(plot.marks ?? []).flatMap((mark, index) => renderMark(mark, margin.top + (((index % 12) + 1) * markRowHeight) - 4, bottom, toX)),
		...plot.series.map(({color, points: seriesPoints}) => `<polyline fill="none" stroke="${color}" stroke-width="1.8" points="${seriesPoints.map(([x, y]) => `${roundToTenths(toX(x))},${roundToTenths(toY(y))}`).join(' ')}"/>`),
		...renderLegend(plot.series),
		'</svg>',
	].join('\n');
}

/** Renders horizontal bars, each followed by its text. */
export function renderBars(title: string, bars: readonly Bar[]): string {
	const maxValue = Math.max(...bars.map(({value}) => value), Number.MIN_VALUE);
	const plotWidth = width - barLabelWidth - barTextWidth;
	const rows = bars.flatMap(({name, value, text, color}, index) => {
		const y = index * barHeight;
		const length = roundToTenths(value / maxValue * plotWidth);
		return [
			`<text x="${barLabelWidth - 8}" y="${y + 14}" text-anchor="end">${escapeHtml(name)}</text>`,
			`<rect x="${barLabelWidth}" y="${y + 3}" width="${length}" height="${barHeight - 6}" fill="${color}"/>`,
			`<text x="${barLabelWidth + length + 6}" y="${y + 14}">${escapeHtml(text)}</text>`,
		];
	});
	return [`<svg viewBox="0 0 ${width} ${(bars.length * barHeight) + 4}" role="img" aria-label="${escapeHtml(title)}">`, ...rows, '</svg>'].join('\n');
}

/** One row of a heat map, with one value for each time step. */
export type HeatRow = {readonly name: string; readonly values: readonly number[]};

/** Renders one row per name and one column per time step; darker cells have higher values. */
export function renderHeatMap(title: string, rows: readonly HeatRow[], stepSeconds: number, marks: readonly PlotMark[]): string {
	const columnCount = Math.max(1, ...rows.map(({values}) => values.length));
	const maxValue = Math.max(1, ...rows.flatMap(({values}) => values));
	const left = 110;
	const cellWidth = (width - left - margin.right) / columnCount;
	const toX = (seconds: number) => left + (seconds / stepSeconds * cellWidth);
	const top = (marks.length * markRowHeight) + 6;
	const bottom = top + (rows.length * heatRowHeight);
	const cells = rows.flatMap(({name, values}, row) => {
		const y = top + (row * heatRowHeight);
		return [
			`<text x="${left - 6}" y="${y + 11}" text-anchor="end">${escapeHtml(name)}</text>`,
			...values.flatMap((value, column) => value === 0
				? []
				: [`<rect class="heat" x="${roundToTenths(left + (column * cellWidth))}" y="${y + 1}" width="${roundToTenths(cellWidth + 0.2)}" height="${heatRowHeight - 2}" opacity="${roundToHundredths(value / maxValue)}"/>`]),
		];
	});
	const seconds = listTicks(0, columnCount * stepSeconds);
	return [
		`<svg viewBox="0 0 ${width} ${bottom + 40}" role="img" aria-label="${escapeHtml(title)}">`,
		...cells,
		...marks.flatMap((mark, index) => renderMark(mark, ((index + 1) * markRowHeight) - 2, bottom, toX)),
		...seconds.map(second => `<text x="${roundToTenths(toX(second))}" y="${bottom + 16}" text-anchor="middle">${formatNumber(second)}</text>`),
		`<text x="${left + ((width - left) / 2)}" y="${bottom + 34}" text-anchor="middle">seconds since the start of the traffic; darkest cell: ${formatNumber(maxValue)}</text>`,
		'</svg>',
	].join('\n');
}

type Scale = {readonly ticks: readonly number[]; readonly toFraction: (y: number) => number};

function createLinearScale(values: readonly number[]): Scale {
	const maxValue = Math.max(...values, 1);
	const ticks = listTicks(0, maxValue);
	const end = Math.max(ticks.at(-1) ?? 1, maxValue);
	return {ticks, toFraction: y => y / end};
}

function createLogarithmicScale(values: readonly number[]): Scale {
	const positive = values.filter(value => value > 0);
	const firstExponent = Math.floor(Math.log10(Math.min(...positive, 1000)));
	const lastExponent = Math.max(firstExponent + 1, Math.ceil(Math.log10(Math.max(...positive, 1))));
	const ticks = Array.from({length: lastExponent - firstExponent + 1}, (_, index) => 10 ** (firstExponent + index));
	return {ticks, toFraction: y => (Math.log10(Math.max(y, 10 ** firstExponent)) - firstExponent) / (lastExponent - firstExponent)};
}

/** Lists the multiples of a round step between `low` and `high`, at most `maxTickCount + 1`. */
function listTicks(low: number, high: number): number[] {
	const minimumStep = (high - low) / maxTickCount;
	const magnitude = 10 ** Math.floor(Math.log10(minimumStep));
	const step = [1, 2, 5, 10].map(factor => factor * magnitude).find(candidate => candidate >= minimumStep) ?? minimumStep;
	const ticks: number[] = [];
	for (let tick = Math.ceil(low / step) * step; tick <= high + (step / 1000); tick += step) {
		ticks.push(tick);
	}

	return ticks;
}

function renderMark({x, endX, label}: PlotMark, labelY: number, bottom: number, toX: (x: number) => number): string[] {
	const markX = roundToTenths(toX(x));
	const isNearRightEdge = markX > width * 0.7;
	const band = endX === undefined ? [] : [`<rect class="band" x="${markX}" y="${labelY + 3}" width="${roundToTenths(Math.max(1, toX(endX) - markX))}" height="${roundToTenths(bottom - labelY - 3)}"/>`];
	return [
		...band,
		`<line class="mark" x1="${markX}" x2="${markX}" y1="${labelY + 3}" y2="${bottom}"/>`,
		`<text class="small" x="${isNearRightEdge ? markX - 3 : markX + 3}" y="${labelY + 3}" text-anchor="${isNearRightEdge ? 'end' : 'start'}">${escapeHtml(label)}</text>`,
	];
}

function renderLegend(series: readonly PlotSeries[]): string[] {
	let x = margin.left;
	return series.flatMap(({name, color}) => {
		const start = x;
		x += 26 + (name.length * 6.6);
		return [
			`<rect x="${roundToTenths(start)}" y="6" width="12" height="12" fill="${color}"/>`,
			`<text x="${roundToTenths(start + 16)}" y="16">${escapeHtml(name)}</text>`,
		];
	});
}

function formatNumber(value: number): string {
	return String(Math.round(value * 1000) / 1000);
}

function roundToTenths(value: number): number {
	return Math.round(value * 10) / 10;
}

function roundToHundredths(value: number): number {
	return Math.round(value * 100) / 100;
}
