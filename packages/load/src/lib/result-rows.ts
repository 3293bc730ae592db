/**
 * The figures of a result as rows of text, for the terminal, the report page
 * and the comparison page.
 */
import {findPercentile} from './latency.js';
import type {AccountResult, RunResult} from './run-result.js';

/** One figure of a run: its value, and the value as text. */
export type ResultRow = {readonly name: string; readonly value: number; readonly text: string};

/** Formats a fraction as a percentage with both counts, or as "none" if `total` is 0. */
export function formatFraction(part: number, total: number): string {
	return total === 0 ? 'none' : `${(part / total * 100).toFixed(2)}% (${part} of ${total})`;
}

/** Formats a duration given in milliseconds. */
export function formatMs(value: number): string {
	return `${value.toFixed(value < 10 ? 2 : 1)} ms`;
}

/** Finds the account with the smallest fraction of whole answers to its requests within the limit; `undefined` if there are no such requests. */
export function findWorstServedAccount(accounts: readonly AccountResult[]): AccountResult | undefined {
	const computeFraction = ({insideWhole, inside}: AccountResult) => insideWhole / inside;
	return accounts
		.filter(({inside}) => inside > 0)
		.sort((a, b) => computeFraction(a) - computeFraction(b))[0];
}

/** Computes the ratio of the largest answer count of a model target to the mean over the model targets that answered; 0 if there are no answers. */
export function computeLoadSkew({targets}: RunResult): number {
	const answerCounts = targets.map(target => target.answers).filter(count => count > 0);
	const mean = answerCounts.reduce((sum, count) => sum + count, 0) / Math.max(1, answerCounts.length);
	return answerCounts.length === 0 ? 0 : Math.max(...answerCounts) / mean;
}

/** Lists the figures of a run, most important first. */
export function listResultRows(result: RunResult): ResultRow[] {
	const {counts, reuse, accounts, targets} = result;
	const sentCount = Object.values(counts).reduce((sum, count) => sum + count, 0) - counts.unsent;
	const worstServed = findWorstServedAccount(accounts);
	const totalOverrunCount = targets.reduce((sum, {overrunCount}) => sum + overrunCount, 0);
	const createCountRow = (name: string, value: number): ResultRow => ({name, value, text: String(value)});
	const createLatencyRow = (name: string, value: number): ResultRow => ({name, value, text: formatMs(value)});
	return [
		createCountRow('requests sent', sentCount),
		{name: 'whole answers', value: counts.whole / Math.max(1, sentCount), text: formatFraction(counts.whole, sentCount)},
		createCountRow('refused, with type and outcome', counts.refused),
		createCountRow('lost with their router', counts.lost),
		createCountRow('wrong answers', counts.wrong),
		createCountRow('unanswered', counts.unanswered),
		createCountRow('not sent: too many open, or no router', counts.unsent),
		{name: 'refused although inside the rate', value: result.wrongful / Math.max(1, result.inside), text: formatFraction(result.wrongful, result.inside)},
		createCountRow('ran although refused as "not run"', result.falseNotRun),
		createCountRow('ran twice although not repeatable', result.doubledRuns),
		createCountRow('keys seen by targets', result.keySightings),
		createCountRow('requests above the limit of a target', totalOverrunCount),
		{name: 'cache reuse by returning chats', value: reuse.hits / Math.max(1, reuse.returning), text: formatFraction(reuse.hits, reuse.returning)},
		{
			name: 'worst-served client account',
			value: worstServed === undefined ? 0 : worstServed.insideWhole / worstServed.inside,
			text: worstServed === undefined ? 'none' : `${worstServed.name}: ${formatFraction(worstServed.insideWhole, worstServed.inside)} of its requests inside the rate`,
		},
		{name: 'busiest model target over the mean', value: computeLoadSkew(result), text: computeLoadSkew(result).toFixed(2)},
		createLatencyRow('first token, median', findPercentile(result.firstToken, 50)),
		createLatencyRow('first token, 95 in 100', findPercentile(result.firstToken, 95)),
		createLatencyRow('first token, 99 in 100', findPercentile(result.firstToken, 99)),
		createLatencyRow('plain answer, 95 in 100', findPercentile(result.plain, 95)),
	];
}
