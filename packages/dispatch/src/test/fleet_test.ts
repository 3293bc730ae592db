/**
 * Sums over the fleet: repeats, cold targets, members and relayed facts.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {effectKind, eventKind} from '../index.js';
import {computeColdShare, computeRankHash, type FleetView} from '../lib/cold-target-limits.js';
import {RetryBudget} from '../lib/retry-budget.js';
import {createFleet, advanceFleet, takePeerCalls} from './fleet-fixture.js';
import {
	createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const bounds = {ratio: 0.2, allowance: 52, spanMs: 10_000};

function countRecent(sentAt: readonly number[], now: number): number {
	return sentAt.filter(time => time > now - bounds.spanMs).length;
}

test('repeats of the whole fleet keep to the budget in every span, also when instances are replaced', () => {
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

test('shares of a cold target add up to no more than it bears, for differing member lists', () => {
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
			// Each instance misses some others, but allows for a fifth more than it knows.
			const memberHashes = hashes.filter((hash, other) => hash === selfHash || other % 7 >= missing || other === index);
			const view: FleetView = {selfHash, memberHashes, size: memberHashes.length + Math.ceil(memberHashes.length * 0.2)};
			sum += computeColdShare(targetHash, ratePerS, view);
		}

		assert.ok(sum <= (ratePerS * 1.5) + 5, `${sum} for ${ratePerS} at ${size}`);
	}), {seed: 7, numRuns: 500});
});

test('a target that is cold gets no more than its share from one instance (cold return of a zone)', () => {
	const gateway = new GatewayFixture().loadDirectory([]);
	gateway.applyChanges(2, [createTargetChange(2, createTargetRecord('engine-1', {coldMs: 3000}))]);
	let sent = 0;
	for (let index = 0; index < 40; index++) {
		gateway.receiveRequest(createTables().routes[0]!, {prompt: ['a', `b${index}`, 'c']});
		sent += gateway.listSends().length;
		gateway.advance(25);
	}

	assert.ok(sent >= 1 && sent <= 2, `${sent} in a second, of a fleet of unknown size`);
});

test('instances find each other from one seed, and forget those that are gone', () => {
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

test('an instance that the platform turns away learns new tables and leaving targets from its peers', () => {
	const fleet = createFleet(6);
	const gateways = [...fleet.values()];
	for (const gateway of gateways) {
		gateway.loadDirectory(['desk-1', 'desk-2']);
	}

	advanceFleet(fleet, 4000);
	const disconnected = gateways[4]!;
	disconnected.handle({kind: eventKind.directoryLost, detail: 'turned away'});
	for (const gateway of gateways) {
		if (gateway !== disconnected) {
			gateway.applyChanges(20, [createTablesChange(19, createTables(8)), createTargetChange(20, createTargetRecord('desk-1', {isLeaving: true}))]);
		}
	}

	advanceFleet(fleet, 1500);
	assert.equal(disconnected.state.directory.tables?.version, 8);
	assert.equal(disconnected.state.targets.byId.get('desk-1')?.isGone, true);
});

test('a fresh instance gets tables from a peer while the platform is down', () => {
	const fleet = createFleet(3);
	const [first, second] = [...fleet.values()];
	first!.loadDirectory(['desk-1']);
	second!.handle({kind: eventKind.directoryLost, detail: 'down'});
	advanceFleet(fleet, 3000);
	assert.equal(second!.state.directory.tables?.version, 1);
});

/** Lets the instances that read the platform learn the directory anew, as a watch without news does. */
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

/** Forty instances that have known each other for a while. */
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

test('in a large fleet few instances read the platform, and the others hear of changes in time', () => {
	const fleet = createSettledFleet();

	// Five by rank, and for some seconds those that heard nothing for too long.
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

test('when all that read the platform are lost at once, others take over before the bounds are passed', () => {
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

test('while the platform is away for all, most of a large fleet leaves it alone, and all hear of its return (platform down)', () => {
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

test('an instance that hears only of watchers that are turned away reads the platform itself in time (store refuses some instances)', () => {
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
	assert.equal(follower.state.isWatching, true, 'two are not enough to believe that the platform is away for all');
	follower.state.isWatching = false;
	follower.state.fallbackWatchUntil = 0;
	answerFollower(watchers[0]!, true);
	answerFollower(watchers[1]!, true);
	answerFollower(watchers[2]!, true);
	answerFollower(watchers[3]!, false);
	follower.advance(25);
	assert.equal(follower.state.isWatching, true, 'one can read it');
});

test('instances tell each other of busy targets, so that a prompt is not sent where many others went (large fleet, hot key)', () => {
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
