/**
 * The schedule of a run: all requests with their intended send times, computed
 * before the first request is sent. Arrivals are open-loop: they depend only on
 * the plan and its seed, not on how fast answers arrive.
 */
import type {LoadPlan, Surge} from './load-plan.js';
import {RandomSource} from './random.js';

export const callKind = {
	/** One turn of a chat, answered by a stream. */
	chat: 'chat',
	/** A plain request that is not idempotent. */
	booking: 'booking',
	/** A plain request that is idempotent. */
	read: 'read',
	/** A plain request without a key, to a public route. */
	open: 'open',
} as const;
export type CallKind = typeof callKind[keyof typeof callKind];

/** Configured limits of a client account: `rate` in requests per second, `burst` in requests. */
export type AccountLimit = {readonly name: string; readonly rate: number; readonly burst: number};

/** One request of the schedule. */
export type PlannedCall = {
	readonly kind: CallKind;
	readonly account: string;
	/** Intended send time, in milliseconds from the start of the traffic. */
	readonly atMs: number;
	readonly chatId: string;
	/** 1 for the first turn of a chat. */
	readonly turn: number;
	readonly maxTokens: number;
	readonly priority: number;
	/** Number in [0, 1) that selects one of the available routers. */
	readonly entry: number;
};

export type CallSchedule = {
	/** Ordered by intended send time. */
	readonly calls: readonly PlannedCall[];
	/** Requests that are not in `calls` because of the plan's `requestLimit`. */
	readonly omittedCount: number;
};

type Traffic = LoadPlan['traffic'];

/** Creates the schedule of all accounts. It is deterministic: the same plan gives the same schedule. */
export function createCallSchedule(plan: LoadPlan, accounts: readonly AccountLimit[], openAccount?: AccountLimit): CallSchedule {
	const calls = [
		...accounts.flatMap((account, index) => createAccountCalls(plan, account, index)),
		...createOpenCalls(plan, openAccount),
	];
	calls.sort((a, b) => a.atMs - b.atMs);
	return {calls: calls.slice(0, plan.requestLimit), omittedCount: Math.max(0, calls.length - plan.requestLimit)};
}

/** Draws the arrival times, in milliseconds, of a Poisson process whose rate is multiplied during surges. */
export function drawArrivalTimes(random: RandomSource, ratePerSecond: number, durationMs: number, surges: readonly Surge[]): number[] {
	const peakMultiple = Math.max(1, ...surges.map(({multiple}) => multiple));
	const meanInterarrivalMs = 1000 / (ratePerSecond * peakMultiple);
	const times: number[] = [];
	// Thinning: candidates arrive at the peak rate, and each is kept with the probability of current rate / peak rate.
	for (let time = random.drawExponential(meanInterarrivalMs); time < durationMs; time += random.drawExponential(meanInterarrivalMs)) {
		const surge = surges.find(({atMs, durationMs: length}) => time >= atMs && time < atMs + length);
		if (random.drawBoolean((surge?.multiple ?? 1) / peakMultiple)) {
			times.push(time);
		}
	}

	return times;
}

function createAccountCalls({seed, durationMs, traffic}: LoadPlan, {name, rate}: AccountLimit, index: number): PlannedCall[] {
	const random = new RandomSource(seed + (index * 7919));
	const surges = traffic.surges.filter(({account}) => account === name);
	const times = drawArrivalTimes(random, rate * traffic.rateMultiple, durationMs, surges);
	const chats = new ChatSessions(name, traffic, random);
	const stickyEntry = random.drawUniform();
	return times.map(atMs => {
		const kind = drawCallKind(traffic, random);
		const {chatId, turn} = kind === callKind.chat ? chats.takeNextTurn(atMs) : {chatId: `${name}-${kind}`, turn: 1};
		return {
			kind,
			account: name,
			atMs,
			chatId,
			turn,
			maxTokens: random.drawInteger(traffic.fewestTokens, traffic.mostTokens),
			priority: random.drawBoolean(traffic.urgentFraction) ? traffic.urgentPriority : 0,
			entry: random.drawBoolean(traffic.stickyFraction) ? stickyEntry : random.drawUniform(),
		};
	});
}

function createOpenCalls({seed, durationMs, traffic}: LoadPlan, account: AccountLimit | undefined): PlannedCall[] {
	if (account === undefined || traffic.openRate === 0) {
		return [];
	}

	const random = new RandomSource(seed - 1);
	return drawArrivalTimes(random, traffic.openRate, durationMs, []).map(atMs => ({
		kind: callKind.open, account: account.name, atMs, chatId: '', turn: 1, maxTokens: 1, priority: 0, entry: random.drawUniform(),
	}));
}

function drawCallKind({bookingFraction, readFraction}: Traffic, random: RandomSource): CallKind {
	const value = random.drawUniform();
	if (value < bookingFraction) {
		return callKind.booking;
	}

	return value < bookingFraction + readFraction ? callKind.read : callKind.chat;
}

type PausedChat = {readonly chatId: string; readonly turn: number; readonly dueAt: number};

/** Shape of the Pareto distribution of long pauses; at 1.5 the mean is finite and the variance infinite. */
const longPauseShape = 1.5;

/**
 * The chats of one account. An arrival continues the chat whose pause ended
 * first; if no pause has ended, the arrival starts a new chat.
 */
class ChatSessions {
	readonly #account: string;
	readonly #chats: Traffic['chats'];
	readonly #random: RandomSource;
	/** Paused chats in descending order of `dueAt`, so that the earliest is last. */
	readonly #paused: PausedChat[] = [];
	#nextNumber = 1;

	constructor(account: string, {chats}: Traffic, random: RandomSource) {
		this.#account = account;
		this.#chats = chats;
		this.#random = random;
	}

	takeNextTurn(now: number): {readonly chatId: string; readonly turn: number} {
		const nextDue = this.#paused.at(-1);
		const isDue = nextDue !== undefined && nextDue.dueAt <= now;
		const chatId = isDue ? nextDue.chatId : `${this.#account}-chat-${this.#nextNumber++}`;
		const turn = isDue ? nextDue.turn + 1 : 1;
		if (isDue) {
			this.#paused.pop();
		}

		if (!this.#random.drawBoolean(1 / this.#chats.meanTurns)) {
			this.#pause({chatId, turn, dueAt: now + this.#drawPauseMs()});
		}

		return {chatId, turn};
	}

	#drawPauseMs(): number {
		const {longFraction, longPauseMs, pauseMs} = this.#chats;
		return this.#random.drawBoolean(longFraction) ? this.#random.drawPareto(longPauseMs, longPauseShape) : this.#random.drawExponential(pauseMs);
	}

	#pause(chat: PausedChat): void {
		let index = this.#paused.length;
		while (index > 0 && this.#paused[index - 1]!.dueAt < chat.dueAt) {
			index--;
		}

		this.#paused.splice(index, 0, chat);
	}
}
