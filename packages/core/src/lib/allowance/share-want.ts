/**
 * Demand for share beyond what this instance holds, and how asking for it went.
 */
import type {LoanAmount} from '../message.js';

/** An amount of some limit. */
export type ShareAmount = Omit<LoanAmount, 'limitId'>;

/** What a peer last answered for a limit. */
export type LenderRecord = {
	/** Time until which the peer is not asked again. */
	skipUntil: number;
	/** Time that the peer is left alone after an answer that falls short, in milliseconds. */
	pauseMs: number;
};

/** How asking for one limit goes. */
export type ShareWant = {
	/** What is missing by the latest request. */
	amount: ShareAmount;
	readonly lenders: Map<string, LenderRecord>;
};

/** A request for a loan that is not answered yet. */
export type LoanAsk = {
	readonly loanId: string;
	readonly limitId: string;
	readonly peerId: string;
	readonly amount: ShareAmount;
	readonly askedAt: number;
	/** True: it extends a loan that is held. */
	readonly isExtension: boolean;
};

/** Time that a peer is left alone after its first answer that falls short, in milliseconds. */
const firstPauseMs = 100;
/** Longest time that a peer is left alone, in milliseconds. */
const longestPauseMs = 2000;

export function createShareWant(): ShareWant {
	return {amount: {rate: 0, room: 0, tokens: 0}, lenders: new Map()};
}

/** Records whether a peer lent all that was asked; one that did not is left alone for longer each time. */
export function recordAnswer(want: ShareWant, peerId: string, isEnough: boolean, now: number): void {
	const pauseMs = want.lenders.get(peerId)?.pauseMs ?? firstPauseMs;
	if (isEnough) {
		want.lenders.delete(peerId);
		return;
	}

	want.lenders.set(peerId, {skipUntil: now + pauseMs, pauseMs: Math.min(longestPauseMs, pauseMs * 2)});
}
