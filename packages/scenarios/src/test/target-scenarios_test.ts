/**
 * Scenarios of the limits on the load of targets, over a fleet of reducers.
 */
import assert from 'node:assert/strict';
import {
	attemptOutcome, hashText, mixHashes, type Configuration,
} from '@sequoiatally/core';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../lib/example-configuration.js';
import {ReducerFleet} from '../lib/reducer-fleet.js';
import {runFeature, ScenarioWorld} from '../lib/run-feature.js';

const zones = ['zone-a', 'zone-b', 'zone-c'];
const serviceMs = 2000;

class World extends ScenarioWorld {
	routerCount = 0;
	ceiling = 0;
	targetCount = 0;
	pool: Partial<Configuration['pools'][number]> = {};
	/** Virtual time at which a zone was drained or a target began to leave. */
	changedAt = 0;
	readonly peakInFlight = new Map<string, number>();
	readonly failingTargetIds = new Set<string>();
	#fleet?: ReducerFleet;
	#requestCount = 0;

	/** The fleet; the first access starts it. */
	get fleet(): ReducerFleet {
		this.#fleet ??= this.#start();
		return this.#fleet;
	}

	send(router: number, chatKey: string): void {
		this.fleet.request(`router-${router}`, `r${this.#requestCount++}`, {
			account: 'crew', keyDigest: describeExampleKey('crew').digest, chatKey, ...exampleModelRoute,
		});
	}

	/** Sends `rate` requests a second from each router, to chats whose home is `targetId`, or to any chat if it is `undefined`. */
	sendSteadily(rate: number, seconds: number, targetId?: string): void {
		for (let index = 0; index < rate * seconds; index++) {
			for (let router = 0; router < this.routerCount; router++) {
				this.send(router, this.findChatKey(targetId));
			}

			this.fleet.runFor(1000 / rate);
		}
	}

	/** Finds an unused chat key whose home is `targetId`; any unused key if `targetId` is `undefined`. */
	findChatKey(targetId?: string): string {
		for (let number = this.#requestCount * 100; ; number++) {
			const chatKey = `chat-${number}`;
			if (targetId === undefined || this.#findHomeTarget(chatKey) === targetId) {
				return chatKey;
			}
		}
	}

	countInFlight(targetId: string): number {
		return this.fleet.inFlight.get(targetId) ?? 0;
	}

	listLateRequests(targetIds: readonly string[], seconds: number): string[] {
		const lateRequests = this.fleet.sent.filter(({at, targetId}) => targetIds.includes(targetId) && at > this.changedAt + (seconds * 1000));
		return lateRequests.map(({targetId, at}) => `${targetId} at ${at - this.changedAt} ms`);
	}

	/** Finds the home of a chat: its first choice by rendezvous hashing, however loaded that target is. */
	#findHomeTarget(chatKey: string): string {
		const chatHash = hashText(chatKey);
		const score = (id: string) => mixHashes(chatHash, hashText(id));
		return this.fleet.list.targets.map(({id}) => id).toSorted((a, b) => score(b) - score(a))[0]!;
	}

	#start(): ReducerFleet {
		const configuration = createExampleConfiguration([{name: 'crew', rate: 100_000, burst: 100_000}], {ceiling: this.ceiling}, this.pool);
		const fleet = new ReducerFleet({seed: 7, configuration, listLagMs: 500});
		const targets = Array.from({length: this.targetCount}, (_, index) => ({
			id: `fitbrain-${index}`, pool: 'fitbrain', address: '', zone: zones[index % zones.length]!, state: 'live' as const, since: 0,
		}));
		fleet.changeList(list => ({...list, targets}));
		for (let index = 0; index < this.routerCount; index++) {
			fleet.start(`router-${index}`, zones[index % zones.length]);
		}

		fleet.onDispatch = (instance, effect) => {
			const {targetId} = effect;
			this.peakInFlight.set(targetId, Math.max(this.peakInFlight.get(targetId) ?? 0, fleet.inFlight.get(targetId)!));
			const isFailing = this.failingTargetIds.has(targetId);
			fleet.schedule(isFailing ? 100 : serviceMs, () => {
				fleet.endAttempt(instance, effect, isFailing ? attemptOutcome.unknown : attemptOutcome.complete);
			});
		};

		fleet.runFor(20_000);
		return fleet;
	}
}

function drainZone(world: World, zone: string): void {
	world.changedAt = world.fleet.now;
	const {configuration} = world.fleet;
	world.fleet.configuration = {...configuration, drainedZones: [zone], version: configuration.version + 1};
}

