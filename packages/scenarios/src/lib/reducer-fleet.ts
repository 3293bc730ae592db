/**
 * Simulates a fleet of routers in one process. The network delays, loses and
 * duplicates messages; router processes freeze, crash and restart, and each can
 * lose its connection to the configuration service.
 *
 * Time is virtual and all random values come from a seed, so runs are
 * reproducible. Most effects are executed as separate tasks after the reducer has
 * returned them. A process that freezes in between executes them when it resumes;
 * `notAfter` guards against such late execution.
 */
import {
	attemptOutcome, createState, describeSummary, documentKind, effectKind, eventKind, reduce, RendezvousChoice,
	timelineKind, type AnswerBorrowEffect, type BorrowEffect, type Configuration, type DispatchEffect, type Effect, type Event,
	type ExchangeEffect, type FetchDocumentEffect, type ForwardEffect, type GiveBackEffect, type InstanceList, type ProbeEffect,
	type ReadDocumentEffect, type Refusal, type State, type TargetChoice, type TimelineEntry,
} from '@sequoiatally/core';
import {uniformInt, xoroshiro128plus} from '@sequoiatally/load';

const tickMs = 50;
const exchangeTimeoutMs = 1000;
const borrowTimeoutMs = 300;
const readTimeoutMs = 2000;
const forwardTimeoutMs = 5000;
/** Virtual time of the boot of targets without an entry in `boots`; long enough ago for any target to be warm. */
const defaultBootedAtMs = -1_000_000;

/** Delays and faults of the network; probabilities are from 0 to 1. */
export type NetworkFaults = {
	readonly minDelayMs: number;
	readonly maxDelayMs: number;
	readonly lossProbability: number;
	readonly duplicationProbability: number;
};

export const reliableNetwork: NetworkFaults = {
	minDelayMs: 1, maxDelayMs: 3, lossProbability: 0, duplicationProbability: 0,
};

/** One simulated router process. */
export type FleetInstance = {
	readonly id: string;
	readonly state: State;
	/** Virtual time at which the process started; its own clock counts from there. */
	readonly startedAt: number;
	isAlive: boolean;
	/** Virtual time until which the process is frozen. */
	frozenUntil: number;
	/** Number of the network partition; instances in different partitions cannot reach each other. */
	partition: number;
	/** True if the instance cannot reach the configuration service. */
	isPlatformUnreachable: boolean;
	/** True if the instance reads from the stale replica of the configuration service. */
	readsStaleReplica: boolean;
};

/** Fields of a caller's request. */
export type RequestFields = {
	readonly account: string;
	readonly keyDigest?: string;
	readonly path: string;
	readonly model?: string;
	readonly chatKey?: string;
	readonly method?: string;
	readonly idempotencyKey?: string;
	readonly priority?: number;
	readonly isForwarded?: boolean;
};

/** One attempt that was sent to a target; `at` is the virtual time of the send. */
export type SentRequest = {readonly at: number; readonly instanceId: string; readonly account: string; readonly targetId: string; readonly requestId: string};
export type RefusedRequest = {readonly at: number; readonly instanceId: string; readonly requestId: string; readonly refusal: Refusal};

type ReadResult = {
	readonly after: number;
	readonly revision: number;
	readonly asOf: number;
	readonly list: InstanceList;
	readonly configuration: Configuration;
	readonly currentAt: number;
};

/** One boot of a target. A restart clears the cache and interrupts the requests in flight. */
export type TargetBoot = {readonly bootId: string; readonly bootedAt: number};

/** An attempt in progress; `sentAt` is a time of the instance's own clock. */
type Attempt = {readonly instance: FleetInstance; readonly effect: DispatchEffect; readonly sentAt: number};

type ScheduledTask = {readonly at: number; readonly order: number; readonly instance?: FleetInstance; readonly run: () => void};

export type ReducerFleetOptions = {
	readonly seed: number;
	readonly configuration: Configuration;
	readonly network?: NetworkFaults;
	/** Time until changes of the instance list reach readers, in milliseconds. */
	readonly listLagMs?: number;
	/** Service time of a request at a target, in milliseconds. */
	readonly serviceMs?: number;
	readonly createTargetChoice?: () => TargetChoice;
};

