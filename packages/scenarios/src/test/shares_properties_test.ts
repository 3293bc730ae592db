/**
 * Properties of shares and configuration versions over fleets of reducers under
 * random sequences of faults.
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
/** Interval between two checks of the shares and the versions, in milliseconds. */
const checkIntervalMs = 70;
const accounts: readonly AccountLoad[] = [
	{
		name: 'large', rate: 40, burst: 40, demandMultiple: 2,
	},
	{
		name: 'small', rate: 3, burst: 6, demandMultiple: 2,
	},
];
const fleetSettings = {
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

function listAliveInstances({fleet}: ShareWorkload): FleetInstance[] {
	return [...fleet.instances.values()].filter(({isAlive}) => isAlive);
}

function startIfBelowCeiling(workload: ShareWorkload, zone?: string): void {
	if (listAliveInstances(workload).length < ceiling) {
		workload.startInstance(zone);
	}
}

function injectFault(workload: ShareWorkload, {kind, index, durationMs}: Fault): void {
	const {fleet} = workload;
	const alive = listAliveInstances(workload);
	const affected = alive[index % Math.max(1, alive.length)];
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
			startIfBelowCeiling(workload);
			return;
		}

		case 'replaceAll': {
			for (const {id} of alive) {
				fleet.kill(id);
			}

			for (const {zone} of alive.map(({state}) => state.self)) {
				startIfBelowCeiling(workload, zone);
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
			if (affected !== undefined) {
				injectInstanceFault(workload, affected, {kind, durationMs});
			}
		}
	}
}

function injectInstanceFault(workload: ShareWorkload, affected: FleetInstance, {kind, durationMs}: Pick<Fault, 'kind' | 'durationMs'>): void {
	const {fleet} = workload;
	const {id} = affected;
	switch (kind) {
		case 'kill':
		case 'replace': {
			fleet.kill(id);
			if (kind === 'replace') {
				startIfBelowCeiling(workload);
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
				if (fleet.instances.get(id) === affected) {
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
						id, peerAddress: id, zone: 'zone-a', state: listedState.live, since: affected.startedAt,
					}],
				});
			break;
		}

		case 'split': {
			affected.partition = 1;
			// About half of the partitions also separate the instance from the platform.
			affected.isPlatformUnreachable = durationMs > 4000;
			break;
		}

		case 'cut':
		case 'join': {
			affected.isPlatformUnreachable = kind === 'cut';
			affected.readsStaleReplica = false;
			break;
		}

		case 'stale': {
			fleet.staleReplica ??= {at: fleet.now, configuration: fleet.configuration};
			affected.readsStaleReplica = true;
			break;
		}

		default: {
			fleet.emit(affected, {kind: eventKind.drainRequested, by: 'test'});
			break;
		}
	}
}

type ShareExcess = {readonly at: number; readonly name: string; readonly rateFraction: number; readonly capacityFraction: number};

/** Periodically compares the sum of each account's shares with its limit and records each excess. */
function watchShareSums(workload: ShareWorkload, excesses: ShareExcess[]): void {
	for (const {name, rate, burst} of accounts) {
		const sum = workload.computeShareSum(name);
		const rateFraction = sum.rate / rate;
		const capacityFraction = sum.capacity / burst;
		if (Math.max(rateFraction, capacityFraction) > 1 + 1e-9) {
			excesses.push({
				at: workload.fleet.now, name, rateFraction, capacityFraction,
			});
		}
	}

	workload.fleet.schedule(checkIntervalMs, () => {
		watchShareSums(workload, excesses);
	});
}

/** Periodically compares each instance's configuration version with its previous one and records each reversion. */
function watchVersions(workload: ShareWorkload, reversions: string[], lastVersions = new Map<FleetInstance, number>()): void {
	for (const instance of workload.fleet.instances.values()) {
		const version = instance.state.tables.configuration?.version ?? 0;
		if (version < (lastVersions.get(instance) ?? 0)) {
			reversions.push(`${instance.id} reverted to version ${version}`);
		}

		lastVersions.set(instance, version);
	}

	workload.fleet.schedule(checkIntervalMs, () => {
		watchVersions(workload, reversions, lastVersions);
	});
}

function checkInvariants(seed: number, faults: readonly Fault[]): void {
	const workload = new ShareWorkload({
		seed, accounts, instanceCount: 5, skew: 0.4, fleet: fleetSettings,
	});
	const excesses: ShareExcess[] = [];
	watchShareSums(workload, excesses);
	const reversions: string[] = [];
	watchVersions(workload, reversions);
	workload.fleet.runFor(14_000);
	for (const fault of faults) {
		injectFault(workload, fault);
		workload.run(fault.pauseMs);
	}

	workload.run(6000);
	assert.deepEqual(excesses.slice(0, 1), []);
	assert.deepEqual(reversions.slice(0, 1), []);
	for (const {name, rate, burst} of accounts) {
		const sendTimes = workload.fleet.sent.filter(({account}) => account === name).map(({at}) => at);
		assert.equal(computeOverrun(sendTimes, rate, burst), 0, `${name} exceeded its rate and burst`);
	}
}

await test('under random faults, shares never sum to more than the limit, no account exceeds its rate and burst, and no version reverts', () => {
	const faultsArbitrary = fc.array(faultArbitrary, {minLength: 2, maxLength: 12});
	fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), faultsArbitrary, checkInvariants), {seed: 1, numRuns: Number(process.env.RUNS ?? 40)});
});

await test('shares never sum to more than the limit when an instance returns to the list after a long absence', () => {
	// The instance may own a share only after its peers know of it; an earlier share would exceed the limit.
	const settle = {
		kind: 'quiet', index: 0, durationMs: 0, pauseMs: 6000,
	};
	checkInvariants(1, [settle, settle, {...settle, kind: 'unlist', index: 3}, settle, {...settle, kind: 'relist', index: 3}, settle]);
});
