/**
 * Compares strategies of target selection by the fraction of prompt tokens found
 * in caches, the evenness of the load, and refusals.
 */
import {RendezvousChoice, StickyRendezvousChoice, type TargetChoice} from '@sequoiatally/core';
import {
	OracleChoice, LeastLoadedChoice, PlainRendezvousChoice, RandomChoice, RoundRobinChoice,
} from '../baselines/target-choices.js';
import {Experiment, type ResultTable} from '../experiment.js';
import {type RoutingFigures, type RoutingOptions, RoutingRun} from '../routing-run.js';

const seed = 41;
const warmUpMs = 60_000;
const phaseMs = 30_000;
const churnStepMs = 6000;

const limitsNote = 'Promised: load multiple × mean + 3 × floor. Aimed: the larger of floor and load multiple × mean. The highest load / mean includes only dispatches with a mean load of at least 4.';
/** Pairs of load multiple and floor to compare. */
const loadLimitSettings = [[1.25, 8], [1.5, 4], [1.5, 8], [2, 4], [2, 8], [3, 8]] as const;

type Strategy = {readonly name: string; readonly createChoice: (run: RoutingRun) => TargetChoice};

const strategies: readonly Strategy[] = [
	{name: 'all-knowing router', createChoice: run => new OracleChoice(run, run.pool.loadMultiple, run.pool.loadFloor)},
	{name: 'bounded rendezvous, goes home', createChoice: () => new RendezvousChoice()},
	{name: 'bounded rendezvous, stays', createChoice: () => new StickyRendezvousChoice()},
	{name: 'plain rendezvous', createChoice: () => new PlainRendezvousChoice()},
	{name: 'least loaded', createChoice: () => new LeastLoadedChoice()},
	{name: 'round robin', createChoice: () => new RoundRobinChoice()},
	{name: 'random', createChoice: () => new RandomChoice(seed)},
];

const phases = {calm: 'calm', churn: 'churn', zone: 'zone out and back'} as const;
type Phase = typeof phases[keyof typeof phases];

/** Measures cache reuse, load skew and refusals of each strategy. */
export class RoutingExperiment extends Experiment {
	override readonly name = 'routing';
	override readonly question = 'What fraction of the prompt tokens is reused from the targets\' caches without faults, during churn of targets and while an availability zone is drained and restored, and how even is the load?';
	override readonly isReproducible = true;

	override async run(): Promise<readonly ResultTable[]> {
		const tables: ResultTable[] = [];
		for (const {title, options} of workloads) {
			for (const phase of Object.values(phases)) {
				tables.push(this.#comparePhase(title, phase, options));
			}
		}

		return [...tables, compareLoadLimits()];
	}

	#comparePhase(title: string, phase: Phase, options: Partial<RoutingOptions>): ResultTable {
		const results = strategies.map(strategy => ({strategy, figures: runPhase(strategy, phase, options)}));
		const oracleReuse = computeReuse(results[0]!.figures);
		return {
			title: `${title}, ${phase}`,
			columns: [
				'way', 'reuse', 'of the all-knowing', 'highest load / promised', 'highest load / aimed', 'highest load / mean', 'refused', 'slot overrun', 'cold overrun', 'cold overrun before anyone can know',
			],
			rows: results.map(({strategy, figures}) => [strategy.name, ...describeFigures(figures, oracleReuse)]),
			notes: [limitsNote],
		};
	}
}

const workloads: ReadonlyArray<{readonly title: string; readonly options: Partial<RoutingOptions>}> = [
	{title: 'Even entry, mean load 8, 4 s a request', options: {chatCount: 1200}},
	{title: 'Half of the calls at one router, mean load 8, 4 s a request', options: {chatCount: 1200, firstRouterFraction: 0.5}},
	{title: 'Even entry, mean load 8, 1 s a request', options: {chatCount: 1200, serviceMs: 1000}},
	{title: 'Even entry, mean load 2, 4 s a request', options: {chatCount: 300, meanLoad: 2}},
];

/** Compares the cache reuse and the load skew of several load limits. */
function compareLoadLimits(): ResultTable {
	const boundedRendezvous = strategies[1]!;
	return {
		title: 'What the load multiple costs: bounded rendezvous, even entry, mean load 8, 4 s a request, calm',
		columns: ['load multiple', 'floor', 'reuse', 'highest load / promised', 'highest load / aimed', 'highest load / mean', 'refused'],
		rows: loadLimitSettings.map(([loadMultiple, loadFloor]) => {
			const figures = runPhase(boundedRendezvous, phases.calm, {chatCount: 1200, pool: {loadMultiple, loadFloor}});
			return [
				loadMultiple,
				loadFloor,
				renderPercent(computeReuse(figures)),
				figures.highestGuaranteeUse.toFixed(2),
				figures.highestLoadLimitUse.toFixed(2),
				figures.highestLoadOverMean.toFixed(2),
				renderPercent(figures.refusedCount / figures.requestCount),
			];
		}),
	};
}

/** Runs one strategy through one phase and returns the figures of that phase, without the warm-up. */
export function runPhase({createChoice}: Strategy, phase: Phase, options: Partial<RoutingOptions>): RoutingFigures {
	const run = new RoutingRun({...options, seed, createChoice});
	run.run(warmUpMs);
	run.takeFigures();
	switch (phase) {
		case phases.calm: {
			run.run(phaseMs);
			break;
		}

		case phases.churn: {
			runChurn(run);
			break;
		}

		case phases.zone: {
			run.publish({drainedZones: ['zone-b']});
			run.run(phaseMs);
			run.publish({drainedZones: []});
			run.run(phaseMs);
			break;
		}
	}

	return run.takeFigures();
}

/** Three rounds, in each of which a target restarts without a change of the list, another leaves and a new one joins. */
function runChurn(run: RoutingRun): void {
	for (let round = 0; round < 3; round++) {
		run.fleet.restartTarget(`fitbrain-${round}`);
		run.run(churnStepMs);
		run.removeTarget(`fitbrain-${round + 6}`);
		run.run(churnStepMs);
		run.addTarget(`fitbrain-new-${round}`, 'zone-a');
		run.run(churnStepMs);
	}
}

function computeReuse({reusedTokens, promptTokens}: RoutingFigures): number {
	return reusedTokens / promptTokens;
}

function describeFigures(figures: RoutingFigures, oracleReuse: number): ReadonlyArray<string | number> {
	const reuse = computeReuse(figures);
	return [
		renderPercent(reuse),
		renderPercent(reuse / oracleReuse),
		figures.highestGuaranteeUse.toFixed(2),
		figures.highestLoadLimitUse.toFixed(2),
		figures.highestLoadOverMean.toFixed(2),
		renderPercent(figures.refusedCount / figures.requestCount),
		figures.slotOverrun,
		figures.coldOverrun,
		figures.undetectableColdOverrun,
	];
}

function renderPercent(fraction: number): string {
	return `${(fraction * 100).toFixed(1)}%`;
}
