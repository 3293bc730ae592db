/**
 * Simulates chats on a fleet of reducers with a model of the targets' prefix
 * caches. Targets can leave, join and restart; availability zones can be drained
 * and restored.
 */
import {
	attemptOutcome, type Configuration, type ListedTarget, type TargetChoice,
} from '@sequoiatally/core';
import {FleetView} from './baselines/target-choices.js';
import {createExampleConfiguration, describeExampleKey, exampleModelRoute} from './example-configuration.js';
import {PrefixCaches} from './prefix-caches.js';
import {ReducerFleet} from './reducer-fleet.js';

const routerCount = 7;
const zones = ['zone-a', 'zone-b', 'zone-c'];
const firstPromptTokens = 500;
const tokensPerTurn = 300;
/** Number of turns after which a chat ends and a new one takes its place. */
const turnsPerChat = 12;
/** Cache capacity of a target, in chats of mean length. */
const cacheCapacityChats = 160;
const stepMs = 5;
/** Least mean load at which the ratio of a target's load to the mean is recorded; below it, the ratio is not meaningful. */
const minMeanForLoadOverMean = 4;
/** Time for the fleet to settle before the first request, in milliseconds. */
const settleMs = 15_000;

/** Workload and settings of a run. */
export type RoutingOptions = {
	readonly seed: number;
	readonly createChoice: (run: RoutingRun) => TargetChoice;
	/** Mean requests in flight per target. */
	readonly meanLoad?: number;
	/** Number of concurrent chats. */
	readonly chatCount?: number;
	/** Fraction of all requests that the first router receives; the others receive equal parts of the rest. */
	readonly firstRouterFraction?: number;
	readonly pool?: Partial<Configuration['pools'][number]>;
	readonly targetCount?: number;
	/** Mean service time of a request, in milliseconds. */
	readonly serviceMs?: number;
};

/** Sums and maxima over a part of a run. The mean load is that of the warm live targets outside drained zones. */
export type RoutingFigures = {
	promptTokens: number;
	reusedTokens: number;
	requestCount: number;
	servedCount: number;
	refusedCount: number;
	/** Highest ratio of a warm target's load to the mean load at a dispatch, if the mean is at least `minMeanForLoadOverMean`. */
	highestLoadOverMean: number;
	/** Highest ratio of a warm target's load to the load limit, `max(floor, multiple × mean)`, at a dispatch. */
	highestLoadLimitUse: number;
	/** Highest ratio of a warm target's load to the guaranteed bound, `multiple × mean + 3 × floor`, at a dispatch. */
	highestGuaranteeUse: number;
	/** Most requests in flight above the slots of a target. */
	slotOverrun: number;
	/** Most requests in flight above the slots of a cold target, after the routers had time to detect its restart. */
	coldOverrun: number;
	/** Most requests in flight above the slots of a cold target, within `restartDetectionLimitMs` of its restart. */
	undetectableColdOverrun: number;
};

type Chat = {key: string; turn: number};

/** One run; its user starts each phase. */
export class RoutingRun extends FleetView {
	readonly fleet: ReducerFleet;
	readonly caches: PrefixCaches;
	readonly pool: Configuration['pools'][number];
	figures = createFigures();
	/** Most requests in flight above the slots of a target in the whole run; negative if the slots were never all in use. */
	highestSlotOverrun = Number.NEGATIVE_INFINITY;
	/** Load of a cold target at each dispatch to it. */
	readonly coldLoads: Array<{readonly at: number; readonly targetId: string; readonly load: number}> = [];
	readonly #options: Required<Omit<RoutingOptions, 'pool' | 'createChoice'>>;
	readonly #chats: Chat[];
	readonly #keyDigest = describeExampleKey('crew').digest;
	readonly #promptByRequest = new Map<string, {readonly chatKey: string; readonly tokens: number}>();
	#nextRequest = 0;
	#nextChat = 0;
	#countedRefusals = 0;

