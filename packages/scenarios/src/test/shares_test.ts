/**
 * Scenarios of the shares that routers hold of one account's rate limit.
 */
import assert from 'node:assert/strict';
import {timelineKind} from '@sequoiatally/core';
import {runFeature, ScenarioWorld} from '../lib/run-feature.js';
import {ShareWorkload} from '../lib/share-workload.js';

const settleMs = 20_000;

class World extends ScenarioWorld {
	workload!: ShareWorkload;
	routerCount = 0;
	ceiling = 0;
	account = {
		name: '', rate: 0, burst: 0, demandMultiple: 0,
	};

	start(): void {
		this.workload = new ShareWorkload({
			seed: 1, accounts: [this.account], instanceCount: this.routerCount, skew: 0, fleet: {ceiling: this.ceiling},
		});
		this.workload.fleet.runFor(settleMs);
	}
}

await runFeature(new URL('../../features/shares.feature', import.meta.url), () => new World(), [
	[/^a fleet of (\d+) routers with a ceiling of (\d+)$/, (world, count, ceiling) => {
		world.routerCount = Number(count);
		world.ceiling = Number(ceiling);
	}],
	[/^the account "(.+)" with (\d+) requests a second and a burst of (\d+)$/, (world, name, rate, burst) => {
		world.account = {
			name, rate: Number(rate), burst: Number(burst), demandMultiple: 1,
		};
		world.start();
	}],
	[/^".+" sends (\d+) requests at once and the router pauses for (\d+) ms before they are sent$/, ({workload}, count, durationMs) => {
		workload.sendAtOnce(Number(count));
		workload.fleet.freeze('router-0', Number(durationMs));
		workload.fleet.runFor(Number(durationMs));
	}],
	[/^".+" sends (\d+) requests at once$/, ({workload}, count) => {
		workload.sendAtOnce(Number(count));
		workload.fleet.runFor(1000);
		assert.ok(workload.fleet.sent.length > 0, 'the account was served');
	}],
	[/^all routers are replaced at once$/, ({workload}) => {
		const ids = [...workload.fleet.instances.keys()];
		for (const id of ids) {
			workload.fleet.kill(id);
			workload.startInstance();
		}
	}],
	[/^".+" sends (\d+) requests a second for (\d+) seconds$/, ({workload, account}, rate, seconds) => {
		const sentBefore = workload.fleet.sent.length;
		workload.run(Number(seconds) * 1000, {[account.name]: Number(rate) / account.rate});
		assert.ok(workload.fleet.sent.length > sentBefore, 'the account was served again');
	}],
	[/^".+" did not exceed its rate and burst$/, ({workload, account}) => {
		assert.equal(workload.describeOutcome(account.name).overrun, 0);
	}],
	[/^only the youngest router raised the alarm "(.+)", and as many routers as the ceiling own a share$/, ({workload, routerCount, ceiling}, cause) => {
		const alarms = workload.fleet.timeline.filter(({kind}) => kind === timelineKind.alarmRaised);
		assert.deepEqual(alarms.map(entry => [entry.cause, entry.instanceId]), [[cause, `router-${routerCount - 1}`]]);
		const ownedFractions = [...workload.fleet.instances.values()].map(({state}) => state.membership.ownedFraction.value);
		assert.equal(ownedFractions.filter(fraction => fraction > 0).length, ceiling);
	}],
]);
