/**
 * Compares strategies that share the limits of client accounts between
 * instances, under skewed load and faults.
 */
import {eventKind, listedState} from '@sequoiatally/core';
import {Experiment, type ResultTable} from '../experiment.js';
import {ElectedCounter, StaticSplit, type ShareBaseline} from '../share-baseline.js';
import {
	describeOutcome, ShareWorkload, type AccountLoad, type AccountOutcome, type Arrival,
} from '../share-workload.js';

const ceiling = 8;
const instanceCount = 7;
const seeds = [3, 4, 5];
/** Time for which the fleet settles before the first request, in milliseconds. */
const settleMs = 45_000;
const warmUpMs = 40_000;
/** Window around a fault that is reported separately, in milliseconds. */
const faultWindow = {beforeMs: 1000, afterMs: 9000};
const accounts: readonly AccountLoad[] = [
	{
		name: 'large', rate: 200, burst: 400, demandMultiple: 0.9,
	},
	{
		name: 'middle', rate: 40, burst: 80, demandMultiple: 0.9,
	},
	{
		name: 'small', rate: 5, burst: 10, demandMultiple: 0.9,
	},
];

type Fault = {
	readonly name: string;
	/** Time for which requests continue after the fault, in milliseconds. */
	readonly afterMs: number;
	readonly inject: (workload: ShareWorkload) => void;
	readonly demandMultiples?: Readonly<Record<string, number>>;
};

function drainAndKill({fleet}: ShareWorkload, id: string): void {
	fleet.emit(fleet.instances.get(id)!, {kind: eventKind.drainRequested, by: 'measurement'});
	fleet.changeList(list => ({
		...list, instances: list.instances.map(other => other.id === id ? {...other, state: listedState.leaving} : other),
	}));
	fleet.schedule(2500, () => {
		fleet.kill(id);
	});
}

/** Demand of the large account in a surge, as a multiple of its rate. */
const surgeMultiples = {large: 5};

function findElectedCounterId({fleet}: ShareWorkload): string {
	return new ElectedCounter(fleet, ceiling).findCounterInstance(fleet.instances.get('router-0')!, 'large')!.id;
}

const faults: readonly Fault[] = [
	{
		name: 'calm', afterMs: 60_000, inject() {
			// Nothing fails.
		},
	},
	{
		name: 'kill of the instance with half of the calls', afterMs: 20_000, inject(workload) {
			workload.fleet.kill('router-0');
		},
	},
	{
		name: 'the large account asks for 5 times its rate, and after 5 s the instance that an election makes its counter is killed',
		afterMs: 20_000,
		demandMultiples: surgeMultiples,
		inject(workload) {
			workload.run(5000, surgeMultiples);
			workload.fleet.kill(findElectedCounterId(workload));
		},
	},
	{
		name: 'freeze of the elected counter for 3 s', afterMs: 20_000, inject(workload) {
			workload.fleet.freeze(findElectedCounterId(workload), 3000);
		},
	},
	{
		name: 'kill and a new instance at once', afterMs: 20_000, inject(workload) {
			workload.fleet.kill('router-0');
			workload.startInstance();
		},
	},
	{
		name: 'freeze of 3 s', afterMs: 20_000, inject(workload) {
			workload.fleet.freeze('router-0', 3000);
		},
	},
	{
		name: 'split, three instances cut from the service', afterMs: 20_000, inject({fleet}) {
			for (const id of ['router-0', 'router-1', 'router-2']) {
				const instance = fleet.instances.get(id)!;
				instance.partition = 1;
				instance.isPlatformUnreachable = true;
			}
		},
	},
	{
		name: 'rolling replacement, one in 15 s', afterMs: 48_000, inject(workload) {
			for (let index = 0; index < 3; index++) {
				workload.fleet.schedule(index * 15_000, () => {
					workload.startInstance();
				});
				workload.fleet.schedule((index * 15_000) + 12_000, () => {
					drainAndKill(workload, `router-${index}`);
				});
			}
		},
	},
	{
		name: 'the large account asks for 5 times its rate', afterMs: 30_000, demandMultiples: surgeMultiples, inject() {
			// The surge is the fault.
		},
	},
];

/** Sums and extremes of one strategy's outcomes over all seeds. */
type StrategyTotals = {
	name: string;
	exact: number;
	refusedWrongly: number;
	exactAroundFault: number;
	refusedAroundFault: number;
	highestOverrun: number;
	lowestServedFraction: number;
	/** Messages per instance and second, summed over the seeds; `undefined` for the baselines, whose messages are not simulated. */
	messagesPerSecond?: number;
};

