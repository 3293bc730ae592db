/**
 * Properties of tickets: a request runs at most once, and its stated outcomes never
 * contradict each other, despite lost, late and duplicated messages, frozen, killed
 * and replaced instances, network partitions and repeated calls at any instance.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	attemptOutcome, createTicket, eventKind, ticketLifetimeMs, type AttemptOutcome,
} from '@sequoiatally/core';
import fc from 'fast-check';
import {createExampleConfiguration, describeExampleKey, exampleBookingPath} from '../lib/example-configuration.js';
import {ReducerFleet} from '../lib/reducer-fleet.js';

const seed = 5002;
const runCount = 300;
const account = {name: 'crew', rate: 1000, burst: 1000};
const routers = ['router-1', 'router-2', 'router-3'];

type Call = {readonly at: number; readonly router: number; readonly ticket: number};
type FaultKind = 'kill' | 'replace' | 'freeze' | 'split' | 'heal';
type Fault = {readonly at: number; readonly kind: FaultKind; readonly router: number; readonly durationMs: number};
type Script = {
	readonly calls: readonly Call[]; readonly faults: readonly Fault[]; readonly outcomes: readonly AttemptOutcome[];
	readonly lossProbability: number; readonly duplicationProbability: number; readonly runMs: number;
};

const scriptArbitrary: fc.Arbitrary<Script> = fc.record({
	calls: fc.array(fc.record({at: fc.integer({min: 0, max: 15_000}), router: fc.nat(2), ticket: fc.nat(2)}), {minLength: 2, maxLength: 12}),
	faults: fc.array(fc.record({
		at: fc.integer({min: 0, max: 12_000}),
		kind: fc.constantFrom('kill', 'replace', 'freeze', 'split', 'heal' as const),
		router: fc.nat(2),
		durationMs: fc.integer({min: 10, max: 9000}),
	}), {maxLength: 4}),
	outcomes: fc.array(fc.constantFrom('complete', 'unknown', 'not-run', 'expired' as const), {minLength: 1, maxLength: 5}),
	lossProbability: fc.constantFrom(0, 0.3),
	duplicationProbability: fc.constantFrom(0, 0.5),
	runMs: fc.integer({min: 1, max: 3000}),
});

function createFleet(): ReducerFleet {
	const fleet = new ReducerFleet({seed, configuration: createExampleConfiguration([account])});
	fleet.changeList(list => ({
		...list,
		targets: [1, 2, 3].map(index => ({
			id: `fieldbook-${index}`, pool: 'fieldbook', address: '', zone: 'zone-a', state: 'live' as const, since: 0,
		})),
	}));
	for (const id of routers) {
		fleet.start(id);
	}

	fleet.runFor(20_000);
	return fleet;
}

function issueTicket(fleet: ReducerFleet, routerId: string, nonce: string): string {
	const {state, startedAt} = fleet.instances.get(routerId)!;
	return createTicket({state, now: fleet.now - startedAt}, describeExampleKey(account.name).digest, nonce)._unsafeUnwrap().ticket;
}

function callWithTicket(fleet: ReducerFleet, routerId: string, requestId: string, ticket: string): void {
	fleet.request(routerId, requestId, {
		account: account.name, keyDigest: describeExampleKey(account.name).digest, path: exampleBookingPath, idempotencyKey: ticket,
	});
}

function injectFault(fleet: ReducerFleet, {kind, router, durationMs}: Fault): void {
	const id = routers[router]!;
	if (kind === 'kill' || kind === 'replace') {
		fleet.kill(id);
	}

	if (kind === 'replace') {
		fleet.start(id);
	}

	if (kind === 'freeze') {
		fleet.freeze(id, durationMs);
	}

	if (kind === 'split' || kind === 'heal') {
		fleet.instances.get(id)!.partition = kind === 'split' ? 1 : 0;
	}
}

type Run = {readonly requestId: string; readonly outcome: AttemptOutcome};

function runScript(script: Script): {fleet: ReducerFleet; runs: Run[]; ticketByRequest: Map<string, number>} {
	const fleet = createFleet();
	const runs: Run[] = [];
	const ticketByRequest = new Map<string, number>();
	fleet.onDispatch = (instance, effect) => {
		const outcome = script.outcomes[runs.length % script.outcomes.length]!;
		runs.push({requestId: effect.requestId, outcome});
		fleet.schedule(script.runMs, () => {
			fleet.endAttempt(instance, effect, outcome);
		});
	};

	const tickets = routers.map((id, index) => issueTicket(fleet, id, `nonce-000${index}`));
	fleet.network = {
		minDelayMs: 1, maxDelayMs: 400, lossProbability: script.lossProbability, duplicationProbability: script.duplicationProbability,
	};
	for (const fault of script.faults) {
		fleet.schedule(fault.at, () => {
			injectFault(fleet, fault);
		});
	}

	for (const [index, call] of script.calls.entries()) {
		const requestId = `call-${index}`;
		ticketByRequest.set(requestId, call.ticket);
		fleet.schedule(call.at, () => {
			callWithTicket(fleet, routers[call.router]!, requestId, tickets[call.ticket]!);
		});
	}

	fleet.runFor(60_000);
	return {fleet, runs, ticketByRequest};
}

/** Finds the ticket of a request; the identifier of a forwarded request has a suffix. */
const findTicket = (ticketByRequest: ReadonlyMap<string, number>, requestId: string) => ticketByRequest.get(requestId.split('.')[0]!);
const notRunOutcomes = new Set<AttemptOutcome>([attemptOutcome.notRun, attemptOutcome.expired]);

