/**
 * Scenarios of tickets over real processes; the services count their runs.
 */
import assert from 'node:assert/strict';
import {after} from 'node:test';
import {
	answerKind, Caller, type Answer, waitUntil,
} from '@sequoiatally/load';
import {request} from 'undici';
import {exampleBookingPath} from '../lib/example-configuration.js';
import {ProcessWorld, stopSharedDeployment} from '../lib/process-world.js';
import {runFeature} from '../lib/run-feature.js';

class World extends ProcessWorld {
	ticket = '';
	answers: Answer[] = [];
	readonly caller = new Caller();

	async takeTicket(number: number): Promise<void> {
		const {body, statusCode} = await request(`http://${this.findRouter(number).callerAddress}/.sequoiatally/tickets`, {
			method: 'POST', headers: {authorization: `Bearer ${this.key}`},
		});
		assert.equal(statusCode, 201);
		const issued = await body.json() as {ticket: string};
		this.ticket = issued.ticket;
	}

	async call(numbers: readonly number[], path = exampleBookingPath): Promise<void> {
		this.answers = await Promise.all(numbers.map(async number => this.caller.callPlain(this.findRouter(number).callerAddress, {
			key: this.key, method: 'POST', path, idempotencyKey: this.ticket,
		})));
	}

	async waitForRun(): Promise<void> {
		await waitUntil('a service runs the booking', async () => await this.countRuns() > 0);
	}

	override async dispose(): Promise<void> {
		await this.caller.close();
	}
}

after(stopSharedDeployment);

await runFeature(new URL('../../features/at-most-once.feature', import.meta.url), () => new World(), [
	[/^a deployment of (\d+) routers and (\d+) plain services that take (\d+) ms$/, async (world, routers, plains, runMs) => {
		await world.joinDeployment({routers: Number(routers), engines: 0, plainServices: Number(plains)}, {plainFlags: ['--run-ms', runMs]});
	}],
	[/^a ticket of router (\d+)$/, async (world, number) => world.takeTicket(Number(number))],
	[/^every service fails with "(.+)"$/, async (world, fault) => {
		await Promise.all(world.fleet.targets.map(async target => world.setFault(target, fault)));
	}],
	[/^the booking is called at routers? (\d+)(?: and (\d+) at once)?$/, async (world, ...numbers) => {
		await world.call(numbers.filter(number => number !== undefined).map(Number));
	}],
	[/^the booking is called at router 1 with the key "(.+)"$/, async (world, key) => {
		world.ticket = key!;
		await world.call([1]);
	}],
	[/^another booking is called with the same ticket at router (\d+)$/, async (world, number) => {
		await world.call([Number(number)], `${exampleBookingPath}/other`);
	}],
	[/^the booking is called at router 1, and router 3 is killed once a service runs it$/, async world => {
		const call = world.call([1]);
		await world.waitForRun();
		await world.fleet.killRouter(world.findRouter(3));
		await call;
	}],
	[/^router 3 is paused for 5 seconds while the booking is called at routers 1 and 2$/, async world => {
		const owner = world.findRouter(3).process.child;
		const call = world.call([1]);
		await world.waitForRun();
		owner.kill('SIGSTOP');
		const second = world.call([2]);
		await new Promise(resolve => {
			setTimeout(resolve, 5000);
		});
		owner.kill('SIGCONT');
		await Promise.all([call, second]);
	}],
	[/^(?:every|the last) call is answered$/, world => {
		assert.deepEqual(world.answers.map(({kind}) => kind), world.answers.map(() => answerKind.whole), JSON.stringify(world.answers));
	}],
	[/^every call is refused as (unknown|not-run)$/, (world, outcome) => {
		assert.deepEqual(world.answers.map(answer => answer.outcome), world.answers.map(() => outcome), JSON.stringify(world.answers));
	}],
	[/^the last call is refused as "(.+)"$/, (world, reason) => {
		assert.deepEqual(world.answers.map(answer => answer.reason), [reason]);
	}],
	[/^the services counted (\d+) runs?$/, async (world, count) => {
		assert.equal(await world.countRuns(), Number(count));
	}],
]);
