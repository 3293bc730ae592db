/**
 * Assembles a router: connects the reducer with its servers and clients.
 */
import {randomUUID} from 'node:crypto';
import {totalmem} from 'node:os';
import process from 'node:process';
import {
	createState, createUnknownRefusal, eventKind, refusalReason, RendezvousChoice, timelineKind, type AnswerBorrowEffect,
	type BorrowEffect, type CancelEffect, type DispatchEffect, type Effect, type Event,
	type ExchangeEffect, type FetchDocumentEffect, type ForwardEffect, type GiveBackEffect, type ProbeEffect, type ReadDocumentEffect, type RefuseEffect,
	type RememberAnswerEffect, type ReplayEffect, type TimelineEntry,
} from '@sequoiatally/core';
import {
	readMonotonicMs, readWallMs, TimelineWriter, type LifecycleManager, type Logger, type NamedToken, type SocketAddress,
} from '@sequoiatally/runtime';
import {AlarmMonitor} from './alarm-monitor.js';
import {listenAdmin} from './admin-server.js';
import {AnswerStore} from './answer-store.js';
import {CallerServer, type OpenRequests} from './caller-server.js';
import {Metrics} from './metrics.js';
import {PeerClient} from './peer-client.js';
import {PeerServer} from './peer-server.js';
import {PlatformClient} from './platform-client.js';
import {RecentRefusals} from './recent-refusals.js';
import {EffectHandler, Runner} from './runner.js';
import {TargetClient} from './target-client.js';

/** Interval between ticks of the reducer, in milliseconds. */
const tickIntervalMs = 50;
/** Interval between updates of the alarms, in milliseconds. */
const alarmUpdateIntervalMs = 500;

/** Validated settings of a router. */
export type RouterSettings = {
	readonly instanceId: string;
	readonly zone: string;
	readonly callerAddress: SocketAddress;
	readonly peerAddress: SocketAddress;
	readonly adminAddress: SocketAddress;
	readonly platformAddress: SocketAddress;
	readonly fleetSecret: string;
	/** Bearer tokens of operators, each with the operator's name. */
	readonly adminTokens: readonly NamedToken[];
	readonly timelinePath: string | undefined;
	/** Time after which a caller's connection is closed if none of its pending bytes could be sent, in milliseconds. */
	readonly callerSilenceMs: number;
	/** Time without a byte after which a target's answer is treated as lost, in milliseconds. */
	readonly targetSilenceMs: number;
};

/** A running router. */
export type StartedRouter = {
	readonly runner: Runner;
	/** Aborts all open requests with a typed error; returns their identifiers. */
	readonly abortOpenRequests: () => string[];
};

class RouterEffectHandler extends EffectHandler {
	readonly openRequests: OpenRequests;
	readonly targetClient: TargetClient;
	readonly platformClient: PlatformClient;
	readonly peerClient: PeerClient;
	readonly peerServer: PeerServer;
	readonly metrics: Metrics;
	readonly refusals: RecentRefusals;
	readonly timeline: TimelineWriter;
	readonly runner: Runner;
	readonly answers: AnswerStore;
	readonly onDrained: () => void;

	constructor(dependencies: Omit<RouterEffectHandler, keyof EffectHandler>) {
		super();
		this.openRequests = dependencies.openRequests;
		this.targetClient = dependencies.targetClient;
		this.platformClient = dependencies.platformClient;
		this.peerClient = dependencies.peerClient;
		this.peerServer = dependencies.peerServer;
		this.metrics = dependencies.metrics;
		this.refusals = dependencies.refusals;
		this.timeline = dependencies.timeline;
		this.runner = dependencies.runner;
		this.answers = dependencies.answers;
		this.onDrained = dependencies.onDrained;
	}

	override observe(effect: Effect): void {
		this.metrics.countEffect(effect);
	}

	override dispatch(effect: DispatchEffect): void {
		const openRequest = this.openRequests.get(effect.requestId);
		if (openRequest !== undefined) {
			void this.targetClient.runAttempt(effect, openRequest);
		}
	}

	override refuse({requestId, refusal}: RefuseEffect): void {
		this.metrics.countRefusal(refusal);
		this.refusals.record(requestId, refusal, readWallMs());
		this.openRequests.get(requestId)?.refuse(refusal);
		this.openRequests.delete(requestId);
	}

	override cancel({attemptId}: CancelEffect): void {
		this.targetClient.cancel(attemptId);
	}

	override forward(effect: ForwardEffect): void {
		const openRequest = this.openRequests.get(effect.requestId);
		if (openRequest !== undefined) {
			void this.peerClient.forward(effect, openRequest);
		}
	}

	override rememberAnswer({requestId, ticketRecordId}: RememberAnswerEffect): void {
		const answer = this.openRequests.get(requestId)?.answer;
		if (answer !== undefined) {
			this.answers.add(ticketRecordId, answer);
		}
	}

