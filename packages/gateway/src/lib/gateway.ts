/**
 * One gateway: connects the reducer with its servers and clients. A queue
 * processes all events one after another on a single thread.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import process from 'node:process';
import {
	checkHead, createFailure, createState, effectKind, eventKind, failureReason, isReady, reduce,
	type BreakOffEffect, type CheckTargetEffect, type DeliverHeldEffect, type Effect, type Event, type FinishDrainEffect, type FinishStreamEffect,
	type FleetBounds, type LogEffect,
	type PlatformHistory, type ProbeTargetEffect, type RefuseEffect, type SendEffect, type State,
} from '@sequoiatally/dispatch';
import {
	BoundedLog, BufferBudget, describeError, EventQueue, readMonotonicMs, readWallMs, type LifecycleManager, type SocketAddress,
} from '@sequoiatally/runtime';
import {CallerServer} from './caller-server.js';
import {ConnectionPool} from './connection-pool.js';
import {DisconnectMonitor} from './disconnect-monitor.js';
import {GatewayMetrics} from './gateway-metrics.js';
import {LimitedServer} from './limited-server.js';
import {listenOn} from './listen.js';
import {PeerTransport} from './peer-transport.js';
import {
	DirectoryListener, type CallerProtocol, type DirectorySource, type TargetProtocol,
} from './protocol.js';
import {ReadPacing} from './read-pacing.js';
import {computeServerShares, type ServerShares} from './server-shares.js';
import {TargetClient} from './target-client.js';
import {TargetProber} from './target-prober.js';

/** Interval of the reducer's ticks, in milliseconds; the resolution of deadlines. */
const tickIntervalMs = 25;
/** Time for reading responses in one iteration of the event loop, in milliseconds; a process that accepts 1000 connections then needs few seconds for it. */
const maxResponseMsPerIteration = 4;

/** Validated settings of a gateway. */
export type GatewaySettings = {
	readonly instanceId: string;
	readonly zone: string;
	readonly callerAddress: SocketAddress;
	readonly readyAddress: SocketAddress;
	readonly peerAddress: SocketAddress;
	/** Additional address on which metrics are served; `undefined` if they are served on the peer address only. */
	readonly metricsAddress?: SocketAddress;
	/** Addresses of peers to contact first for the member list. */
	readonly seedAddresses: readonly string[];
	/** Memory that the process may use; the platform ends a process that uses more. */
	readonly memoryBytes: number;
	/** Descriptors that the process may open. */
	readonly maxDescriptors: number;
	readonly bounds: FleetBounds;
};

/** Protocol implementations that the gateway uses. */
export type GatewayProtocols = {
	readonly callers: CallerProtocol;
	readonly targets: TargetProtocol;
	readonly directory: DirectorySource;
};

class EventEmittingListener extends DirectoryListener {
	readonly #gateway: Gateway;

	constructor(gateway: Gateway) {
		super();
		this.#gateway = gateway;
	}

	override handleUpdate(update: Parameters<DirectoryListener['handleUpdate']>[0], confirmedAt: number): void {
		this.#gateway.handle({kind: eventKind.directoryRead, update, confirmedAt});
	}

	override handleReadFailure(detail: string): void {
		this.#gateway.handle({kind: eventKind.directoryLost, detail});
	}

	override handleHistoryLost(revision: number): void {
		this.#gateway.log.write('warn', {event: 'platform-history-lost', revision});
	}

	override handleEpochChanged(epoch: number, before: number | undefined, revision: number): void {
		this.#gateway.log.write(before === undefined ? 'info' : 'warn', {
			event: 'platform-epoch-changed', epoch, before, revision,
		});
	}

	override handleHistory(history: PlatformHistory | undefined, epoch: number, fault?: string): void {
		this.#gateway.handle({
			kind: eventKind.historyRead, history, epoch, fault,
		});
	}

	override handleRefresh(update: Parameters<DirectoryListener['handleRefresh']>[0], startedAt: number, fault?: string): void {
		this.#gateway.handle({
			kind: eventKind.directoryRefreshed, update, startedAt, fault,
		});
	}

	override handleUnreadableEntry(key: string, detail: string): void {
		this.#gateway.log.write('warn', {event: 'unreadable-entry', subject: key, detail});
	}
}