await runFeature(new URL('../../features/targets.feature', import.meta.url), () => new World(), [
	[/^(\d+) routers with a ceiling of (\d+) and (\d+) targets in 3 zones$/, (world, routers, ceiling, targets) => {
		world.routerCount = Number(routers);
		world.ceiling = Number(ceiling);
		world.targetCount = Number(targets);
	}],
	[/^each target has (\d+) slots, (\d+) of them while cold, and is cold for (\d+) seconds$/, (world, slots, coldSlots, seconds) => {
		world.pool = {slotsPerTarget: Number(slots), coldSlots: Number(coldSlots), warmAfterMs: Number(seconds) * 1000};
	}],
	[/^a load multiple of ([\d.]+), a load floor of (\d+) and 320 slots for each target$/, (world, multiple, floor) => {
		world.pool = {
			...world.pool, loadMultiple: Number(multiple), loadFloor: Number(floor), slotsPerTarget: 320,
		};
	}],
	[/^each router sends (\d+) requests a second to chats of "(.+)" for (\d+) seconds$/, (world, rate, targetId, seconds) => {
		world.sendSteadily(Number(rate), Number(seconds), targetId);
	}],
	[/^each router sends (\d+) requests a second to any chat for (\d+) seconds$/, (world, rate, seconds) => {
		world.sendSteadily(Number(rate), Number(seconds));
	}],
	[/^(each router|router 0) sends (\d+) requests to chats of "(.+)" at once$/, (world, sender, count, targetId) => {
		for (let router = 0; router < (sender === 'router 0' ? 1 : world.routerCount); router++) {
			for (let index = 0; index < Number(count); index++) {
				world.send(router, world.findChatKey(targetId));
			}
		}

		world.fleet.runFor(500);
	}],
	[/^router 0 chooses targets for (\d+) requests to chats of "fitbrain-1" and pauses for (\d+) seconds$/, (world, count, seconds) => {
		for (let index = 0; index < Number(count); index++) {
			world.send(0, world.findChatKey('fitbrain-1'));
		}

		world.fleet.freeze('router-0', Number(seconds) * 1000);
	}],
	[/^router 0 sent (\d+) requests after its pause$/, (world, count) => {
		const sent = world.fleet.sent.filter(({at, instanceId}) => instanceId === 'router-0' && at >= world.changedAt);
		assert.equal(sent.length, Number(count));
	}],
	[/^nothing is sent for (\d+) seconds$/, (world, seconds) => {
		world.fleet.runFor(Number(seconds) * 1000);
	}],
	[/^no router can reach another$/, world => {
		for (const [partition, instance] of [...world.fleet.instances.values()].entries()) {
			instance.partition = partition;
		}
	}],
	[/^router 0 cannot reach the platform$/, world => {
		world.fleet.instances.get('router-0')!.isPlatformUnreachable = true;
	}],
	[/^"(.+)" restarts$/, (world, targetId) => {
		world.fleet.restartTarget(targetId);
	}],
	[/^a new target "(.+)" joins$/, (world, id) => {
		const {fleet} = world;
		fleet.boots.set(id, {bootId: `${id}-boot`, bootedAt: fleet.now});
		const newTarget = {
			id, pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live' as const, since: fleet.now,
		};
		fleet.changeList(list => ({...list, targets: [...list.targets, newTarget]}));
	}],
	[/^"(zone-.)" is drained$/, (world, zone) => {
		drainZone(world, zone);
	}],
	[/^"(.+)" is leaving and fails every request$/, (world, targetId) => {
		world.changedAt = world.fleet.now;
		world.failingTargetIds.add(targetId);
		world.fleet.changeList(list => ({...list, targets: list.targets.map(target => target.id === targetId ? {...target, state: 'leaving'} : target)}));
	}],
	[/^"(.+)" has at most (\d+) requests in flight$/, (world, targetId, maximum) => {
		assert.ok(world.countInFlight(targetId) <= Number(maximum), `${world.countInFlight(targetId)} in flight`);
	}],
	[/^"(.+)" has at least (\d+) requests in flight$/, (world, targetId, minimum) => {
		assert.ok(world.countInFlight(targetId) >= Number(minimum), `${world.countInFlight(targetId)} in flight`);
	}],
	[/^"(.+)" has at most ([\d.]+) times the mean plus (\d+) requests in flight$/, (world, targetId, multiple, margin) => {
		const total = [...world.fleet.inFlight.values()].reduce((sum, count) => sum + count, 0);
		const bound = (Number(multiple) * total / world.targetCount) + Number(margin);
		assert.ok(total > 0 && world.countInFlight(targetId) <= bound, `${world.countInFlight(targetId)} in flight, bound ${bound}`);
	}],
	[/^"(.+)" never had more than (\d+) requests in flight$/, (world, targetId, maximum) => {
		assert.ok((world.peakInFlight.get(targetId) ?? 0) <= Number(maximum), `${world.peakInFlight.get(targetId)} in flight`);
	}],
	[/^no target ever had more than (\d+) requests in flight$/, (world, maximum) => {
		assert.ok(Math.max(...world.peakInFlight.values()) <= Number(maximum));
	}],
	[/^"(.+)" got at least (\d+) requests$/, (world, targetId, minimum) => {
		const count = world.fleet.sent.filter(sent => sent.targetId === targetId).length;
		assert.ok(count >= Number(minimum), `${count} requests`);
	}],
	[/^no target in "(.+)" got new work more than ([\d.]+) seconds after the drain$/, (world, zone, seconds) => {
		const targetIds = world.fleet.list.targets.filter(target => target.zone === zone).map(({id}) => id);
		assert.ok(world.fleet.sent.length > 0 || world.fleet.refused.length > 0, 'at least one request was sent or refused');
		assert.deepEqual(world.listLateRequests(targetIds, Number(seconds)), []);
	}],
	[/^"(.+)" got no new work more than ([\d.]+) seconds after it began to leave$/, (world, targetId, seconds) => {
		assert.deepEqual(world.listLateRequests([targetId], Number(seconds)), []);
	}],
	[/^no request was refused$/, world => {
		assert.deepEqual(world.fleet.refused.map(({refusal}) => refusal.message), []);
	}],
]);
