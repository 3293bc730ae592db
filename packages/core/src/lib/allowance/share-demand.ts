/**
 * Demand for share beyond what this instance holds, and the backoff from peers
 * that could not lend it.
 */
import type {LoanAmount} from '../message.js';

/** An amount of rate, capacity and tokens, without the limit that it belongs to. */
export type ShareAmount = Omit<LoanAmount, 'limitId'>;

/** Backoff from a peer whose last answer for a limit fell short or was not received. */
export type LenderBackoff = {
	/** Time before which no loan is requested from the peer. */
	retryAt: number;
	/** Backoff after the next answer that falls short, in milliseconds. */
	backoffMs: number;
};

/** Demand for more share of one limit. */
export type ShareDemand = {
	/** Amount missing at the time of the latest call of `requestShare`. */
	amount: ShareAmount;
	/** Backoff by peer. */
	readonly lenders: Map<string, LenderBackoff>;
};

/** An unanswered request for a loan. */
export type PendingLoan = {
	readonly loanId: string;
	readonly limitId: string;
	readonly peerId: string;
	readonly amount: ShareAmount;
	readonly requestedAt: number;
	/** Whether the request extends a loan that this instance already holds. */
	readonly isExtension: boolean;
};

/** Backoff after the first answer that falls short, in milliseconds. */
const initialBackoffMs = 100;
/** Upper bound of the backoff, in milliseconds. */
const maxBackoffMs = 2000;

export function createShareDemand(): ShareDemand {
	return {amount: {rate: 0, room: 0, tokens: 0}, lenders: new Map()};
}

/** Records whether a peer lent enough of what was requested; each failure and each answer that falls short doubles the backoff from that peer. */
export function recordLenderAnswer(demand: ShareDemand, peerId: string, isEnough: boolean, now: number): void {
	const backoffMs = demand.lenders.get(peerId)?.backoffMs ?? initialBackoffMs;
	if (isEnough) {
		demand.lenders.delete(peerId);
		return;
	}

	demand.lenders.set(peerId, {retryAt: now + backoffMs, backoffMs: Math.min(maxBackoffMs, backoffMs * 2)});
}
