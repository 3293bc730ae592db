/**
 * Properties of the bounds on targets, over fleets of reducers with faults.
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
/** Time between two requests, in milliseconds. */
const requestIntervalMs = 20;
/** Time that a request takes at least and at most. */
const shortestServiceMs = 400;
const longestServiceMs = 6000;
const loadBoundPool = {
	slotsPerTarget: 200, loadFloor: 2, loadMultiple: 1.5, warmAfterMs: 0, queueMs: 300,
};
const slotPool = {
	slotsPerTarget: 16, loadFloor: 16, loadMultiple: 50, coldSlots: 2, warmAfterMs: 9000, queueMs: 300,
};

const faultKinds = ['kill', 'freeze', 'split', 'split-all', 'join', 'cut-from-platform', 'noisy-network', 'restart-target'] as const;
type Fault = {readonly kind: typeof faultKinds[number]; readonly index: number; readonly afterMs: number};

const createFaults = (kinds: ReadonlyArray<Fault['kind']>) => fc.array(fc.record({
	kind: fc.constantFrom(...kinds), index: fc.nat(routerCount - 1), afterMs: fc.integer({min: 200, max: 2500}),
}), {minLength: 2, maxLength: 8});

/** A fleet under steady, skewed demand for few chats, so that targets are wanted beyond their bounds. */
class BoundsFleet {
	readonly fleet: ReducerFleet;
	readonly pool: Configuration['pools'][number];
	readonly #digest = describeExampleKey('crew').digest;
	#requestCount = 0;
	#startedCount = routerCount;
	/** Which of the routers gets most requests. */
	#busyIndex = 0;

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
			const index = fleet.drawInteger(0, 9) > 0 ? this.#busyIndex : fleet.drawInteger(0, routerCount);
			const id = ids[index % ids.length]!;
			fleet.request(id, `r${this.#requestCount++}`, {
				account: 'crew', keyDigest: this.#digest, chatKey: `chat-${fleet.drawInteger(0, 5)}`, ...exampleModelRoute,
			});
		}
	}

	apply({kind, index, afterMs}: Fault): void {
		const {fleet} = this;
		this.#busyIndex = afterMs % routerCount;
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
				for (const [side, instance] of [...fleet.instances.values()].entries()) {
					instance.partition = side;
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

/** Runs faults one after the other and calls `check` at each placement. */
function checkPlacements(
	seed: number,
	pool: Partial<Configuration['pools'][number]>,
	faults: readonly Fault[],
	createCheck: (bounds: BoundsFleet) => (targetId: string, instanceId: string) => void,
): void {
	const bounds = new BoundsFleet(seed, pool);
	const {fleet} = bounds;
	const check = createCheck(bounds);
	fleet.onDispatch = (instance, effect) => {
		check(effect.targetId, instance.id);
		fleet.schedule(fleet.drawInteger(shortestServiceMs, longestServiceMs), () => {
			fleet.endAttempt(instance, effect, attemptOutcome.complete);
		});
	};

	bounds.run(2000);
	for (const fault of faults) {
		bounds.apply(fault);
		bounds.run(fault.afterMs);
	}

	assert.ok(fleet.sent.length > 0, 'something was placed');
}

void test('requests in flight never exceed a target\'s slots, nor new ones what a cold target bears', () => {
	fc.assert(fc.property(fc.nat(1000), createFaults(faultKinds), (seed, faults) => {
		checkPlacements(seed, slotPool, faults, ({fleet, pool}) => {
			const coldPlacements = new Map<string, number[]>();
			return targetId => {
				const load = fleet.inFlight.get(targetId)!;
				assert.ok(load <= pool.slotsPerTarget, `${load} in flight at ${targetId} with ${pool.slotsPerTarget} slots`);
				const {bootId, bootedAt} = fleet.boots.get(targetId) ?? {bootId: '', bootedAt: Number.NEGATIVE_INFINITY};
				const age = fleet.now - bootedAt;
				if (age <= restartDetectionLimitMs || age >= pool.warmAfterMs) {
					return;
				}

				// Requests placed within the shortest time of service are all still there.
				const recent = [...coldPlacements.get(bootId) ?? [], fleet.now].filter(at => fleet.now - at < shortestServiceMs);
				coldPlacements.set(bootId, recent);
				assert.ok(recent.length <= pool.coldSlots, `${recent.length} new requests at the cold target ${targetId}`);
			};
		});
	}), {seed: 401, numRuns: 60});
});

void test('a target\'s load stays under the multiple of the mean plus three floors, whatever the routers hear of each other', () => {
	// A router's mean is over the targets that it sees open, so the targets stay as they are.
	const kinds = faultKinds.filter(kind => kind !== 'restart-target');
	fc.assert(fc.property(fc.nat(1000), createFaults(kinds), (seed, faults) => {
		checkPlacements(seed, loadBoundPool, faults, ({fleet, pool}) => {
			const history: Array<{readonly at: number; readonly instanceId: string; readonly inFlight: number}> = [];
			return targetId => {
				for (const {id, state} of fleet.instances.values()) {
					const inFlight = [...state.targets.targets.values()].reduce((sum, target) => sum + target.inFlight, 0);
					history.push({at: fleet.now, instanceId: id, inFlight});
				}

				const peaks = new Map<string, number>();
				for (const {instanceId, inFlight} of history.filter(({at}) => fleet.now - at <= longestServiceMs)) {
					peaks.set(instanceId, Math.max(peaks.get(instanceId) ?? 0, inFlight));
				}

				const mean = [...peaks.values()].reduce((sum, peak) => sum + peak, 0) / targetCount;
				const load = fleet.inFlight.get(targetId)!;
				assert.ok(load <= (pool.loadMultiple * mean) + (3 * pool.loadFloor), `${load} in flight at ${targetId}, mean ${mean}`);
			};
		});
	}), {seed: 402, numRuns: 25});
});

void test('a start late on the process\'s clock is no pause, a gap between events is', () => {
	const self = {
		instanceId: 'router-0', incarnation: 'i1', zone: 'zone-a', startedAt: 5000,
	};
	const state = createState(self, {targetChoice: new RendezvousChoice()});
	reduce(state, {kind: eventKind.tick}, 5000);
	assert.equal(state.membership.resumedAt, undefined);
	reduce(state, {kind: eventKind.tick}, 6500);
	assert.equal(state.membership.resumedAt, 6500);
});