	override replay({requestId, ticketRecordId}: ReplayEffect): void {
		const answer = this.answers.read(ticketRecordId);
		const openRequest = this.openRequests.get(requestId);
		this.openRequests.delete(requestId);
		if (answer === undefined) {
			openRequest?.refuse(createUnknownRefusal(refusalReason.answerNotKept, 'The request ran under this ticket; its answer is no longer kept.'));
		} else {
			openRequest?.finishPlain({...answer, isReplayed: true});
		}
	}

	override probe(effect: ProbeEffect): void {
		void this.targetClient.probe(effect);
	}

	override readDocument(effect: ReadDocumentEffect): void {
		void this.platformClient.read(effect);
	}

	override fetchDocument(effect: FetchDocumentEffect): void {
		void this.peerClient.fetchDocument(effect);
	}

	override exchange(effect: ExchangeEffect): void {
		void this.peerClient.exchange(effect);
	}

	override borrow(effect: BorrowEffect): void {
		this.peerClient.borrow(effect);
	}

	override answerBorrow(effect: AnswerBorrowEffect): void {
		this.peerServer.answerBorrow(effect);
	}

	override giveBack(effect: GiveBackEffect): void {
		const {instanceId, incarnation} = this.runner.state.self;
		void this.peerClient.giveBack(effect, instanceId, incarnation);
	}

	override record(entry: TimelineEntry): void {
		this.timeline.write(entry);
		this.metrics.countEntry(entry);
		if (entry.kind === timelineKind.requestCompleted || entry.kind === timelineKind.callerLeft) {
			this.openRequests.delete(entry.requestId ?? '');
		}
	}

	override finishDrain(): void {
		this.onDrained();
	}
}

/** Starts a router. It stops once it has drained, or when the lifecycle closes. */
export async function startRouter(settings: RouterSettings, logger: Logger, lifecycle: LifecycleManager): Promise<StartedRouter> {
	const {instanceId, zone} = settings;
	const incarnation = randomUUID();
	const timeline = new TimelineWriter({
		process: 'router', instanceId, incarnation, zone,
	}, settings.timelinePath, detail => {
		logger.error({event: 'time-line-not-written', detail});
	});
	lifecycle.own('timeline file', async () => timeline.close());
	const self = {
		instanceId, incarnation, zone, startedAt: readMonotonicMs(),
	};
	const runner = new Runner(createState(self, {targetChoice: new RendezvousChoice()}), readMonotonicMs);
	const alarms = new AlarmMonitor(logger, entry => {
		timeline.write(entry);
		metrics.countEntry(entry);
	});
	const metrics = new Metrics(runner, alarms);
	const refusals = new RecentRefusals();
	const emit = (event: Event) => {
		metrics.countEvent(event);
		runner.handle(event);
	};

	const openRequests: OpenRequests = new Map();
	const peerServer = new PeerServer(runner, openRequests, settings.fleetSecret, readMonotonicMs);
	const callerServer = new CallerServer(runner, openRequests, {callerIdleTimeoutMs: settings.callerSilenceMs, readClock: readMonotonicMs});
	const close = async () => {
		// The reducer finishes a request before the last byte of its answer has been sent.
		await callerServer.closeGracefully();
		await peerServer.closeGracefully();
		timeline.write({kind: timelineKind.drainEnded, cause: 'drain'});
		await lifecycle.closeAll();
	};

	let isClosing = false;
	const startClosing = () => {
		void close();
		return true;
	};

	const platformClient = new PlatformClient(settings.platformAddress, emit, readMonotonicMs, logger, lifecycle);
	const peerClient = new PeerClient(settings.fleetSecret, emit, readMonotonicMs, logger, lifecycle);
	metrics.addTrafficMeter('platform', platformClient.traffic);
	metrics.addTrafficMeter('peers', peerClient.traffic);
	runner.setEffectHandler(new RouterEffectHandler({
		openRequests,
		targetClient: new TargetClient({
			emit, readClock: readMonotonicMs, idleTimeoutMs: settings.targetSilenceMs, memoryBytes: findMemoryBytes(),
		}, lifecycle),
		platformClient,
		peerClient,
		peerServer,
		metrics,
		refusals,
		timeline,
		runner,
		answers: new AnswerStore(),
		onDrained() {
			isClosing ||= startClosing();
		},
	}));
	await peerServer.listen(settings.peerAddress, lifecycle);
	await listenAdmin({
		runner, metrics, timeline, refusals, alarms, logger, tokens: settings.adminTokens,
	}, settings.adminAddress, lifecycle);
	await callerServer.listen(settings.callerAddress, lifecycle);
	lifecycle.ownInterval('tick', tickIntervalMs, () => {
		emit({kind: eventKind.tick});
	});
	lifecycle.ownInterval('alarms', alarmUpdateIntervalMs, () => {
		alarms.update(runner.state, readMonotonicMs());
	});
	timeline.write({kind: timelineKind.processStarted, cause: instanceId});
	emit({kind: eventKind.tick});
	return {runner, abortOpenRequests: () => callerServer.abortOpenRequests()};
}

/** Finds the memory that the process may use: that of the machine, or less if the process is restricted. */
function findMemoryBytes(): number {
	const constrainedBytes = process.constrainedMemory();
	return constrainedBytes > 0 ? Math.min(totalmem(), constrainedBytes) : totalmem();
}
