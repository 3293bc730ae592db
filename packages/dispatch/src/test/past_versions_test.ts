/**
 * Tests what follows from the platform's history about the software versions that served
 * the pools before an instance started.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {
	effectKind, eventKind, listPastVersions, type FactChange, type PastChange, type PlatformHistory, type TargetRecord,
} from '../index.js';
import {
	createRandom, createTables, createTablesChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const renewalIntervalMs = 1000;

/** A platform that keeps its whole history, with the times of all changes. */
class PastPlatform {
	now = 0;
	revision = 100;
	readonly changes: Array<PastChange & {readonly at: number}> = [];
	/** The states of the pool `engines` and the times from which they held. */
	readonly held: Array<{readonly key: string; readonly from: number}> = [];
	readonly #facts = new Map<string, FactChange & {readonly createdRevision: number}>();
	readonly #renewals = new Map<string, {record: TargetRecord; count: number; nextAt: number; isSilent: boolean}>();
	readonly #intervalMs: number;

	/** Targets register about as often as the platform states, at most a quarter more often. */
	constructor(intervalMs = renewalIntervalMs) {
		this.#intervalMs = intervalMs;
	}

	get facts(): ReadonlyMap<string, FactChange> {
		return this.#facts;
	}

	start(id: string, softwareVersion: string, zone = 'zone-a'): void {
		const record = createTargetRecord(id, {softwareVersion, zone, bornAt: 1_000_000 + this.now});
		this.#renewals.set(id, {
			record, count: 0, nextAt: this.now, isSilent: false,
		});
		this.#renew(id);
	}

	leave(id: string): void {
		const renewal = this.#renewals.get(id);
		if (renewal !== undefined) {
			renewal.record = {...renewal.record, isLeaving: true};
			this.#renew(id);
		}
	}

	/** Ends a target without a word; its registration expires after three intervals. */
	crash(id: string): void {
		const renewal = this.#renewals.get(id);
		if (renewal !== undefined) {
			renewal.isSilent = true;
		}
	}

	setZoneClosed(zone: string, isClosed: boolean): void {
		this.#write(`zone/${zone}`, isClosed ? {kind: 'zone-closed', zone} : undefined);
	}

	advance(durationMs: number): void {
		for (const end = this.now + durationMs; this.now < end;) {
			this.now = Math.min(end, this.now + 50);
			for (const [id, {isSilent, nextAt}] of this.#renewals) {
				if (isSilent && this.now >= nextAt + (2 * this.#intervalMs)) {
					this.#renewals.delete(id);
					this.#write(`target/${id}`, undefined);
				} else if (!isSilent && this.now >= nextAt) {
					this.#renew(id);
				}
			}
		}
	}

	/** Returns the history after a time, as the platform keeps it. */
	readHistory(after: number): PlatformHistory {
		const kept = this.changes.filter(({at}) => at > after);
		return {changes: kept.map(({at, ...change}) => change), since: (kept[0]?.revision ?? this.revision + 1) - 1, renewalIntervalMs};
	}

	#renew(id: string): void {
		const renewal = this.#renewals.get(id)!;
		renewal.count++;
		renewal.nextAt = this.now + this.#intervalMs;
		this.#write(`target/${id}`, {kind: 'target', target: renewal.record}, renewal.count);
	}

	#write(subject: string, fact: FactChange['fact'], renewalCount?: number): void {
		const before = this.#facts.get(subject);
		if (fact === undefined && before === undefined) {
			return;
		}

		this.revision++;
		const createdRevision = before?.createdRevision ?? this.revision;
		this.changes.push({
			subject, revision: this.revision, fact, createdRevision: fact && createdRevision, renewalCount, at: this.now,
		});
		if (fact === undefined) {
			this.#facts.delete(subject);
		} else {
			this.#facts.set(subject, {
				subject, revision: this.revision, fact, createdRevision,
			});
		}

		this.held.push({key: this.#describeState(), from: this.now});
	}

	#describeState(): string {
		const counts = new Map<string, number>();
		for (const {fact} of this.#facts.values()) {
			if (fact?.kind === 'target' && !fact.target.isLeaving && !this.#facts.has(`zone/${fact.target.zone}`)) {
				counts.set(fact.target.softwareVersion, (counts.get(fact.target.softwareVersion) ?? 0) + 1);
			}
		}

		return describeCounts([...counts]);
	}
}

