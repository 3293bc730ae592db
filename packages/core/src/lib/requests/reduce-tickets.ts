/**
 * Requests with a ticket. Such a request runs once, at the process that the
 * ticket names; each repeat receives the answer or the refusal of that run.
 */
import {err, ok, type Result} from 'neverthrow';
import {effectKind} from '../effect.js';
import type {RequestArrivedEvent} from '../event.js';
import {
	createNotRunRefusal, createUnknownRefusal, refusalReason, runOutcome, type Refusal,
} from '../refusal.js';
import {recordEntry, type State, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import type {PendingRequest} from './request-state.js';
import {createTicketText, ticketLifetimeMs, type Ticket} from './ticket.js';
import {
	createRecordId, maxJoinedRequests, removeExpiredRecords, tryAddRecord, type TicketRecord,
} from './ticket-ledger.js';

/** Time between two removals of expired tickets from the ledger, in milliseconds. */
const expiryIntervalMs = 5000;
/** Retry delay in refusals of requests for or with a ticket, in milliseconds. */
const ticketRetryAfterMs = 1000;

/** A ticket as returned to a caller. */
export type IssuedTicket = {readonly ticket: string; readonly expiresInMs: number};

/** Issues a ticket that names this process. No record is kept until the ticket is used. */
export function createTicket({state, now}: Pick<Step, 'state' | 'now'>, keyDigest: string | undefined, nonce: string): Result<IssuedTicket, Refusal> {
	if (state.tables.configuration === undefined) {
		return err(createNotRunRefusal(refusalReason.notReady, 'This instance has no configuration yet; try again.', ticketRetryAfterMs));
	}

	if (state.membership.isDraining) {
		return err(createNotRunRefusal(refusalReason.draining, 'This instance is shutting down; connect again to reach another.', ticketRetryAfterMs));
	}

	return state.tables.accountByDigest.has(keyDigest ?? '')
		? ok({ticket: createTicketText(state.self, nonce, now), expiresInMs: ticketLifetimeMs})
		: err(createNotRunRefusal(refusalReason.keyUnknown, 'Tickets are issued to known keys: send one as "Authorization: Bearer <key>".'));
}

/**
 * Creates the refusal of a call with a ticket. The outcome of the refused call
 * moves to `callOutcome`; the outcome of the ticket as a whole is `unknown`,
 * because another call with the same ticket may have run.
 */
export function createTicketRefusal(refusal: Refusal): Refusal {
	return {...refusal, outcome: runOutcome.unknown, callOutcome: refusal.outcome};
}

/** Says whether a ticket names this process. */
export function isLocalTicket({self}: State, {instanceId, incarnation}: Ticket): boolean {
	return instanceId === self.instanceId && incarnation === self.incarnation;
}

/**
 * Claims a ticket for a request. Returns the new record if the request is the
 * one to run, or a refusal. Returns `undefined` if the request has joined the
 * run under the ticket, or the end of that run has been delivered.
 */
export function claimTicket(step: Step, event: RequestArrivedEvent, account: string, ticket: Ticket): Result<TicketRecord, Refusal> | undefined {
	const {state, now} = step;
	const refusal = checkTicket(step, ticket);
	if (refusal !== undefined) {
		return err(refusal);
	}

	const id = createRecordId(account, ticket.text);
	const existing = state.requests.ledger.records.get(id);
	if (existing !== undefined) {
		return joinOrReplay(step, event, existing);
	}

	const record: TicketRecord = {
		id, account, contentDigest: event.contentDigest ?? '', expiresAt: ticket.issuedAt + ticketLifetimeMs, joinedRequestIds: [],
	};
	return tryAddRecord(state.requests.ledger, record)
		? ok(record)
		: err(createTicketRefusal(createNotRunRefusal(refusalReason.overloaded, `Too many tickets are in use at ${now.toFixed(0)} ms of this process; try again later.`, ticketRetryAfterMs)));
}

function checkTicket({state, now}: Step, ticket: Ticket): Refusal | undefined {
	if (!isLocalTicket(state, ticket)) {
		return createTicketRefusal(createNotRunRefusal(refusalReason.ticketLost, 'The process that could run this ticket is gone; this call did not run, an earlier one with the ticket may have.'));
	}

	const isValid = ticket.issuedAt <= now && now < ticket.issuedAt + ticketLifetimeMs;
	return isValid
		? undefined
		: createTicketRefusal(createNotRunRefusal(refusalReason.ticketExpired, 'The ticket has expired; this call did not run, an earlier one with the ticket may have.'));
}

function joinOrReplay(step: Step, event: RequestArrivedEvent, record: TicketRecord): Result<TicketRecord, Refusal> | undefined {
	if (record.contentDigest !== (event.contentDigest ?? '')) {
		return err(createTicketRefusal(createNotRunRefusal(refusalReason.ticketMismatch, 'The ticket was used for a different request; take a new ticket for this one.')));
	}

	if (record.end === undefined) {
		if (record.joinedRequestIds.length >= maxJoinedRequests) {
			return err(createUnknownRefusal(refusalReason.duplicate, 'The request already runs under this ticket; repeat the call for its answer.', ticketRetryAfterMs));
		}

		record.joinedRequestIds.push(event.requestId);
		return undefined;
	}

	deliverEnd(step, event.requestId, record);
	return undefined;
}

/** Records the end of the run under a request's ticket, if it has one, and delivers the end to all joined requests. */
export function finishTicket(step: Step, request: PendingRequest, refusal?: Refusal): void {
	const record = step.state.requests.ledger.records.get(request.ticketRecordId ?? '');
	if (record === undefined || record.end !== undefined) {
		return;
	}

	record.end = {refusal};
	if (refusal === undefined) {
		step.effects.push({kind: effectKind.rememberAnswer, requestId: request.requestId, ticketRecordId: record.id});
	}

	for (const requestId of record.joinedRequestIds.splice(0)) {
		deliverEnd(step, requestId, record);
	}
}

function deliverEnd(step: Step, requestId: string, record: TicketRecord): void {
	const refusal = record.end?.refusal;
	step.effects.push(refusal === undefined
		? {kind: effectKind.replay, requestId, ticketRecordId: record.id}
		: {kind: effectKind.refuse, requestId, refusal});
	recordEntry(step, {
		kind: timelineKind.ticketReplayed, cause: requestId, requestId, account: record.account, detail: refusal?.reason,
	});
}

/** Removes expired tickets from the ledger every few seconds. */
export function expireTickets({state, now}: Step): void {
	if (now >= state.requests.expireTicketsAt) {
		state.requests.expireTicketsAt = now + expiryIntervalMs;
		removeExpiredRecords(state.requests.ledger, now);
	}
}
