/**
 * Checks that a platform which comes back from an older copy of itself neither hides new
 * changes nor takes back acknowledged ones, whatever fails beside it.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {eventKind} from '../index.js';
import {createTargetChange, createTargetRecord, GatewayFixture} from './gateway-fixture.js';
import {RestoredFleet} from './restored-fleet.js';

/** Plays 40 s with two or three restores at drawn moments; returns what went wrong. */
function playRestores(size: number, seed: number): readonly string[] {
	const fleet = new RestoredFleet({
		size, changeLimitMs: [2000, 3000, 4000][seed % 3]!, callLoss: [0, 0.05, 0.15][Math.floor(seed / 3) % 3]!, seed,
	});
	const {platform, random} = fleet;
	let copy = platform.history;
	fleet.advance(6000);
	for (let round = 0; round < 3; round++) {
		// The copy is made here; what is written from now on is lost with it.
		copy = [...platform.history];
		const actions = [
			() => {
				fleet.changeTables();
			},
			() => {
				fleet.retireEngine(random() < 0.7);
			},
			() => {
				fleet.addEngine();
			},
			() => {
				fleet.closeZone(`zone-${'abc'[Math.floor(random() * 3)]!}`, 3000 + (random() * 6000));
			},
			() => {
				const node = fleet.nodes[Math.floor(random() * size)]!;
				const disturb = [fleet.killNode, fleet.pauseNode, fleet.refuseNode][Math.floor(random() * 3)]!;
				disturb.call(fleet, node, 1000 + (random() * 5000));
			},
		];
		for (let index = 0; index < 8; index++) {
			fleet.advance(random() * 1000);
			actions[Math.floor(random() * actions.length)]!();
		}

		fleet.restorePlatform(copy, 25 + (random() * 2500));
		for (let index = 0; index < 6; index++) {
			fleet.advance(random() * 1400);
			actions[Math.floor(random() * actions.length)]!();
		}
	}

	fleet.advance(10_000);
	return fleet.faults;
}

/** Plays seeds at one size; returns the faults of all of them. */
function playSeeds(size: number, seedCount: number): string[] {
	return Array.from({length: seedCount}, (_, seed) => playRestores(size, seed).map(fault => `seed ${seed}: ${fault}`)).flat();
}

// Guards against CONFIG, DENIED and DRAIN in issue 30: revisions that are given out again hide changes, and a copy brings back what has left.
test('changes after a restore of the platform are in force in time, and nothing that was acknowledged is taken back, in a fleet of 7', () => {
	assert.deepEqual(playSeeds(7, 40), []);
});

test('changes after a restore of the platform are in force in time, and nothing that was acknowledged is taken back, in a fleet of 60', () => {
	assert.deepEqual(playSeeds(60, 6), []);
});

test('changes after a restore of the platform are in force in time, and nothing that was acknowledged is taken back, in a fleet of 195', () => {
	assert.deepEqual(playSeeds(195, 1), []);
});

// Guards against requests to a process that was leaving before a restore and is written again as ready by its copy (DRAIN, issue 30).
test('a process that was leaving before a restore does not return with the new history; another one under its id does', () => {
	const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2']);
	gateway.applyChanges(9, [createTargetChange(9, createTargetRecord('desk-1', {isLeaving: true}))]);
	const readRestored = (revision: number, since: number, record = createTargetRecord('desk-1')) => {
		const changes = [createTargetChange(revision, record), ...(since === 0 ? [createTargetChange(2, createTargetRecord('desk-2'))] : [])];
		gateway.handle({
			kind: eventKind.directoryRead, update: {
				epoch: 1, revision, since, changes,
			}, confirmedAt: gateway.now,
		});
	};

	const isUsed = () => gateway.state.targets.byId.get('desk-1')?.isGone === false;
	readRestored(3, 0);
	assert.ok(!isUsed(), 'the copy has it as ready');
	readRestored(4, 3, createTargetRecord('desk-1', {slots: 97}));
	assert.ok(!isUsed(), 'it is written again as ready');
	readRestored(5, 4, createTargetRecord('desk-1', {bornAt: 2}));
	assert.ok(isUsed(), 'another process starts');
});
