/**
 * Demand for share beyond what this instance holds, and how asking for it went.
 */
import type {LoanAmount} from '../message.js';

/** An amount of some limit. */
export type ShareAmount = Omit<LoanAmount, 'limitId'>;

/** What a peer last answered for a limit. */
export type LenderBackoff = {
	/** Time until which the peer is not asked again. */
	retryAt: number;
	/** Time that the peer is left alone after an answer that falls short, in milliseconds. */
	backoffMs: number;
};

/** How asking for one limit goes. */
export type ShareDemand = {
	/** What is missing by the latest request. */
	amount: ShareAmount;
	readonly lenders: Map<string, LenderBackoff>;
};

/** A request for a loan that is not answered yet. */
export type PendingLoan = {
	readonly loanId: string;
	readonly limitId: string;
	readonly peerId: string;
	readonly amount: ShareAmount;
	readonly requestedAt: number;
	/** True: it extends a loan that is held. */
	readonly isExtension: boolean;
};

/** Time that a peer is left alone after its first answer that falls short, in milliseconds. */
const initialBackoffMs = 100;
/** Longest time that a peer is left alone, in milliseconds. */
const maxBackoffMs = 2000;

export function createShareDemand(): ShareDemand {
	return {amount: {rate: 0, room: 0, tokens: 0}, lenders: new Map()};
}

/** Records whether a peer lent all that was asked; one that did not is left alone for longer each time. */
export function recordLenderAnswer(demand: ShareDemand, peerId: string, isEnough: boolean, now: number): void {
	const backoffMs = demand.lenders.get(peerId)?.backoffMs ?? initialBackoffMs;
	if (isEnough) {
		demand.lenders.delete(peerId);
		return;
	}

	demand.lenders.set(peerId, {retryAt: now + backoffMs, backoffMs: Math.min(maxBackoffMs, backoffMs * 2)});
}
