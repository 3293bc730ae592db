/**
 * A fleet of gateways and engines in virtual time. Peer calls take time and can be lost,
 * instances pause and restart, and engines crash: by chance, or by a request with a
 * certain prompt part. The simulation records what arrives at the engines.
 */
import {
	effectKind, eventKind, factKind, probeResult, sendOutcome, type CallLoadPeerEffect, type CallPeerEffect, type CallStreamPeerEffect, type Effect,
	type Event, type FactChange, type LoadMessage, type PastChange,
	type PeerMessage, type PlatformHistory, type ProbeTargetEffect, type RefuseEffect, type ReportSilenceEffect, type Route,
	type SendEffect, type SendOutcome, type StreamMessage, type Tables, type TargetReport,
} from '../index.js';
import {
	createRandom, createTables, createTablesChange, createTargetChange, createTargetRecord, GatewayFixture,
} from './gateway-fixture.js';

const stepMs = 25;
/** Time that the platform keeps of its history, and time between two registrations of an engine, in milliseconds. */
const historyMs = 20_000;
const renewalIntervalMs = 1200;
const zones = ['zone-a', 'zone-b', 'zone-c'];
/** Time after a crash at which the engine's registration lapses, and at which its replacement starts, in milliseconds. */
const lapseMs = 2600;
const restartMs = 4000;
/** Time between two failed reads of the platform, in milliseconds. */
const lostReadIntervalMs = 500;
/** Time from the start of a lost peer call to its failure, in milliseconds. */
const lostCallMs = 800;
/** Creates the event that a call arrives as. */
type CreateCall = (callId: number) => Event;

/** Creates the event of a call's end; without an answer, it has failed. */
type CreateResult<T> = (answer?: T) => Event;

/** Times of a call to a peer, in milliseconds. */
const exchangeTiming = {callMs: stepMs, timeoutMs: lostCallMs};
/** Time after which an attempt to open a connection, and a check of a target, are given up, in milliseconds. */
const connectTimeoutMs = 300;
const checkTimeoutMs = 500;
/** Shortest time until a response begins, its random addition, and the same for its end, in milliseconds. */
const beginMs = {min: 60, extra: 200};
const endMs = {min: 100, extra: 600};

export type FleetOptions = {
	readonly gatewayCount: number;
	readonly engineCount: number;
	readonly seed: number;
	/** Fraction of the peer calls that are lost. */
	readonly callLoss?: number;
	/** Name of the engines, without their number; it decides their pool (`createTargetRecord`). */
	readonly engineName?: string;
	readonly tables?: Tables;
	/** Room of the engines; without it, they run all requests at once. */
	readonly engineRoom?: EngineRoom;
	/** Draws how long an engine works on a request; without it, all requests take equally long on average. */
	readonly drawRunDurations?: (prompt: readonly string[], random: () => number) => RunDurations;
};

/** Times from the arrival of a request to the begin of its response, and from there to its end, in milliseconds. */
export type RunDurations = {readonly toBegin: number; readonly toEnd: number};

/** Room of an engine that rejects the requests that find none. */
export type EngineRoom = {
	/** Number of requests that run at the same time. */
	readonly slots: number;
	/** Shortest duration of a run and its random addition, in milliseconds. */
	readonly runMs: {readonly min: number; readonly extra: number};
};

/** How an instance is cut off from all engines. */
export const cutMode = {
	/** Nothing arrives in either direction. */
	silent: 'silent',
	/** Open connections are reset, and new ones refused. */
	reset: 'reset',
	/** Open connections go on, and new ones are refused. */
	refused: 'refused',
	/** Connections open, and nothing arrives over them in either direction. */
	accepted: 'accepted',
} as const;
export type CutMode = typeof cutMode[keyof typeof cutMode];

/** Modes in which nothing arrives over open connections. */
const unansweredModes: ReadonlySet<CutMode | undefined> = new Set([cutMode.silent, cutMode.accepted]);

type Node = {
	readonly address: string;
	gateway: GatewayFixture;
	/** Time since which the process has run without interruption. */
	runningSince: number;
	pausedUntil: number;
	readRevision: number;
	/** Set while the instance is cut off from all engines. */
	cut?: CutMode;
	/** False while the instance cannot read the platform, although peers may. */
	canReadPlatform: boolean;
	/** True while the instance reaches neither the platform nor peers. */
	isIsolated: boolean;
	/** Ids of engines that the instance still reaches while it is cut off. */
	reachableIds: ReadonlySet<string>;
};

type Engine = {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
	readonly softwareVersion: string;
	isRunning: boolean;
	/** Times of the engine's start, its end, and the end of its registration. */
	readonly startedAt: number;
	endedAt: number;
	removedAt: number;
	/** Times of the rejections of the last second. */
	rejectedAt: number[];
};

