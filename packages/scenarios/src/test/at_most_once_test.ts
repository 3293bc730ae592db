/**
 * Scenarios of tickets over real processes: a request with a ticket runs at most
 * once. The stand-in services count their runs.
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

	async requestTicket(routerNumber: number): Promise<void> {
		const {body, statusCode} = await request(`http://${this.findRouter(routerNumber).callerAddress}/.sequoiatally/tickets`, {
			method: 'POST', headers: {authorization: `Bearer ${this.key}`},
		});
		assert.equal(statusCode, 201);
		const issued = await body.json() as {ticket: string};
		this.ticket = issued.ticket;
	}

	async call(routerNumbers: readonly number[], path = exampleBookingPath): Promise<void> {
		this.answers = await Promise.all(routerNumbers.map(async routerNumber => this.caller.callPlain(this.findRouter(routerNumber).callerAddress, {
			key: this.key, method: 'POST', path, idempotencyKey: this.ticket,
		})));
	}

	async waitForRun(): Promise<void> {
		await waitUntil('a service has started the booking', async () => await this.countRuns() > 0);
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
	[/^a ticket issued by router (\d+)$/, async (world, routerNumber) => world.requestTicket(Number(routerNumber))],
	[/^every service fails with "(.+)"$/, async (world, fault) => {
		await Promise.all(world.fleet.targets.map(async target => world.setFault(target, fault)));
	}],
	[/^the booking is called at routers? (\d+)(?: and (\d+) concurrently)?$/, async (world, ...routerNumbers) => {
		await world.call(routerNumbers.filter(routerNumber => routerNumber !== undefined).map(Number));
	}],
	[/^the booking is called at router 1 with the idempotency key "(.+)"$/, async (world, key) => {
		world.ticket = key!;
		await world.call([1]);
	}],
	[/^another booking is called with the same ticket at router (\d+)$/, async (world, routerNumber) => {
		await world.call([Number(routerNumber)], `${exampleBookingPath}/other`);
	}],
	[/^the booking is called at router 1, and router 3 is killed while a service runs it$/, async world => {
		const firstCall = world.call([1]);
		await world.waitForRun();
		await world.fleet.killRouter(world.findRouter(3));
		await firstCall;
	}],
	[/^the booking is called at router 1, and at router 2 while router 3 is paused for 5 seconds during the run$/, async world => {
		const ticketIssuer = world.findRouter(3).process.child;
		const firstCall = world.call([1]);
		await world.waitForRun();
		ticketIssuer.kill('SIGSTOP');
		const secondCall = world.call([2]);
		await new Promise(resolve => {
			setTimeout(resolve, 5000);
		});
		ticketIssuer.kill('SIGCONT');
		await Promise.all([firstCall, secondCall]);
	}],
	[/^(?:every|the last) call is answered$/, world => {
		assert.deepEqual(world.answers.map(({kind}) => kind), world.answers.map(() => answerKind.whole), JSON.stringify(world.answers));
	}],
	[/^every call is refused with the outcome "(unknown|not-run)"$/, (world, outcome) => {
		assert.deepEqual(world.answers.map(answer => answer.outcome), world.answers.map(() => outcome), JSON.stringify(world.answers));
	}],
	[/^the last call is refused with the reason "(.+)"$/, (world, reason) => {
		assert.deepEqual(world.answers.map(answer => answer.reason), [reason]);
	}],
	[/^the services counted (\d+) runs?$/, async (world, count) => {
		assert.equal(await world.countRuns(), Number(count));
	}],
]);