/** Measures overrun, wrongful refusals and the served fraction of the worst-served account. */
export class SharesExperiment extends Experiment {
	override readonly name = 'shares';
	override readonly question = 'Which strategy best enforces the limits of client accounts across instances without consensus?';
	override readonly isReproducible = true;

	override async run(): Promise<readonly ResultTable[]> {
		return faults.map(fault => measureFault(fault));
	}
}

function measureFault(fault: Fault): ResultTable {
	const totalsByStrategy = new Map<string, StrategyTotals>();
	for (const seed of seeds) {
		measureSeed(fault, seed, totalsByStrategy);
	}

	return {
		title: `Limits of client accounts: ${fault.name}`,
		columns: ['way', 'overrun (requests)', 'refused wrongly', 'in the 10 s around', 'worst-served account', 'messages per instance and second'],
		rows: [...totalsByStrategy.values()].map(totals => [
			totals.name,
			totals.highestOverrun.toFixed(1),
			renderFraction(totals.refusedWrongly, totals.exact),
			renderFraction(totals.refusedAroundFault, totals.exactAroundFault),
			`${(totals.lowestServedFraction * 100).toFixed(1)} %`,
			totals.messagesPerSecond === undefined ? '' : (totals.messagesPerSecond / seeds.length).toFixed(1),
		]),
		notes: [
			`${instanceCount} instances under a ceiling of ${ceiling}; half of each account's requests arrive at one instance; accounts with limits of 200, 40 and 5 requests per second send at 0.9 of their rate unless the title says otherwise. ${seeds.length} seeds. "Worst-served" is the lowest ratio, over accounts and seeds, of sent requests to those that one exact token bucket admits. Messages are requests and responses between instances, including exchanges.`,
		],
	};
}

function measureSeed(fault: Fault, seed: number, totalsByStrategy: Map<string, StrategyTotals>): void {
	const workload = new ShareWorkload({
		seed, accounts, instanceCount, skew: 0.5, fleet: {ceiling, staleLimitMs: 20_000},
	});
	const baselines = [new StaticSplit(workload.fleet, ceiling), new ElectedCounter(workload.fleet, ceiling)];
	const byName = new Map(accounts.map(account => [account.name, account]));
	workload.onArrival = arrival => {
		for (const baseline of baselines) {
			baseline.handleArrival(arrival, byName.get(arrival.account)!);
		}
	};

	workload.fleet.runFor(settleMs);
	workload.run(warmUpMs);
	fault.inject(workload);
	const faultAt = workload.fleet.now;
	const messageCountBefore = workload.fleet.messageCount;
	workload.run(fault.afterMs, fault.demandMultiples);
	const messagesPerSecond = (workload.fleet.messageCount - messageCountBefore) * 1000 / fault.afterMs / instanceCount;
	const windowAroundFault = {from: faultAt - faultWindow.beforeMs, to: faultAt + faultWindow.afterMs};
	const describeOutcomes = (sent: typeof workload.fleet.sent | ShareBaseline['sent'], window: typeof windowAroundFault): AccountOutcome[] =>
		accounts.map(account => describeOutcome(account, workload.arrivals, sent, window));
	const strategies = [...baselines, {name: 'shares with loans', sent: workload.fleet.sent}];
	for (const {name, sent} of strategies) {
		const totals = totalsByStrategy.get(name) ?? {
			name, exact: 0, refusedWrongly: 0, exactAroundFault: 0, refusedAroundFault: 0, highestOverrun: 0, lowestServedFraction: 1,
		};
		totalsByStrategy.set(name, totals);
		addOutcomes(totals, describeOutcomes(sent, {from: 0, to: Number.POSITIVE_INFINITY}), describeOutcomes(sent, windowAroundFault));
		if (sent === workload.fleet.sent) {
			totals.messagesPerSecond = (totals.messagesPerSecond ?? 0) + messagesPerSecond;
		}
	}
}

function addOutcomes(totals: StrategyTotals, allOutcomes: readonly AccountOutcome[], outcomesAroundFault: readonly AccountOutcome[]): void {
	for (const outcome of allOutcomes) {
		totals.exact += outcome.exact;
		totals.refusedWrongly += outcome.refusedWrongly;
		totals.highestOverrun = Math.max(totals.highestOverrun, outcome.overrun);
		totals.lowestServedFraction = Math.min(totals.lowestServedFraction, outcome.sent / outcome.exact);
	}

	for (const outcome of outcomesAroundFault) {
		totals.exactAroundFault += outcome.exact;
		totals.refusedAroundFault += outcome.refusedWrongly;
	}
}

function renderFraction(numerator: number, denominator: number): string {
	return `${(numerator / denominator * 100).toFixed(2)} %`;
}
