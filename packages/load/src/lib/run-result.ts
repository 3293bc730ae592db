/**
 * The result of a run as data: the figures that reports show and that runs are
 * compared by.
 */
import {
	recordOutcome, type AnswerRecord, type LoadSeries, type RecordOutcome, type TargetReport,
} from './answer-record.js';
import {callKind, type AccountLimit} from './call-schedule.js';
import {admitByExactBucket} from './exact-bucket.js';
import type {InjectedFault} from './fault-runner.js';
import {describeLatencies, findPercentile, type LatencySummary} from './latency.js';
import type {RunRecord} from './load-run.js';
import {sampleIntervalMs} from './target-observer.js';

/** Interval over which answers are counted in the series over time. */
const seriesStepMs = 500;
/** The figures of a fault cover the requests whose intended send time is within this time from its start. */
export const faultWindowMs = 10_000;
/** Refusal because of an account's rate and burst. */
const rateLimitReason = 'rate-exceeded';
/** Refusals because of a missing, unknown or withdrawn key. */
const invalidKeyReasons = new Set(['key-unknown', 'key-missing']);

export type OutcomeCounts = Readonly<Record<RecordOutcome, number>>;

/** Figures of one client account. */
export type AccountResult = {
	readonly name: string;
	readonly rate: number;
	readonly sent: number;
	/** Requests within the limit: those that one exact token bucket for the whole fleet would have admitted. */
	readonly inside: number;
	/** Requests within the limit that were answered whole. */
	readonly insideWhole: number;
	/** Requests within the limit that were nevertheless refused because of the rate. */
	readonly wrongful: number;
	readonly whole: number;
	readonly firstTokenP95Ms: number;
};

export type TargetResult = {
	readonly id: string;
	readonly answers: number;
	readonly highestInFlight: number;
	/** Requests above the target's concurrency limit, as counted by the target. */
	readonly overrunCount: number;
};

/** Figures of the requests in the window of `faultWindowMs` from the start of a fault. */
export type FaultResult = InjectedFault & {
	readonly counts: OutcomeCounts;
	readonly wrongful: number;
	readonly inside: number;
	readonly firstTokenP95Ms: number;
};

export type RunResult = {
	readonly name: string;
	readonly seed: number;
	readonly durationMs: number;
	readonly routerCount: number;
	readonly targetCount: number;
	readonly omittedCount: number;
	readonly counts: OutcomeCounts;
	/** Number of refusals by type and outcome. */
	readonly refusals: Readonly<Record<string, number>>;
	readonly wrongful: number;
	readonly inside: number;
	/** Requests that a target executed although their refusal has the outcome "not run". */
	readonly falseNotRun: number;
	/** Non-idempotent requests that were executed more than once. */
	readonly doubledRuns: number;
	readonly keySightings: number;
	/** Whole answers to second and later turns of chats, and how many of these turns hit a cached prefix. */
	readonly reuse: {readonly returning: number; readonly hits: number};
	readonly firstToken: LatencySummary;
	readonly chat: LatencySummary;
	readonly plain: LatencySummary;
	readonly accounts: readonly AccountResult[];
	readonly targets: readonly TargetResult[];
	readonly answersOverTime: {readonly stepMs: number; readonly counts: Readonly<Record<RecordOutcome, readonly number[]>>};
	readonly loadOverTime: {readonly stepMs: number; readonly loads: LoadSeries};
	readonly faults: readonly FaultResult[];
	/** Examples of wrong, lost and missing answers. */
	readonly examples: readonly string[];
};

const maxExampleCount = 10;