/** A fleet of reducers in virtual time. */
export class ReducerFleet {
	now = 0;
	network: NetworkFaults;
	configuration: Configuration;
	/** True if all reads from the configuration service fail. */
	isPlatformDown = false;
	/** Virtual time and configuration at which the stale replica stopped updating. */
	staleReplica?: {readonly at: number; readonly configuration: Configuration};
	/** The instance list that the platform publishes; readers receive it after the lag. */
	list: InstanceList = {asOf: 0, instances: [], targets: []};
	readonly instances = new Map<string, FleetInstance>();
	readonly sent: SentRequest[] = [];
	readonly refused: RefusedRequest[] = [];
	/** Ids of the requests that received the stored response of their ticket. */
	readonly replayed: string[] = [];
	readonly timeline: Array<TimelineEntry & {readonly at: number; readonly instanceId: string}> = [];
	/** Requests in flight from the whole fleet, by target. */
	readonly inFlight = new Map<string, number>();
	/** Latest boot by target; a target without an entry booted long ago. */
	readonly boots = new Map<string, TargetBoot>();
	/** Number of probes that reached a target. */
	probeCount = 0;
	/** Number of messages between instances, without forwarded requests. Each request counts once, also if it is lost or duplicated; each response counts unless it is lost. */
	messageCount = 0;
	/** Number of calls to the configuration service. */
	platformCallCount = 0;
	/** Handles a dispatched attempt; by default, the attempt completes after `serviceMs`. */
	onDispatch: (instance: FleetInstance, effect: DispatchEffect) => void;
	readonly #random;
	readonly #tasks: ScheduledTask[] = [];
	readonly #options: ReducerFleetOptions;
	readonly #publishedLists: Array<{readonly at: number; readonly list: InstanceList}> = [];
	readonly #borrowCallbacks = new Map<number, (effect: AnswerBorrowEffect) => void>();
	readonly #accountByRequest = new Map<string, string>();
	readonly #fieldsByRequest = new Map<string, RequestFields>();
	/** Callbacks that return the result of a forwarded request to the forwarding instance, by owner and request id. */
	readonly #forwardCallbacks = new Map<string, (refusal?: Refusal) => void>();
	/** Attempts in progress by target. */
	readonly #runningAttempts = new Map<string, Set<Attempt>>();
	#nextTaskOrder = 0;
	#nextCallId = 1;

	constructor(options: ReducerFleetOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.configuration = options.configuration;
		this.network = options.network ?? reliableNetwork;
		this.onDispatch = (instance, effect) => {
			this.schedule(options.serviceMs ?? 100, () => {
				this.endAttempt(instance, effect, attemptOutcome.complete);
			});
		};
	}

	/** Starts a process. If `isListed` is true, the process is added to the published list, which readers receive after the lag. */
	start(id: string, zone = 'zone-a', isListed = true): FleetInstance {
		const self = {
			instanceId: id, incarnation: `${id}@${this.now}`, zone, startedAt: 0,
		};
		const targetChoice = this.#options.createTargetChoice?.() ?? new RendezvousChoice();
		const instance: FleetInstance = {
			id,
			state: createState(self, {targetChoice}),
			startedAt: this.now,
			isAlive: true,
			frozenUntil: 0,
			partition: 0,
			isPlatformUnreachable: false,
			readsStaleReplica: false,
		};
		this.instances.set(id, instance);
		if (isListed) {
			const listed = {
				id, peerAddress: id, zone, state: 'live' as const, since: this.now,
			};
			this.changeList(list => ({...list, instances: [...list.instances.filter(other => other.id !== id), listed]}));
		}

		this.#tick(instance);
		return instance;
	}

	/** Crashes a process: it ends at once, without draining. If `isUnlisted` is true, the process is removed from the published list. */
	kill(id: string, isUnlisted = true): void {
		const instance = this.instances.get(id)!;
		instance.isAlive = false;
		this.#endAttempts(attempt => attempt.instance === instance);
		if (isUnlisted) {
			this.changeList(list => ({...list, instances: list.instances.filter(other => other.id !== id)}));
		}
	}

	/** Freezes a process; everything due in the meantime happens when it resumes. */
	freeze(id: string, durationMs: number): void {
		this.instances.get(id)!.frozenUntil = this.now + durationMs;
	}

	/** Changes the published instance list; readers receive the change after the lag. */
	changeList(change: (list: InstanceList) => InstanceList): void {
		this.list = change(this.list);
		this.#publishedLists.push({at: this.now, list: this.list});
	}

