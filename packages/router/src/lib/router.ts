/**
 * One router: joins the reducer with its servers and clients.
 */
import {randomUUID} from 'node:crypto';
import {
	createState, createUnknownRefusal, eventKind, refusalReason, RendezvousChoice, timelineKind, type AnswerBorrowEffect,
	type BorrowEffect, type CancelEffect, type DispatchEffect, type Effect, type Event,
	type ExchangeEffect, type FetchDocumentEffect, type ForwardEffect, type GiveBackEffect, type ProbeEffect, type ReadDocumentEffect, type RefuseEffect,
	type RememberAnswerEffect, type ReplayEffect, type TimelineEntry,
} from '@sequoiatally/core';
import {
	readMonotonicMs, readWallMs, TimelineWriter, type LifecycleManager, type Logger, type NamedToken, type SocketAddress,
} from '@sequoiatally/runtime';
import {AlarmWatch} from './alarm-watch.js';
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

/** Time between two ticks of the reducer, in milliseconds. */
const tickIntervalMs = 50;
/** Time between two looks at the alarms, in milliseconds. */
const alarmIntervalMs = 500;

/** Checked settings of a router. */
export type RouterSettings = {
	readonly instanceId: string;
	readonly zone: string;
	readonly callerAddress: SocketAddress;
	readonly peerAddress: SocketAddress;
	readonly adminAddress: SocketAddress;
	readonly platformAddress: SocketAddress;
	readonly fleetSecret: string;
	/** Operators' tokens with their holders' names. */
	readonly adminTokens: readonly NamedToken[];
	readonly timelinePath: string | undefined;
	/** Time in which a caller has to take some of the bytes that wait for it, in milliseconds. */
	readonly callerSilenceMs: number;
	/** Time without a byte after which a target's answer counts as lost, in milliseconds. */
	readonly targetSilenceMs: number;
};

/** A router that serves. */
export type StartedRouter = {
	readonly runner: Runner;
	/** Ends every open request with a typed error; returns their identifiers. */
	readonly cutOpenRequests: () => string[];
};

class RouterEffects extends EffectHandler {
	readonly openRequests: OpenRequests;
	readonly targets: TargetClient;
	readonly platform: PlatformClient;
	readonly peerClient: PeerClient;
	readonly peerServer: PeerServer;
	readonly metrics: Metrics;
	readonly refusals: RecentRefusals;
	readonly timeline: TimelineWriter;
	readonly runner: Runner;
	readonly answers: AnswerStore;
	readonly onDrained: () => void;

	constructor(parts: Omit<RouterEffects, keyof EffectHandler>) {
		super();
		this.openRequests = parts.openRequests;
		this.targets = parts.targets;
		this.platform = parts.platform;
		this.peerClient = parts.peerClient;
		this.peerServer = parts.peerServer;
		this.metrics = parts.metrics;
		this.refusals = parts.refusals;
		this.timeline = parts.timeline;
		this.runner = parts.runner;
		this.answers = parts.answers;
		this.onDrained = parts.onDrained;
	}

	override observe(effect: Effect): void {
		this.metrics.countEffect(effect);
	}

	override dispatch(effect: DispatchEffect): void {
		const open = this.openRequests.get(effect.requestId);
		if (open !== undefined) {
			void this.targets.run(effect, open);
		}
	}

	override refuse({requestId, refusal}: RefuseEffect): void {
		this.metrics.countRefusal(refusal);
		this.refusals.record(requestId, refusal, readWallMs());
		this.openRequests.get(requestId)?.refuse(refusal);
		this.openRequests.delete(requestId);
	}

	override cancel({attemptId}: CancelEffect): void {
		this.targets.cancel(attemptId);
	}

	override forward(effect: ForwardEffect): void {
		const open = this.openRequests.get(effect.requestId);
		if (open !== undefined) {
			void this.peerClient.forward(effect, open);
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
		const open = this.openRequests.get(requestId);
		this.openRequests.delete(requestId);
		if (answer === undefined) {
			open?.refuse(createUnknownRefusal(refusalReason.answerNotKept, 'The request ran under this ticket; its answer is no longer kept.'));
		} else {
			open?.finishPlain({...answer, isReplayed: true});
		}
	}

	override probe(effect: ProbeEffect): void {
		void this.targets.probe(effect);
	}

	override readDocument(effect: ReadDocumentEffect): void {
		void this.platform.read(effect);
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
		this.metrics.count(entry);
		if (entry.kind === timelineKind.requestCompleted || entry.kind === timelineKind.callerLeft) {
			this.openRequests.delete(entry.requestId ?? '');
		}
	}

	override finishDrain(): void {
		this.onDrained();
	}
}

/** Starts a router; it stops when it has drained, or when the lifecycle closes. */
export async function startRouter(settings: RouterSettings, logger: Logger, lifecycle: LifecycleManager): Promise<StartedRouter> {
	const {instanceId, zone} = settings;
	const incarnation = randomUUID();
	const timeline = new TimelineWriter({
		process: 'router', instanceId, incarnation, zone,
	}, settings.timelinePath, detail => {
		logger.error({event: 'time-line-not-written', detail});
	});
	lifecycle.own('time line', async () => timeline.close());
	const self = {
		instanceId, incarnation, zone, startedAt: readMonotonicMs(),
	};
	const runner = new Runner(createState(self, {targetChoice: new RendezvousChoice()}), readMonotonicMs);
	const alarms = new AlarmWatch(logger, entry => {
		timeline.write(entry);
		metrics.count(entry);
	});
	const metrics = new Metrics(runner, alarms);
	const refusals = new RecentRefusals();
	const emit = (event: Event) => {
		metrics.countEvent(event);
		runner.handle(event);
	};

	const openRequests: OpenRequests = new Map();
	const peerServer = new PeerServer(runner, openRequests, settings.fleetSecret, readMonotonicMs);
	const callerServer = new CallerServer(runner, openRequests, {callerSilenceMs: settings.callerSilenceMs, readClock: readMonotonicMs});
	const close = async () => {
		// The reducer is done with a request before its last byte has left.
		await callerServer.finish();
		await peerServer.finish();
		timeline.write({kind: timelineKind.drainEnded, cause: 'drain'});
		await lifecycle.closeAll();
	};

	let isDrained = false;
	const startClosing = () => {
		void close();
		return true;
	};

	const platform = new PlatformClient(settings.platformAddress, emit, readMonotonicMs, logger, lifecycle);
	const peerClient = new PeerClient(settings.fleetSecret, emit, readMonotonicMs, logger, lifecycle);
	metrics.addTraffic('platform', platform.traffic);
	metrics.addTraffic('peers', peerClient.traffic);
	runner.connect(new RouterEffects({
		openRequests,
		targets: new TargetClient(emit, readMonotonicMs, settings.targetSilenceMs, lifecycle),
		platform,
		peerClient,
		peerServer,
		metrics,
		refusals,
		timeline,
		runner,
		answers: new AnswerStore(),
		onDrained() {
			isDrained ||= startClosing();
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
	lifecycle.ownInterval('alarms', alarmIntervalMs, () => {
		alarms.update(runner.state, readMonotonicMs());
	});
	timeline.write({kind: timelineKind.processStarted, cause: instanceId});
	emit({kind: eventKind.tick});
	return {runner, cutOpenRequests: () => callerServer.cutOpenRequests()};
}
