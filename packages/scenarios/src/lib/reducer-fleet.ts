/**
 * Many reducers in one process, joined by a network that delays, loses and
 * doubles messages, with processes that freeze, die and restart, and with a
 * configuration service that each of them may fail to reach.
 *
 * Time is virtual and every choice comes from a seed, so a run repeats exactly.
 * An effect is carried out a moment after its decision; a freeze in between
 * delays it to the wake-up, which is what `notAfter` is for.
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
/** Boot of targets that have been up for long. */
const defaultBootedAtMs = -1_000_000;

/** How the network behaves; probabilities are from 0 to 1. */
export type NetworkFaults = {
	readonly minDelayMs: number;
	readonly maxDelayMs: number;
	readonly lossProbability: number;
	readonly duplicationProbability: number;
};

export const reliableNetwork: NetworkFaults = {
	minDelayMs: 1, maxDelayMs: 3, lossProbability: 0, duplicationProbability: 0,
};

/** One router process. */
export type FleetInstance = {
	readonly id: string;
	readonly state: State;
	/** Virtual time of its start: the zero of its own clock. */
	readonly startedAt: number;
	isAlive: boolean;
	/** Virtual time until which it does nothing. */
	frozenUntil: number;
	/** Instances of different sides cannot reach each other. */
	partition: number;
	/** True: it cannot reach the configuration service. */
	isPlatformUnreachable: boolean;
	/** True: it reads a replica of the configuration service that stands still. */
	readsStaleReplica: boolean;
};

/** What a caller sends. */
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

/** A request that was admitted, as the outside sees it. */
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

/** One start of a target; its cache and its requests in flight end with it. */
export type TargetBoot = {readonly bootId: string; readonly bootedAt: number};

/** `sentAt` is on the instance's own clock. */
type Attempt = {readonly instance: FleetInstance; readonly effect: DispatchEffect; readonly sentAt: number};

type ScheduledTask = {readonly at: number; readonly order: number; readonly instance?: FleetInstance; readonly run: () => void};

export type ReducerFleetOptions = {
	readonly seed: number;
	readonly configuration: Configuration;
	readonly network?: NetworkFaults;
	/** Lag of the list in milliseconds. */
	readonly listLagMs?: number;
	/** Time that a target takes for a request, in milliseconds. */
	readonly serviceMs?: number;
	readonly createTargetChoice?: () => TargetChoice;
};

/** A fleet of reducers under virtual time. */
export class ReducerFleet {
	now = 0;
	network: NetworkFaults;
	configuration: Configuration;
	/** True: every read of the configuration service fails. */
	isPlatformDown = false;
	/** Time and tables at which the stale replica stands still. */
	staleReplica?: {readonly at: number; readonly configuration: Configuration};
	/** What the platform shows now; readers get it after the lag. */
	list: InstanceList = {asOf: 0, instances: [], targets: []};
	readonly instances = new Map<string, FleetInstance>();
	readonly sent: SentRequest[] = [];
	readonly refused: RefusedRequest[] = [];
	/** Requests that were answered from the kept answer of their ticket. */
	readonly replayed: string[] = [];
	readonly timeline: Array<TimelineEntry & {readonly at: number; readonly instanceId: string}> = [];
	/** Requests in flight by target, over the whole fleet. */
	readonly inFlight = new Map<string, number>();
	/** Latest boot by target; a target that is not named has been up for long. */
	readonly boots = new Map<string, TargetBoot>();
	/** Probes that reached a target. */
	probeCount = 0;
	/** Messages sent between instances. */
	messageCount = 0;
	/** Calls to the configuration service. */
	platformCallCount = 0;
	/** Answers a dispatched request; the default completes it after `serviceMs`. */
	onDispatch: (instance: FleetInstance, effect: DispatchEffect) => void;
	readonly #random;
	readonly #tasks: ScheduledTask[] = [];
	readonly #options: ReducerFleetOptions;
	readonly #publishedLists: Array<{readonly at: number; readonly list: InstanceList}> = [];
	readonly #borrowCallbacks = new Map<number, (effect: AnswerBorrowEffect) => void>();
	readonly #accountByRequest = new Map<string, string>();
	readonly #fieldsByRequest = new Map<string, RequestFields>();
	/** Hands the end of a forwarded request back to the process that passed it on. */
	readonly #forwardCallbacks = new Map<string, (refusal?: Refusal) => void>();
	/** Attempts under way by target. */
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

	/** Starts a process; it appears on the list after the lag. */
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

	/** Ends a process at once, without notice. */
	kill(id: string, isUnlisted = true): void {
		const instance = this.instances.get(id)!;
		instance.isAlive = false;
		this.#endAttempts(attempt => attempt.instance === instance);
		if (isUnlisted) {
			this.changeList(list => ({...list, instances: list.instances.filter(other => other.id !== id)}));
		}
	}

	/** Stops a process for a while; everything due meanwhile happens at its wake-up. */
	freeze(id: string, durationMs: number): void {
		this.instances.get(id)!.frozenUntil = this.now + durationMs;
	}

	/** Changes what the platform shows; readers see it after the lag. */
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

	/** Hands an event to an instance now, or at its wake-up. */
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

	/** Restarts a target: what it had in flight is lost, and its boot is another. */
	restartTarget(targetId: string): void {
		this.boots.set(targetId, {bootId: `${targetId}@${this.now}`, bootedAt: this.now});
		this.#endAttempts(({effect}) => effect.targetId === targetId);
	}

	/** Ends an attempt as the target client would; one that has ended already stays as it is. */
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

	/** Lets virtual time pass. */
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

	/** Draws a whole number from the fleet's seed. */
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

	/** The report is of now, and it is dated to when it was asked for. */
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

	/** The owner answers when its run ends, so the call stays open until then or until the deadline. */
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

	/** Ends a forwarded request at its owner; says whether it was one. */
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
				// The answer says nothing.
			};
		}, () => {
			// The lender takes the share back by itself.
		});
	}

	/** One call: the request arrives once or twice, the answer or the time limit comes first. */
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

	/** Keeps the deliveries in descending order, so that the next one is the last. */
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
