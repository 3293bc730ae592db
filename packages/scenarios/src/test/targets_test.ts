/**
 * Properties of the limits on the load of targets, over fleets of reducers with
 * random faults.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	attemptOutcome, createState, eventKind, reduce, RendezvousChoice, type Configuration,
} from '@sequoiatally/core';
import fc from 'fast-check';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../lib/example-configuration.js';
import {ReducerFleet} from '../lib/reducer-fleet.js';
import {restartDetectionLimitMs} from '../lib/routing-run.js';

const routerCount = 7;
const ceiling = 8;
const targetCount = 4;
/** Interval between two requests, in milliseconds. */
const requestIntervalMs = 20;
/** Range of the time that a target takes for a request, in milliseconds. */
const minServiceMs = 400;
const maxServiceMs = 6000;
const loadBoundPool = {
	slotsPerTarget: 200, loadFloor: 2, loadMultiple: 1.5, warmAfterMs: 0, queueMs: 300,
};
const slotPool = {
	slotsPerTarget: 16, loadFloor: 16, loadMultiple: 50, coldSlots: 2, warmAfterMs: 9000, queueMs: 300,
};

const faultKinds = ['kill', 'freeze', 'split', 'split-all', 'join', 'cut-from-platform', 'noisy-network', 'restart-target'] as const;
type Fault = {readonly kind: typeof faultKinds[number]; readonly index: number; readonly afterMs: number};

const createFaultsArbitrary = (kinds: ReadonlyArray<Fault['kind']>) => fc.array(fc.record({
	kind: fc.constantFrom(...kinds), index: fc.nat(routerCount - 1), afterMs: fc.integer({min: 200, max: 2500}),
}), {minLength: 2, maxLength: 8});

/** A fleet under steady, skewed demand for few chats, so that the demand for targets exceeds their limits. */
class SkewedLoadFleet {
	readonly fleet: ReducerFleet;
	readonly pool: Configuration['pools'][number];
	readonly #digest = describeExampleKey('crew').digest;
	#requestCount = 0;
	#startedCount = routerCount;
	/** Index of the router that receives most requests. */
	#busiestIndex = 0;

	constructor(seed: number, pool: Partial<Configuration['pools'][number]>) {
		const configuration = createExampleConfiguration(
			[{name: 'crew', rate: 10_000, burst: 10_000}],
			{
				ceiling, listLagMs: 300, freshMs: 1000, loanTermMs: 1000,
			},
			pool,
		);
		this.pool = configuration.pools[0]!;
		this.fleet = new ReducerFleet({seed, configuration, listLagMs: 300});
		const targets = Array.from({length: targetCount}, (_, index) => ({
			id: `fitbrain-${index}`, pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live' as const, since: 0,
		}));
		this.fleet.changeList(list => ({...list, targets}));
		for (let index = 0; index < routerCount; index++) {
			this.fleet.start(`router-${index}`);
		}

		this.fleet.runFor(10_000);
	}

	run(durationMs: number): void {
		const {fleet} = this;
		const endAt = fleet.now + durationMs;
		while (fleet.now < endAt) {
			fleet.runFor(requestIntervalMs);
			const ids = [...fleet.instances.values()].filter(({isAlive}) => isAlive).map(({id}) => id);
			const index = fleet.drawInteger(0, 9) > 0 ? this.#busiestIndex : fleet.drawInteger(0, routerCount);
			const id = ids[index % ids.length]!;
			fleet.request(id, `r${this.#requestCount++}`, {
				account: 'crew', keyDigest: this.#digest, chatKey: `chat-${fleet.drawInteger(0, 5)}`, ...exampleModelRoute,
			});
		}
	}

	applyFault({kind, index, afterMs}: Fault): void {
		const {fleet} = this;
		this.#busiestIndex = afterMs % routerCount;
		const {id} = ([...fleet.instances.values()].filter(({isAlive}) => isAlive)[index % routerCount]!);
		switch (kind) {
			case 'kill': {
				fleet.kill(id);
				fleet.start(`router-${this.#startedCount++}`);
				break;
			}

			case 'freeze': {
				fleet.freeze(id, afterMs * 3);
				break;
			}

			case 'split': {
				fleet.instances.get(id)!.partition = 1;
				break;
			}

			case 'split-all': {
				for (const [partition, instance] of [...fleet.instances.values()].entries()) {
					instance.partition = partition;
				}

				break;
			}

			case 'join': {
				for (const instance of fleet.instances.values()) {
					instance.partition = 0;
					instance.isPlatformUnreachable = false;
				}

				break;
			}

			case 'cut-from-platform': {
				fleet.instances.get(id)!.isPlatformUnreachable = true;
				break;
			}

			case 'noisy-network': {
				fleet.network = {
					minDelayMs: 1, maxDelayMs: 400, lossProbability: 0.2, duplicationProbability: 0.2,
				};
				break;
			}

			case 'restart-target': {
				fleet.restartTarget(`fitbrain-${index % targetCount}`);
				break;
			}
		}
	}
}

