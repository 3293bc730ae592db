/**
 * Tests a large fleet in virtual time: how soon changes of the platform are in force at 301 instances, how many
 * messages the busiest of them handles, and what instances know, and read for it, after all were killed and started at once.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	effectKind, eventKind, factKind, tablesSubject, type CallPeerEffect, type Effect, type Event, type Fact, type PastChange, type TargetRecord,
} from '../index.js';
import {computeNeededHistoryMs} from '../lib/versions/reduce-history.js';
import {createFleet} from './fleet-fixture.js';
import {
	createRandom, createTables, createTargetRecord, type GatewayFixture,
} from './gateway-fixture.js';

const stepMs = 50;
/** Time between two registrations of a target, in milliseconds. */
const renewalIntervalMs = 1200;
/** Duration of a read of the platform in milliseconds, and of its history, which is large and evaluated beside other work. */
const readMs = 50;
const historyReadMs = 1500;

type Target = {record: TargetRecord; nextAt: number; renewalCount: number; readonly createdRevision: number};

type Instance = {
	readonly gateway: GatewayFixture;
	nextReadAt: number;
	/** Revision up to which the instance read the platform; 0 before its first read. */
	position: number;
	/** Number of calls that it made or received. */
	callCount: number;
};

/** A fleet that has just started, before a platform whose targets have registered for some time. */
class StartedFleet {
	now: number;
	readonly startedAt: number;
	readonly instances: Instance[] = [];
	/** Numbers of reads of the platform's history, and of the platform. */
	historyReadCount = 0;
	readCount = 0;
	readonly #byAddress = new Map<string, Instance>();
	readonly #history: PastChange[] = [];
	readonly #targets: Target[] = [];
	#scheduled: Array<{readonly at: number; readonly run: () => void}> = [];

	constructor(size: number, targetCount: number, pastMs: number) {
		for (const [address, gateway] of createFleet(size)) {
			const instance = {
				gateway, nextReadAt: gateway.now + readMs, position: 0, callCount: 0,
			};
			gateway.canRefresh = false;
			this.instances.push(instance);
			this.#byAddress.set(address, instance);
		}

		this.startedAt = this.instances[0]!.gateway.now;
		this.now = this.startedAt - pastMs;
		const random = createRandom(3);
		this.#write(tablesSubject, {kind: factKind.tables, tables: createTables()});
		for (let index = 0; index < targetCount; index++) {
			const record = createTargetRecord(`engine-${index}`);
			this.#targets.push({
				record, nextAt: this.now + (random() * renewalIntervalMs), renewalCount: 1, createdRevision: this.#history.length + 1,
			});
			this.#write(`target/${record.id}`, {kind: factKind.target, target: record}, {renewalCount: 1, createdRevision: this.#history.length + 1});
		}

		while (this.now < this.startedAt) {
			this.now += stepMs;
			this.#renewTargets();
		}
	}

	writeTables(version: number): void {
		this.#write(tablesSubject, {kind: factKind.tables, tables: createTables(version)});
	}

	removeTarget(id: string): void {
		this.#targets.splice(this.#targets.findIndex(({record}) => record.id === id), 1);
		this.#write(`target/${id}`, undefined);
	}

	/** Advances the fleet by `durationMs`; each second, `changeCount` targets are replaced by new processes. */
	advance(durationMs: number, changeCount = 0): void {
		for (const end = this.now + durationMs; this.now < end;) {
			this.now += stepMs;
			this.#renewTargets();
			if (this.now % 1000 === 0) {
				for (const target of this.#targets.slice(0, changeCount)) {
					target.record = {...target.record, bornAt: this.now};
					target.renewalCount = 0;
					this.#renew(target);
				}
			}

			const due = this.#scheduled.filter(({at}) => at <= this.now);
			this.#scheduled = this.#scheduled.filter(({at}) => at > this.now);
			for (const {run} of due) {
				run();
			}

			for (const instance of this.instances) {
				this.#handle(instance, {kind: eventKind.tick});
				this.#read(instance);
			}
		}
	}

	#renewTargets(): void {
		for (const target of this.#targets) {
			if (this.now >= target.nextAt) {
				target.nextAt += renewalIntervalMs;
				this.#renew(target);
			}
		}
	}

	#renew(target: Target): void {
		target.renewalCount++;
		const {record, renewalCount, createdRevision} = target;
		this.#write(`target/${record.id}`, {kind: factKind.target, target: record}, {renewalCount, createdRevision});
	}

	#write(subject: string, fact: Fact | undefined, fields: Pick<PastChange, 'renewalCount' | 'createdRevision'> = {}): void {
		this.#history.push({
			subject, revision: this.#history.length + 1, fact, ...fields,
		});
	}

	/** Reads the platform as `StoreClient` does: once as a whole, and then the changes, with a pause after each read that has some. */
	#read(instance: Instance): void {
		const {gateway, position} = instance;
		const revision = this.#history.length;
		if (!gateway.state.isWatching || this.now < instance.nextReadAt || position === revision) {
			return;
		}

		this.readCount++;
		instance.position = revision;
		instance.nextReadAt = this.now + readMs + (position === 0 ? 0 : gateway.state.timing.watchPauseMs);
		const latest = new Map(this.#history.slice(position).map(change => [change.subject, change]));
		const changes = position === 0 ? [...latest.values()].filter(({fact}) => fact !== undefined) : this.#history.slice(position);
		this.#handle(instance, {
			kind: eventKind.directoryRead,
			confirmedAt: this.now - readMs,
			update: {
				revision, since: position, changes: changes.map(({subject, revision, fact}) => ({subject, revision, fact})),
			},
		});
	}

	#handle(instance: Instance, event: Event): readonly Effect[] {
		const {gateway} = instance;
		gateway.now = this.now;
		const effects = gateway.handle(event);
		gateway.effects = [];
		for (const effect of effects) {
			if (effect.kind === effectKind.watch) {
				instance.position = effect.position.revision > 0 ? effect.position.revision : instance.position;
				instance.nextReadAt = this.now + readMs;
			} else if (effect.kind === effectKind.callPeer) {
				this.#call(instance, effect);
			}

			if (effect.kind === effectKind.readHistory) {
				this.#readHistory(instance);
			}
		}

		return effects;
	}

	#call(caller: Instance, {address, message}: CallPeerEffect): void {
		const requestedAt = this.now;
		const callee = this.#byAddress.get(address)!;
		caller.callCount++;
		callee.callCount++;
		const answer = this.#handle(callee, {kind: eventKind.peerCalled, callId: 1, message}).find(effect => effect.kind === effectKind.answerPeer);
		this.#scheduled.push({
			at: this.now + stepMs, run: () => {
				this.#handle(caller, {
					kind: eventKind.peerAnswered, address, message: answer!.message, requestedAt,
				});
			},
		});
	}

	#readHistory(instance: Instance): void {
		this.historyReadCount++;
		const changes = [...this.#history];
		this.#scheduled.push({
			at: this.now + historyReadMs, run: () => {
				this.#handle(instance, {kind: eventKind.historyRead, epoch: 0, history: {changes, since: 0, renewalIntervalMs}});
			},
		});
	}
}