export class Gateway {
	readonly log: BoundedLog;
	readonly state: State;
	readonly #settings: GatewaySettings;
	readonly #protocols: GatewayProtocols;
	readonly #lifecycle: LifecycleManager;
	readonly #queue = new EventQueue<Event>(event => {
		for (const effect of reduce(this.state, event, readMonotonicMs())) {
			this.#executeEffect(effect);
		}
	});

	readonly #callers: CallerServer;
	readonly #pool: ConnectionPool;
	readonly #targets: TargetClient;
	readonly #prober: TargetProber;
	readonly #peers: PeerTransport;
	readonly #metrics: GatewayMetrics;
	readonly #serverShares: ServerShares;
	readonly #disconnects = new DisconnectMonitor(readMonotonicMs);
	/** Identifiers of the sends that wait until it is known whether their callers are still connected. */
	readonly #waitingSends = new Set<number>();
	readonly #readyServer: Server;
	#tablesVersion = 0;
	#isDraining = false;
	#onDrained?: () => void;

	constructor(settings: GatewaySettings, protocols: GatewayProtocols, lifecycle: LifecycleManager) {
		const incarnation = randomUUID();
		this.#settings = settings;
		this.#protocols = protocols;
		this.#lifecycle = lifecycle;
		this.log = new BoundedLog({instance: settings.instanceId, incarnation: incarnation.slice(0, 8)}, readWallMs, lifecycle);
		const {host, port} = settings.peerAddress;
		this.state = createState({
			id: settings.instanceId, incarnation, address: `${host}:${port}`, zone: settings.zone,
		}, settings.bounds, settings.seedAddresses, Math.random);
		this.#serverShares = computeServerShares(settings.maxDescriptors, settings.memoryBytes);
		const emit = (event: Event) => {
			this.handle(event);
		};

		const log = (event: string, fields: Readonly<Record<string, unknown>>) => {
			this.#metrics.count(event);
			this.log.write('info', {event, ...fields});
		};

		const bufferBudget = new BufferBudget(settings.memoryBytes, isFull => {
			const event = isFull ? 'memory-full' : 'memory-free';
			this.#metrics.count(event);
			this.log.write(isFull ? 'warn' : 'info', {
				event, bodyBytes: bufferBudget.bodyBytes, bodyBytesLimit: bufferBudget.bodyBytesLimit, open: this.#callers.openExchanges.size,
			});
		});
		const pool = new ConnectionPool(readMonotonicMs, lifecycle);
		this.#pool = pool;
		this.#prober = new TargetProber(protocols.targets, readMonotonicMs, lifecycle);
		this.#callers = new CallerServer({
			protocol: protocols.callers,
			bufferBudget,
			limits: this.#serverShares.callers,
			random: Math.random,
			disconnects: this.#disconnects,
			checkHead: (head, relayedFrom) => checkHead(this.state, {...head, relayedFrom}, readMonotonicMs()),
			emit,
			log,
		});
		const pacing = new ReadPacing(maxResponseMsPerIteration, setImmediate);
		this.#targets = new TargetClient({
			pool,
			protocol: protocols.targets,
			callerProtocol: protocols.callers,
			origin: {id: settings.instanceId, incarnation},
			bufferBudget,
			disconnects: this.#disconnects,
			emit,
			readClock: readMonotonicMs,
			pacing,
		});
		this.#metrics = new GatewayMetrics([
			['open_requests', () => this.state.openRequests.size],
			['members', () => this.state.members.byId.size + 1],
			['tables_version', () => this.state.directory.tables?.version ?? 0],
			['directory_epoch', () => this.state.directory.epoch],
			['directory_revision', () => this.state.directory.revision],
			['directory_age_ms', () => readMonotonicMs() - (this.state.directory.confirmedAt ?? 0)],
			['lost_paths', () => [...this.state.paths.values()].filter(({lostSince}) => lostSince !== undefined).length],
			['relayed_requests', () => this.state.relayedOpenIds.size],
			['quarantined_prompts', () => this.state.quarantine.size],
			['contended_pools', () => this.state.accountShare.countContended(readMonotonicMs())],
			['target_connections_opened', () => pool.openedCount],
			['body_bytes', () => bufferBudget.bodyBytes],
			['body_bytes_limit', () => bufferBudget.bodyBytesLimit],
			['response_bytes', () => bufferBudget.responseBytes],
			['paced_responses', () => pacing.stoppedCount],
			['paced_requests', () => this.#callers.pacedCount],
			['caller_connections', () => this.#callers.connectionCount],
			['caller_connections_limit', () => this.#serverShares.callers.connections],
			['read_ahead_bytes', () => this.#callers.readAheadBytes],
			['read_ahead_bytes_limit', () => this.#serverShares.callers.bytes],
			['log_lines_dropped', () => this.log.droppedTotal],
		]);
		this.#peers = new PeerTransport({
			emit,
			readClock: readMonotonicMs,
			handleRelayed: (request, response) => {
				this.#callers.handleRelayed(request, response);
			},
			disconnects: this.#disconnects,
			renderMetrics: async () => this.#metrics.render(),
			log,
		}, lifecycle);
		this.#readyServer = new LimitedServer({
			name: 'ready',
			server: {},
			limits: this.#serverShares.status,
			handle: (_request, response) => {
				response.writeHead(isReady(this.state) ? 200 : 503, {'Content-Length': '0'});
				response.end();
			},
			log,
		}).server;
	}

	/** Starts to listen and to read the directory. `onDrained` is called when a drain is complete. */
	async start(onDrained: () => void): Promise<void> {
		this.#onDrained = onDrained;
		this.#protocols.directory.start(new EventEmittingListener(this), this.#lifecycle);
		await Promise.all([
			listenOn(this.#readyServer, this.#settings.readyAddress, this.#lifecycle),
			this.#callers.listen(this.#settings.callerAddress, this.#lifecycle),
			this.#peers.listen(this.#settings.peerAddress, {name: 'peers', limits: this.#serverShares.peers}, this.#lifecycle),
		]);
		await this.#serveMetrics();
		this.#lifecycle.ownInterval('tick', tickIntervalMs, () => {
			this.#disconnects.samplePoll(readMonotonicMs());
			this.handle({kind: eventKind.tick});
		});
		const {user, system} = process.cpuUsage();
		this.log.write('info', {
			event: 'started',
			zone: this.#settings.zone,
			bounds: this.#settings.bounds,
			seeds: this.#settings.seedAddresses,
			nodeVersion: process.versions.node,
			httpParserVersion: process.versions.llhttp,
			startCpuMs: Math.round((user + system) / 1000),
			residentMb: Math.round(process.memoryUsage.rss() / (1024 * 1024)),
		});
	}

	/** Handles an event, including the events that its effects emit synchronously. */
	handle(event: Event): void {
		if (this.#queue.handle(event)) {
			this.#applyStateToServers();
		}
	}

	/** Logs the end of the process, and what it leaves unfinished; the requests that are open have ended before. */
	logStop(): void {
		const {drainStartedAt, stopStartedAt} = this.state;
		this.log.write('warn', {
			event: 'stopped',
			reason: stopStartedAt === undefined ? 'drained' : 'stop',
			open: this.state.openRequests.size,
			unsent: this.#callers.openExchanges.size - this.state.openRequests.size,
			receiving: this.#callers.incomingCount,
			drainedMs: drainStartedAt === undefined ? undefined : Math.round(readMonotonicMs() - drainStartedAt),
		});
	}

	/** Serves metrics on their own address, if there is one. A failure to listen is only logged, so that requests are still served. */
	async #serveMetrics(): Promise<void> {
		const {metricsAddress} = this.#settings;
		if (metricsAddress === undefined) {
			return;
		}

		try {
			await this.#peers.listen(metricsAddress, {name: 'metrics', limits: this.#serverShares.status}, this.#lifecycle);
		} catch (error) {
			this.log.write('warn', {event: 'metrics-not-served', port: metricsAddress.port, detail: describeError(error)});
		}
	}

	/** Applies new limits and the start of a drain to the caller server. */
	#applyStateToServers(): void {
		const {tables} = this.state.directory;
		if (tables !== undefined && tables.version !== this.#tablesVersion) {
			this.#tablesVersion = tables.version;
			this.#callers.applyLimits(tables.limits);
		}

		if (this.state.drainStartedAt !== undefined && !this.#isDraining) {
			this.#isDraining = true;
			this.#callers.startDraining();
		}
	}

	/** Starts a send, or lets it wait until it is known whether the caller is still connected. */
	#startSend(effect: SendEffect, now: number): void {
		const {openId, sendId} = effect;
		const isUnread = this.#callers.tryReadOn(openId, now);
		if (!isUnread && !this.#disconnects.isBehind(now)) {
			this.#sendForCaller(effect);
			return;
		}

		this.#waitingSends.add(sendId);
		this.#disconnects.waitForPolls(() => {
			if (this.#waitingSends.delete(sendId)) {
				this.#sendForCaller(effect);
			}
		});
	}

	#sendForCaller(effect: SendEffect): void {
		const caller = this.#callers.openExchanges.get(effect.openId);
		if (caller?.isDisconnected) {
			caller.closeConnection();
		} else if (caller !== undefined) {
			caller.runCount = effect.runCount;
			this.#targets.startSend(effect, caller);
		}
	}

	#finishDrain({isLimitReached}: FinishDrainEffect): void {
		// A response that is complete for the reducer may still be on its way to a slow caller.
		if (isLimitReached || this.#callers.tryCloseConnections(readMonotonicMs())) {
			this.#onDrained?.();
		}
	}

	#checkTarget({targetId, address}: CheckTargetEffect): void {
		this.#pool.check(address, (isListening, startedAt, isAccepting) => {
			this.handle({
				kind: eventKind.targetChecked, targetId, startedAt, isListening, isAccepting,
			});
		});
	}

	#probeTarget(effect: ProbeTargetEffect): void {
		this.#prober.probe(effect, (result, startedAt) => {
			this.handle({
				kind: eventKind.targetProbed, targetId: effect.targetId, startedAt, result,
			});
		});
	}

	#writeLog({level, event, fields}: LogEffect): void {
		this.#metrics.count(event);
		if (typeof fields.tookMs === 'number') {
			this.#metrics.recordLatency(event, fields.tookMs);
		}

		this.log.write(level, {event, ...fields});
	}

	/** Ends the response to a caller. */
	#endExchange(effect: RefuseEffect | DeliverHeldEffect | BreakOffEffect | FinishStreamEffect): void {
		const caller = this.#callers.openExchanges.get(effect.openId);
		if (caller !== undefined && 'runCount' in effect) {
			caller.runCount = effect.runCount;
		}

		switch (effect.kind) {
			case effectKind.refuse: {
				caller?.refuse(effect.failure);
				break;
			}

			case effectKind.deliverHeld: {
				if (caller?.heldResponse === undefined) {
					// Dropped, since the responses of all exchanges exceeded the memory.
					caller?.refuse(createFailure(failureReason.answerLost));
				} else {
					caller.deliverResponse(caller.heldResponse);
				}

				break;
			}

			case effectKind.breakOff: {
				caller?.abort();
				break;
			}

			case effectKind.finishStream: {
				caller?.finishStream();
				break;
			}
		}
	}

	#executeEffect(effect: Effect): void {
		try {
			if (effect.kind === effectKind.checkTarget) {
				this.#checkTarget(effect);
			} else if (effect.kind === effectKind.probeTarget) {
				this.#probeTarget(effect);
			} else {
				this.#dispatchEffect(effect);
			}
		} catch (error) {
			this.log.write('error', {event: 'effect-failed', effect: effect.kind, detail: describeError(error)});
		}
	}

	#dispatchEffect(effect: Exclude<Effect, CheckTargetEffect | ProbeTargetEffect>): void {
		switch (effect.kind) {
			case effectKind.send: {
				this.#startSend(effect, readMonotonicMs());
				break;
			}

			case effectKind.cancel: {
				this.#waitingSends.delete(effect.sendId);
				this.#targets.cancel(effect.sendId);
				break;
			}

			case effectKind.reportSilence: {
				this.#targets.reportSilence(effect.sendId);
				break;
			}

			case effectKind.refuse:
			case effectKind.deliverHeld:
			case effectKind.breakOff:
			case effectKind.finishStream: {
				this.#endExchange(effect);
				break;
			}

			case effectKind.callPeer: {
				void this.#peers.call(effect);
				break;
			}

			case effectKind.answerPeer: {
				this.#peers.answer(effect.callId, effect.message);
				break;
			}

			case effectKind.callStreamPeer: {
				void this.#peers.callStreamPeer(effect);
				break;
			}

			case effectKind.answerStreamPeer:
			case effectKind.answerLoadPeer: {
				this.#peers.answer(effect.callId, effect.message);
				break;
			}

			case effectKind.callLoadPeer: {
				void this.#peers.callLoadPeer(effect);
				break;
			}

			case effectKind.watch: {
				this.#protocols.directory.setWatching(effect.isWatching, effect.position);
				break;
			}

			case effectKind.readHistory: {
				this.#protocols.directory.readHistory(effect);
				break;
			}

			case effectKind.refreshDirectory: {
				this.#protocols.directory.refresh(effect.position);
				break;
			}

			case effectKind.log: {
				this.#writeLog(effect);
				break;
			}

			case effectKind.refuseIncoming: {
				this.#callers.refuseIncoming();
				break;
			}

			case effectKind.finishDrain: {
				this.#finishDrain(effect);
				break;
			}
		}
	}
}
