/**
 * Properties of shares over fleets of reducers under any mix of faults.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {eventKind, listedState} from '@sequoiatally/core';
import {computeOverrun} from '../lib/exact-bucket.js';
import type {FleetInstance} from '../lib/reducer-fleet.js';
import {ShareWorkload, type AccountLoad} from '../lib/share-workload.js';

const ceiling = 6;
/** Time between two looks at the sum of all shares, in milliseconds. */
const sumIntervalMs = 70;
const accounts: readonly AccountLoad[] = [
	{
		name: 'large', rate: 40, burst: 40, demandMultiple: 2,
	},
	{
		name: 'small', rate: 3, burst: 6, demandMultiple: 2,
	},
];
const fleet = {
	ceiling, listLagMs: 500, freshMs: 1500, loanTermMs: 1000, staleLimitMs: 6000,
};

type Fault = {readonly kind: string; readonly index: number; readonly durationMs: number; readonly pauseMs: number};

const faultKinds = ['kill', 'start', 'replace', 'restart', 'leave', 'freeze', 'unlist', 'relist', 'split', 'heal', 'cut', 'join', 'down', 'up', 'noise', 'quiet', 'stale', 'replaceAll', 'drain', 'publish'];
const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constantFrom(...faultKinds),
	index: fc.nat(20),
	durationMs: fc.integer({min: 50, max: 9000}),
	pauseMs: fc.integer({min: 0, max: 6000}),
});

function listAlive({fleet}: ShareWorkload): FleetInstance[] {
	return [...fleet.instances.values()].filter(({isAlive}) => isAlive);
}

function startIfRoom(workload: ShareWorkload, zone?: string): void {
	if (listAlive(workload).length < ceiling) {
		workload.startInstance(zone);
	}
}

function inject(workload: ShareWorkload, {kind, index, durationMs}: Fault): void {
	const {fleet} = workload;
	const alive = listAlive(workload);
	const chosen = alive[index % Math.max(1, alive.length)];
	switch (kind) {
		case 'down':
		case 'up': {
			fleet.isPlatformDown = kind === 'down';
			return;
		}

		case 'publish': {
			fleet.configuration = {...fleet.configuration, version: fleet.configuration.version + 1};
			return;
		}

		case 'noise': {
			fleet.network = {
				minDelayMs: 1, maxDelayMs: 400, lossProbability: 0.1, duplicationProbability: 0.2,
			};
			return;
		}

		case 'quiet': {
			fleet.network = {
				minDelayMs: 1, maxDelayMs: 3, lossProbability: 0, duplicationProbability: 0,
			};
			return;
		}

		case 'start': {
			startIfRoom(workload);
			return;
		}

		case 'replaceAll': {
			for (const {id} of alive) {
				fleet.kill(id);
			}

			for (const {zone} of alive.map(({state}) => state.self)) {
				startIfRoom(workload, zone);
			}

			return;
		}

		case 'heal': {
			for (const instance of alive) {
				instance.partition = 0;
			}

			return;
		}

		default: {
			if (chosen !== undefined) {
				injectInto(workload, chosen, {kind, durationMs});
			}
		}
	}
}