type Run = {
	readonly node: Node;
	/** The process that sent the request; after a restart of the node, its runs report to nobody. */
	readonly gateway: GatewayFixture;
	readonly send: SendEffect;
	readonly engine: Engine;
	readonly prompt: readonly string[];
	readonly fingerprint: string;
	beginsAt: number;
	endsAt: number;
	/** Time at which the engine started to work on the request; `undefined` while it waits for a slot. */
	startedAt?: number;
	hasBegun: boolean;
};

/** A request that one instance relays for another. */
type Relay = {readonly node: Node; readonly gateway: GatewayFixture; readonly send: SendEffect; readonly peer: Node; readonly peerOpenId: number};

/** A request that reached a running engine. */
export type Arrival = {
	readonly at: number;
	readonly engineId: string;
	readonly prompt: readonly string[];
	readonly fingerprint: string;
	/** Time since which the sending instance had run without interruption. */
	readonly senderRunningSince: number;
	readonly sender: string;
	/** Number of requests that the engine held before, and the mean of all running engines. */
	readonly load: number;
	readonly meanLoad: number;
};

/** A request of a caller and how its first attempt went. */
export type SimulatedRequest = {
	readonly at: number;
	readonly prompt: readonly string[];
	/** Set if the request may come again. */
	readonly fingerprint?: string;
	/** Set if the caller takes the stream up when it breaks off. */
	readonly requestId?: string;
	/** Address of the instance that received the request. */
	readonly receiver: string;
	/** Number of engines that ran when the request arrived. */
	readonly runningCount: number;
	/** Number of engines that the request reached. */
	arrivalCount: number;
	hasBegun: boolean;
	refusedAt?: number;
	refusalStatus?: number;
	refusalReason?: string;
	retryAfterMs?: number;
	/** Software versions of the engines that began to respond. */
	readonly versions: Set<string>;
	/** Time at which the response broke off after it had begun. */
	cutAt?: number;
};

/** A caller's resumable stream, or its take-up. */
export type StreamFields = NonNullable<Parameters<GatewayFixture['receiveRequest']>[1]>;

type RelayedEvent =
	| {readonly kind: typeof eventKind.answerStarted; readonly softwareVersion: string}
	| {readonly kind: typeof eventKind.sendEnded; readonly outcome: SendOutcome; readonly runCount?: number};

/** Finds how an instance is cut off from an engine; `undefined` if it reaches it. */
function findCut({cut, reachableIds}: Node, engineId: string): CutMode | undefined {
	return reachableIds.has(engineId) ? undefined : cut;
}

function createRequestKey(gateway: GatewayFixture, openId: number): string {
	return `${gateway.state.self.incarnation}/${openId}`;
}

export class SimulatedFleet {
	now = 1_000_000;
	readonly random: () => number;
	readonly nodes: Node[] = [];
	readonly arrivals: Arrival[] = [];
	readonly requests: SimulatedRequest[] = [];
	/** Times at which engines crashed because of a prompt part or a request. */
	readonly crashes: number[] = [];
	/** The same by request, for requests that crash engines. */
	readonly crashesByFingerprint = new Map<string, number[]>();
	/** Limits that engines name in their responses, in requests a second. */
	readonly engineLimits = new Map<string, number>();
	/** Times at which processes of instances first passed on a response that named a limit, by instance and engine. */
	readonly limitHeardAt = new Map<string, number>();
	/** True while no instance can read the platform. */
	isPlatformDown = false;
	/** Number of messages between instances about streams. */
	streamCallCount = 0;
	/** Number of requests that engines with limited room let wait for a slot. */
	queueLimit = Number.POSITIVE_INFINITY;
	/** Rejections in a second that engines survive, as they state in their responses; `undefined` while they state none. */
	rejectionLimit?: number;
	/** True while engines with more rejections in a second than they state fall over. */
	canFall = false;
	/** Times at which engines fell over. */
	readonly falls: number[] = [];
	rejectionCount = 0;
	/** Completed runs: their ends, and the time for which they took a slot, in milliseconds. */
	readonly completions: Array<{readonly at: number; readonly slotMs: number}> = [];
	/** Prompt part that crashes each engine that begins to respond to it. */
	crashingPart?: string;
	/** Requests that crash each engine that begins to run them. */
	readonly crashingFingerprints = new Set<string>();
	/** Probes that instances sent to engines. */
	readonly probes: Array<{readonly at: number; readonly sender: string; readonly targetId: string}> = [];
	/** Engines that do not answer for now, although connections to them open. */
	silentIds: ReadonlySet<string> = new Set();
	/** Time that is added until each response begins, in milliseconds. */
	beginDelayMs = 0;
	/** Software version of the engines that start from now on. */
	softwareVersion = 'v1';
	readonly #options: FleetOptions;
	readonly #engines = new Map<string, Engine>();
	/** All engines since the start, also those that have ended. */
	readonly #allEngines: Engine[] = [];
	readonly #history: FactChange[] = [];
	readonly #requestByKey = new Map<string, SimulatedRequest>();
	readonly #scheduled: Array<{readonly at: number; readonly run: () => void}> = [];
	readonly #pendingAnswers = new Map<number, (message: LoadMessage | PeerMessage | StreamMessage) => void>();
	/** Relayed requests, by the instance that relays them and their identifier there. */
	readonly #relays = new Map<string, Relay>();
	#runs: Run[] = [];
	#nextCallId = 1;
	#nextEngineNumber = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.random = createRandom(options.seed);
		this.#history.push(createTablesChange(1, options.tables ?? createTables()));
		for (let index = 0; index < options.engineCount; index++) {
			this.addEngine();
		}

