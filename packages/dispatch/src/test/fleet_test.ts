/**
 * Tests the limits that hold over a whole fleet (retries, requests to cold targets),
 * the member list, and the relay of directory changes between instances.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {effectKind, eventKind} from '../index.js';
import {computeColdShare, computeRankHash, type FleetView} from '../lib/targets/target-limits.js';
import {computeFleetView} from '../lib/members/members.js';
import {RetryBudget} from '../lib/requests/retry-budget.js';
import {createFleet, advanceFleet, takePeerCalls} from './fleet-fixture.js';
import {
	createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const bounds = {ratio: 0.2, allowance: 52, spanMs: 10_000};

function countRecent(sentAt: readonly number[], now: number): number {
	return sentAt.filter(time => time > now - bounds.spanMs).length;
}

test('the retries of a fleet stay within the budget in every window, even if an instance is replaced', () => {
	const step = fc.record({
		instance: fc.integer({min: 0, max: 5}), gapMs: fc.integer({min: 0, max: 200}), action: fc.constantFrom('first', 'repeat', 'repeat', 'replace'),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 400}), steps => {
		const size = 6;
		const budgets = Array.from({length: size}, () => new RetryBudget(bounds));
		const firstSends: number[] = [];
		const retries: number[] = [];
		let now = 0;
		let hasReplaced = false;
		for (const {instance, gapMs, action} of steps) {
			now += gapMs;
			if (action === 'first') {
				budgets[instance]!.recordFirstSend(now);
				firstSends.push(now);
			} else if (action === 'replace' && !hasReplaced) {
				hasReplaced = true;
				budgets[instance] = new RetryBudget(bounds);
			} else if (action === 'repeat' && budgets[instance]!.mayRetry(size, now)) {
				budgets[instance]!.recordRetry(now);
				retries.push(now);
			}

			assert.ok(countRecent(retries, now) <= (countRecent(firstSends, now) * bounds.ratio) + bounds.allowance);
		}
	}), {seed: 5, numRuns: 200});
});

test('the rate shares of a cold target stay within its limit in total, even if member lists differ', () => {
	const parameters = fc.record({
		size: fc.integer({min: 1, max: 120}),
		ratePerS: fc.integer({min: 1, max: 20}),
		missing: fc.integer({min: 0, max: 2}),
		seed: fc.integer({min: 0, max: 1000}),
	});
	fc.assert(fc.property(parameters, ({size, ratePerS, missing, seed}) => {
		const hashes = Array.from({length: size}, (_, index) => computeRankHash(`gateway-${seed}-${index}`));
		const targetHash = computeRankHash(`target-${seed}`);
		let sum = 0;
		for (const [index, selfHash] of hashes.entries()) {
			// Each instance lacks some members, but assumes a fifth more than it knows.
			const memberHashes = hashes.filter((hash, other) => hash === selfHash || other % 7 >= missing || other === index);
			const view: FleetView = {selfHash, memberHashes, size: memberHashes.length + Math.ceil(memberHashes.length * 0.2)};
			sum += computeColdShare(targetHash, ratePerS, view);
		}

		assert.ok(sum <= (ratePerS * 1.5) + 5, `${sum} for ${ratePerS} at ${size}`);
	}), {seed: 7, numRuns: 500});
});

test('an instance sends a cold target no more than the rate share of that instance (cold return of a zone)', () => {
	const gateway = new GatewayFixture().loadDirectory([]);
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('engine-1', {coldMs: 3000}))]);
	let sent = 0;
	for (let index = 0; index < 40; index++) {
		gateway.receiveRequest(createTables().routes[0]!, {prompt: ['a', `b${index}`, 'c']});
		sent += gateway.listSends().length;
		gateway.advance(25);
	}

	assert.ok(sent >= 1 && sent <= 2, `${sent} requests in a second from one instance of a fleet of unknown size`);
});

test('instances discover each other through one seed and expire members that stop', () => {
	const fleet = createFleet(7);
	advanceFleet(fleet, 6000);
	for (const gateway of fleet.values()) {
		assert.equal(gateway.state.members.byId.size, 6);
	}

	fleet.delete('gateway-3:1');
	advanceFleet(fleet, 16_000);
	for (const gateway of fleet.values()) {
		assert.equal(gateway.state.members.byId.has('gateway-3'), false);
	}
});

test('an instance that the platform refuses receives new tables and leaving targets from its peers', () => {
	const fleet = createFleet(6);
	const gateways = [...fleet.values()];
	for (const gateway of gateways) {
		gateway.loadDirectory(['desk-1', 'desk-2']);
	}

	advanceFleet(fleet, 4000);
	const disconnected = gateways[4]!;
	disconnected.handle({kind: eventKind.directoryLost, detail: 'refused by the platform'});
	for (const gateway of gateways) {
		if (gateway !== disconnected) {
			gateway.applyChanges(20, [createTablesChange(19, createTables(8)), createTargetChange(20, createTargetRecord('desk-1', {isLeaving: true}))]);
		}
	}

	advanceFleet(fleet, 1500);
	assert.equal(disconnected.state.directory.tables?.version, 8);
	assert.equal(disconnected.state.targets.byId.get('desk-1')?.isGone, true);
});

test('a new instance receives tables from a peer while the platform is unavailable', () => {
	const fleet = createFleet(3);
	const [first, second] = [...fleet.values()];
	first!.loadDirectory(['desk-1']);
	second!.handle({kind: eventKind.directoryLost, detail: 'down'});
	advanceFleet(fleet, 3000);
	assert.equal(second!.state.directory.tables?.version, 1);
});

/** Reads the directory at all watchers, by default without changes; returns the number of watchers. */
function confirmDirectory(fleet: ReadonlyMap<string, GatewayFixture>, revision: number, changes: Parameters<GatewayFixture['applyChanges']>[1] = []): number {
	let count = 0;
	for (const gateway of fleet.values()) {
		if (gateway.state.isWatching) {
			count++;
			gateway.applyChanges(revision, changes);
		}
	}

	return count;
}

