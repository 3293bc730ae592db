/**
 * Tests the choice of a software version from the id of a stream.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseVersion, findCertainVersion} from '../lib/versions/stream-version.js';
import type {VersionCounts} from '../lib/versions/version-history.js';
import {createRandom} from './gateway-fixture.js';

const streamCount = 20_000;
const streamIds = Array.from({length: streamCount}, (_, index) => `stream-${index}`);

function createCounts(counts: Readonly<Record<string, number>>): VersionCounts {
	return new Map(Object.entries(counts));
}

/** Asserts that a number of streams lies within five standard deviations of its expectation. */
function assertShare(count: number, expectedShare: number, label: string): void {
	const deviation = Math.sqrt(streamCount * expectedShare * (1 - expectedShare));
	assert.ok(Math.abs(count - (streamCount * expectedShare)) <= 5 * deviation, `${label}: ${count} of ${streamCount} instead of ${expectedShare}`);
}

test('each version begins as large a part of the streams as it has targets', () => {
	const allCounts: ReadonlyArray<Readonly<Record<string, number>>> = [{a: 3, b: 3}, {a: 1, b: 12}, {a: 7, b: 7, c: 1}, {a: 2200, b: 2200, c: 1}];
	for (const counts of allCounts) {
		const chosen = streamIds.map(id => chooseVersion(createCounts(counts), id));
		const total = Object.values(counts).reduce((sum, count) => sum + count, 0);
		for (const [version, count] of Object.entries(counts)) {
			assertShare(chosen.filter(other => other === version).length, count / total, `${JSON.stringify(counts)} ${version}`);
		}
	}
});

test('another target of a version moves only as many streams as it takes, all of them to this version', () => {
	for (const [before, after, gaining, share] of [
		[{a: 6, b: 6}, {a: 6, b: 7}, 'b', (7 / 13) - (6 / 12)], [{a: 7}, {a: 7, b: 1}, 'b', 1 / 8], [{a: 7, b: 2}, {a: 6, b: 2}, 'b', (2 / 8) - (2 / 9)],
	] as const) {
		const moved = streamIds.filter(id => chooseVersion(createCounts(before), id) !== chooseVersion(createCounts(after), id));
		assert.ok(moved.every(id => chooseVersion(createCounts(after), id) === gaining));
		assertShare(moved.length, share, JSON.stringify(after));
	}
});

test('all instances choose the same version, in whatever order they know the versions', () => {
	for (const id of streamIds.slice(0, 1000)) {
		assert.equal(chooseVersion(createCounts({v1: 7, v2: 5, v3: 2}), id), chooseVersion(createCounts({v3: 2, v2: 5, v1: 7}), id));
	}

	const ids = ['r-1', 'r-2', 'r-3', 'r-4', 'r-5', 'r-6', 'r-7', 'r-8', '', 'ü'];
	assert.equal(ids.map(id => chooseVersion(createCounts({v1: 1, v2: 1}), id)).join(' '), 'v1 v1 v2 v2 v2 v1 v2 v1 v2 v1');
	assert.equal(chooseVersion(new Map(), 'r-1'), undefined);
	assert.equal(chooseVersion(createCounts({v1: 0}), 'r-1'), undefined);
});

test('a version is certain only if each state of the pool, and each one between two of them, chooses it', () => {
	const random = createRandom(11);
	let certainCount = 0;
	for (let trial = 0; trial < 4000; trial++) {
		const draw = (limit: number) => Math.floor(random() * limit);
		const states = Array.from({length: 1 + draw(3)}, () => createCounts({a: draw(8), b: draw(8), c: draw(2)}));
		const streamId = `stream-${trial}`;
		const certain = findCertainVersion(states, streamId);
		if (certain === undefined) {
			continue;
		}

		certainCount++;
		const between = new Map(['a', 'b', 'c'].map(version => [version, states[draw(states.length)]!.get(version)!]));
		for (const counts of [...states, between]) {
			assert.equal(chooseVersion(counts, streamId), certain);
		}
	}

	assert.ok(certainCount > 1000, `${certainCount}`);
});

test('the version of each stream is certain while nothing changes, and of most while few targets come and go', () => {
	const steady = createCounts({v1: 6, v2: 7});
	assert.ok(streamIds.every(id => findCertainVersion([steady], id) === chooseVersion(steady, id)));
	const uncertain = streamIds.filter(id => findCertainVersion([steady, createCounts({v1: 6, v2: 8})], id) === undefined);
	assertShare(uncertain.length, (8 / 14) - (7 / 13), 'one more target');
});
