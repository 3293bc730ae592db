/**
 * The summary that the demonstration prints, for human readers.
 */
import {computeLoadSkew, findWorstServedAccount, formatFraction} from './result-rows.js';
import type {RunRecord} from './load-run.js';
import {hasGuaranteeViolation, type RunResult} from './run-result.js';

const labelWidth = 21;

/** Describes a run as lines of text. */
export function describeDemonstration({targets}: RunRecord, result: RunResult): string[] {
	const {counts, refusals, reuse, accounts} = result;
	const refusalCounts = Object.entries(refusals).map(([name, count]) => `${name}: ${count}`).join(', ');
	const targetCounts = result.targets.filter(({answers}) => answers > 0).map(({id, answers}) => `${id}: ${answers}`).join(', ');
	const worstServed = findWorstServedAccount(accounts);
	const runCount = targets.reduce((sum, {runs}) => sum + Object.keys(runs).length, 0);
	const rows: Array<[label: string, text: string]> = [
		['answers', `${counts.whole} whole, ${counts.refused} refused, ${counts.lost} lost, ${counts.wrong} wrong, ${counts.unanswered} missing`],
		['refusals by type', refusalCounts === '' ? 'none' : refusalCounts],
		['wrongful refusals', `${formatFraction(result.wrongful, result.inside)} of the requests inside their account's rate`],
		['cache reuse', `${formatFraction(reuse.hits, reuse.returning)} of the returning chats`],
		['load per target', `${targetCounts}; busiest ${computeLoadSkew(result).toFixed(2)} of the mean`],
		['worst-served account', worstServed === undefined ? 'none' : `${worstServed.name}: ${formatFraction(worstServed.insideWhole, worstServed.inside)} of its requests inside the rate`],
		['plain runs', `${runCount}, run twice: ${result.doubledRuns}, run although refused: ${result.falseNotRun}`],
		['keys seen by targets', String(result.keySightings)],
	];
	return ['', ...rows.map(([label, text]) => label.padEnd(labelWidth) + text), ...result.examples];
}

/** Returns whether the demonstration succeeded. Its plan has no faults, so lost answers also count as a failure. */
export function hasDemonstrationSucceeded(result: RunResult): boolean {
	return result.counts.whole > 0 && result.counts.lost === 0 && !hasGuaranteeViolation(result);
}
