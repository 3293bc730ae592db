/**
 * Scenarios over a fleet of reducers: configuration tables and withdrawn keys
 * take effect at every router, and a stale replica does not bring back a
 * withdrawn key.
 */
import assert from 'node:assert/strict';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../lib/example-configuration.js';
import {ReducerFleet} from '../lib/reducer-fleet.js';
import {runFeature, ScenarioWorld} from '../lib/run-feature.js';

const account = {name: 'crew', rate: 100, burst: 200};

class World extends ScenarioWorld {
	fleet!: ReducerFleet;
	withdrawnAt = 0;
	platformCallsBefore = 0;
	newRouterId = '';
	requestCount = 0;

	start(count: number, zoneCount: number): void {
		const configuration = createExampleConfiguration([account], {ceiling: count + 1, staleLimitMs: 30_000}, {slotsPerTarget: 100, queueMs: 30_000});
		this.fleet = new ReducerFleet({seed: 1, configuration, serviceMs: 10});
		this.fleet.changeList(list => ({
			...list, targets: [{
				id: 'fitbrain-0', pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live', since: 0,
			}],
		}));
		for (let index = 0; index < count; index++) {
			this.fleet.start(`router-${index}`, `zone-${index % zoneCount}`);
		}

		this.advance(20_000);
	}

	advance(durationMs: number): void {
		this.platformCallsBefore = this.fleet.platformCallCount;
		this.fleet.runFor(durationMs);
	}

	call(instanceId: string): void {
		this.fleet.request(instanceId, `r${this.requestCount++}`, {account: account.name, keyDigest: describeExampleKey(account.name).digest, ...exampleModelRoute});
	}

	callAll(): void {
		for (const id of this.fleet.instances.keys()) {
			this.call(id);
		}
	}

	withdrawKey(): void {
		const {configuration} = this.fleet;
		this.fleet.configuration = {
			...configuration, version: configuration.version + 1, accounts: configuration.accounts.map(other => ({...other, keyDigests: []})),
		};
		this.withdrawnAt = this.fleet.now;
	}
}

await runFeature(new URL('../../features/configuration.feature', import.meta.url), () => new World(), [
	[/^a fleet of (\d+) routers in (\d+) availability zones$/, (world, count, zoneCount) => {
		world.start(Number(count), Number(zoneCount));
	}],
	[/^router (\d+) cannot reach the configuration service$/, (world, index) => {
		world.fleet.instances.get(`router-${index}`)!.isPlatformUnreachable = true;
	}],
	[/^version (\d+) is published$/, (world, version) => {
		world.fleet.configuration = {...world.fleet.configuration, version: Number(version)};
	}],
	[/^(\d+) seconds pass$/, (world, seconds) => {
		world.advance(Number(seconds) * 1000);
	}],
	[/^every router has applied version (\d+)$/, (world, version) => {
		const versions = [...world.fleet.instances.values()].map(({state}) => state.tables.configuration?.version);
		assert.deepEqual(new Set(versions), new Set([Number(version)]));
	}],
	[/^one replica of the configuration service stops updating$/, world => {
		world.fleet.staleReplica = {at: world.fleet.now, configuration: world.fleet.configuration};
	}],
	[/^the key of "crew" is withdrawn$/, world => {
		world.withdrawKey();
	}],
	[/^a router starts that reads the stale replica$/, world => {
		world.newRouterId = 'router-new';
		world.fleet.start(world.newRouterId).readsStaleReplica = true;
	}],
	[/^"crew" calls the new router for (\d+) seconds$/, (world, seconds) => {
		for (let count = 0; count < Number(seconds) * 20; count++) {
			world.fleet.runFor(50);
			world.call(world.newRouterId);
		}
	}],
	[/^no request of "crew" was sent to a target after the key was withdrawn$/, world => {
		assert.ok(world.fleet.refused.length > 0, 'calls were refused');
		assert.deepEqual(world.fleet.sent.filter(({at}) => at > world.withdrawnAt), []);
	}],
	[/^every target takes (\d+) seconds for a request$/, (world, seconds) => {
		world.fleet.onDispatch = (instance, effect) => {
			world.fleet.schedule(Number(seconds) * 1000, () => {
				world.fleet.endAttempt(instance, effect, 'complete');
			});
		};
	}],
	[/^"crew" sends requests so fast that some are queued at every router$/, world => {
		for (let count = 0; count < 60; count++) {
			world.callAll();
			world.fleet.runFor(20);
		}

		const queuedCounts = [...world.fleet.instances.values()].map(({state}) => state.requests.queuedIds.size);
		assert.ok(Math.min(...queuedCounts) > 0, 'requests are queued at every router');
	}],
	[/^no request of "crew" is queued$/, world => {
		const queuedCounts = [...world.fleet.instances.values()].map(({state}) => state.requests.queuedIds.size);
		assert.equal(Math.max(...queuedCounts), 0);
	}],
	[/^no request of "crew" was sent to a target in the last second$/, world => {
		assert.deepEqual(world.fleet.sent.filter(({at}) => at > world.fleet.now - 1000), []);
	}],
	[/^every router reads a stale replica$/, world => {
		world.fleet.staleReplica = {at: world.fleet.now, configuration: world.fleet.configuration};
		for (const instance of world.fleet.instances.values()) {
			instance.readsStaleReplica = true;
		}
	}],
	[/^"crew" calls every router$/, world => {
		world.callAll();
		world.fleet.runFor(1000);
	}],
	[/^every call was refused with the reason "(.+)"$/, (world, reason) => {
		assert.deepEqual(world.fleet.refused.map(({refusal}) => refusal.reason), [...world.fleet.instances.keys()].map(() => reason));
	}],
	[/^the configuration service received at most (\d+) calls a second in that time$/, (world, maxCallsPerSecond) => {
		const callsPerSecond = (world.fleet.platformCallCount - world.platformCallsBefore) / 10;
		assert.ok(callsPerSecond <= Number(maxCallsPerSecond), `${callsPerSecond} calls a second`);
	}],
]);