export function createRunResult(run: RunRecord): RunResult {
	const {plan, records, targets, omittedCount, faults, accounts, loads} = run;
	const withinLimit = new Set(accounts.flatMap(account => listWithinLimit(account, records)));
	const isWrongfulRefusal = (record: AnswerRecord) => withinLimit.has(record) && record.answer?.reason === rateLimitReason;
	const wholeRecords = records.filter(({outcome}) => outcome === recordOutcome.whole);
	const returningChats = wholeRecords.filter(({call}) => call.kind === callKind.chat && call.turn > 1);
	const runs = targets.map(target => target.runs);
	return {
		name: plan.name,
		seed: plan.seed,
		durationMs: plan.durationMs,
		routerCount: plan.deployment.routerCount,
		targetCount: plan.deployment.engineCount + plan.deployment.plainCount,
		omittedCount,
		counts: countOutcomes(records),
		refusals: countRefusals(records),
		wrongful: records.filter(record => isWrongfulRefusal(record)).length,
		inside: withinLimit.size,
		falseNotRun: countFalseNotRun(records, targets),
		doubledRuns: countDoubledRuns(runs, records),
		keySightings: targets.reduce((sum, {keySightings}) => sum + keySightings, 0),
		reuse: {returning: returningChats.length, hits: returningChats.filter(({answer}) => answer?.isCacheHit).length},
		firstToken: describeLatencies(listFirstTokens(wholeRecords)),
		chat: describeLatencies(wholeRecords.filter(({call}) => call.kind === callKind.chat).map(({answer}) => answer!.totalMs)),
		plain: describeLatencies(wholeRecords.filter(({call}) => call.kind !== callKind.chat).map(({answer}) => answer!.totalMs)),
		accounts: accounts.map(account => describeAccount(account, records, withinLimit)),
		targets: describeTargets(wholeRecords, targets),
		answersOverTime: countOutcomesOverTime(records, plan.durationMs),
		loadOverTime: {stepMs: sampleIntervalMs, loads},
		faults: faults.map(fault => describeFault(fault, records, withinLimit)).sort((a, b) => a.atMs - b.atMs),
		examples: listExamples(records),
	};
}

/** Returns whether the run violated a guarantee that holds under all faults. */
export function hasGuaranteeViolation({counts, falseNotRun, doubledRuns, keySightings}: RunResult): boolean {
	return counts.wrong + counts.unanswered + falseNotRun + doubledRuns + keySightings > 0;
}

/** Lists an account's requests that one exact token bucket, initially full, would have admitted. */
function listWithinLimit({name, rate, burst}: AccountLimit, records: readonly AnswerRecord[]): AnswerRecord[] {
	const accountRecords = records
		.filter(({call, answer}) => call.account === name && !invalidKeyReasons.has(answer?.reason ?? ''))
		.sort((a, b) => a.call.atMs - b.call.atMs);
	const admitted = admitByExactBucket(accountRecords.map(({call}) => call.atMs), rate, burst);
	return accountRecords.filter((_, index) => admitted[index]);
}

function countOutcomes(records: readonly AnswerRecord[]): OutcomeCounts {
	const counts = createZeroCounts();
	for (const {outcome} of records) {
		counts[outcome]++;
	}

	return counts;
}

function createZeroCounts(): Record<RecordOutcome, number> {
	return {
		whole: 0, refused: 0, lost: 0, wrong: 0, unanswered: 0, unsent: 0,
	};
}