void test('a request with a ticket runs at most once, and never runs before or after a refusal with the outcome not-run', () => {
	fc.assert(fc.property(scriptArbitrary, script => {
		const {fleet, runs, ticketByRequest} = runScript(script);
		const runByTicket = new Map<number, string>();
		for (const {requestId} of runs.filter(({outcome}) => !notRunOutcomes.has(outcome))) {
			const ticket = findTicket(ticketByRequest, requestId)!;
			assert.ok(!runByTicket.has(ticket), `ticket ${ticket} ran as ${runByTicket.get(ticket)} and ${requestId}`);
			runByTicket.set(ticket, requestId);
		}

		for (const {requestId, refusal} of fleet.refused) {
			const run = runByTicket.get(findTicket(ticketByRequest, requestId)!);
			assert.ok(refusal.outcome !== 'not-run' || run === undefined, `${requestId} was refused as ${refusal.reason}, not-run, and ran as ${run}`);
		}
	}), {seed, numRuns: runCount});
});

void test('concurrent calls at two instances run once, and both get the answer', () => {
	const fleet = createFleet();
	const ticket = issueTicket(fleet, 'router-3', 'nonce-0001');
	callWithTicket(fleet, 'router-1', 'one', ticket);
	callWithTicket(fleet, 'router-2', 'two', ticket);
	fleet.runFor(5000);
	assert.equal(fleet.sent.length, 1);
	assert.deepEqual(fleet.refused, []);
	const completed = fleet.timeline.filter(({kind, instanceId}) => kind === 'request-completed' && instanceId !== 'router-3');
	assert.deepEqual(new Set(completed.map(({requestId}) => requestId)), new Set(['one', 'two']));
});

void test('a ticket of a replaced instance is refused with the outcome unknown, and the outcome of the call itself is not-run', () => {
	const fleet = createFleet();
	const ticket = issueTicket(fleet, 'router-3', 'nonce-0001');
	fleet.kill('router-3');
	fleet.start('router-3');
	fleet.runFor(5000);
	callWithTicket(fleet, 'router-1', 'one', ticket);
	fleet.runFor(5000);
	const [{refusal}] = fleet.refused as [typeof fleet.refused[number]];
	assert.deepEqual([refusal.reason, refusal.outcome, refusal.callOutcome], ['ticket-lost', 'unknown', 'not-run']);
});

void test('a ticket is sent to a target only once, even if its instance had decided to run a request and resumes late from a pause', () => {
	const fleet = createFleet();
	const ticket = issueTicket(fleet, 'router-3', 'nonce-0001');
	callWithTicket(fleet, 'router-3', 'one', ticket);
	fleet.freeze('router-3', 8000);
	callWithTicket(fleet, 'router-1', 'two', ticket);
	fleet.runFor(30_000);
	callWithTicket(fleet, 'router-2', 'three', ticket);
	fleet.runFor(5000);
	assert.equal(fleet.sent.length, 1);
});

void test('ticket records are removed after their lifetime, and an expired ticket is still refused', () => {
	const fleet = createFleet();
	const ticket = issueTicket(fleet, 'router-1', 'nonce-0001');
	callWithTicket(fleet, 'router-1', 'one', ticket);
	fleet.runFor(ticketLifetimeMs + 10_000);
	const {ledger} = fleet.instances.get('router-1')!.state.requests;
	assert.deepEqual([ledger.records.size, ledger.countByAccount.size], [0, 0]);
	callWithTicket(fleet, 'router-1', 'two', ticket);
	fleet.runFor(1000);
	assert.deepEqual(fleet.refused.map(({refusal}) => [refusal.reason, refusal.outcome]), [['ticket-expired', 'unknown']]);
});

void test('an idempotency key that is not a ticket is refused before anything runs', () => {
	const fleet = createFleet();
	callWithTicket(fleet, 'router-1', 'one', 'my-own-key-0001');
	fleet.runFor(1000);
	assert.deepEqual(fleet.refused.map(({refusal}) => [refusal.reason, refusal.status, refusal.outcome]), [['ticket-required', 428, 'not-run']]);
	assert.equal(fleet.sent.length, 0);
	assert.ok(fleet.timeline.every(({kind}) => kind !== eventKind.attemptEnded));
});
