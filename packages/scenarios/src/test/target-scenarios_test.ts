/**
 * Scenarios about what targets bear, over a fleet of reducers.
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
	eventAt = 0;
	readonly peaks = new Map<string, number>();
	readonly failing = new Set<string>();
	#fleet?: ReducerFleet;
	#requestCount = 0;

	/** The fleet, started when it is first needed. */
	get fleet(): ReducerFleet {
		this.#fleet ??= this.#start();
		return this.#fleet;
	}

	send(router: number, chatKey: string): void {
		this.fleet.request(`router-${router}`, `r${this.#requestCount++}`, {
			account: 'crew', keyDigest: describeExampleKey('crew').digest, chatKey, ...exampleModelRoute,
		});
	}

	/** Sends from each router at a rate; chats of one target or of any. */
	sendSteadily(rate: number, seconds: number, targetId?: string): void {
		for (let index = 0; index < rate * seconds; index++) {
			for (let router = 0; router < this.routerCount; router++) {
				this.send(router, this.findChat(targetId));
			}

			this.fleet.runFor(1000 / rate);
		}
	}

	/** Finds another chat whose home is the target. */
	findChat(targetId?: string): string {
		for (let number = this.#requestCount * 100; ; number++) {
			const chatKey = `chat-${number}`;
			if (targetId === undefined || this.#findHome(chatKey) === targetId) {
				return chatKey;
			}
		}
	}

	countInFlight(targetId: string): number {
		return this.fleet.inFlight.get(targetId) ?? 0;
	}

	listLate(targetIds: readonly string[], seconds: number): string[] {
		const late = this.fleet.sent.filter(({at, targetId}) => targetIds.includes(targetId) && at > this.eventAt + (seconds * 1000));
		return late.map(({targetId, at}) => `${targetId} at ${at - this.eventAt} ms`);
	}

	#findHome(chatKey: string): string {
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
			this.peaks.set(targetId, Math.max(this.peaks.get(targetId) ?? 0, fleet.inFlight.get(targetId)!));
			const isFailing = this.failing.has(targetId);
			fleet.schedule(isFailing ? 100 : serviceMs, () => {
				fleet.endAttempt(instance, effect, isFailing ? attemptOutcome.unknown : attemptOutcome.complete);
			});
		};

		fleet.runFor(20_000);
		return fleet;
	}
}

function takeZoneOut(world: World, zone: string): void {
	world.eventAt = world.fleet.now;
	const {configuration} = world.fleet;
	world.fleet.configuration = {...configuration, drainedZones: [zone], version: configuration.version + 1};
}

