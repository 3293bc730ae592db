/**
 * Compares ways to share the limits of client accounts under skew and faults.
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
/** Time for which the fleet settles before the first call, in milliseconds. */
const settleMs = 45_000;
const warmMs = 15_000;
/** The time around a fault that is reported by itself, in milliseconds. */
const aroundFault = {beforeMs: 1000, afterMs: 9000};
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
	/** Time for which calls go on after the fault, in milliseconds. */
	readonly tailMs: number;
	readonly inject: (workload: ShareWorkload) => void;
	readonly demandMultiples?: Readonly<Record<string, number>>;
};

function leave({fleet}: ShareWorkload, id: string): void {
	fleet.emit(fleet.instances.get(id)!, {kind: eventKind.drainRequested, by: 'measurement'});
	fleet.changeList(list => ({
		...list, instances: list.instances.map(other => other.id === id ? {...other, state: listedState.leaving} : other),
	}));
	fleet.schedule(2500, () => {
		fleet.kill(id);
	});
}

function findCounterId({fleet}: ShareWorkload): string {
	return new ElectedCounter(fleet, ceiling).findCounter(fleet.instances.get('router-0')!, 'large')!.id;
}

const faults: readonly Fault[] = [
	{
		name: 'calm', tailMs: 60_000, inject() {
			// Nothing fails.
		},
	},
	{
		name: 'kill of the instance with half of the calls', tailMs: 20_000, inject(workload) {
			workload.fleet.kill('router-0');
		},
	},
	{
		name: 'kill of the instance that an election makes the large account\'s counter, while that account asks for 5 times its rate',
		tailMs: 20_000,
		demandMultiples: {large: 5},
		inject(workload) {
			workload.fleet.kill(findCounterId(workload));
		},
	},
	{
		name: 'freeze of that instance for 3 s', tailMs: 20_000, inject(workload) {
			workload.fleet.freeze(findCounterId(workload), 3000);
		},
	},
	{
		name: 'kill and a new instance at once', tailMs: 20_000, inject(workload) {
			workload.fleet.kill('router-0');
			workload.startInstance();
		},
	},
	{
		name: 'freeze of 3 s', tailMs: 20_000, inject(workload) {
			workload.fleet.freeze('router-0', 3000);
		},
	},
	{
		name: 'split, three instances cut from the service', tailMs: 20_000, inject({fleet}) {
			for (const id of ['router-0', 'router-1', 'router-2']) {
				const instance = fleet.instances.get(id)!;
				instance.side = 1;
				instance.isCutFromPlatform = true;
			}
		},
	},
	{
		name: 'rolling replacement, one in 15 s', tailMs: 48_000, inject(workload) {
			for (let index = 0; index < 3; index++) {
				workload.fleet.schedule(index * 15_000, () => {
					workload.startInstance();
				});
				workload.fleet.schedule((index * 15_000) + 12_000, () => {
					leave(workload, `router-${index}`);
				});
			}
		},
	},
	{
		name: 'the large account asks for 5 times its rate', tailMs: 30_000, demandMultiples: {large: 5}, inject() {
			// The surge is the fault.
		},
	},
];

/** One way's outcomes over all seeds. */
type Tally = {name: string; exact: number; refused: number; exactNear: number; refusedNear: number; overrun: number; worst: number; messages?: number};

/** Measures overrun, wrongful refusals and the worst-served account. */
export class SharesExperiment extends Experiment {
	override readonly name = 'shares';
	override readonly question = 'How are the limits of client accounts best kept by instances that agree on nothing?';
	override readonly isRepeatable = true;

	override async run(): Promise<readonly ResultTable[]> {
		return faults.map(fault => measureFault(fault));
	}
}

function measureFault(fault: Fault): ResultTable {
	const tallies = new Map<string, Tally>();
	for (const seed of seeds) {
		measureSeed(fault, seed, tallies);
	}

	return {
		title: `Limits of client accounts: ${fault.name}`,
		columns: ['way', 'overrun (requests)', 'refused wrongly', 'in the 10 s around', 'worst-served account', 'messages per instance and second'],
		rows: [...tallies.values()].map(tally => [
			tally.name,
			tally.overrun.toFixed(1),
			renderPart(tally.refused, tally.exact),
			renderPart(tally.refusedNear, tally.exactNear),
			`${(tally.worst * 100).toFixed(1)} %`,
			tally.messages === undefined ? '' : (tally.messages / seeds.length).toFixed(1),
		]),
		notes: [
			`${instanceCount} instances under a ceiling of ${ceiling}; half of each account's calls come in at one instance; accounts of 200, 40 and 5 requests a second ask for 0.9 of their rate unless named. ${seeds.length} seeds. "Worst-served" is the least part, over accounts and seeds, of what one exact bucket admits that was sent. Messages are requests and answers between instances, exchanges included.`,
		],
	};
}

function measureSeed(fault: Fault, seed: number, tallies: Map<string, Tally>): void {
	const workload = new ShareWorkload({
		seed, accounts, instanceCount, skew: 0.5, fleet: {ceiling, staleLimitMs: 20_000},
	});
	const baselines = [new StaticSplit(workload.fleet, ceiling), new ElectedCounter(workload.fleet, ceiling)];
	const byName = new Map(accounts.map(account => [account.name, account]));
	workload.onArrival = arrival => {
		for (const baseline of baselines) {
			baseline.offer(arrival, byName.get(arrival.account)!);
		}
	};

	workload.fleet.runFor(settleMs);
	workload.run(warmMs);
	const faultAt = workload.fleet.now;
	const messagesBefore = workload.fleet.messageCount;
	fault.inject(workload);
	workload.run(fault.tailMs, fault.demandMultiples);
	const messages = (workload.fleet.messageCount - messagesBefore) * 1000 / fault.tailMs / instanceCount;
	const near = {from: faultAt - aroundFault.beforeMs, to: faultAt + aroundFault.afterMs};
	const compare = (sent: typeof workload.fleet.sent | ShareBaseline['sent'], window: typeof near): AccountOutcome[] =>
		accounts.map(account => describeOutcome(account, workload.arrivals, sent, window));
	const ways = [...baselines, {name: 'shares with loans', sent: workload.fleet.sent}];
	for (const {name, sent} of ways) {
		const tally = tallies.get(name) ?? {
			name, exact: 0, refused: 0, exactNear: 0, refusedNear: 0, overrun: 0, worst: 1,
		};
		tallies.set(name, tally);
		addOutcomes(tally, compare(sent, {from: 0, to: Number.POSITIVE_INFINITY}), compare(sent, near));
		if (sent === workload.fleet.sent) {
			tally.messages = (tally.messages ?? 0) + messages;
		}
	}
}

function addOutcomes(tally: Tally, whole: readonly AccountOutcome[], near: readonly AccountOutcome[]): void {
	for (const outcome of whole) {
		tally.exact += outcome.exact;
		tally.refused += outcome.refusedWrongly;
		tally.overrun = Math.max(tally.overrun, outcome.overrun);
		tally.worst = Math.min(tally.worst, outcome.sent / outcome.exact);
	}

	for (const outcome of near) {
		tally.exactNear += outcome.exact;
		tally.refusedNear += outcome.refusedWrongly;
	}
}

function renderPart(part: number, whole: number): string {
	return `${(part / whole * 100).toFixed(2)} %`;
}
