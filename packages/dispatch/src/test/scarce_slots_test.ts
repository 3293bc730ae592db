/**
 * Tests the choice among few plain targets with few slots in virtual time: no target states
 * its load, and each instance knows only its own requests.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {choosePlacement} from '../lib/targets/placement.js';
import {computeRankHash, type FleetView} from '../lib/targets/target-limits.js';
import {
	createTarget, recordSend, recordSendEnd, type Target,
} from '../lib/targets/target-state.js';
import {createTargetRecord} from './gateway-fixture.js';
import {createVirtualClock} from './virtual-clock.js';

const slots = 6;
const zones = ['zone-a', 'zone-b', 'zone-c'];
const durationMs = 240_000;

type Load = {
	readonly instanceCount: number;
	readonly targetCount: number;
	readonly requestsPerS: number;
	readonly workMs: number;
	readonly otherZoneMs: number;
	/** Index of the zone with 1.55 times the mean demand; `undefined` if all are equal. */
	readonly hotZone?: number;
	/** Places in the queue of a target; without one, it rejects when its slots are taken. */
	readonly queueLength: number;
	/** True for the choice of pools whose targets state their load. */
	readonly isLoadStated?: boolean;
	readonly seed: number;
};
type Figures = {
	readonly meanWaitMs: number;
	/** 99th percentile of the time that a request took in addition to its work. */
	readonly p99Ms: number;
	/** Mean of the same. */
	readonly meanMs: number;
	/** Share of the requests that were rejected, and of those that met a full target while another one had a free slot. */
	readonly rejectedShare: number;
	readonly misplacedShare: number;
	/** Requests that all targets rejected. */
	readonly lostCount: number;
};

type SimulatedTarget = {readonly index: number; readonly zone: string; busy: number; readonly queue: Array<() => void>};

function simulatePool({
	instanceCount, targetCount, requestsPerS, workMs, otherZoneMs, hotZone, queueLength, isLoadStated = false, seed,
}: Load): Figures {
	const clock = createVirtualClock(seed);
	const targets: SimulatedTarget[] = Array.from({length: targetCount}, (_, index) => ({
		index, zone: zones[index % 3]!, busy: 0, queue: [],
	}));
	const memberHashes = Array.from({length: instanceCount}, (_, index) => computeRankHash(`gateway-${index}`));
	const instances = memberHashes.map((selfHash, index) => {
		const fleet: FleetView = {selfHash, memberHashes, size: instanceCount + Math.ceil(instanceCount * 0.2)};
		const known = targets.map(({zone}, number): Target => ({
			...createTarget(createTargetRecord(`desk-${number}`, {zone, slots}), {pausedUntil: 0}, 0),
			...(isLoadStated && {reportedLoad: {at: -1e9, load: 0, othersLoad: 0}}),
		}));
		return {zone: zones[index % 3]!, fleet, known};
	});
	const times: number[] = [];
	let [waitMs, rejectedCount, misplacedCount, lostCount, nextId] = [0, 0, 0, 0, 0];

	const startWork = (target: SimulatedTarget, workTimeMs: number, finish: () => void) => {
		target.busy++;
		clock.schedule(workTimeMs, () => {
			target.busy--;
			target.queue.shift()?.();
			finish();
		});
	};

	const send = (instance: typeof instances[number], requestId: string, arrivedAt: number, triedTargetIds: Set<string>) => {
		const placement = choosePlacement({
			pool: {name: 'desk', coldRatePerS: 0}, targets: instance.known, closedZones: new Set(), zone: instance.zone, fleet: instance.fleet,
			coldBounds: {overshoot: 1.5, slack: 5},
		}, {requestId, triedTargetIds, isRetryable: false}, clock.now);
		if (placement === undefined) {
			lostCount++;
			return;
		}

		const known = placement.target;
		const target = targets[instance.known.indexOf(known)]!;
		const wayMs = target.zone === instance.zone ? 0.1 : otherZoneMs;
		recordSend(known, clock.now);
		clock.schedule(wayMs, () => {
			const reachedAt = clock.now;
			const workTimeMs = workMs * (0.85 + (0.3 * clock.random()));
			const run = () => {
				waitMs += clock.now - reachedAt;
				startWork(target, workTimeMs, () => {
					clock.schedule(wayMs, () => {
						recordSendEnd(known);
						times.push(clock.now - arrivedAt - workTimeMs);
					});
				});
			};

			misplacedCount += target.busy >= slots && targets.some(({busy}) => busy < slots) ? 1 : 0;
			if (target.busy < slots) {
				run();
			} else if (target.queue.length < queueLength) {
				target.queue.push(run);
			} else {
				rejectedCount++;
				clock.schedule(wayMs, () => {
					recordSendEnd(known);
					known.rejections.record(clock.now);
					send(instance, requestId, arrivedAt, triedTargetIds.add(known.record.id));
				});
			}
		});
	};

	const weights = zones.map((_, index) => hotZone === undefined ? 1 : (index === hotZone ? 1.55 : 0.725));
	const receive = () => {
		const zoneDraw = clock.random() * 3;
		const zone = zoneDraw < weights[0]! ? zones[0]! : (zoneDraw < weights[0]! + weights[1]! ? zones[1]! : zones[2]!);
		const inZone = instances.filter(instance => instance.zone === zone);
		send(inZone[Math.floor(clock.random() * inZone.length)]!, `request-${nextId++}`, clock.now, new Set());
		if (clock.now < durationMs) {
			clock.schedule(-Math.log(1 - clock.random()) * 1000 / requestsPerS, receive);
		}
	};

	clock.schedule(0, receive);
	clock.run();
	times.sort((a, b) => a - b);
	return {
		meanWaitMs: waitMs / times.length, p99Ms: times[Math.floor(times.length * 0.99)]!, meanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
		rejectedShare: rejectedCount / nextId, misplacedShare: misplacedCount / nextId, lostCount,
	};
}

