/**
 * Requests that this instance is responsible for, from arrival to their end.
 */
import type {Route} from '../configuration/configuration.js';
import {maxRetryBudget} from './retry-budget.js';
import type {Ticket} from './ticket.js';
import {createTicketLedger, type TicketLedger} from './ticket-ledger.js';

export const requestPhase = {
	/** Waits for a token of its client account. */
	waitsForToken: 'waits-for-token',
	/** Waits for a target with room. */
	waitsForTarget: 'waits-for-target',
	/** An attempt is under way. */
	running: 'running',
	/** The process that its ticket names has it. */
	forwarded: 'forwarded',
} as const;

export type PendingRequest = {
	readonly requestId: string;
	readonly route: Route;
	readonly account: string;
	/** Digest of the key that came with it; undefined on open routes. */
	readonly keyDigest?: string;
	readonly chatKey: string;
	readonly priority: number;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	phase: typeof requestPhase[keyof typeof requestPhase];
	/** Time until which it may wait in its present phase. */
	waitUntil: number;
	attemptId: number;
	attemptCount: number;
	/** Time before which it is not tried again. */
	notBefore: number;
	targetId?: string;
	/** Targets at which an attempt failed. */
	readonly failedTargetIds: Set<string>;
	deliveredCount: number;
	/** True once an attempt ended without proof that it had no effect. */
	mayHaveRun: boolean;
	/** The record of its ticket, where this process runs it. */
	readonly ticketRecordId?: string;
	/** Its ticket, where another process runs it. */
	readonly remoteTicket?: Ticket;
};

export type RequestState = {
	pending: Map<string, PendingRequest>;
	/** Waiting requests in the order of their arrival. */
	queuedIds: Set<string>;
	nextAttemptId: number;
	/** Retries that this instance may still make. */
	retryBudget: number;
	ledger: TicketLedger;
	/** Time of the next pass over the ledger. */
	expireTicketsAt: number;
};

export function createRequestState(): RequestState {
	return {
		pending: new Map(), queuedIds: new Set(), nextAttemptId: 1, retryBudget: maxRetryBudget, ledger: createTicketLedger(), expireTicketsAt: 0,
	};
}
