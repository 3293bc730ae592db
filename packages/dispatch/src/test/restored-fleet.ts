/**
 * A fleet in virtual time before a platform that is restored from an older copy of
 * itself, beside kills, pauses and instances that the platform refuses. The operator and
 * the targets write again what the copy lacks. The fleet checks itself by what was
 * acknowledged: `faults` lists what an instance does not know in time, or forgets.
 */
import {
	effectKind, eventKind, factKind, targetSubjectPrefix, type CallPeerEffect, type DirectoryPosition, type Fact, type FactChange, type TargetRecord,
} from '../index.js';
import {
	createRandom, createTables, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const stepMs = 25;
const readMs = 25;
/** Pause between two failed reads of the platform, in milliseconds. */
const readBackoffMs = 300;
const peerTimeoutMs = 800;
/** Time without disturbance after which an instance is bound by the rules, in milliseconds. */
const contactMs = 3000;
/** Latest time after the platform's return at which its lost entries are written again, in milliseconds. */
const rewriteMs = 1500;
/** Time after the platform's return from which every live target has to be in use, in milliseconds. */
const settleMs = 6000;
const zones = ['zone-a', 'zone-b', 'zone-c'];
const engineCount = 12;

export type RestoredFleetOptions = {
	readonly size: number;
	readonly changeLimitMs: number;
	/** Fraction of the calls between instances that are lost. */
	readonly callLoss: number;
	readonly seed: number;
};

type Node = {
	readonly address: string;
	gateway: GatewayFixture;
	/** The platform as the instance last read it; `undefined` before its first read. */
	position?: DirectoryPosition;
	nextReadAt: number;
	pausedUntil: number;
	refusedUntil: number;
	/** Time since which the instance runs without disturbance. */
	calmSince: number;
	/** What the instance has known in this incarnation. */
	tablesVersion: number;
	readonly knownGone: Set<string>;
	/** The closures of zones that the instance has found, by zone. */
	readonly knownClosed: Map<string, Fact>;
};

/** What the operator or a target wants to be in force, with the time at which the platform acknowledged it; lost acknowledgements are given again. */
type Intention = {readonly fact?: Fact; readonly acknowledgedAt?: number};

/** The platform: the changes of the current history, and the copies that can be restored. */
class RestorablePlatform {
	epoch = 1;
	history: FactChange[] = [];
	isDown = false;

	get revision(): number {
		return this.history.length;
	}

	write(subject: string, fact: Fact | undefined): void {
		this.history.push({subject, revision: this.revision + 1, fact});
	}

	listFacts(): Map<string, FactChange> {
		const facts = new Map<string, FactChange>();
		for (const change of this.history) {
			facts.set(change.subject, change);
		}

		for (const [subject, {fact}] of facts) {
			if (fact === undefined) {
				facts.delete(subject);
			}
		}

		return facts;
	}
}

export class RestoredFleet {
	now = 0;
	readonly nodes: Node[] = [];
	readonly faults: string[] = [];
	readonly platform = new RestorablePlatform();
	readonly random: () => number;
	readonly #options: RestoredFleetOptions;
	readonly #intentions = new Map<string, Intention>();
	#scheduled: Array<{readonly at: number; readonly run: () => void}> = [];
	#platformBackAt = 0;
	#nextEngineNumber = 1;

	constructor(options: RestoredFleetOptions) {
		this.#options = options;
		this.random = createRandom(options.seed + 1);
		for (let index = 0; index < options.size; index++) {
			this.nodes.push(this.#createNode(index));
		}

		this.intend('tables', {kind: factKind.tables, tables: createTables(1)});
		for (let index = 0; index < engineCount; index++) {
			this.addEngine();
		}
	}

	/** States what should be in force for a subject; it is written as soon as the platform is available. */
	intend(subject: string, fact: Fact | undefined): void {
		this.#intentions.set(subject, {fact});
		this.#writeIntention(subject);
	}

	changeTables(): void {
		const known = this.#intentions.get('tables')?.fact;
		const version = known?.kind === factKind.tables ? known.tables.version : 0;
		this.intend('tables', {kind: factKind.tables, tables: createTables(version + 1 + Math.floor(this.random() * 3))});
	}

	addEngine(): void {
		const number = this.#nextEngineNumber++;
		const id = `engine-${number}`;
		this.intend(targetSubjectPrefix + id, {kind: factKind.target, target: createTargetRecord(id, {address: `10.0.0.${number}:80`, zone: zones[number % zones.length], bornAt: number})});
	}

	/** Lets a live engine leave: it reports it, and removes its entry later; some only remove their entry. */
	retireEngine(reportsLeaving: boolean): void {
		const live = this.#listLive();
		const target = live[Math.floor(this.random() * live.length)];
		if (target === undefined || live.length < engineCount / 2) {
			return;
		}

		const subject = targetSubjectPrefix + target.id;
		if (!reportsLeaving) {
			this.intend(subject, undefined);
			return;
		}

		this.intend(subject, {kind: factKind.target, target: {...target, isLeaving: true}});
		this.#schedule(2500, () => {
			this.intend(subject, undefined);
		});
	}

	closeZone(zone: string, durationMs: number): void {
		this.intend(`zone/${zone}`, {kind: factKind.zoneClosed, zone});
		this.#schedule(durationMs, () => {
			this.intend(`zone/${zone}`, undefined);
		});
	}

	/** Takes the platform down for `downMs`; it comes back with the changes of `copy`. */
	restorePlatform(copy: readonly FactChange[], downMs: number): void {
		const {platform} = this;
		if (platform.isDown) {
			return;
		}

		platform.isDown = true;
		this.#schedule(downMs, () => {
			platform.isDown = false;
			platform.epoch++;
			platform.history = [...copy];
			this.#platformBackAt = this.now;
			const facts = platform.listFacts();
			for (const [subject, {fact}] of this.#intentions) {
				if (facts.get(subject)?.fact !== fact) {
					this.#intentions.set(subject, {fact});
					this.#schedule(this.random() * rewriteMs, () => {
						this.#writeIntention(subject);
					});
				}
			}
		});
	}

	killNode(node: Node, downMs: number): void {
		node.pausedUntil = this.now + downMs;
		node.calmSince = node.pausedUntil;
		this.#schedule(downMs, () => {
			const {gateway} = this.#createNode(this.nodes.indexOf(node));
			Object.assign(node, {gateway, tablesVersion: 0, position: undefined});
			node.knownGone.clear();
			node.knownClosed.clear();
		});
	}

	pauseNode(node: Node, durationMs: number): void {
		node.pausedUntil = this.now + durationMs;
		node.calmSince = node.pausedUntil;
	}

	refuseNode(node: Node, durationMs: number): void {
		node.refusedUntil = this.now + durationMs;
	}

	advance(durationMs: number): void {
		for (const end = this.now + durationMs; this.now < end;) {
			this.now += stepMs;
			this.#runScheduled();
			for (const node of this.nodes) {
				if (this.now >= node.pausedUntil) {
					node.gateway.now = this.now;
					this.#read(node);
					node.gateway.handle({kind: eventKind.tick});
				}
			}

			this.#exchange();
			this.#check();
		}
	}

	#createNode(index: number): Node {
		const gateway = new GatewayFixture(`gateway-${index}`, zones[index % zones.length], this.#options.seed + index + this.now, this.#options.changeLimitMs);
		gateway.now = this.now;
		Object.assign(gateway.state.self, {incarnation: `gateway-${index}-${this.now}`});
		gateway.handle({kind: eventKind.settingsChanged, seedAddresses: ['gateway-0:1', 'gateway-1:1', 'gateway-2:1']});
		return {
			address: `gateway-${index}:1`, gateway, nextReadAt: 0, pausedUntil: 0, refusedUntil: 0, calmSince: this.now, tablesVersion: 0, knownGone: new Set(), knownClosed: new Map(),
		};
	}

	#schedule(delayMs: number, run: () => void): void {
		this.#scheduled.push({at: this.now + delayMs, run});
	}

	#runScheduled(): void {
		const due = this.#scheduled.filter(({at}) => at <= this.now);
		this.#scheduled = this.#scheduled.filter(({at}) => at > this.now);
		for (const {run} of due) {
			run();
		}
	}

	/** Writes what is intended for a subject; while the platform is down, the restore writes it later. */
	#writeIntention(subject: string): void {
		const {platform} = this;
		const intention = this.#intentions.get(subject)!;
		if (platform.isDown || platform.listFacts().get(subject)?.fact === intention.fact) {
			return;
		}

		platform.write(subject, intention.fact);
		this.#intentions.set(subject, {fact: intention.fact, acknowledgedAt: this.now});
	}

	/** Reads as the client of the platform does: from its position, or everything if the platform has another history. */
	#read(node: Node): void {
		const {gateway} = node;
		for (const effect of gateway.effects) {
			if (effect.kind === effectKind.watch && effect.isWatching && effect.position.revision > 0) {
				node.position = effect.position;
			}
		}

		if (!gateway.state.isWatching || this.now < node.nextReadAt) {
			return;
		}

		const {platform} = this;
		if (platform.isDown || this.now < node.refusedUntil) {
			node.nextReadAt = this.now + readBackoffMs;
			gateway.handle({kind: eventKind.directoryLost, detail: 'no response'});
			return;
		}

		node.nextReadAt = this.now + gateway.state.timing.watchPauseMs + readMs;
		const {epoch, revision} = platform;
		const {position} = node;
		const isComplete = position?.epoch !== epoch || position.revision > revision;
		const since = isComplete ? 0 : position.revision;
		const changes = isComplete ? [...platform.listFacts().values()] : platform.history.slice(since);
		node.position = {epoch, revision};
		gateway.handle({
			kind: eventKind.directoryRead, update: {
				epoch, revision, since, changes,
			}, confirmedAt: this.now - readMs,
		});
	}

	#exchange(): void {
		for (const caller of this.nodes) {
			const calls = caller.gateway.effects.filter((effect): effect is CallPeerEffect => effect.kind === effectKind.callPeer);
			caller.gateway.effects = caller.gateway.effects.filter(({kind}) => kind === effectKind.watch);
			if (this.now < caller.pausedUntil) {
				continue;
			}

			for (const call of calls) {
				this.#deliverCall(caller, call);
			}
		}

		for (const {gateway} of this.nodes) {
			gateway.effects = gateway.effects.filter(({kind}) => kind === effectKind.watch || kind === effectKind.callPeer);
		}
	}

	#deliverCall(caller: Node, {address, message}: CallPeerEffect): void {
		const callee = this.nodes.find(node => node.address === address);
		const callingGateway = caller.gateway;
		if (callee === undefined || this.now < callee.pausedUntil || this.random() < this.#options.callLoss) {
			this.#schedule(peerTimeoutMs, () => {
				if (caller.gateway === callingGateway && this.now >= caller.pausedUntil) {
					callingGateway.now = this.now;
					callingGateway.handle({kind: eventKind.peerFailed, address, detail: 'no response'});
				}
			});
			return;
		}

		callee.gateway.now = this.now;
		const answer = callee.gateway.handle({kind: eventKind.peerCalled, callId: 1, message}).find(effect => effect.kind === effectKind.answerPeer);
		callingGateway.handle({
			kind: eventKind.peerAnswered, address, message: answer!.message, requestedAt: this.now,
		});
	}

	/** Lists the targets that are registered and not leaving. */
	#listLive(): TargetRecord[] {
		return [...this.#intentions.values()].flatMap(({fact}) => fact?.kind === factKind.target && !fact.target.isLeaving ? [fact.target] : []);
	}

	#check(): void {
		for (const node of this.nodes) {
			if (this.now >= node.pausedUntil) {
				this.#checkMemory(node);
				this.#checkClosedZones(node);
				if (this.now - node.calmSince >= contactMs && !this.platform.isDown) {
					this.#checkInForce(node);
					this.#checkCapacity(node);
				}
			}
		}
	}

	/** An instance never uses older tables than before, nor a target again that it had found to have left. */
	#checkMemory(node: Node): void {
		const {gateway: {state}, knownGone} = node;
		const version = state.directory.tables?.version ?? 0;
		if (version < node.tablesVersion) {
			this.#report(node.address, `tables ${version} after ${node.tablesVersion}`);
		}

		node.tablesVersion = version;
		for (const [id, {isGone}] of state.targets.byId) {
			const {fact} = this.#intentions.get(targetSubjectPrefix + id)!;
			const hasLeft = fact?.kind !== factKind.target || fact.target.isLeaving;
			if (isGone && hasLeft) {
				knownGone.add(id);
			} else if (!isGone && hasLeft && knownGone.has(id)) {
				this.#report(node.address, `${id} is in use again after it left`);
			}
		}
	}

	/**
	 * What was acknowledged longer ago than the limit is in force; the platform's absence postpones the limit.
	 * The removal of a registration counts from `contactMs` after the platform's return, since an outage
	 * also removes registrations whose targets go on.
	 */
	#checkInForce({gateway: {state}, address, calmSince}: Node): void {
		for (const [subject, {fact, acknowledgedAt}] of this.#intentions) {
			const dueAt = Math.max(acknowledgedAt ?? Number.POSITIVE_INFINITY, calmSince, this.#platformBackAt) + this.#options.changeLimitMs + stepMs;
			if (this.now < dueAt) {
				continue;
			}

			if (fact?.kind === factKind.tables && (state.directory.tables?.version ?? 0) < fact.tables.version) {
				this.#report(address, `tables ${state.directory.tables?.version ?? 0} instead of ${fact.tables.version}`);
			} else if (fact?.kind === factKind.zoneClosed && !state.directory.closedZones.has(fact.zone)) {
				this.#report(address, `${fact.zone} is in use although it is closed`);
			} else if (fact?.kind === factKind.target ? fact.target.isLeaving : fact === undefined && this.now >= this.#platformBackAt + contactMs) {
				const target = state.targets.byId.get(subject.slice(targetSubjectPrefix.length));
				if (target?.isGone === false) {
					this.#report(address, `${subject} is in use although it has left`);
				}
			}
		}
	}

	/** Half of the live targets stay in use throughout, and all of them once the platform has settled. */
	#checkCapacity({gateway: {state}, address, calmSince}: Node): void {
		const isUsed = (id: string) => state.targets.byId.get(id)?.isGone === false;
		const acknowledged = this.#listLive().filter(({id}) => {
			const {acknowledgedAt} = this.#intentions.get(targetSubjectPrefix + id)!;
			return acknowledgedAt !== undefined && this.now >= Math.max(acknowledgedAt, calmSince) + this.#options.changeLimitMs + stepMs;
		});
		const used = acknowledged.filter(({id}) => isUsed(id));
		if (used.length * 2 < acknowledged.length) {
			this.#report(address, `${used.length} of ${acknowledged.length} live targets in use`);
		}

		if (this.now >= this.#platformBackAt + settleMs && used.length < acknowledged.length) {
			this.#report(address, `live targets not in use: ${acknowledged.filter(({id}) => !isUsed(id)).map(({id}) => id).join(', ')}`);
		}
	}

	/** A zone that an instance has found closed stays closed until it is opened. */
	#checkClosedZones({gateway: {state}, address, knownClosed}: Node): void {
		for (const zone of zones) {
			const closure = this.#intentions.get(`zone/${zone}`)?.fact;
			if (closure === undefined) {
				knownClosed.delete(zone);
			} else if (state.directory.facts.get(`zone/${zone}`)?.fact === closure) {
				knownClosed.set(zone, closure);
			} else if (knownClosed.get(zone) === closure && !state.directory.closedZones.has(zone)) {
				this.#report(address, `${zone} is in use again although it is closed`);
			}
		}
	}

	#report(address: string, detail: string): void {
		if (this.faults.length < 20) {
			this.faults.push(`${this.now} ms, ${address}: ${detail}`);
		}
	}
}