/** Injects faults one after the other and checks each dispatched request. */
function checkDispatches(
	seed: number,
	pool: Partial<Configuration['pools'][number]>,
	faults: readonly Fault[],
	createCheck: (skewedFleet: SkewedLoadFleet) => (targetId: string, instanceId: string) => void,
): void {
	const skewedFleet = new SkewedLoadFleet(seed, pool);
	const {fleet} = skewedFleet;
	const check = createCheck(skewedFleet);
	fleet.onDispatch = (instance, effect) => {
		check(effect.targetId, instance.id);
		fleet.schedule(fleet.drawInteger(minServiceMs, maxServiceMs), () => {
			fleet.endAttempt(instance, effect, attemptOutcome.complete);
		});
	};

	skewedFleet.run(2000);
	for (const fault of faults) {
		skewedFleet.applyFault(fault);
		skewedFleet.run(fault.afterMs);
	}

	assert.ok(fleet.sent.length > 0, 'at least one request was dispatched');
}

void test('requests in flight at a target never exceed its slots, and new requests at a cold target never exceed its cold slots once routers had time to detect its restart', () => {
	fc.assert(fc.property(fc.nat(1000), createFaultsArbitrary(faultKinds), (seed, faults) => {
		checkDispatches(seed, slotPool, faults, ({fleet, pool}) => {
			const coldDispatchTimes = new Map<string, number[]>();
			return targetId => {
				const load = fleet.inFlight.get(targetId)!;
				assert.ok(load <= pool.slotsPerTarget, `${load} in flight at ${targetId} with ${pool.slotsPerTarget} slots`);
				const {bootId, bootedAt} = fleet.boots.get(targetId) ?? {bootId: '', bootedAt: Number.NEGATIVE_INFINITY};
				const ageMs = fleet.now - bootedAt;
				if (ageMs <= restartDetectionLimitMs || ageMs >= pool.warmAfterMs) {
					return;
				}

				// Requests dispatched within the shortest service time are all still in flight.
				const recentDispatchTimes = [...coldDispatchTimes.get(bootId) ?? [], fleet.now].filter(at => fleet.now - at < minServiceMs);
				coldDispatchTimes.set(bootId, recentDispatchTimes);
				assert.ok(recentDispatchTimes.length <= pool.coldSlots, `${recentDispatchTimes.length} new requests at the cold target ${targetId}`);
			};
		});
	}), {seed: 401, numRuns: 60});
});

void test('the load of a target stays at or below the load multiple times the mean plus three load floors, even when routers cannot reach each other', () => {
	// A router takes the mean over the targets that it sees as open, so targets do not restart here.
	const kinds = faultKinds.filter(kind => kind !== 'restart-target');
	fc.assert(fc.property(fc.nat(1000), createFaultsArbitrary(kinds), (seed, faults) => {
		checkDispatches(seed, loadBoundPool, faults, ({fleet, pool}) => {
			const inFlightHistory: Array<{readonly at: number; readonly instanceId: string; readonly inFlight: number}> = [];
			return targetId => {
				for (const {id, state} of fleet.instances.values()) {
					const inFlight = [...state.targets.targets.values()].reduce((sum, target) => sum + target.inFlight, 0);
					inFlightHistory.push({at: fleet.now, instanceId: id, inFlight});
				}

				const peakInFlight = new Map<string, number>();
				for (const {instanceId, inFlight} of inFlightHistory.filter(({at}) => fleet.now - at <= maxServiceMs)) {
					peakInFlight.set(instanceId, Math.max(peakInFlight.get(instanceId) ?? 0, inFlight));
				}

				const mean = [...peakInFlight.values()].reduce((sum, peak) => sum + peak, 0) / targetCount;
				const load = fleet.inFlight.get(targetId)!;
				assert.ok(load <= (pool.loadMultiple * mean) + (3 * pool.loadFloor), `${load} in flight at ${targetId}, mean ${mean}`);
			};
		});
	}), {seed: 402, numRuns: 25});
});

void test('a long time before the first event is not taken as a pause, but a gap between two events is', () => {
	const self = {
		instanceId: 'router-0', incarnation: 'i1', zone: 'zone-a', startedAt: 5000,
	};
	const state = createState(self, {targetChoice: new RendezvousChoice()});
	reduce(state, {kind: eventKind.tick}, 5000);
	assert.equal(state.membership.resumedAt, undefined);
	reduce(state, {kind: eventKind.tick}, 6500);
	assert.equal(state.membership.resumedAt, 6500);
});
