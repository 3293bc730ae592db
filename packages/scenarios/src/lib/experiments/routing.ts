/**
 * Compares ways to choose a target: how much of the prompts is found in a
 * cache, how even the load is, and what is refused.
 */
import {RendezvousChoice, StickyRendezvousChoice, type TargetChoice} from '@sequoiatally/core';
import {
	AllKnowingChoice, LeastLoadedChoice, PlainRendezvousChoice, RandomChoice, RoundRobinChoice,
} from '../baselines/target-choices.js';
import {Experiment, type ResultTable} from '../experiment.js';
import {type RoutingFigures, type RoutingOptions, RoutingRun} from '../routing-run.js';

const seed = 41;
const warmUpMs = 60_000;
const phaseMs = 30_000;
const churnEveryMs = 6000;

const boundsNote = 'Promised: load multiple × mean + 3 × floor. Aimed: the larger of floor and load multiple × mean. Load over mean counts from a mean of 4.';
/** Load multiples and floors to compare. */
const multiples = [[1.25, 8], [1.5, 4], [1.5, 8], [2, 4], [2, 8], [3, 8]] as const;

type Way = {readonly name: string; readonly createChoice: (run: RoutingRun) => TargetChoice};

const ways: readonly Way[] = [
	{name: 'all-knowing router', createChoice: run => new AllKnowingChoice(run, run.pool.loadMultiple, run.pool.loadFloor)},
	{name: 'bounded rendezvous, goes home', createChoice: () => new RendezvousChoice()},
	{name: 'bounded rendezvous, stays', createChoice: () => new StickyRendezvousChoice()},
	{name: 'plain rendezvous', createChoice: () => new PlainRendezvousChoice()},
	{name: 'least loaded', createChoice: () => new LeastLoadedChoice()},
	{name: 'round robin', createChoice: () => new RoundRobinChoice()},
	{name: 'random', createChoice: () => new RandomChoice(seed)},
];

const phases = {calm: 'calm', churn: 'churn', zone: 'zone out and back'} as const;
type Phase = typeof phases[keyof typeof phases];

/** Cache reuse, skew and refusals by way of choice. */
export class RoutingExperiment extends Experiment {
	override readonly name = 'routing';
	override readonly question = 'How much of the prompts is reused from the targets\' caches in calm, through churn of targets and through an availability zone that leaves and returns, and how even is the load?';
	override readonly isRepeatable = true;

	override async run(): Promise<readonly ResultTable[]> {
		const tables: ResultTable[] = [];
		for (const {title, options} of loads) {
			for (const phase of Object.values(phases)) {
				tables.push(this.#comparePhase(title, phase, options));
			}
		}

		return [...tables, compareMultiples()];
	}

	#comparePhase(title: string, phase: Phase, options: Partial<RoutingOptions>): ResultTable {
		const results = ways.map(way => ({way, figures: runPhase(way, phase, options)}));
		const best = computeReuse(results[0]!.figures);
		return {
			title: `${title}, ${phase}`,
			columns: [
				'way', 'reuse', 'of the all-knowing', 'highest load / promised', 'highest load / aimed', 'highest load / mean', 'refused', 'slot overrun', 'cold overrun', 'cold overrun before anyone can know',
			],
			rows: results.map(({way, figures}) => [way.name, ...describeFigures(figures, best)]),
			notes: [boundsNote],
		};
	}
}

const loads: ReadonlyArray<{readonly title: string; readonly options: Partial<RoutingOptions>}> = [
	{title: 'Even entry, mean load 8, 4 s a request', options: {chatCount: 1200}},
	{title: 'Half of the calls at one router, mean load 8, 4 s a request', options: {chatCount: 1200, firstRouterPart: 0.5}},
	{title: 'Even entry, mean load 8, 1 s a request', options: {chatCount: 1200, serviceMs: 1000}},
	{title: 'Even entry, mean load 2, 4 s a request', options: {chatCount: 300, meanLoad: 2}},
];

/** What a tighter multiple costs in reuse. */
function compareMultiples(): ResultTable {
	const home = ways[1]!;
	return {
		title: 'What the load multiple costs: bounded rendezvous, even entry, mean load 8, 4 s a request, calm',
		columns: ['load multiple', 'floor', 'reuse', 'highest load / promised', 'highest load / aimed', 'highest load / mean', 'refused'],
		rows: multiples.map(([loadMultiple, loadFloor]) => {
			const figures = runPhase(home, phases.calm, {chatCount: 1200, pool: {loadMultiple, loadFloor}});
			return [
				loadMultiple,
				loadFloor,
				renderPercent(computeReuse(figures)),
				figures.highestPromiseUse.toFixed(2),
				figures.highestBoundUse.toFixed(2),
				figures.highestSkew.toFixed(2),
				renderPercent(figures.refusedCount / figures.requestCount),
			];
		}),
	};
}

/** Runs one way through one phase and returns the figures of the phase alone. */
export function runPhase({createChoice}: Way, phase: Phase, options: Partial<RoutingOptions>): RoutingFigures {
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

/** In turn: a target restarts unseen, one leaves, one joins. */
function runChurn(run: RoutingRun): void {
	for (let round = 0; round < 3; round++) {
		run.fleet.restartTarget(`fitbrain-${round}`);
		run.run(churnEveryMs);
		run.removeTarget(`fitbrain-${round + 6}`);
		run.run(churnEveryMs);
		run.addTarget(`fitbrain-new-${round}`, 'zone-a');
		run.run(churnEveryMs);
	}
}

function computeReuse({reusedTokens, promptTokens}: RoutingFigures): number {
	return reusedTokens / promptTokens;
}

function describeFigures(figures: RoutingFigures, best: number): ReadonlyArray<string | number> {
	const reuse = computeReuse(figures);
	return [
		renderPercent(reuse),
		renderPercent(reuse / best),
		figures.highestPromiseUse.toFixed(2),
		figures.highestBoundUse.toFixed(2),
		figures.highestSkew.toFixed(2),
		renderPercent(figures.refusedCount / figures.requestCount),
		figures.slotOverrun,
		figures.coldOverrun,
		figures.unknowableColdOverrun,
	];
}

function renderPercent(part: number): string {
	return `${(part * 100).toFixed(1)}%`;
}