function injectInto(workload: ShareWorkload, chosen: FleetInstance, {kind, durationMs}: Pick<Fault, 'kind' | 'durationMs'>): void {
	const {fleet} = workload;
	const {id} = chosen;
	switch (kind) {
		case 'kill':
		case 'replace': {
			fleet.kill(id);
			if (kind === 'replace') {
				startIfRoom(workload);
			}

			break;
		}

		case 'restart': {
			fleet.kill(id, false);
			fleet.start(id);
			break;
		}

		case 'leave': {
			fleet.changeList(list => ({
				...list, instances: list.instances.map(other => other.id === id ? {...other, state: listedState.leaving} : other),
			}));
			fleet.schedule(durationMs, () => {
				if (fleet.instances.get(id) === chosen) {
					fleet.kill(id);
				}
			});
			break;
		}

		case 'freeze': {
			fleet.freeze(id, durationMs);
			break;
		}

		case 'unlist': {
			fleet.changeList(list => ({...list, instances: list.instances.filter(other => other.id !== id)}));
			break;
		}

		case 'relist': {
			fleet.changeList(list => list.instances.some(other => other.id === id)
				? list
				: {
					...list, instances: [...list.instances, {
						id, peerAddress: id, zone: 'zone-a', state: listedState.live, since: chosen.startedAt,
					}],
				});
			break;
		}

		case 'split': {
			chosen.partition = 1;
			chosen.isPlatformUnreachable = durationMs > 4000;
			break;
		}

		case 'cut':
		case 'join': {
			chosen.isPlatformUnreachable = kind === 'cut';
			chosen.readsStaleReplica = false;
			break;
		}

		case 'stale': {
			fleet.staleReplica ??= {at: fleet.now, configuration: fleet.configuration};
			chosen.readsStaleReplica = true;
			break;
		}

		default: {
			fleet.emit(chosen, {kind: eventKind.drainRequested, by: 'test'});
			break;
		}
	}
}

type ShareSum = {readonly at: number; readonly name: string; readonly ratePart: number; readonly roomPart: number};

/** Compares the sum of all shares with the limits, over and over. */
function watchShareSums(workload: ShareWorkload, found: ShareSum[]): void {
	for (const {name, rate, burst} of accounts) {
		const sum = workload.computeShareSum(name);
		const ratePart = sum.rate / rate;
		const roomPart = sum.capacity / burst;
		if (Math.max(ratePart, roomPart) > 1 + 1e-9) {
			found.push({
				at: workload.fleet.now, name, ratePart, roomPart,
			});
		}
	}

	workload.fleet.schedule(sumIntervalMs, () => {
		watchShareSums(workload, found);
	});
}

/** Compares each instance's version in force with the one that it had before. */
function watchVersions(workload: ShareWorkload, found: string[], before = new Map<FleetInstance, number>()): void {
	for (const instance of workload.fleet.instances.values()) {
		const version = instance.state.tables.configuration?.version ?? 0;
		if (version < (before.get(instance) ?? 0)) {
			found.push(`${instance.id} reverted to version ${version}`);
		}

		before.set(instance, version);
	}

	workload.fleet.schedule(sumIntervalMs, () => {
		watchVersions(workload, found, before);
	});
}

function checkFaults(seed: number, faults: readonly Fault[]): void {
	const workload = new ShareWorkload({
		seed, accounts, instanceCount: 5, skew: 0.4, fleet,
	});
	const excesses: ShareSum[] = [];
	watchShareSums(workload, excesses);
	const reversions: string[] = [];
	watchVersions(workload, reversions);
	workload.fleet.runFor(14_000);
	for (const fault of faults) {
		inject(workload, fault);
		workload.run(fault.pauseMs);
	}

	workload.run(6000);
	assert.deepEqual(excesses.slice(0, 1), []);
	assert.deepEqual(reversions.slice(0, 1), []);
	for (const {name, rate, burst} of accounts) {
		const times = workload.fleet.sent.filter(({account}) => account === name).map(({at}) => at);
		assert.equal(computeOverrun(times, rate, burst), 0, `${name} overran`);
	}
}

await test('shares add up to the limit, no account overruns it and no version reverts, under any mix of faults', () => {
	const faultsArbitrary = fc.array(faultArbitrary, {minLength: 2, maxLength: 12});
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), faultsArbitrary, checkFaults), {seed: 1, numRuns: Number(process.env.RUNS ?? 40)});
});

await test('an instance that the list shows again after a long absence owns nothing until the others know', () => {
	const wait = {
		kind: 'quiet', index: 0, durationMs: 0, pauseMs: 6000,
	};
	checkFaults(1, [wait, wait, {...wait, kind: 'unlist', index: 3}, wait, {...wait, kind: 'relist', index: 3}, wait]);
});
