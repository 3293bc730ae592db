/**
 * The schedule of a run: every request with the time at which it is to be
 * sent, computed before anything is sent. Arrivals are open-loop: they depend
 * on the seed alone, never on how fast the answers come.
 */
import type {LoadPlan, Surge} from './load-plan.js';
import {RandomSource} from './random.js';

/** What kind of request is sent. */
export const callKind = {
	/** A chat's turn, answered by a stream. */
	chat: 'chat',
	/** A plain request that may not be repeated. */
	booking: 'booking',
	/** A plain request that may be repeated. */
	read: 'read',
	/** A plain request without a key, to a route that is open to all. */
	open: 'open',
} as const;
export type CallKind = typeof callKind[keyof typeof callKind];

/** A client account's limits, as the configuration has them. */
export type AccountLimit = {readonly name: string; readonly rate: number; readonly burst: number};

/** One request of the schedule. */
export type PlannedCall = {
	readonly kind: CallKind;
	readonly account: string;
	/** Time from the start of the traffic, in milliseconds. */
	readonly atMs: number;
	readonly chatId: string;
	/** 1 for the first turn of a chat. */
	readonly turn: number;
	readonly maxTokens: number;
	readonly priority: number;
	/** Number from 0 to 1 that chooses the router among those that are up. */
	readonly entry: number;
};

export type CallSchedule = {
	/** In the order of their times. */
	readonly calls: readonly PlannedCall[];
	/** Requests that the plan's limit left out. */
	readonly omittedCount: number;
};

type Traffic = LoadPlan['traffic'];

/** Creates the schedule of all accounts; the same plan gives the same schedule. */
export function createCallSchedule(plan: LoadPlan, accounts: readonly AccountLimit[], openAccount?: AccountLimit): CallSchedule {
	const calls = [
		...accounts.flatMap((account, index) => createAccountCalls(plan, account, index)),
		...createOpenCalls(plan, openAccount),
	];
	calls.sort((a, b) => a.atMs - b.atMs);
	return {calls: calls.slice(0, plan.requestLimit), omittedCount: Math.max(0, calls.length - plan.requestLimit)};
}

/** Draws the arrival times of a Poisson process whose rate surges at times. */
export function drawArrivalTimes(random: RandomSource, ratePerSecond: number, durationMs: number, surges: readonly Surge[]): number[] {
	const peakMultiple = Math.max(1, ...surges.map(({multiple}) => multiple));
	const meanInterarrivalMs = 1000 / (ratePerSecond * peakMultiple);
	const times: number[] = [];
	// Candidates come at the highest rate; each stays with the ratio of the present rate to it.
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

/** Exponent of the long tail of pauses: finite mean, unbounded variance. */
const longPauseShape = 1.5;

/**
 * The chats of one account. An arrival takes the turn of the chat whose pause
 * ended first; when none has ended, a new chat begins.
 */
class ChatSessions {
	readonly #account: string;
	readonly #chats: Traffic['chats'];
	readonly #random: RandomSource;
	/** Paused chats, the one that is due first at the end. */
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