// Guards against CONFIG and DRAIN: as a fleet grows, changes reach its instances too late, or its watchers receive too many calls.
test('new tables and the removal of a target are in force within 3 s at 301 instances, and no instance handles many more messages than with 101', () => {
	const busiest = [101, 301].map(size => {
		const fleet = new StartedFleet(size, 60, 0);
		fleet.advance(8000);
		for (const instance of fleet.instances) {
			instance.callCount = 0;
		}

		const readsBefore = fleet.readCount;
		fleet.advance(4000, 3);
		const callCounts = fleet.instances.map(({callCount}) => callCount / 4);
		// Two reads a second and watcher, of which there is one for 15 instances, and at least five.
		assert.ok((fleet.readCount - readsBefore) / 4 <= 2.6 * Math.max(5, Math.ceil(size / 15)), `${fleet.readCount - readsBefore} reads`);
		fleet.writeTables(2);
		fleet.removeTarget('engine-5');
		fleet.advance(3000, 3);
		for (const {gateway: {state}} of fleet.instances) {
			assert.equal(state.directory.tables?.version, 2, `tables at ${state.self.id} of ${size}`);
			assert.equal(state.targets.byId.get('engine-5')?.isGone ?? true, true, `target at ${state.self.id} of ${size}`);
		}

		return Math.max(...callCounts);
	});
	assert.ok(busiest[1]! <= 1.5 * busiest[0]!, `calls a second of the busiest: ${busiest.join(', ')}`);
});

// Guards against RECOVER: all instances that were killed at once read the platform's history, which is large, and are busy with it instead of serving.
test('after all instances of a large fleet were killed, each soon has tables, targets and earlier versions, and few read the history', () => {
	const size = 101;
	const targetCount = 700;
	const fleet = new StartedFleet(size, targetCount, 20_000);
	fleet.advance(500);
	for (const {gateway: {state}} of fleet.instances) {
		assert.equal(state.directory.tables?.version, 1, `tables at ${state.self.id}`);
		assert.equal(state.targets.byId.size, targetCount, `targets at ${state.self.id}`);
	}

	fleet.advance(9500);
	const informed = fleet.instances.filter(({gateway: {state, now}}) => state.versionHistory.computeKnownMs(now) >= computeNeededHistoryMs(state));
	assert.equal(informed.length, size);
	assert.ok(fleet.historyReadCount >= 1 && fleet.historyReadCount <= size / 4, `${fleet.historyReadCount} of ${size} read the history`);
});

test('instances of a deployment with up to 640 targets read the history as early as before', () => {
	for (const [targetCount, latestMs] of [[640, 1200], [641, 5500]] as const) {
		const delays = [...createFleet(60).values()].map(gateway => {
			gateway.loadDirectory(Array.from({length: targetCount}, (_, index) => `engine-${index}`));
			return gateway.state.historyReadAt! - gateway.now;
		});
		assert.ok(Math.max(...delays) <= latestMs && Math.max(...delays) > latestMs - 500, `${Math.max(...delays)} ms`);
		assert.ok(Math.min(...delays) <= 300, `${Math.min(...delays)} ms`);
	}
});