/** Creates a fleet of 40 instances whose member lists are complete. */
function createSettledFleet(): Map<string, GatewayFixture> {
	const fleet = createFleet(40);
	for (const gateway of fleet.values()) {
		gateway.loadDirectory(['desk-1']);
	}

	for (let index = 0; index < 40; index++) {
		advanceFleet(fleet, 300);
		confirmDirectory(fleet, index + 2);
	}

	return fleet;
}

test('the shares of a fleet that a partition splits into four parts stay within the shared allowance', () => {
	const fleet = createFleet(12);
	for (const gateway of fleet.values()) {
		gateway.loadDirectory(['desk-1']);
	}

	advanceFleet(fleet, 10_000);
	const parts = Array.from({length: 4}, (_, part) => new Map([...fleet].filter((_entry, index) => index % 4 === part)));
	for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 1000) {
		for (const part of parts) {
			advanceFleet(part, 1000);
		}
	}

	let allowance = 0;
	for (const {state, now} of fleet.values()) {
		const {size} = computeFleetView(state.members, state.selfHash, now);
		const budget = new RetryBudget(bounds);
		while (budget.mayRetry(size, now)) {
			budget.recordRetry(now);
			allowance++;
		}

		assert.equal(state.members.byId.size, 2, 'only the own part is known');
	}

	assert.ok(allowance <= bounds.allowance, `${allowance} retries without a first send`);
});

test('the ages of members in a response count from the call, not from the receipt', () => {
	const [gateway, other] = [...createFleet(2).values()] as [GatewayFixture, GatewayFixture];
	const message = {...other.createPeerAnswer(), members: []};
	gateway.handle({
		kind: eventKind.peerAnswered, address: 'gateway-1:1', message, requestedAt: gateway.now - 700,
	});
	assert.equal(gateway.state.members.byId.get('gateway-1')?.lastSeenAt, gateway.now - 700);
});

test('in a large fleet a few watchers read the platform, and the followers receive changes in time', () => {
	const fleet = createSettledFleet();

	// Five watchers by rank, and for a few seconds also instances that received no update for too long.
	const count = confirmDirectory(fleet, 50);
	assert.ok(count >= 5 && count <= 10, `${count} of 40`);
	confirmDirectory(fleet, 60, [createTablesChange(59, createTables(2)), createTargetChange(60, createTargetRecord('desk-1', {isLeaving: true}))]);
	for (let index = 0; index < 6; index++) {
		advanceFleet(fleet, 300);
		confirmDirectory(fleet, 61 + index);
	}

	for (const gateway of fleet.values()) {
		assert.equal(gateway.state.directory.tables?.version, 2, gateway.state.self.id);
		assert.equal(gateway.state.targets.byId.get('desk-1')?.isGone, true);
	}
});