await runFeature(new URL('../../features/targets.feature', import.meta.url), () => new World(), [
	[/^(\d+) routers under a ceiling of (\d+) and (\d+) targets in 3 zones$/, (world, routers, ceiling, targets) => {
		world.routerCount = Number(routers);
		world.ceiling = Number(ceiling);
		world.targetCount = Number(targets);
	}],
	[/^each target has (\d+) slots, (\d+) of them while cold, and is cold for (\d+) seconds$/, (world, slots, cold, seconds) => {
		world.pool = {slotsPerTarget: Number(slots), coldSlots: Number(cold), warmAfterMs: Number(seconds) * 1000};
	}],
	[/^a load multiple of ([\d.]+) and a floor of (\d+)$/, (world, multiple, floor) => {
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
	[/^(each router|router 0) sends (\d+) requests to chats of "(.+)" at once$/, (world, who, count, targetId) => {
		for (let router = 0; router < (who === 'router 0' ? 1 : world.routerCount); router++) {
			for (let index = 0; index < Number(count); index++) {
				world.send(router, world.findChat(targetId));
			}
		}

		world.fleet.runFor(500);
	}],
	[/^router 0 decides on (\d+) requests and pauses for (\d+) seconds$/, (world, count, seconds) => {
		for (let index = 0; index < Number(count); index++) {
			world.send(0, world.findChat('fitbrain-1'));
		}

		world.fleet.freeze('router-0', Number(seconds) * 1000);
	}],
	[/^router 0 sent (\d+) requests after its pause$/, (world, count) => {
		const sent = world.fleet.sent.filter(({at, instanceId}) => instanceId === 'router-0' && at >= world.eventAt);
		assert.equal(sent.length, Number(count));
	}],
	[/^nothing is sent for (\d+) seconds$/, (world, seconds) => {
		world.fleet.runFor(Number(seconds) * 1000);
	}],
	[/^every router is alone$/, world => {
		for (const [side, instance] of [...world.fleet.instances.values()].entries()) {
			instance.partition = side;
		}
	}],
	[/^router 0 is cut from the platform$/, world => {
		world.fleet.instances.get('router-0')!.isPlatformUnreachable = true;
	}],
	[/^"(.+)" restarts$/, (world, targetId) => {
		world.fleet.restartTarget(targetId);
	}],
	[/^a new target "(.+)" joins$/, (world, id) => {
		const {fleet} = world;
		fleet.boots.set(id, {bootId: `${id}-boot`, bootedAt: fleet.now});
		const listed = {
			id, pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live' as const, since: fleet.now,
		};
		fleet.changeList(list => ({...list, targets: [...list.targets, listed]}));
	}],
	[/^"(zone-.)" is taken out while requests wait$/, (world, zone) => {
		takeZoneOut(world, zone);
	}],
	[/^"(.+)" leaves and fails every request$/, (world, targetId) => {
		world.eventAt = world.fleet.now;
		world.failing.add(targetId);
		world.fleet.changeList(list => ({...list, targets: list.targets.map(target => target.id === targetId ? {...target, state: 'leaving'} : target)}));
	}],
	[/^"(.+)" has at most (\d+) requests in flight$/, (world, targetId, most) => {
		assert.ok(world.countInFlight(targetId) <= Number(most), `${world.countInFlight(targetId)} in flight`);
	}],
	[/^"(.+)" has at least (\d+) requests in flight$/, (world, targetId, least) => {
		assert.ok(world.countInFlight(targetId) >= Number(least), `${world.countInFlight(targetId)} in flight`);
	}],
	[/^"(.+)" has at most ([\d.]+) times the mean and (\d+) requests in flight$/, (world, targetId, multiple, floors) => {
		const total = [...world.fleet.inFlight.values()].reduce((sum, count) => sum + count, 0);
		const bound = (Number(multiple) * total / world.targetCount) + Number(floors);
		assert.ok(total > 0 && world.countInFlight(targetId) <= bound, `${world.countInFlight(targetId)} in flight, bound ${bound}`);
	}],
	[/^"(.+)" never had more than (\d+) requests in flight$/, (world, targetId, most) => {
		assert.ok((world.peaks.get(targetId) ?? 0) <= Number(most), `${world.peaks.get(targetId)} in flight`);
	}],
	[/^no target ever had more than (\d+) requests in flight$/, (world, most) => {
		assert.ok(Math.max(...world.peaks.values()) <= Number(most));
	}],
	[/^"(.+)" got at least (\d+) requests$/, (world, targetId, least) => {
		const count = world.fleet.sent.filter(sent => sent.targetId === targetId).length;
		assert.ok(count >= Number(least), `${count} requests`);
	}],
	[/^no target in "(.+)" got new work later than ([\d.]+) seconds after$/, (world, zone, seconds) => {
		const targetIds = world.fleet.list.targets.filter(target => target.zone === zone).map(({id}) => id);
		assert.ok(world.fleet.sent.length > 0 || world.fleet.refused.length > 0, 'something was asked for');
		assert.deepEqual(world.listLate(targetIds, Number(seconds)), []);
	}],
	[/^"(.+)" got no new work later than ([\d.]+) seconds after$/, (world, targetId, seconds) => {
		assert.deepEqual(world.listLate([targetId], Number(seconds)), []);
	}],
	[/^no request was refused$/, world => {
		assert.deepEqual(world.fleet.refused.map(({refusal}) => refusal.message), []);
	}],
]);
