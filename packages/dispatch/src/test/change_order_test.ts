/**
 * Tests the order in which the directory changed, and the work that answers to peers and the history of a large
 * deployment cost. Load: 301 instances and 3,000 targets, which renew their registrations all the time.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	describeUpdate, listPastVersions, type FactChange, type PastChange,
} from '../index.js';
import {ChangeOrder} from '../lib/directory/change-order.js';
import {
	createRandom, createTablesChange, createTables, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

// Guards against DRAIN: a peer is told that it knows all changes up to a revision, and one of them is missing in the answer.
test('the subjects that changed after a revision are listed, whatever arrived late, was removed or changed again', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 100_000}), fc.integer({min: 1, max: 400}), (seed, subjectCount) => {
		const random = createRandom(seed);
		const order = new ChangeOrder();
		const facts = new Map<string, {readonly changeRevision: number}>();
		for (let revision = 1; revision <= 1200; revision++) {
			const subject = `target/${Math.floor(random() * subjectCount)}`;
			if (random() < 0.1) {
				facts.delete(subject);
			} else {
				// Peers report changes in any order.
				const changeRevision = random() < 0.2 ? Math.ceil(random() * revision) : revision;
				if (facts.get(subject)?.changeRevision !== changeRevision) {
					facts.set(subject, {changeRevision});
					order.record(subject, changeRevision, facts);
				}
			}

			if (random() < 0.05) {
				const after = Math.floor(random() * revision);
				const expected = [...facts].filter(([, fact]) => fact.changeRevision > after).map(([name]) => name);
				const listed = order.listSubjectsAfter(after, facts);
				assert.deepEqual(listed.toSorted(), expected.toSorted());
				const revisions = listed.map(name => facts.get(name)!.changeRevision);
				assert.deepEqual(revisions, revisions.toSorted((a, b) => a - b));
			}
		}
	}), {seed: 5, numRuns: 60});
});

const targetCount = 3000;

/** Creates registrations of all targets, with revisions from `firstRevision` on. */
function createRenewals(firstRevision: number): FactChange[] {
	return Array.from({length: targetCount}, (_, index) => createTargetChange(firstRevision + index, createTargetRecord(`engine-${index}`)));
}

// Guards against watchers that are short of processor time: each of some 40 answers a second looked at all targets.
test('an answer to a peer costs as much work as there are changes, also after registrations were renewed', () => {
	const gateway = new GatewayFixture();
	gateway.applyChanges(targetCount, [createTablesChange(1, createTables()), ...createRenewals(1)], 0);
	for (let round = 1; round <= 3; round++) {
		gateway.applyChanges((round + 1) * targetCount, createRenewals((round * targetCount) + 1));
	}

	const {directory} = gateway.state;
	const {revision} = directory;
	gateway.applyChanges(revision + 2, [7, 9].map((id, index) => createTargetChange(revision + 1 + index, createTargetRecord(`engine-${id}`, {isLeaving: true}))));
	const {facts} = directory;
	let visits = 0;
	const listFacts = facts.values.bind(facts);
	const findFact = facts.get.bind(facts);
	facts.get = subject => {
		visits++;
		return findFact(subject);
	};

	facts.values = () => {
		visits += facts.size;
		return listFacts();
	};

	const {changes, since} = describeUpdate(directory, {epoch: 0, revision: revision - 500});
	assert.deepEqual(changes.map(({subject}) => subject), ['target/engine-7', 'target/engine-9']);
	assert.equal(since, revision - 500);
	assert.ok(visits <= 10, `${visits} facts for two changes`);
});

// Guards against RECOVER: after all instances were killed, each was busy for seconds with the platform's history.
test('each change of the platform\'s history is looked at a few times', () => {
	const roundCount = 19;
	let visits = 0;
	const changes = Array.from({length: roundCount}, (_, round) => createRenewals((round * targetCount) + 2).map((change): PastChange => ({
		...change,
		createdRevision: 1,
		get renewalCount() {
			visits++;
			return round + 10;
		},
	}))).flat();
	const facts = new Map(changes.slice(-targetCount).map(change => [change.subject, change]));
	const [versions] = listPastVersions({changes, since: 0, renewalIntervalMs: 1200}, facts);
	assert.deepEqual(versions?.states, [{counts: [['v1', targetCount]], endedMs: 0}]);
	assert.equal(versions?.knownMs, Math.floor((roundCount - 2) * 1200 * 0.8));
	assert.ok(visits <= 10 * changes.length, `${visits / changes.length} visits`);
});