	constructor(options: RoutingOptions) {
		super();
		this.#options = {
			seed: options.seed,
			meanLoad: options.meanLoad ?? 8,
			chatCount: options.chatCount ?? 1500,
			firstRouterFraction: options.firstRouterFraction ?? (1 / routerCount),
			targetCount: options.targetCount ?? 13,
			serviceMs: options.serviceMs ?? 4000,
		};
		const configuration = createExampleConfiguration(
			[{name: 'crew', rate: 100_000, burst: 100_000}],
			{},
			{warmAfterMs: 10_000, ...options.pool},
		);
		this.pool = configuration.pools[0]!;
		const meanTokens = firstPromptTokens + (tokensPerTurn * turnsPerChat / 2);
		this.caches = new PrefixCaches(cacheCapacityChats * meanTokens);
		this.fleet = new ReducerFleet({
			seed: options.seed, configuration, listLagMs: 500, createTargetChoice: () => options.createChoice(this),
		});
		this.#chats = Array.from({length: this.#options.chatCount}, () => this.#createChat());
		this.#handleDispatches();
		this.#start();
	}

	/** Sends requests for `durationMs`. */
	run(durationMs: number): void {
		const {fleet} = this;
		const endAt = fleet.now + durationMs;
		const requestsPerStep = this.#options.meanLoad * this.#options.targetCount * stepMs / this.#options.serviceMs;
		let dueRequests = 0;
		while (fleet.now < endAt) {
			dueRequests += requestsPerStep;
			for (; dueRequests >= 1; dueRequests--) {
				this.#sendTurn();
			}

			fleet.runFor(stepMs);
		}

		const {length} = fleet.refused;
		this.figures.refusedCount += length - this.#countedRefusals;
		this.#countedRefusals = length;
	}

	/** Returns the figures recorded since the last call and resets them. */
	takeFigures(): RoutingFigures {
		const {figures} = this;
		this.figures = createFigures();
		return figures;
	}

	/** Publishes changed configuration tables under the next version. */
	publish(change: Partial<Configuration>): void {
		const {configuration} = this.fleet;
		this.fleet.configuration = {...configuration, ...change, version: configuration.version + 1};
	}

	/** Adds a target that boots now. */
	addTarget(id: string, zone: string): void {
		this.fleet.boots.set(id, {bootId: `${id}@${this.fleet.now}`, bootedAt: this.fleet.now});
		this.fleet.changeList(list => ({...list, targets: [...list.targets, createListedTarget(id, zone, this.fleet.now)]}));
	}

	/** Marks a target as leaving on the list. */
	removeTarget(id: string): void {
		this.fleet.changeList(list => ({...list, targets: list.targets.map(target => target.id === id ? {...target, state: 'leaving' as const} : target)}));
	}

	override countInFlight(targetId: string): number {
		return this.fleet.inFlight.get(targetId) ?? 0;
	}

	override countCachedTokens(targetId: string, chatKey: string): number {
		return this.caches.countCachedTokens(targetId, this.#findBootId(targetId), chatKey);
	}

	override countSlots(targetId: string): number {
		return this.isWarm(targetId) ? this.pool.slotsPerTarget : this.pool.coldSlots;
	}

	override isWarm(targetId: string): boolean {
		const bootedAt = this.fleet.boots.get(targetId)?.bootedAt;
		return bootedAt === undefined || this.fleet.now - bootedAt >= this.pool.warmAfterMs;
	}

	#start(): void {
		const {fleet} = this;
		const targets = Array.from({length: this.#options.targetCount}, (_, index) => createListedTarget(`fitbrain-${index}`, zones[index % zones.length]!, 0));
		fleet.changeList(list => ({...list, targets}));
		for (let index = 0; index < routerCount; index++) {
			fleet.start(`router-${index}`, zones[index % zones.length]);
		}

		fleet.runFor(settleMs);
	}

	#handleDispatches(): void {
		const {fleet} = this;
		fleet.onDispatch = (instance, effect) => {
			const {targetId, requestId} = effect;
			const prompt = this.#promptByRequest.get(requestId)!;
			this.figures.servedCount++;
			this.figures.promptTokens += prompt.tokens;
			this.figures.reusedTokens += this.caches.serve(targetId, this.#findBootId(targetId), prompt.chatKey, prompt.tokens);
			this.#recordLoad(targetId);
			fleet.schedule(fleet.drawInteger(Math.round(this.#options.serviceMs / 2), Math.round(this.#options.serviceMs * 1.5)), () => {
				fleet.endAttempt(instance, effect, attemptOutcome.complete);
			});
		};
	}

	#recordLoad(targetId: string): void {
		const {figures, pool, fleet} = this;
		const load = this.countInFlight(targetId);
		this.highestSlotOverrun = Math.max(this.highestSlotOverrun, load - pool.slotsPerTarget);
		figures.slotOverrun = Math.max(figures.slotOverrun, load - pool.slotsPerTarget);
		if (!this.isWarm(targetId)) {
			this.coldLoads.push({at: fleet.now, targetId, load});
			const overrun = load - pool.coldSlots;
			const age = fleet.now - fleet.boots.get(targetId)!.bootedAt;
			const key = age > restartDetectionLimitMs ? 'coldOverrun' : 'undetectableColdOverrun';
			figures[key] = Math.max(figures[key], overrun);
			return;
		}

		const warmTargets = fleet.list.targets.filter(target => target.state === 'live'
			&& !fleet.configuration.drainedZones.includes(target.zone) && this.isWarm(target.id));
		const meanLoad = warmTargets.reduce((sum, {id}) => sum + this.countInFlight(id), 0) / warmTargets.length;
		figures.highestLoadLimitUse = Math.max(figures.highestLoadLimitUse, load / Math.max(pool.loadFloor, pool.loadMultiple * meanLoad));
		figures.highestGuaranteeUse = Math.max(figures.highestGuaranteeUse, load / ((pool.loadMultiple * meanLoad) + (3 * pool.loadFloor)));
		if (meanLoad >= minMeanForLoadOverMean) {
			figures.highestLoadOverMean = Math.max(figures.highestLoadOverMean, load / meanLoad);
		}
	}

	#sendTurn(): void {
		const {fleet} = this;
		const index = fleet.drawInteger(0, this.#chats.length - 1);
		const chat = this.#chats[index]!;
		chat.turn++;
		const requestId = `r${this.#nextRequest++}`;
		this.#promptByRequest.set(requestId, {chatKey: chat.key, tokens: firstPromptTokens + (tokensPerTurn * chat.turn)});
		this.figures.requestCount++;
		fleet.request(`router-${this.#drawRouter()}`, requestId, {
			account: 'crew', keyDigest: this.#keyDigest, chatKey: chat.key, ...exampleModelRoute,
		});
		if (chat.turn >= turnsPerChat) {
			this.#chats[index] = this.#createChat(0);
		}
	}

	#drawRouter(): number {
		const isFirst = this.fleet.drawInteger(0, 999_999) < this.#options.firstRouterFraction * 1_000_000;
		return isFirst ? 0 : this.fleet.drawInteger(1, routerCount - 1);
	}

	#createChat(turn = this.fleet.drawInteger(0, turnsPerChat - 1)): Chat {
		return {key: `chat-${this.#nextChat++}`, turn};
	}

	#findBootId(targetId: string): string {
		return this.fleet.boots.get(targetId)?.bootId ?? targetId;
	}
}

/**
 * Time after an unannounced restart of a target until each request that is sent
 * to it must take the restart into account, in milliseconds: the greatest age of
 * evidence that a target is warm, 3000 ms, plus the time within which a dispatched
 * request has to be sent, 500 ms.
 */
export const restartDetectionLimitMs = 3500;

function createListedTarget(id: string, zone: string, since: number): ListedTarget {
	return {
		id, pool: 'fitbrain', address: id, zone, state: 'live', since,
	};
}

function createFigures(): RoutingFigures {
	return {
		promptTokens: 0,
		reusedTokens: 0,
		requestCount: 0,
		servedCount: 0,
		refusedCount: 0,
		highestLoadOverMean: 0,
		highestLoadLimitUse: 0,
		highestGuaranteeUse: 0,
		slotOverrun: 0,
		coldOverrun: 0,
		undetectableColdOverrun: 0,
	};
}
