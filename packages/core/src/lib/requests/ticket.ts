/**
 * Tickets: idempotency keys that the fleet issues. A ticket names one start of
 * one instance, and only that process may run a request under it. When the
 * process is gone nobody can run it any more, and the outcome is `unknown`.
 *
 * The text is not secret and not signed: a record is kept by client account
 * and text, so a made-up ticket harms nobody but the account that sends it.
 */
import {err, ok, type Result} from 'neverthrow';
import type {InstanceIdentity} from '../state.js';

/** Time from its issue in which a ticket may be used and its answer is kept, in milliseconds. */
export const ticketLifetimeMs = 600_000;
const ticketPattern = /^st1:(?<instanceId>[\w.-]{1,128}):(?<incarnation>[\w.@-]{1,128}):(?<issuedAt>\d{1,15}):(?<nonce>[\w-]{8,64})$/;

/** A parsed ticket. */
export type Ticket = {
	readonly text: string;
	readonly instanceId: string;
	readonly incarnation: string;
	/** Time of its issue on the issuing process's clock. */
	readonly issuedAt: number;
};

export const ticketFaultKind = {malformed: 'malformed-ticket'} as const;
export type TicketFault = {readonly kind: typeof ticketFaultKind[keyof typeof ticketFaultKind]};

/** Creates the text of a ticket of this process. */
export function createTicketText({instanceId, incarnation}: InstanceIdentity, nonce: string, now: number): string {
	return `st1:${instanceId}:${incarnation}:${Math.floor(now)}:${nonce}`;
}

/** Parses the text of an `Idempotency-Key` header. */
export function parseTicket(text: string): Result<Ticket, TicketFault> {
	const groups = ticketPattern.exec(text)?.groups;
	return groups === undefined
		? err({kind: ticketFaultKind.malformed})
		: ok({
			text, instanceId: groups.instanceId!, incarnation: groups.incarnation!, issuedAt: Number(groups.issuedAt),
		});
}