function describeCounts(counts: ReadonlyArray<readonly [string, number]>): string {
	return counts.map(([version, count]) => `${version}:${count}`).toSorted().join(' ');
}

type Found = {readonly knownMs: number; readonly states: string[]; readonly endedMs: ReadonlyMap<string, number>};

function findEngines(platform: PastPlatform, history: PlatformHistory): Found {
	const engines = listPastVersions(history, platform.facts).find(({pool}) => pool === 'engines');
	const endedMs = new Map((engines?.states ?? []).map(state => [describeCounts(state.counts), state.endedMs ?? 0]));
	return {knownMs: engines?.knownMs ?? 0, states: [...endedMs.keys()].toSorted(), endedMs};
}

/** Starts three targets of a version and lets them run for a while. */
function createPlatform(intervalMs?: number): PastPlatform {
	const platform = new PastPlatform(intervalMs);
	for (const id of ['engine-1', 'engine-2', 'engine-3']) {
		platform.start(id, 'v1');
		platform.advance(300);
	}

	platform.advance(30_000);
	return platform;
}

test('a pool that has not changed has the present state for most of the history', () => {
	const platform = createPlatform();
	const {knownMs, states} = findEngines(platform, platform.readHistory(platform.now - 20_000));
	assert.deepEqual(states, ['v1:3']);
	assert.ok(knownMs > 12_000 && knownMs <= 20_000, `${knownMs} ms`);
});

test('the states of a rollout are found: targets that started, that left, and that stopped without a word', () => {
	const platform = createPlatform();
	const startedAt = platform.now;
	platform.advance(1500);
	platform.start('engine-4', 'v2');
	platform.advance(1000);
	platform.leave('engine-1');
	platform.crash('engine-2');
	platform.advance(6000);
	const {knownMs, states, endedMs} = findEngines(platform, platform.readHistory(startedAt));
	assert.deepEqual(states, ['v1:1 v2:1', 'v1:2 v2:1', 'v1:3', 'v1:3 v2:1']);
	assert.ok(endedMs.get('v1:3')! > 3000 && endedMs.get('v1:3')! <= 7000, `the first state ended 7 s ago, not ${endedMs.get('v1:3')} ms`);
	assert.equal(endedMs.get('v1:1 v2:1'), 0);
	assert.ok(knownMs > 4000 && knownMs <= 8500, `${knownMs} ms`);
});

test('a zone that was closed or opened meanwhile changes the state', () => {
	const platform = createPlatform();
	platform.start('engine-4', 'v2', 'zone-b');
	platform.advance(5000);
	platform.setZoneClosed('zone-b', true);
	platform.advance(5000);
	const closedAt = platform.now;
	platform.setZoneClosed('zone-b', false);
	platform.advance(4000);
	assert.deepEqual(findEngines(platform, platform.readHistory(closedAt - 7000)).states, ['v1:3', 'v1:3 v2:1']);
	assert.deepEqual(findEngines(platform, platform.readHistory(closedAt + 500)).states, ['v1:3 v2:1']);
	assert.deepEqual(findEngines(platform, platform.readHistory(closedAt - 2000)).states, ['v1:3', 'v1:3 v2:1']);
});

// Guards against ORDER: a version that served when a stream began, and of which the history tells no more than that something has gone.
test('a removed target of which the history tells nothing else ends its reach', () => {
	const platform = createPlatform(0.8 * renewalIntervalMs);
	platform.start('engine-4', 'v2');
	platform.advance(5000);
	platform.crash('engine-4');
	platform.advance(500);
	const {changes, since} = platform.readHistory(platform.now - 500);
	const goneAt = platform.now;
	platform.advance(10_000);
	const {knownMs, states} = findEngines(platform, platform.readHistory(goneAt - 500));
	assert.ok(changes.length > 0 && since > 0);
	assert.deepEqual(states, ['v1:3']);
	assert.ok(knownMs > 5000 && knownMs < 8800, `${knownMs} ms: the registration expired 8.8 s ago or later`);
});

