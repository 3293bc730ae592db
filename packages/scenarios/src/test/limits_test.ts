/**
 * Scenarios of the rate limits of client accounts, over a fleet of reducers.
 */
import assert from 'node:assert/strict';
import {computeOverrun} from '../lib/exact-bucket.js';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from '../lib/example-configuration.js';
import {ReducerFleet} from '../lib/reducer-fleet.js';
import {runFeature, ScenarioWorld} from '../lib/run-feature.js';

class World extends ScenarioWorld {
	fleet!: ReducerFleet;
	routerCount = 0;
	ceiling = 0;
	account = {name: '', rate: 0, burst: 0};

	start(): void {
		this.fleet = new ReducerFleet({seed: 1, configuration: createExampleConfiguration([this.account], {ceiling: this.ceiling}, {slotsPerTarget: 1000})});
		this.fleet.changeList(list => ({
			...list,
			targets: Array.from({length: 13}, (_, index) => ({
				id: `fitbrain-${index}`, pool: 'fitbrain', address: '', zone: 'zone-a', state: 'live' as const, since: 0,
			})),
		}));
		for (let index = 0; index < this.routerCount; index++) {
			this.fleet.start(`router-${index}`);
		}

		this.fleet.runFor(20_000);
	}

	send(rate: number, seconds: number): void {
		const {digest} = describeExampleKey(this.account.name);
		for (let index = 0; index < rate * seconds; index++) {
			this.fleet.runFor(1000 / rate);
			this.fleet.request(`router-${index % this.routerCount}`, `r${index}`, {account: this.account.name, keyDigest: digest, ...exampleModelRoute});
		}

		this.fleet.runFor(2000);
	}
}

await runFeature(new URL('../../features/limits.feature', import.meta.url), () => new World(), [
	[/^a fleet of (\d+) routers with a ceiling of (\d+)$/, (world, count, ceiling) => {
		world.routerCount = Number(count);
		world.ceiling = Number(ceiling);
	}],
	[/^the account "(.+)" with (\d+) requests a second and a burst of (\d+)$/, (world, name, rate, burst) => {
		world.account = {name, rate: Number(rate), burst: Number(burst)};
		world.start();
	}],
	[/^".+" sends (\d+) requests a second for (\d+) seconds to all routers$/, (world, rate, seconds) => {
		world.send(Number(rate), Number(seconds));
	}],
	[/^".+" did not exceed its rate and burst$/, world => {
		const sendTimes = world.fleet.sent.map(({at}) => at);
		assert.ok(sendTimes.length > world.account.rate, 'the account was served');
		assert.equal(computeOverrun(sendTimes, world.account.rate, world.account.burst), 0);
	}],
	[/^every refusal has the outcome "(.+)"$/, (world, outcome) => {
		assert.ok(world.fleet.refused.length > 0, 'at least one request was refused');
		assert.deepEqual([...new Set(world.fleet.refused.map(({refusal}) => refusal.outcome))], [outcome]);
	}],
]);