/** Queue of the platform's plain targets. */
const queueLength = 24;
const loads = [
	{
		name: 'records service', targetCount: 3, requestsPerS: 71, workMs: 86, otherZoneMs: 1.4,
	},
	{
		name: 'build farm', targetCount: 4, requestsPerS: 128, workMs: 69, otherZoneMs: 0.9,
	},
];

for (const {name, ...load} of loads) {
	for (const instanceCount of [7, 70, 100]) {
		for (const hotZone of [undefined, 0, 1]) {
			const fields = {
				...load, instanceCount, hotZone, seed: 11,
			};
			const title = `${name}, ${instanceCount} instances, ${hotZone === undefined ? 'equal zones' : `1.55 times the mean demand in ${zones[hotZone]}`}`;
			test(`few plain targets neither queue nor reject while others have free slots (${title})`, t => {
				const queueing = simulatePool({...fields, queueLength});
				const rejecting = simulatePool({...fields, queueLength: 0});
				t.diagnostic(JSON.stringify({queueing, rejecting}));
				// A place in a queue costs a caller the rest of another request: fewer than 1 in 100 may wait for a third of one.
				assert.ok(queueing.p99Ms < load.workMs / 3, `99th percentile ${queueing.p99Ms} ms`);
				// The way to another zone and back may not cost more than it saves: a caller notices no 3 ms.
				assert.ok(queueing.meanMs < 3, `mean ${queueing.meanMs} ms`);
				// Each rejection is a retry; the budget for retries is 20 in 100 for all causes together.
				assert.ok(rejecting.rejectedShare < 0.03, `share of rejections ${rejecting.rejectedShare}`);
				// Without any exchange about the last 80 ms, some requests have to meet a full target by chance.
				assert.ok(Math.max(queueing.misplacedShare, rejecting.misplacedShare) < 0.03, `share of full targets chosen ${queueing.misplacedShare}, ${rejecting.misplacedShare}`);
				assert.ok(rejecting.lostCount < 10, `${rejecting.lostCount} requests lost`);
			});
		}
	}
}

// Guards against the preference for the own zone: the one target in a zone with a larger demand had a queue while others were idle.
test('the spread over all zones saves most of the waits where the demand of one zone is larger', t => {
	for (const {name, ...load} of loads) {
		const fields = {
			...load, instanceCount: 100, hotZone: load.targetCount === 4 ? 1 : 0, queueLength, seed: 5,
		};
		const spread = simulatePool(fields);
		const preferred = simulatePool({...fields, isLoadStated: true});
		t.diagnostic(JSON.stringify({name, spread, preferred}));
		assert.ok(spread.meanWaitMs < preferred.meanWaitMs / 2, `${spread.meanWaitMs} ms instead of ${preferred.meanWaitMs} ms`);
	}
});