test('a process that may have taken the place of one of another version ends the reach', () => {
	const platform = createPlatform(0.8 * renewalIntervalMs);
	platform.advance(350);
	platform.crash('engine-1');
	const before = platform.now;
	platform.advance(2100);
	platform.start('engine-1', 'v2');
	platform.advance(8000);
	const {knownMs, states} = findEngines(platform, platform.readHistory(before));
	assert.deepEqual(states, ['v1:2 v2:1']);
	assert.ok(knownMs > 5000 && knownMs < 8000, `${knownMs} ms`);
});

test('registrations that are missing in between end the reach: a restore may have lost changes with them', () => {
	const platform = createPlatform(0.8 * renewalIntervalMs);
	const lostFrom = platform.now;
	platform.start('engine-4', 'v2');
	platform.advance(2000);
	platform.crash('engine-4');
	platform.advance(4000);
	const lostUntil = platform.now;
	platform.advance(9000);
	const {changes, ...history} = platform.readHistory(lostFrom - 5000);
	const gapFirst = platform.changes.find(({at}) => at > lostFrom - 1)!.revision;
	const gapLast = platform.changes.findLast(({at}) => at <= lostUntil)!.revision;
	const kept = changes.filter(({revision}) => revision < gapFirst || revision > gapLast);
	const {knownMs} = findEngines(platform, {...history, changes: kept});
	assert.ok(knownMs > 4000 && knownMs <= 9000, `${knownMs} ms`);
});

test('a history without renewals tells no duration, so that nothing follows from it', () => {
	const platform = createPlatform(0.8 * renewalIntervalMs);
	const {changes, ...history} = platform.readHistory(platform.now - 20_000);
	assert.deepEqual(listPastVersions({...history, changes: []}, platform.facts), []);
	assert.deepEqual(listPastVersions({...history, changes: changes.map(({renewalCount, ...change}) => change)}, platform.facts), []);
});

test('whatever happened, all states that held within the stated time are found, and none is said to have ended earlier than it did', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 100_000}), fc.integer({min: 500, max: 25_000}), (seed, lengthMs) => {
		const random = createRandom(seed);
		const platform = createPlatform(0.8 * renewalIntervalMs);
		const versions = ['v1', 'v2', 'v3'];
		for (let index = 0; index < 25; index++) {
			platform.advance(random() * 1500);
			const id = `engine-${Math.floor(random() * 6)}`;
			const action = Math.floor(random() * 6);
			if (action < 2) {
				platform.start(id, versions[Math.floor(random() * 3)]!, `zone-${'ab'[Math.floor(random() * 2)]!}`);
			} else {
				switch (action) {
					case 2: {
						platform.leave(id);

						break;
					}

					case 3: {
						platform.crash(id);

						break;
					}

					case 4: {
						platform.setZoneClosed('zone-b', random() < 0.5);

						break;
					}
 // No default
				}
			}
		}

		const {knownMs, states, endedMs} = findEngines(platform, platform.readHistory(platform.now - lengthMs));
		assert.ok(knownMs <= lengthMs + renewalIntervalMs);
		for (const [index, {key}] of knownMs === 0 ? [] : platform.held.entries()) {
			const until = platform.held[index + 1]?.from ?? Number.POSITIVE_INFINITY;
			const endedAgeMs = platform.now - Math.min(platform.now, until);
			const isFound = (endedMs.get(key) ?? Number.POSITIVE_INFINITY) <= endedAgeMs;
			assert.ok(endedAgeMs >= knownMs || isFound, `${key} until ${endedAgeMs} ms ago, not ${endedMs.get(key)}, of ${knownMs} ms: ${states.join(', ')}`);
		}
	}), {seed: 48, numRuns: 1000});
});