function countRefusals(records: readonly AnswerRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, answer} of records) {
		if (outcome === recordOutcome.refused) {
			const name = `${answer?.reason} (${answer?.outcome})`;
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
}

function countFalseNotRun(records: readonly AnswerRecord[], targets: readonly TargetReport[]): number {
	const executedIds = new Set(targets.flatMap(({runs}) => Object.keys(runs)));
	return records.filter(({answer, idempotencyKey}) =>
		answer?.outcome === 'not-run' && (executedIds.has(idempotencyKey ?? '') || executedIds.has(answer.requestId ?? ''))).length;
}

/** Counts the bookings that were executed more than once in total over all targets. */
function countDoubledRuns(runs: ReadonlyArray<Readonly<Record<string, number>>>, records: readonly AnswerRecord[]): number {
	const totals = new Map<string, number>();
	for (const [key, count] of runs.flatMap(counts => Object.entries(counts))) {
		totals.set(key, (totals.get(key) ?? 0) + count);
	}

	return records.filter(({call, answer, idempotencyKey}) => {
		const runCount = (totals.get(idempotencyKey ?? '') ?? 0) + (totals.get(answer?.requestId ?? '') ?? 0);
		return call.kind === callKind.booking && runCount > 1;
	}).length;
}

function listFirstTokens(records: readonly AnswerRecord[]): number[] {
	return records.map(({answer}) => answer?.firstTokenMs).filter(latency => latency !== undefined);
}

function describeAccount({name, rate}: AccountLimit, records: readonly AnswerRecord[], withinLimit: ReadonlySet<AnswerRecord>): AccountResult {
	const accountRecords = records.filter(({call}) => call.account === name);
	const accountRecordsWithinLimit = accountRecords.filter(record => withinLimit.has(record));
	const wholeRecords = accountRecords.filter(({outcome}) => outcome === recordOutcome.whole);
	return {
		name,
		rate,
		sent: accountRecords.length,
		inside: accountRecordsWithinLimit.length,
		insideWhole: accountRecordsWithinLimit.filter(({outcome}) => outcome === recordOutcome.whole).length,
		wrongful: accountRecordsWithinLimit.filter(({answer}) => answer?.reason === rateLimitReason).length,
		whole: wholeRecords.length,
		firstTokenP95Ms: describeFirstTokenP95(wholeRecords),
	};
}

function describeTargets(wholeRecords: readonly AnswerRecord[], reports: readonly TargetReport[]): TargetResult[] {
	const ids = [...new Set(reports.map(({id}) => id))].sort((a, b) => a.localeCompare(b, 'en', {numeric: true}));
	return ids.map(id => {
		const targetReports = reports.filter(report => report.id === id);
		return {
			id,
			answers: wholeRecords.filter(({answer}) => answer?.targetId === id).length,
			highestInFlight: Math.max(...targetReports.map(({highestInFlight}) => highestInFlight)),
			overrunCount: targetReports.reduce((sum, {overrunCount}) => sum + overrunCount, 0),
		};
	});
}

function countOutcomesOverTime(records: readonly AnswerRecord[], durationMs: number): RunResult['answersOverTime'] {
	const stepCount = Math.ceil(durationMs / seriesStepMs);
	const createSeries = () => Array.from({length: stepCount}, () => 0);
	const counts: Record<RecordOutcome, number[]> = {
		whole: createSeries(), refused: createSeries(), lost: createSeries(), wrong: createSeries(), unanswered: createSeries(), unsent: createSeries(),
	};
	for (const {outcome, call} of records) {
		const step = Math.min(stepCount - 1, Math.floor(call.atMs / seriesStepMs));
		counts[outcome][step]!++;
	}

	return {stepMs: seriesStepMs, counts};
}

function describeFault(fault: InjectedFault, records: readonly AnswerRecord[], withinLimit: ReadonlySet<AnswerRecord>): FaultResult {
	const windowRecords = records.filter(({call}) => call.atMs >= fault.atMs && call.atMs < fault.atMs + faultWindowMs);
	const windowRecordsWithinLimit = windowRecords.filter(record => withinLimit.has(record));
	return {
		...fault,
		counts: countOutcomes(windowRecords),
		wrongful: windowRecordsWithinLimit.filter(({answer}) => answer?.reason === rateLimitReason).length,
		inside: windowRecordsWithinLimit.length,
		firstTokenP95Ms: describeFirstTokenP95(windowRecords.filter(({outcome}) => outcome === recordOutcome.whole)),
	};
}

function describeFirstTokenP95(wholeRecords: readonly AnswerRecord[]): number {
	return findPercentile(describeLatencies(listFirstTokens(wholeRecords)), 95);
}

function listExamples(records: readonly AnswerRecord[]): string[] {
	return records
		.filter(({outcome}) => outcome === recordOutcome.wrong || outcome === recordOutcome.lost || outcome === recordOutcome.unanswered)
		.slice(0, maxExampleCount)
		.map(({call, routerId, outcome, answer}) => `${(call.atMs / 1000).toFixed(1)} s, ${call.kind} of ${call.account} at ${routerId}: ${outcome}, ${answer?.detail ?? ''}`);
}
