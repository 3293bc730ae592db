/**
 * The result of a run as data: what a report shows and what two runs are
 * compared by.
 */
import {
	recordOutcome, type AnswerRecord, type LoadSeries, type RecordOutcome, type TargetReport,
} from './answer-record.js';
import {callKind, type AccountLimit} from './call-schedule.js';
import {admitExactly} from './exact-bucket.js';
import type {InjectedFault} from './fault-runner.js';
import {describeLatencies, findPercentile, type LatencySummary} from './latency.js';
import type {RunRecord} from './load-run.js';
import {sampleIntervalMs} from './target-observer.js';

/** Width of the steps in which answers are counted over time, in milliseconds. */
const seriesStepMs = 500;
/** Time after a fault that its own figures cover, in milliseconds. */
export const faultWindowMs = 10_000;
/** Refusal that counts against an account's rate and burst. */
const rateReason = 'rate-exceeded';
/** Refusals of a key that is not valid, or no longer. */
const keyReasons = new Set(['key-unknown', 'key-missing']);

export type OutcomeCounts = Readonly<Record<RecordOutcome, number>>;

/** How one client account fared. */
export type AccountResult = {
	readonly name: string;
	readonly rate: number;
	readonly sent: number;
	/** Requests that one exact counter of the whole fleet would have admitted. */
	readonly inside: number;
	/** Of those, answered whole. */
	readonly insideWhole: number;
	/** Of those, refused because of the rate all the same. */
	readonly wrongful: number;
	readonly whole: number;
	readonly firstTokenP95Ms: number;
};

export type TargetResult = {
	readonly id: string;
	readonly answers: number;
	readonly highestInFlight: number;
	/** Requests beyond what it bears, by its own count. */
	readonly overrunCount: number;
};

/** What happened in the time after a fault. */
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
	/** Refusals by type and outcome. */
	readonly refusals: Readonly<Record<string, number>>;
	readonly wrongful: number;
	readonly inside: number;
	/** Requests that ran although their refusal said "not run". */
	readonly falseNotRun: number;
	/** Requests that ran more than once although they may not be repeated. */
	readonly doubledRuns: number;
	readonly keySightings: number;
	/** Whole answers to chats beyond their first turn, and those of them that found their prefix cached. */
	readonly reuse: {readonly returning: number; readonly hits: number};
	readonly firstToken: LatencySummary;
	readonly chat: LatencySummary;
	readonly plain: LatencySummary;
	readonly accounts: readonly AccountResult[];
	readonly targets: readonly TargetResult[];
	readonly answersOverTime: {readonly stepMs: number; readonly counts: Readonly<Record<RecordOutcome, readonly number[]>>};
	readonly loadOverTime: {readonly stepMs: number; readonly loads: LoadSeries};
	readonly faults: readonly FaultResult[];
	/** Some of the answers that were wrong or lost. */
	readonly examples: readonly string[];
};

/** Most examples of wrong or lost answers in a result. */
const mostExamples = 10;

/** Creates the result of a run. */
export function createRunResult(run: RunRecord): RunResult {
	const {plan, records, targets, omittedCount, faults, accounts, loads} = run;
	const inside = new Set(accounts.flatMap(account => listInside(account, records)));
	const isWrongful = (record: AnswerRecord) => inside.has(record) && record.answer?.reason === rateReason;
	const wholes = records.filter(({outcome}) => outcome === recordOutcome.whole);
	const returning = wholes.filter(({call}) => call.kind === callKind.chat && call.turn > 1);
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
		wrongful: records.filter(record => isWrongful(record)).length,
		inside: inside.size,
		falseNotRun: countFalseNotRun(records, targets),
		doubledRuns: countDoubled(runs, records),
		keySightings: targets.reduce((sum, {keySightings}) => sum + keySightings, 0),
		reuse: {returning: returning.length, hits: returning.filter(({answer}) => answer?.isCacheHit).length},
		firstToken: describeLatencies(listFirstTokens(wholes)),
		chat: describeLatencies(wholes.filter(({call}) => call.kind === callKind.chat).map(({answer}) => answer!.totalMs)),
		plain: describeLatencies(wholes.filter(({call}) => call.kind !== callKind.chat).map(({answer}) => answer!.totalMs)),
		accounts: accounts.map(account => describeAccount(account, records, inside)),
		targets: describeTargets(wholes, targets),
		answersOverTime: countOverTime(records, plan.durationMs),
		loadOverTime: {stepMs: sampleIntervalMs, loads},
		faults: faults.map(fault => describeFault(fault, records, inside)).sort((a, b) => a.atMs - b.atMs),
		examples: listExamples(records),
	};
}