/** Time back to which versions have to be known, with the routes of the fixture, in milliseconds. */
const neededMs = 13_000;

/** Lets a gateway that has just started read its directory from the platform. */
function createGateway(platform: PastPlatform): GatewayFixture {
	const gateway = new GatewayFixture();
	gateway.handle({
		kind: eventKind.directoryRead,
		update: {revision: platform.revision, since: 0, changes: [createTablesChange(1, createTables()), ...platform.facts.values()]},
		confirmedAt: gateway.now,
	});
	return gateway;
}

// Guards against LOST: after all instances were killed at once, none can name the version of a stream that began before.
test('an instance that learns nothing from peers reads the platform\'s history, and then knows the versions of before', () => {
	const platform = createPlatform();
	platform.start('engine-4', 'v2');
	platform.advance(3000);
	platform.leave('engine-4');
	platform.advance(neededMs);
	const gateway = createGateway(platform);
	gateway.advance(400);
	const reads = gateway.effects.filter(effect => effect.kind === effectKind.readHistory);
	assert.deepEqual(reads.map(({spanMs, targetCount}) => ({spanMs, targetCount})), [{spanMs: neededMs, targetCount: 4}]);
	assert.equal(gateway.state.versionHistory.listCounts('engines', gateway.now - neededMs), undefined);
	gateway.handle({kind: eventKind.historyRead, history: platform.readHistory(platform.now - (2 * neededMs)), epoch: 0});
	const states = gateway.state.versionHistory.listCounts('engines', gateway.now - neededMs);
	assert.deepEqual(states?.map(counts => describeCounts([...counts])).toSorted(), ['v1:3', 'v1:3 v2:1']);
	gateway.effects = [];
	gateway.advance(10_000);
	assert.equal(gateway.effects.some(({kind}) => kind === effectKind.readHistory), false);
});

test('the history of another epoch is not used, and one that cannot be read is given up after three calls', () => {
	const platform = createPlatform();
	const gateway = createGateway(platform);
	gateway.advance(400);
	gateway.handle({kind: eventKind.historyRead, history: platform.readHistory(platform.now - 20_000), epoch: 1});
	assert.equal(gateway.state.versionHistory.listCounts('engines', gateway.now - 8000), undefined);
	const other = createGateway(platform);
	let reads = 0;
	for (let index = 0; index < 20; index++) {
		other.effects = [];
		other.advance(400);
		for (const effect of other.effects.filter(({kind}) => kind === effectKind.readHistory)) {
			reads++;
			other.handle({kind: eventKind.historyRead, history: undefined, epoch: 0});
			assert.equal(effect.kind, effectKind.readHistory);
		}
	}

	assert.equal(reads, 3);
});

test('an instance that peers have told what it needs does not read the history, nor does one without streams that can be taken up', () => {
	const platform = createPlatform();
	const peer = createGateway(platform);
	peer.advance(20_000);
	const gateway = createGateway(platform);
	gateway.handle({kind: eventKind.settingsChanged, seedAddresses: ['gateway-2:1']});
	gateway.advance(25);
	const call = gateway.effects.find(effect => effect.kind === effectKind.callPeer)!;
	peer.applyChanges(platform.revision, []);
	const answer = peer.handle({kind: eventKind.peerCalled, callId: 1, message: {...call.message, from: {...call.message.from, id: 'gateway-2'}}})
		.find(effect => effect.kind === effectKind.answerPeer)!;
	gateway.handle({
		kind: eventKind.peerAnswered, address: 'gateway-2:1', message: {...answer.message, from: {...answer.message.from, id: 'gateway-2', address: 'gateway-2:1'}}, requestedAt: gateway.now,
	});
	gateway.advance(5000);
	assert.equal(gateway.effects.some(({kind}) => kind === effectKind.readHistory), false);

	const plain = new GatewayFixture().loadDirectory(['engine-1'], createTables(1, {routes: createTables().routes.filter(({canResume}) => !canResume)}));
	plain.advance(5000);
	assert.equal(plain.effects.some(({kind}) => kind === effectKind.readHistory), false);
});