test('when all watchers fail at once, other instances start to read the platform in time', () => {
	const fleet = createSettledFleet();

	for (const [address, gateway] of fleet) {
		if (gateway.state.isWatching) {
			fleet.delete(address);
		}
	}

	assert.ok(fleet.size >= 30);
	advanceFleet(fleet, 2500);
	assert.ok(confirmDirectory(fleet, 100) > 0);
});

test('during an outage of the platform only a part of a large fleet probes it, and all instances receive changes after its return (platform down)', () => {
	const fleet = createSettledFleet();

	for (let index = 0; index < 27; index++) {
		for (const gateway of fleet.values()) {
			if (gateway.state.isWatching) {
				gateway.handle({kind: eventKind.directoryLost, detail: 'no answer'});
			}
		}

		advanceFleet(fleet, 300);
	}

	const readingInstances = [...fleet.values()].filter(({state}) => state.isWatching);
	assert.ok(readingInstances.length >= 10 && readingInstances.length <= 24, `${readingInstances.length} of 40`);
	for (let index = 0; index < 4; index++) {
		confirmDirectory(fleet, 60 + index, [createTablesChange(60, createTables(2))]);
		advanceFleet(fleet, 300);
	}

	for (const gateway of fleet.values()) {
		assert.equal(gateway.state.directory.tables?.version, 2, gateway.state.self.id);
	}

	for (let index = 0; index < 20; index++) {
		confirmDirectory(fleet, 70 + index);
		advanceFleet(fleet, 300);
	}

	assert.ok(confirmDirectory(fleet, 99) <= 10);
});

test('an instance reads the platform itself in time when the platform refuses its watchers (store refuses some instances)', () => {
	const fleet = createSettledFleet();
	const watchers = [...fleet.values()].filter(({state}) => state.isWatching);
	const follower = [...fleet.values()].find(({state}) => !state.isWatching)!;
	follower.effects = [];
	const answerFollower = (gateway: GatewayFixture, isLost: boolean) => {
		const message = {...gateway.createPeerAnswer(), readingMs: isLost ? undefined : 9000, revision: 0};
		follower.handle({
			kind: eventKind.peerAnswered, address: gateway.state.self.address, requestedAt: follower.now, message,
		});
	};

	follower.advance(2700);
	answerFollower(watchers[0]!, true);
	answerFollower(watchers[1]!, true);
	follower.advance(300);
	assert.equal(follower.state.isWatching, true, 'two watchers without access do not prove that the platform is unavailable to all');
	follower.state.isWatching = false;
	follower.state.fallbackWatchUntil = 0;
	answerFollower(watchers[0]!, true);
	answerFollower(watchers[1]!, true);
	answerFollower(watchers[2]!, true);
	answerFollower(watchers[3]!, false);
	follower.advance(25);
	assert.equal(follower.state.isWatching, true, 'one watcher can read the platform');
});

test('instances share the load of targets, so that a prompt is not sent to a target overloaded by other instances (large fleet, hot key)', () => {
	const fleet = createFleet(2);
	const [first, second] = [...fleet.values()];
	for (const gateway of fleet.values()) {
		gateway.loadDirectory(Array.from({length: 8}, (_, index) => `engine-${index}`));
	}

	advanceFleet(fleet, 3000);
	const route = createTables().routes[0]!;
	const prompt = ['hot', 'own'];
	second!.receiveRequest(route, {prompt});
	const {targetId: preferredId} = second!.takeLastSend();
	for (let index = 0; index < 10; index++) {
		for (const {record, ...target} of first!.state.targets.byId.values()) {
			const load = record.id === preferredId ? 30 : 1;
			first!.state.targets.byId.get(record.id)!.reportedLoad = {at: first!.now, load, othersLoad: load - target.inFlight};
		}

		advanceFleet(fleet, 300);
	}

	second!.receiveRequest(route, {prompt});
	assert.notEqual(second!.takeLastSend().targetId, preferredId);
});