/** Says whether something happened that may never happen, whatever the faults. */
export function hasBrokenPromise({counts, falseNotRun, doubledRuns, keySightings}: RunResult): boolean {
	return counts.wrong + counts.unanswered + falseNotRun + doubledRuns + keySightings > 0;
}

/** Lists an account's requests that one exact counter, full at first, would have admitted. */
function listInside({name, rate, burst}: AccountLimit, records: readonly AnswerRecord[]): AnswerRecord[] {
	const own = records
		.filter(({call, answer}) => call.account === name && !keyReasons.has(answer?.reason ?? ''))
		.sort((a, b) => a.call.atMs - b.call.atMs);
	const admitted = admitExactly(own.map(({call}) => call.atMs), rate, burst);
	return own.filter((_, index) => admitted[index]);
}

function countOutcomes(records: readonly AnswerRecord[]): OutcomeCounts {
	const counts = createCounts();
	for (const {outcome} of records) {
		counts[outcome]++;
	}

	return counts;
}

function createCounts(): Record<RecordOutcome, number> {
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
	const ran = new Set(targets.flatMap(({runs}) => Object.keys(runs)));
	return records.filter(({answer, idempotencyKey}) =>
		answer?.outcome === 'not-run' && (ran.has(idempotencyKey ?? '') || ran.has(answer.requestId ?? ''))).length;
}

/** Counts the bookings that ran more than once, over all targets together. */
function countDoubled(runs: ReadonlyArray<Readonly<Record<string, number>>>, records: readonly AnswerRecord[]): number {
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

function describeAccount({name, rate}: AccountLimit, records: readonly AnswerRecord[], inside: ReadonlySet<AnswerRecord>): AccountResult {
	const own = records.filter(({call}) => call.account === name);
	const ownInside = own.filter(record => inside.has(record));
	const wholes = own.filter(({outcome}) => outcome === recordOutcome.whole);
	return {
		name,
		rate,
		sent: own.length,
		inside: ownInside.length,
		insideWhole: ownInside.filter(({outcome}) => outcome === recordOutcome.whole).length,
		wrongful: ownInside.filter(({answer}) => answer?.reason === rateReason).length,
		whole: wholes.length,
		firstTokenP95Ms: describeFirstTokenP95(wholes),
	};
}

function describeTargets(wholes: readonly AnswerRecord[], reports: readonly TargetReport[]): TargetResult[] {
	const ids = [...new Set(reports.map(({id}) => id))].sort((a, b) => a.localeCompare(b, 'en', {numeric: true}));
	return ids.map(id => {
		const own = reports.filter(report => report.id === id);
		return {
			id,
			answers: wholes.filter(({answer}) => answer?.targetId === id).length,
			highestInFlight: Math.max(...own.map(({highestInFlight}) => highestInFlight)),
			overrunCount: own.reduce((sum, {overrunCount}) => sum + overrunCount, 0),
		};
	});
}

function countOverTime(records: readonly AnswerRecord[], durationMs: number): RunResult['answersOverTime'] {
	const stepCount = Math.ceil(durationMs / seriesStepMs);
	const createSteps = () => Array.from({length: stepCount}, () => 0);
	const counts: Record<RecordOutcome, number[]> = {
		whole: createSteps(), refused: createSteps(), lost: createSteps(), wrong: createSteps(), unanswered: createSteps(), unsent: createSteps(),
	};
	for (const {outcome, call} of records) {
		const step = Math.min(stepCount - 1, Math.floor(call.atMs / seriesStepMs));
		counts[outcome][step]!++;
	}

	return {stepMs: seriesStepMs, counts};
}

function describeFault(fault: InjectedFault, records: readonly AnswerRecord[], inside: ReadonlySet<AnswerRecord>): FaultResult {
	const within = records.filter(({call}) => call.atMs >= fault.atMs && call.atMs < fault.atMs + faultWindowMs);
	const withinInside = within.filter(record => inside.has(record));
	return {
		...fault,
		counts: countOutcomes(within),
		wrongful: withinInside.filter(({answer}) => answer?.reason === rateReason).length,
		inside: withinInside.length,
		firstTokenP95Ms: describeFirstTokenP95(within.filter(({outcome}) => outcome === recordOutcome.whole)),
	};
}

function describeFirstTokenP95(wholes: readonly AnswerRecord[]): number {
	return findPercentile(describeLatencies(listFirstTokens(wholes)), 95);
}

function listExamples(records: readonly AnswerRecord[]): string[] {
	return records
		.filter(({outcome}) => outcome === recordOutcome.wrong || outcome === recordOutcome.lost || outcome === recordOutcome.unanswered)
		.slice(0, mostExamples)
		.map(({call, routerId, outcome, answer}) => `${(call.atMs / 1000).toFixed(1)} s, ${call.kind} of ${call.account} at ${routerId}: ${outcome}, ${answer?.detail ?? ''}`);
}