	/** Sends a caller's request to an instance. */
	request(instanceId: string, requestId: string, fields: RequestFields): void {
		this.#accountByRequest.set(requestId, fields.account);
		this.#fieldsByRequest.set(requestId, fields);
		this.emit(this.instances.get(instanceId)!, {
			kind: eventKind.requestArrived, requestId, method: fields.method ?? 'POST', path: fields.path, model: fields.model, keyDigest: fields.keyDigest, chatKey: fields.chatKey ?? requestId, priority: fields.priority ?? 0, idempotencyKey: fields.idempotencyKey, isForwarded: fields.isForwarded,
		});
	}

	/** Applies an event to an instance now, or when it resumes if it is frozen; drops the event if the process has crashed. */
	emit(instance: FleetInstance, event: Event): void {
		if (!instance.isAlive) {
			return;
		}

		if (instance.frozenUntil > this.now) {
			this.#scheduleFor(instance, instance.frozenUntil - this.now, () => {
				this.emit(instance, event);
			});
			return;
		}

		for (const effect of reduce(instance.state, event, this.now - instance.startedAt)) {
			this.#scheduleEffect(instance, effect);
		}
	}

	/** Restarts a target: it gets a new boot id, and its requests in flight end with an unknown outcome. */
	restartTarget(targetId: string): void {
		this.boots.set(targetId, {bootId: `${targetId}@${this.now}`, bootedAt: this.now});
		this.#endAttempts(({effect}) => effect.targetId === targetId);
	}

	/** Ends an attempt as the target client would; does nothing if the attempt has already ended. */
	endAttempt(instance: FleetInstance, effect: DispatchEffect, outcome: typeof attemptOutcome[keyof typeof attemptOutcome]): void {
		const running = this.#runningAttempts.get(effect.targetId);
		const attempt = [...running ?? []].find(other => other.effect === effect);
		if (attempt === undefined) {
			return;
		}

		running!.delete(attempt);
		this.inFlight.set(effect.targetId, (this.inFlight.get(effect.targetId) ?? 0) - 1);
		if (outcome === attemptOutcome.complete) {
			this.#reportLoad(instance, effect.targetId, attempt.sentAt);
		}

		this.emit(instance, {
			kind: eventKind.attemptEnded, requestId: effect.requestId, attemptId: effect.attemptId, outcome, deliveredCount: 0,
		});
	}

	/** Runs `run` after `delayMs` of virtual time. */
	schedule(delayMs: number, run: () => void): void {
		this.#insertTask({at: this.now + delayMs, order: this.#nextTaskOrder++, run});
	}

	/** Advances virtual time and runs the tasks that become due. */
	runFor(durationMs: number): void {
		const endAt = this.now + durationMs;
		while (this.#tasks.length > 0 && this.#tasks.at(-1)!.at <= endAt) {
			const task = this.#tasks.pop()!;
			this.now = Math.max(this.now, task.at);
			const {instance} = task;
			if (instance === undefined) {
				task.run();
			} else if (instance.isAlive && instance.frozenUntil > this.now) {
				this.#insertTask({...task, at: instance.frozenUntil});
			} else if (instance.isAlive) {
				task.run();
			}
		}

		this.now = endAt;
	}

	/** Draws an integer from `min` to `max`, both included, from the fleet's random source. */
	drawInteger(min: number, max: number): number {
		return uniformInt(this.#random, min, max);
	}

	#scheduleEffect(instance: FleetInstance, effect: Effect): void {
		if (effect.kind === effectKind.record) {
			if (effect.entry.kind === timelineKind.requestCompleted) {
				this.#completeForward(instance, effect.entry.requestId!);
			}

			this.timeline.push({...effect.entry, at: this.now, instanceId: instance.id});
			return;
		}

		if (effect.kind === effectKind.answerBorrow) {
			this.#borrowCallbacks.get(effect.callId)?.(effect);
			return;
		}

		this.#scheduleFor(instance, 0, () => {
			this.#executeEffect(instance, effect);
		});
	}

	#executeEffect(instance: FleetInstance, effect: Effect): void {
		switch (effect.kind) {
			case effectKind.dispatch: {
				this.#dispatch(instance, effect);
				break;
			}

			case effectKind.forward: {
				this.#forward(instance, effect);
				break;
			}

			case effectKind.replay: {
				this.replayed.push(effect.requestId);
				this.#completeForward(instance, effect.requestId);
				break;
			}

			case effectKind.refuse: {
				if (this.#completeForward(instance, effect.requestId, effect.refusal)) {
					break;
				}

				this.refused.push({
					at: this.now, instanceId: instance.id, requestId: effect.requestId, refusal: effect.refusal,
				});
				break;
			}

			case effectKind.probe: {
				this.#probe(instance, effect);
				break;
			}

			case effectKind.readDocument: {
				this.#read(instance, effect);
				break;
			}

			case effectKind.exchange: {
				this.#exchange(instance, effect);
				break;
			}

			case effectKind.fetchDocument: {
				this.#fetch(instance, effect);
				break;
			}

			case effectKind.borrow: {
				this.#borrow(instance, effect);
				break;
			}

			case effectKind.giveBack: {
				this.#giveBack(instance, effect);
				break;
			}

			case effectKind.answerBorrow:
			case effectKind.record:
			case effectKind.cancel:
			case effectKind.rememberAnswer:
			case effectKind.finishDrain: {
				break;
			}
		}
	}

	#dispatch(instance: FleetInstance, effect: DispatchEffect): void {
		if (this.now - instance.startedAt > effect.notAfter) {
			this.emit(instance, {
				kind: eventKind.attemptEnded, requestId: effect.requestId, attemptId: effect.attemptId, outcome: attemptOutcome.expired, deliveredCount: 0,
			});
			return;
		}

		const {requestId, targetId} = effect;
		this.sent.push({
			at: this.now, instanceId: instance.id, account: this.#accountByRequest.get(requestId) ?? '', targetId, requestId,
		});
		this.inFlight.set(targetId, (this.inFlight.get(targetId) ?? 0) + 1);
		const running = this.#runningAttempts.get(targetId) ?? new Set();
		running.add({instance, effect, sentAt: this.now - instance.startedAt});
		this.#runningAttempts.set(targetId, running);
		this.onDispatch(instance, effect);
	}

	#endAttempts(isEnded: (attempt: Attempt) => boolean): void {
		for (const running of this.#runningAttempts.values()) {
			for (const attempt of [...running].filter(other => isEnded(other))) {
				this.endAttempt(attempt.instance, attempt.effect, attemptOutcome.unknown);
			}
		}
	}

	#probe(instance: FleetInstance, {targetId}: ProbeEffect): void {
		const askedAt = this.now - instance.startedAt;
		this.#scheduleFor(instance, this.#drawDelay(), () => {
			this.probeCount++;
			this.#reportLoad(instance, targetId, askedAt);
		});
	}

	/** Reports the target's current boot and uptime; the report is dated `askedAt`, the time of the request for it. */
	#reportLoad(instance: FleetInstance, targetId: string, askedAt: number): void {
		const {bootId, bootedAt} = this.boots.get(targetId) ?? {bootId: targetId, bootedAt: defaultBootedAtMs};
		this.emit(instance, {
			kind: eventKind.loadReported, targetId, bootId, uptimeMs: this.now - bootedAt, askedAt,
		});
	}

	#read(instance: FleetInstance, {document, after, waitMs}: ReadDocumentEffect): void {
		this.platformCallCount++;
		const startedAt = this.now - instance.startedAt;
		const isReachable = () => !this.isPlatformDown && !instance.isPlatformUnreachable;
		const fail = () => {
			this.emit(instance, {kind: eventKind.readFailed, document, source: {}});
		};

		const respond = (waitedMs: number) => {
			if (!isReachable()) {
				this.#scheduleFor(instance, readTimeoutMs, fail);
				return;
			}

			const replica = instance.readsStaleReplica ? this.staleReplica : undefined;
			const asOf = Math.max(0, (replica?.at ?? this.now) - (this.#options.listLagMs ?? 0));
			const configuration = replica?.configuration ?? this.configuration;
			const list = this.#findPublishedList(asOf);
			const revision = document === documentKind.tables ? configuration.version : list.revision;
			if (revision <= after && waitedMs < waitMs) {
				this.#scheduleFor(instance, tickMs, () => {
					respond(waitedMs + tickMs);
				});
				return;
			}

			const event = this.#createReadEvent(document, {
				after, revision, asOf, list: list.list, configuration, currentAt: startedAt + waitedMs,
			});
			this.#scheduleFor(instance, this.#drawDelay(), () => {
				this.emit(instance, event);
			});
		};

		this.#scheduleFor(instance, this.#drawDelay(), () => {
			respond(0);
		});
	}

	#createReadEvent(document: ReadDocumentEffect['document'], read: ReadResult): Event {
		const {
			after, revision, asOf, currentAt, configuration,
		} = read;
		if (revision <= after) {
			return {
				kind: eventKind.documentUnchanged, document, revision, asOf, currentAt,
			};
		}

		const source = {revision};
		return document === documentKind.tables
			? {
				kind: eventKind.configurationRead, configuration, text: JSON.stringify(configuration), currentAt, source,
			}
			: {
				kind: eventKind.listRead, list: {...read.list, asOf}, currentAt, source,
			};
	}

	#findPublishedList(asOf: number): {revision: number; list: InstanceList} {
		const index = this.#publishedLists.findLastIndex(({at}) => at <= asOf);
		return index === -1 ? {revision: 1, list: {asOf: 0, instances: [], targets: []}} : {revision: index + 2, list: this.#publishedLists[index]!.list};
	}

	#exchange(from: FleetInstance, effect: ExchangeEffect): void {
		const startedAt = this.now - from.startedAt;
		this.#call(from, effect.peerId, exchangeTimeoutMs, to => {
			const receivedAt = this.now - to.startedAt;
			this.emit(to, {kind: eventKind.summaryReceived, summary: effect.summary, startedAt: receivedAt});
			const summary = describeSummary(to.state, receivedAt);
			return () => {
				this.emit(from, {
					kind: eventKind.summaryReceived, summary, startedAt, isAnswer: true,
				});
			};
		}, () => {
			this.emit(from, {kind: eventKind.peerFailed, peerId: effect.peerId});
		});
	}

	#fetch(from: FleetInstance, {peerId, document}: FetchDocumentEffect): void {
		const startedAt = this.now - from.startedAt;
		const source = {peerId};
		this.#call(from, peerId, exchangeTimeoutMs, to => {
			const {tables, membership} = to.state;
			const isTables = document === documentKind.tables;
			const known = isTables ? tables.currentAt : membership.listCurrentAt;
			const age = this.now - to.startedAt - (known ?? 0);
			const {configuration} = tables;
			const {list} = membership;
			return () => {
				if (isTables && configuration !== undefined) {
					this.emit(from, {
						kind: eventKind.configurationRead, configuration, text: '', currentAt: startedAt - age, source,
					});
				} else if (!isTables && list !== undefined) {
					this.emit(from, {
						kind: eventKind.listRead, list, currentAt: startedAt - age, source,
					});
				}
			};
		}, () => {
			this.emit(from, {kind: eventKind.readFailed, document, source});
		});
	}

	#borrow(from: FleetInstance, {peerId, request}: BorrowEffect): void {
		const askedAt = this.now - from.startedAt;
		const {loanId, termMs} = request;
		this.#call(from, peerId, borrowTimeoutMs, to => {
			const callId = this.#nextCallId++;
			let amounts: AnswerBorrowEffect['amounts'] = [];
			this.#borrowCallbacks.set(callId, answer => {
				amounts = answer.amounts;
			});
			this.emit(to, {kind: eventKind.borrowRequested, callId, request});
			this.#borrowCallbacks.delete(callId);
			return () => {
				this.emit(from, {
					kind: eventKind.loanGranted, loanId, peerId, amounts, askedAt, termMs,
				});
			};
		}, () => {
			this.emit(from, {kind: eventKind.loanFailed, loanId, peerId});
		});
	}

	/** The owner responds when it has completed, replayed or refused the request, so the call stays open until then, until `forwardTimeoutMs` or until the deadline. */
	#forward(from: FleetInstance, effect: ForwardEffect): void {
		const {requestId, attemptId, peerId, ticket, deadlineAt} = effect;
		const fields = this.#fieldsByRequest.get(requestId)!;
		const endForward = (isAnswered: boolean, refusal?: Refusal) => {
			this.emit(from, {
				kind: eventKind.forwardEnded, requestId, attemptId, isAnswered, refusal,
			});
		};

		const forwardedId = `${requestId}.${attemptId}`;
		const copies = this.#drawChance(this.network.duplicationProbability) ? 2 : 1;
		const to = this.instances.get(peerId);
		const canReach = () => to?.isAlive === true && to.partition === from.partition;
		for (let copy = 0; copy < copies; copy++) {
			if (to === undefined || !canReach() || this.#drawChance(this.network.lossProbability)) {
				continue;
			}

			this.#scheduleFor(to, this.#drawDelay(), () => {
				this.#forwardCallbacks.set(`${to.id}/${forwardedId}`, refusal => {
					if (canReach() && !this.#drawChance(this.network.lossProbability)) {
						this.#scheduleFor(from, this.#drawDelay(), () => {
							endForward(true, refusal);
						});
					}
				});
				this.request(to.id, forwardedId, {...fields, idempotencyKey: ticket, isForwarded: true});
			});
		}

		this.#scheduleFor(from, Math.max(0, Math.min(forwardTimeoutMs, deadlineAt - (this.now - from.startedAt))), () => {
			endForward(false);
		});
	}

	/** Returns the result of a request to the forwarding instance if the request was forwarded; returns whether it was. */
	#completeForward(owner: FleetInstance, requestId: string, refusal?: Refusal): boolean {
		const id = `${owner.id}/${requestId}`;
		const callback = this.#forwardCallbacks.get(id);
		this.#forwardCallbacks.delete(id);
		callback?.(refusal);
		return callback !== undefined;
	}

	#giveBack(from: FleetInstance, {peerId, loanId}: GiveBackEffect): void {
		this.#call(from, peerId, borrowTimeoutMs, to => {
			this.emit(to, {kind: eventKind.loanGivenBack, loanId});
			return () => {
				// The response is empty.
			};
		}, () => {
			// The lender takes the share back when the loan expires.
		});
	}

	/** Makes one call to a peer. The request can arrive twice; the first response or the timeout settles the call. */
	#call(from: FleetInstance, peerId: string, timeoutMs: number, handleRequest: (to: FleetInstance) => () => void, handleFailure: () => void): void {
		this.messageCount++;
		let isSettled = false;
		const settleOnce = (run: () => void) => {
			if (!isSettled) {
				isSettled = true;
				run();
			}
		};

		const to = this.instances.get(peerId);
		const canReach = () => to?.isAlive === true && to.partition === from.partition;
		const copies = this.#drawChance(this.network.duplicationProbability) ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (to === undefined || !canReach() || this.#drawChance(this.network.lossProbability)) {
				continue;
			}

			this.#scheduleFor(to, this.#drawDelay(), () => {
				const handleResponse = handleRequest(to);
				if (canReach() && !this.#drawChance(this.network.lossProbability)) {
					this.messageCount++;
					this.#scheduleFor(from, this.#drawDelay(), () => {
						settleOnce(handleResponse);
					});
				}
			});
		}

		this.#scheduleFor(from, timeoutMs, () => {
			settleOnce(handleFailure);
		});
	}

	#tick(instance: FleetInstance): void {
		if (!instance.isAlive || this.instances.get(instance.id) !== instance) {
			return;
		}

		this.emit(instance, {kind: eventKind.tick});
		this.#scheduleFor(instance, tickMs, () => {
			this.#tick(instance);
		});
	}

	#scheduleFor(instance: FleetInstance, delayMs: number, run: () => void): void {
		this.#insertTask({
			at: this.now + delayMs, order: this.#nextTaskOrder++, instance, run,
		});
	}

	/** Inserts a task in descending order of time, so that the next task is the last element. */
	#insertTask(task: ScheduledTask): void {
		let low = 0;
		let high = this.#tasks.length;
		while (low < high) {
			const middleIndex = Math.floor((low + high) / 2);
			const other = this.#tasks[middleIndex]!;
			const isLater = other.at > task.at || (other.at === task.at && other.order > task.order);
			if (isLater) {
				low = middleIndex + 1;
			} else {
				high = middleIndex;
			}
		}

		this.#tasks.splice(low, 0, task);
	}

	#drawDelay(): number {
		return this.drawInteger(this.network.minDelayMs, this.network.maxDelayMs);
	}

	#drawChance(probability: number): boolean {
		return probability > 0 && this.drawInteger(0, 999_999) < probability * 1_000_000;
	}
}
