/**
 * State of the requests that this instance handles, from arrival to their end.
 */
import type {Route} from '../configuration/configuration.js';
import {maxRetryBudget} from './retry-budget.js';
import type {Ticket} from './ticket.js';
import {createTicketLedger, type TicketLedger} from './ticket-ledger.js';

export const requestPhase = {
	/** Queued for a token of the client account. */
	waitsForToken: 'waits-for-token',
	/** Queued for a target with a free slot. */
	waitsForTarget: 'waits-for-target',
	/** An attempt is under way. */
	running: 'running',
	/** Forwarded to the process that the ticket names. */
	forwarded: 'forwarded',
} as const;

export type PendingRequest = {
	readonly requestId: string;
	readonly route: Route;
	readonly account: string;
	/** Digest of the key sent with the request; `undefined` if none was sent, which only open routes allow. */
	readonly keyDigest?: string;
	readonly chatKey: string;
	readonly priority: number;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	phase: typeof requestPhase[keyof typeof requestPhase];
	/** Time until which the request may be queued in its current phase. */
	waitUntil: number;
	attemptId: number;
	attemptCount: number;
	/** Time before which the request is not sent again. */
	notBefore: number;
	targetId?: string;
	/** Targets at which an attempt failed. */
	readonly failedTargetIds: Set<string>;
	/** Stream events already delivered to the caller. */
	deliveredCount: number;
	/** Whether any attempt ended without proof that it had no effect. */
	mayHaveRun: boolean;
	/** Identifier of the ticket record, if this process runs the request under a ticket. */
	readonly ticketRecordId?: string;
	/** Ticket of the request, if it names another instance and no peer forwarded the request. */
	readonly remoteTicket?: Ticket;
};

export type RequestState = {
	/** Requests that have not ended, by request identifier. */
	pending: Map<string, PendingRequest>;
	/** Identifiers of queued requests in the order in which they were queued. */
	queuedIds: Set<string>;
	nextAttemptId: number;
	/** Retries that this instance may still make. */
	retryBudget: number;
	ledger: TicketLedger;
	/** Time at which expired tickets are next removed from the ledger. */
	expireTicketsAt: number;
};

export function createRequestState(): RequestState {
	return {
		pending: new Map(), queuedIds: new Set(), nextAttemptId: 1, retryBudget: maxRetryBudget, ledger: createTicketLedger(), expireTicketsAt: 0,
	};
}
