/**
 * Requests that carry a ticket: they run at the process that the ticket names,
 * once, and every repeat gets the answer or the refusal of that one run.
 */
import {err, ok, type Result} from 'neverthrow';
import {effectKind} from '../effect.js';
import type {RequestArrived} from '../event.js';
import {
	createNotRun, createUnknown, refusalReason, runOutcome, type Refusal,
} from '../refusal.js';
import {recordEntry, type State, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import type {PendingRequest} from './request-state.js';
import {createTicketText, ticketLifetimeMs, type Ticket} from './ticket.js';
import {
	createRecordId, maxJoinedRequests, removeExpiredRecords, tryAddRecord, type TicketRecord,
} from './ticket-ledger.js';

/** Time between two passes over the ledger, in milliseconds. */
const expiryIntervalMs = 5000;
/** Time after which a repeat under the same ticket may find more, in milliseconds. */
const ticketRetryAfterMs = 1000;

/** A ticket as it is handed to a caller. */
export type IssuedTicket = {readonly ticket: string; readonly expiresInMs: number};

/** Issues a ticket of this process. Nothing is kept until it is used. */
export function createTicket({state, now}: Pick<Step, 'state' | 'now'>, keyDigest: string | undefined, nonce: string): Result<IssuedTicket, Refusal> {
	if (state.tables.configuration === undefined) {
		return err(createNotRun(refusalReason.notReady, 'This instance has no configuration yet; try again.', ticketRetryAfterMs));
	}

	if (state.membership.isDraining) {
		return err(createNotRun(refusalReason.draining, 'This instance is shutting down; connect again to reach another.', ticketRetryAfterMs));
	}

	return state.tables.accountByDigest.has(keyDigest ?? '')
		? ok({ticket: createTicketText(state.self, nonce, now), expiresInMs: ticketLifetimeMs})
		: err(createNotRun(refusalReason.keyUnknown, 'Tickets are issued to known keys: send one as "Authorization: Bearer <key>".'));
}

/**
 * States a refusal that this process cannot give for the ticket as a whole:
 * this call did not run, and another call with the ticket may have.
 */
export function createTicketRefusal(refusal: Refusal): Refusal {
	return {...refusal, outcome: runOutcome.unknown, callOutcome: refusal.outcome};
}

/** Says whether this process is the one that a ticket names. */
export function isLocalTicket({self}: State, {instanceId, incarnation}: Ticket): boolean {
	return instanceId === self.instanceId && incarnation === self.incarnation;
}

/**
 * Claims a ticket for a request. Returns the record when the request is the
 * one to run; otherwise the request has been joined, replayed or refused.
 */
export function claimTicket(step: Step, event: RequestArrived, account: string, ticket: Ticket): Result<TicketRecord, Refusal> | undefined {
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
		: err(createTicketRefusal(createNotRun(refusalReason.overloaded, `Too many tickets are in use at ${now.toFixed(0)} ms of this process; try again later.`, ticketRetryAfterMs)));
}

function checkTicket({state, now}: Step, ticket: Ticket): Refusal | undefined {
	if (!isLocalTicket(state, ticket)) {
		return createTicketRefusal(createNotRun(refusalReason.ticketLost, 'The process that could run this ticket is gone; this call did not run, an earlier one with the ticket may have.'));
	}

	const isValid = ticket.issuedAt <= now && now < ticket.issuedAt + ticketLifetimeMs;
	return isValid
		? undefined
		: createTicketRefusal(createNotRun(refusalReason.ticketExpired, 'The ticket has expired; this call did not run, an earlier one with the ticket may have.'));
}

function joinOrReplay(step: Step, event: RequestArrived, record: TicketRecord): Result<TicketRecord, Refusal> | undefined {
	if (record.contentDigest !== (event.contentDigest ?? '')) {
		return err(createTicketRefusal(createNotRun(refusalReason.ticketMismatch, 'The ticket was used for a different request; take a new ticket for this one.')));
	}

	if (record.end === undefined) {
		if (record.joinedRequestIds.length >= maxJoinedRequests) {
			return err(createUnknown(refusalReason.duplicate, 'The request already runs under this ticket; repeat the call for its answer.', ticketRetryAfterMs));
		}

		record.joinedRequestIds.push(event.requestId);
		return undefined;
	}

	deliverEnd(step, event.requestId, record);
	return undefined;
}

/** Takes the end of a ticket's run, and delivers it to all that wait for it. */
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

/** Forgets expired tickets, every few seconds. */
export function expireTickets({state, now}: Step): void {
	if (now >= state.requests.expireTicketsAt) {
		state.requests.expireTicketsAt = now + expiryIntervalMs;
		removeExpiredRecords(state.requests.ledger, now);
	}
}