		for (let index = 0; index < options.gatewayCount; index++) {
			this.nodes.push({
				address: `gateway-${index}:1`, gateway: this.#createGateway(index, 0), runningSince: this.now, pausedUntil: 0, readRevision: 0, isIsolated: false, canReadPlatform: true, reachableIds: new Set(),
			});
		}
	}

	/** Ids of the engines that run. */
	listEngineIds(): string[] {
		return [...this.#engines.values()].filter(({isRunning}) => isRunning).map(({id}) => id);
	}

	/** Counts the engines of a software version that run. */
	countEngines(softwareVersion: string): number {
		return [...this.#engines.values()].filter(engine => engine.isRunning && engine.softwareVersion === softwareVersion).length;
	}

	/** Instances that run and are not paused. */
	listRunning(): Node[] {
		return this.nodes.filter(({pausedUntil}) => pausedUntil <= this.now);
	}

	/** Advances the fleet by `durationMs`; `onStep` is called before each step. */
	advance(durationMs: number, onStep?: () => void): void {
		for (const end = this.now + durationMs; this.now < end;) {
			onStep?.();
			this.now += stepMs;
			this.#runScheduled();
			this.#advanceRuns();
			for (const node of this.listRunning()) {
				node.gateway.now = this.now;
				node.gateway.handle({kind: eventKind.tick});
				this.#readDirectory(node);
				this.#drainEffects(node);
			}
		}
	}

	/** Sends a caller's request to one of the running instances. */
	sendRequest(route: Route, prompt: readonly string[], fingerprint?: string, partTokens = 400): void {
		const running = this.listRunning();
		const node = running[Math.floor(this.random() * running.length)];
		if (node === undefined) {
			return;
		}

		this.#drainEffects(node);
		node.gateway.now = this.now;
		this.#receive(node, route, {prompt, partTokens, fingerprint});
	}

	/** Sends a stream, or its take-up, to a certain instance. */
	sendStream(node: Node, route: Route, fields: StreamFields): SimulatedRequest {
		this.#drainEffects(node);
		node.gateway.now = this.now;
		return this.#receive(node, route, fields);
	}

	/** Draws how many of the events that happen `perSecond` times a second on average fall into one step. */
	drawCount(perSecond: number): number {
		const mean = perSecond * stepMs / 1000;
		return Math.floor(mean) + (this.random() < mean % 1 ? 1 : 0);
	}

	/** Pauses or restarts running instances, `perSecond` of them a second on average. */
	interruptInstances(perSecond: number): void {
		const running = this.listRunning();
		for (let count = this.drawCount(perSecond); count > 0; count--) {
			const node = running[Math.floor(this.random() * running.length)]!;
			if (this.random() < 0.5) {
				this.pause(node, 500 + (this.random() * 2500));
			} else {
				this.restart(node, 500 + (this.random() * 1500));
			}
		}
	}

	/** Suspends an instance for `durationMs`. */
	pause(node: Node, durationMs: number): void {
		node.pausedUntil = this.now + durationMs;
		node.runningSince = node.pausedUntil;
	}

	/** Kills an instance, which starts again as a new process after `downMs`. */
	restart(node: Node, downMs: number): void {
		const index = this.nodes.indexOf(node);
		this.pause(node, downMs);
		node.gateway = this.#createGateway(index, Math.round(this.now));
		node.readRevision = 0;
		for (const {gateway, send} of this.#runs.filter(run => run.node === node)) {
			this.#recordCut(gateway, send.openId);
		}

		// The engines drop the requests of the closed connections.
		this.#runs = this.#runs.filter(run => run.node !== node);
	}

	/** Cuts an instance off from all engines but those in `reachableIds`, or ends the cut. */
	setCut(node: Node, cut: CutMode | undefined, reachableIds: readonly string[] = []): void {
		node.cut = cut;
		node.reachableIds = new Set(reachableIds);
		if (cut === cutMode.reset) {
			for (const run of this.#runs.filter(other => other.node === node && findCut(node, other.engine.id) !== undefined)) {
				this.#endRun(run, run.hasBegun ? sendOutcome.interrupted : sendOutcome.lost);
			}
		}
	}

	/** Starts another engine. */
	addEngine(): void {
		const number = this.#nextEngineNumber++;
		const engine = {
			id: `${this.#options.engineName ?? 'engine'}-${number}`, address: `10.0.0.${number}:80`, zone: zones[number % zones.length]!, isRunning: true,
			softwareVersion: this.softwareVersion, startedAt: this.now, endedAt: Number.POSITIVE_INFINITY, removedAt: Number.POSITIVE_INFINITY, rejectedAt: [],
		};
		this.#engines.set(engine.id, engine);
		this.#allEngines.push(engine);
		this.#history.push(createTargetChange(this.#history.length + 1, createTargetRecord(engine.id, {
			address: engine.address, zone: engine.zone, softwareVersion: this.softwareVersion, slots: this.#options.engineRoom?.slots ?? 96,
		})));
	}

	/** Evacuates an availability zone. */
	closeZone(zone: string): void {
		this.#history.push({subject: `zone/${zone}`, revision: this.#history.length + 1, fact: {kind: factKind.zoneClosed, zone}});
	}

	/** Crashes some running engines at once. */
	crashEngines(count: number): void {
		const running = [...this.#engines.values()].filter(({isRunning}) => isRunning);
		for (let index = 0; index < count && running.length > 0; index++) {
			this.#crash(running.splice(Math.floor(this.random() * running.length), 1)[0]!);
		}
	}

	/** Resets the connections of some requests that have not begun, while their engines go on. */
	resetRuns(fraction: number): void {
		for (const run of this.#runs.filter(({hasBegun}) => !hasBegun)) {
			if (this.random() < fraction) {
				this.#endRun(run, sendOutcome.lost);
			}
		}
	}

	#receive(node: Node, route: Route, fields: StreamFields): SimulatedRequest {
		const request: SimulatedRequest = {
			at: this.now, prompt: fields.prompt ?? [], fingerprint: fields.fingerprint, requestId: fields.requestId, receiver: node.address,
			runningCount: this.listEngineIds().length, arrivalCount: 0, hasBegun: false, versions: new Set(),
		};
		this.requests.push(request);
		// The fixture assigns the identifier before it returns it.
		const openId = node.gateway.nextOpenId;
		this.#requestByKey.set(createRequestKey(node.gateway, openId), request);
		node.gateway.receiveRequest(route, fields);
		this.#drainEffects(node);
		return request;
	}

	#createGateway(index: number, startedAt: number): GatewayFixture {
		const gateway = new GatewayFixture(`gateway-${index}`, zones[index % zones.length], this.#options.seed + index + startedAt);
		gateway.now = this.now;
		gateway.canRefresh = false;
		Object.assign(gateway.state.self, {incarnation: `gateway-${index}-${startedAt}`});
		gateway.handle({kind: eventKind.settingsChanged, seedAddresses: ['gateway-0:1', 'gateway-1:1', 'gateway-2:1']});
		return gateway;
	}

	#crash(engine: Engine): void {
		engine.isRunning = false;
		engine.endedAt = this.now;
		for (const run of this.#runs.filter(other => other.engine === engine)) {
			this.#endRun(run, run.hasBegun ? sendOutcome.interrupted : sendOutcome.lost);
		}

		this.#schedule(lapseMs, () => {
			this.#history.push({subject: `target/${engine.id}`, revision: this.#history.length + 1});
			this.#engines.delete(engine.id);
			engine.removedAt = this.now;
		});
		this.#schedule(restartMs, () => {
			this.addEngine();
		});
	}

	#schedule(delayMs: number, run: () => void): void {
		this.#scheduled.push({at: this.now + delayMs, run});
	}

	#runScheduled(): void {
		const due = this.#scheduled.filter(({at}) => at <= this.now);
		for (const item of due) {
			this.#scheduled.splice(this.#scheduled.indexOf(item), 1);
			item.run();
		}
	}

	/** Starts to work on waiting requests for which a slot is free. */
	#startWaitingRuns(): void {
		const {engineRoom} = this.#options;
		const busySlots = new Map<Engine, number>();
		for (const {engine} of this.#runs.filter(({startedAt}) => startedAt !== undefined)) {
			busySlots.set(engine, (busySlots.get(engine) ?? 0) + 1);
		}

		for (const run of this.#runs) {
			const busy = busySlots.get(run.engine) ?? 0;
			if (engineRoom !== undefined && run.startedAt === undefined && busy < engineRoom.slots) {
				busySlots.set(run.engine, busy + 1);
				run.startedAt = this.now;
				run.beginsAt = this.now + engineRoom.runMs.min + (this.random() * engineRoom.runMs.extra);
				run.endsAt = run.beginsAt;
			}
		}
	}

	/** Rejects a request for want of room; an engine that rejects too many falls over. */
	#reject({node, gateway, send: {openId, sendId}, engine}: Run): void {
		this.rejectionCount++;
		engine.rejectedAt = [...engine.rejectedAt.filter(at => this.now - at < 1000), this.now];
		if (this.canFall && engine.rejectedAt.length > this.rejectionLimit!) {
			this.falls.push(this.now);
			this.#crash(engine);
			this.#handle({node, gateway}, {
				kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.lost, detail: 'simulated',
			});
			return;
		}

		const load = this.#runs.filter(other => other.engine === engine).length;
		this.#handle({node, gateway}, {
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.rejected, detail: 'simulated',
			targetReport: {load: {running: load, waiting: 0}, rejectionsPerS: this.rejectionLimit, at: this.now},
		});
	}

	#advanceRuns(): void {
		this.#startWaitingRuns();
		for (const run of this.#runs) {
			if (!this.#runs.includes(run)) {
				continue;
			}

			const {send: {openId, sendId}} = run;
			if (this.silentIds.has(run.engine.id) || unansweredModes.has(findCut(run.node, run.engine.id))) {
				continue;
			}

			if (!run.hasBegun && run.beginsAt <= this.now) {
				if (this.crashingFingerprints.has(run.fingerprint) || (this.crashingPart !== undefined && run.prompt.includes(this.crashingPart))) {
					this.crashes.push(this.now);
					this.crashesByFingerprint.set(run.fingerprint, [...this.crashesByFingerprint.get(run.fingerprint) ?? [], this.now]);
					this.#crash(run.engine);
					continue;
				}

				run.hasBegun = true;
				const request = this.#requestByKey.get(createRequestKey(run.gateway, openId));
				if (request !== undefined) {
					request.hasBegun = true;
					request.versions.add(run.engine.softwareVersion);
				}

				this.#handle(run, {
					kind: eventKind.answerStarted, openId, sendId, targetReport: this.#createReport(run),
				});
				this.#passOn(run.gateway, openId, {kind: eventKind.answerStarted, softwareVersion: run.engine.softwareVersion});
			} else if (run.endsAt <= this.now) {
				this.#endRun(run, sendOutcome.complete);
			}
		}
	}

	#createReport({node, gateway, engine}: Run): TargetReport {
		const requestsPerS = this.engineLimits.get(engine.id);
		const key = `${node.address} ${engine.id}`;
		if (requestsPerS !== undefined && !this.limitHeardAt.has(key) && node.gateway === gateway) {
			this.limitHeardAt.set(key, Math.max(this.now, node.pausedUntil));
		}

		return {
			load: {running: this.#runs.filter(other => other.engine === engine).length, waiting: 0},
			requestsPerS,
			rejectionsPerS: this.rejectionLimit,
			at: this.now,
		};
	}

	#endRun(run: Run, outcome: typeof sendOutcome[keyof typeof sendOutcome]): void {
		this.#runs = this.#runs.filter(other => other !== run);
		const {openId, sendId} = run.send;
		if (outcome === sendOutcome.complete && run.startedAt !== undefined) {
			this.completions.push({at: this.now, slotMs: this.now - run.startedAt});
		}

		this.#handle(run, {
			kind: eventKind.sendEnded, openId, sendId, outcome, detail: 'simulated', ...(this.#isResumable(run) && {lastEventId: '1'}),
		});
		if (outcome === sendOutcome.complete) {
			this.#passOn(run.gateway, openId, {kind: eventKind.sendEnded, outcome});
		}
	}

	/** Delivers an event of a run once its instance is not paused. */
	#handle({node, gateway}: Pick<Run, 'node' | 'gateway'>, event: Event): void {
		this.#schedule(Math.max(0, node.pausedUntil - this.now), () => {
			if (node.gateway === gateway) {
				gateway.now = this.now;
				gateway.handle(event);
				this.#drainEffects(node);
			}
		});
	}

	/** Watchers read all changes, the other instances only if they fall back to it. */
	#readDirectory(node: Node): void {
		const {gateway} = node;
		if (gateway.state.isWatching && !this.#canReadPlatform(node) && this.now % lostReadIntervalMs === 0) {
			gateway.handle({kind: eventKind.directoryLost, detail: 'timeout'});
		}

		if (gateway.state.isWatching && this.#canReadPlatform(node) && (node.readRevision < this.#history.length || this.now % 1000 === 0)) {
			const since = gateway.state.directory.revision;
			node.readRevision = this.#history.length;
			const changes = this.#history.filter(({revision}) => revision > since);
			gateway.handle({kind: eventKind.directoryRead, update: {revision: this.#history.length, since, changes}, confirmedAt: this.now});
		}
	}

	#canReadPlatform({isIsolated, canReadPlatform}: Node): boolean {
		return canReadPlatform && !isIsolated && !this.isPlatformDown;
	}

	/** Reads the changes since a revision for an instance that asks for them. */
	#refreshDirectory(node: Node, since: number): void {
		const {gateway} = node;
		const startedAt = this.now;
		this.#schedule(this.#canReadPlatform(node) ? stepMs : lostCallMs, () => {
			const changes = this.#history.filter(({revision}) => revision > since);
			const revision = this.#history.length;
			this.#handle({node, gateway}, {
				kind: eventKind.directoryRefreshed, startedAt, ...(this.#canReadPlatform(node) && {update: {revision, since, changes}}),
			});
		});
	}

	#drainEffects(node: Node): void {
		const {effects} = node.gateway;
		node.gateway.effects = [];
		for (const effect of effects) {
			if (effect.kind === effectKind.probeTarget) {
				this.#probeTarget(node, effect);
			} else if (effect.kind !== effectKind.reportSilence) {
				this.#execute(node, effect);
			}
		}
	}

	#execute(node: Node, effect: Exclude<Effect, ProbeTargetEffect | ReportSilenceEffect>): void {
		switch (effect.kind) {
			case effectKind.send: {
				this.#startRun(node, effect);
				break;
			}

			case effectKind.cancel: {
				this.#runs = this.#runs.filter(({gateway, send}) => gateway !== node.gateway || send.sendId !== effect.sendId);
				this.#cancelRelay(node.gateway, effect.sendId);
				break;
			}

			case effectKind.refuse: {
				this.#refuse(node, effect);
				break;
			}

			case effectKind.breakOff: {
				this.#recordCut(node.gateway, effect.openId);
				this.#passOn(node.gateway, effect.openId, {kind: eventKind.sendEnded, outcome: sendOutcome.interrupted});
				break;
			}

			case effectKind.finishStream: {
				this.#passOn(node.gateway, effect.openId, {kind: eventKind.sendEnded, outcome: sendOutcome.complete});
				break;
			}

			case effectKind.checkTarget: {
				const {targetId} = effect;
				const {gateway} = node;
				const startedAt = this.now;
				this.#schedule(findCut(node, targetId) === cutMode.silent ? checkTimeoutMs : stepMs, () => {
					if (node.gateway === gateway && node.pausedUntil <= this.now) {
						const isRunning = this.#engines.get(targetId)?.isRunning ?? false;
						const cut = findCut(node, targetId);
						gateway.now = this.now;
						gateway.handle({
							kind: eventKind.targetChecked, targetId, startedAt,
							isListening: cut === cutMode.silent ? undefined : isRunning && (cut === undefined || cut === cutMode.accepted),
						});
						this.#drainEffects(node);
					}
				});
				break;
			}

			case effectKind.callPeer: {
				this.#callPeer(node, effect);
				break;
			}

			case effectKind.callStreamPeer: {
				this.#callStreamPeer(node, effect);
				break;
			}

			case effectKind.callLoadPeer: {
				this.#callLoadPeer(node, effect);
				break;
			}

			case effectKind.answerPeer:
			case effectKind.answerLoadPeer:
			case effectKind.answerStreamPeer: {
				this.#pendingAnswers.get(effect.callId)?.(effect.message);
				this.#pendingAnswers.delete(effect.callId);
				break;
			}

			case effectKind.readHistory: {
				const {gateway} = node;
				this.#schedule(stepMs, () => {
					if (node.gateway === gateway && node.pausedUntil <= this.now) {
						gateway.now = this.now;
						const history = this.#createPlatformHistory((1.5 * effect.spanMs) + (3 * renewalIntervalMs));
						gateway.handle({kind: eventKind.historyRead, history, epoch: 0});
						this.#drainEffects(node);
					}
				});
				break;
			}

			case effectKind.refreshDirectory: {
				this.#refreshDirectory(node, effect.position.revision);
				break;
			}

			case effectKind.log:
			case effectKind.watch:
			case effectKind.deliverHeld:
			case effectKind.refuseIncoming:
			case effectKind.finishDrain: {
				break;
			}
		}
	}

	#refuse({gateway}: Node, {openId, failure, runCount}: RefuseEffect): void {
		const key = createRequestKey(gateway, openId);
		if (this.#relays.has(key)) {
			const outcome = failure.status === 503 ? sendOutcome.rejected : sendOutcome.lost;
			this.#passOn(gateway, openId, {kind: eventKind.sendEnded, outcome, runCount});
			return;
		}

		const request = this.#requestByKey.get(key);
		if (request !== undefined) {
			request.refusedAt = this.now;
			request.refusalStatus = failure.status;
			request.refusalReason = failure.reason;
			request.retryAfterMs = failure.retryAfterMs;
		}
	}

	/** True if the caller of a run has received events of a stream that it may take up. */
	#isResumable({gateway, send, hasBegun}: Run): boolean {
		return hasBegun && this.#requestByKey.get(createRequestKey(gateway, send.openId))?.requestId !== undefined;
	}

	#recordCut(gateway: GatewayFixture, openId: number): void {
		const request = this.#requestByKey.get(createRequestKey(gateway, openId));
		if (request?.hasBegun === true) {
			request.cutAt ??= this.now;
		}
	}

	/** Creates the history that a platform keeps of the registrations of the last time; each engine renews its own. */
	#createPlatformHistory(durationMs: number): PlatformHistory {
		const since = this.now - Math.min(historyMs, durationMs);
		const written: Array<{readonly at: number; readonly change: Omit<PastChange, 'revision' | 'createdRevision'>; readonly isCreation: boolean}> = [];
		for (const engine of this.#allEngines.filter(({removedAt}) => removedAt > since)) {
			const subject = `target/${engine.id}`;
			const target = createTargetRecord(engine.id, {address: engine.address, zone: engine.zone, softwareVersion: engine.softwareVersion});
			const first = Math.max(0, Math.ceil((since - engine.startedAt) / renewalIntervalMs));
			for (let count = first; engine.startedAt + (count * renewalIntervalMs) <= Math.min(this.now, engine.endedAt); count++) {
				written.push({
					at: engine.startedAt + (count * renewalIntervalMs),
					change: {subject, fact: {kind: 'target', target}, renewalCount: count + 1},
					isCreation: count === 0,
				});
			}

			if (engine.removedAt <= this.now) {
				written.push({at: engine.removedAt, change: {subject}, isCreation: false});
			}
		}

		const changes = written.sort((a, b) => a.at - b.at).map(({change, isCreation}, index) => ({
			...change, revision: index + 1, createdRevision: change.fact && (isCreation ? index + 1 : 0),
		}));
		// All registrations are in the history.
		return {changes, since: -1, renewalIntervalMs};
	}

	#cancelRelay(gateway: GatewayFixture, sendId: number): void {
		for (const [key, relay] of this.#relays) {
			if (relay.gateway === gateway && relay.send.sendId === sendId) {
				this.#relays.delete(key);
				this.#handle({node: relay.peer, gateway: relay.peer.gateway}, {kind: eventKind.callerLeft, openId: relay.peerOpenId});
			}
		}
	}

	#startRelay(node: Node, send: SendEffect): void {
		const {gateway} = node;
		const {
			route, promptParts, fingerprint, requestId, takeUp,
		} = gateway.state.openRequests.get(send.openId)!;
		const {softwareVersion, runLimit} = send;
		const request = this.#requestByKey.get(createRequestKey(gateway, send.openId))!;
		this.#schedule(stepMs, () => {
			const peer = this.nodes.find(other => other.address === send.address)!;
			if (peer.pausedUntil > this.now) {
				this.#handle({node, gateway}, {
					kind: eventKind.sendEnded, openId: send.openId, sendId: send.sendId, outcome: sendOutcome.notSent, detail: 'simulated',
				});
				return;
			}

			this.#handle({node, gateway}, {
				kind: eventKind.sendOpened, openId: send.openId, sendId: send.sendId, isNewConnection: true,
			});
			this.#drainEffects(peer);
			peer.gateway.now = this.now;
			const {id, incarnation} = gateway.state.self;
			const peerOpenId = peer.gateway.nextOpenId;
			const key = createRequestKey(peer.gateway, peerOpenId);
			this.#requestByKey.set(key, request);
			this.#relays.set(key, {
				node, gateway, send, peer, peerOpenId,
			});
			peer.gateway.receiveRequest(route, {
				prompt: promptParts.map(({id}) => id), partTokens: 400, fingerprint, requestId, resumedRequestId: takeUp?.resumedRequestId,
				...(takeUp !== undefined && {resumesAfterEventId: '1'}), relayedFrom: {
					id, incarnation, runLimit, softwareVersion,
				},
			});
			this.#drainEffects(peer);
		});
	}

	/** Passes an event of a relayed request on to the instance that received the request from its caller. */
	#passOn(gateway: GatewayFixture, openId: number, event: RelayedEvent): void {
		const key = createRequestKey(gateway, openId);
		const relay = this.#relays.get(key);
		if (relay === undefined) {
			return;
		}

		const {send: {openId: originOpenId, sendId}} = relay;
		this.#handle(relay, event.kind === eventKind.answerStarted
			? {
				kind: event.kind, openId: originOpenId, sendId, softwareVersion: event.softwareVersion,
			}
			: {
				kind: event.kind, openId: originOpenId, sendId, outcome: event.outcome, detail: 'relayed', runCount: event.runCount,
			});
		if (event.kind === eventKind.sendEnded) {
			this.#relays.delete(key);
		}
	}

	#startRun(node: Node, send: SendEffect): void {
		if (send.isRelayed) {
			this.#startRelay(node, send);
			return;
		}

		const {gateway} = node;
		const engine = this.#engines.get(send.targetId);
		const {promptParts, fingerprint} = gateway.state.openRequests.get(send.openId)!;
		const prompt = promptParts.map(({id}) => id);
		const {engineRoom} = this.#options;
		// An engine with limited room draws the times when a slot is free.
		const {toBegin, toEnd} = this.#drawRunDurations(prompt);
		const beginsAt = engineRoom === undefined ? this.now + toBegin + this.beginDelayMs : Number.POSITIVE_INFINITY;
		const run: Run = {
			node, gateway, send, engine: engine!, prompt, fingerprint, beginsAt, endsAt: beginsAt + toEnd, hasBegun: false,
			...(engineRoom === undefined && {startedAt: this.now}),
		};
		const cut = findCut(node, send.targetId);
		if (cut === cutMode.silent) {
			this.#schedule(connectTimeoutMs, () => {
				this.#endRun(run, sendOutcome.notSent);
			});
			return;
		}

		if (!engine?.isRunning || (cut !== undefined && cut !== cutMode.accepted)) {
			this.#endRun(run, sendOutcome.connectionRefused);
			return;
		}

		gateway.handle({
			kind: eventKind.sendOpened, openId: send.openId, sendId: send.sendId, isNewConnection: true,
		});
		const request = this.#requestByKey.get(createRequestKey(gateway, send.openId));
		if (request !== undefined) {
			request.arrivalCount++;
		}

		const load = this.#runs.filter(other => other.engine === engine).length;
		this.arrivals.push({
			at: this.now, engineId: engine.id, prompt, fingerprint, sender: node.address, senderRunningSince: node.runningSince,
			load, meanLoad: this.#runs.length / this.listEngineIds().length,
		});
		if (engineRoom !== undefined && load >= engineRoom.slots + this.queueLimit) {
			this.#reject(run);
		} else {
			this.#runs.push(run);
		}
	}

	#drawRunDurations(prompt: readonly string[]): RunDurations {
		const {drawRunDurations} = this.#options;
		return drawRunDurations === undefined
			? {toBegin: beginMs.min + (this.random() * beginMs.extra), toEnd: endMs.min + (this.random() * endMs.extra)}
			: drawRunDurations(prompt, this.random);
	}

	#probeTarget(node: Node, {targetId}: ProbeTargetEffect): void {
		const {gateway} = node;
		const startedAt = this.now;
		this.probes.push({at: startedAt, sender: node.address, targetId});
		const cut = findCut(node, targetId);
		const isSilent = cut === undefined ? this.silentIds.has(targetId) : unansweredModes.has(cut);
		this.#schedule(isSilent ? checkTimeoutMs : stepMs, () => {
			if (node.gateway !== gateway || node.pausedUntil > this.now) {
				return;
			}

			const isRunning = this.#engines.get(targetId)?.isRunning ?? false;
			const isRefused = !isRunning || cut === cutMode.reset || cut === cutMode.refused || cut === cutMode.silent;
			const unanswered = isRefused ? probeResult.unreached : probeResult.unanswered;
			gateway.now = this.now;
			gateway.handle({
				kind: eventKind.targetProbed, targetId, startedAt, result: isSilent || isRefused ? unanswered : probeResult.answered,
			});
			this.#drainEffects(node);
		});
	}

	#callPeer(node: Node, {address, message}: CallPeerEffect): void {
		const requestedAt = this.now;
		this.#exchange(node, address, callId => ({kind: eventKind.peerCalled, callId, message}), (answer?: PeerMessage) => answer === undefined
			? {kind: eventKind.peerFailed, address, detail: 'timeout'}
			: {
				kind: eventKind.peerAnswered, address, message: answer, requestedAt,
			});
	}

	#callStreamPeer(node: Node, {address, message}: CallStreamPeerEffect): void {
		this.streamCallCount++;
		this.#exchange(node, address, callId => ({kind: eventKind.streamPeerCalled, callId, message}), (answer?: StreamMessage) => ({
			kind: eventKind.streamPeerAnswered, address, askedKeys: message.askedKeys, message: answer,
		}));
	}

	/** Delivers a call about a load at once, since a step is longer than the way there. */
	#callLoadPeer(node: Node, {address, message, openId}: CallLoadPeerEffect): void {
		this.#exchange(node, address, callId => ({kind: eventKind.loadPeerCalled, callId, message}), (answer?: LoadMessage) => ({
			kind: eventKind.loadPeerAnswered, address, openId, message: answer,
		}), {callMs: 0, timeoutMs: 2 * stepMs});
	}

	/** Delivers a call to a peer, and its response, or the failure after a timeout, to the caller. */
	#exchange<T>(node: Node, address: string, createCall: CreateCall, createResult: CreateResult<T>, {callMs, timeoutMs} = exchangeTiming): void {
		const callee = this.nodes.find(other => other.address === address);
		const {gateway} = node;
		const isLost = this.random() < (this.#options.callLoss ?? 0);
		const callId = this.#nextCallId++;
		let isOver = false;
		const finish = (event: Event) => {
			if (!isOver && node.gateway === gateway && node.pausedUntil <= this.now) {
				gateway.now = this.now;
				gateway.handle(event);
				this.#drainEffects(node);
			}

			isOver = true;
		};

		this.#schedule(timeoutMs, () => {
			finish(createResult());
		});
		const deliver = () => {
			if (callee === undefined || isLost || callee.pausedUntil > this.now || callee.isIsolated || node.isIsolated) {
				return;
			}

			this.#pendingAnswers.set(callId, answer => {
				this.#schedule(stepMs, () => {
					finish(createResult(answer as T));
				});
			});
			callee.gateway.now = this.now;
			callee.gateway.handle(createCall(callId));
			this.#drainEffects(callee);
		};

		if (callMs === 0) {
			deliver();
		} else {
			this.#schedule(callMs, deliver);
		}
	}
}
