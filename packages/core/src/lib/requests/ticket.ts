/**
 * Tickets: idempotency keys issued by the fleet. A ticket names one process (one
 * incarnation of one instance), and only that process may run a request under
 * it. Once the process has ended, the request cannot run any more, and its
 * outcome is `unknown`.
 *
 * The text is neither secret nor signed. Records are kept by client account and
 * text, so a forged ticket affects only the account that sends it.
 */
import {err, ok, type Result} from 'neverthrow';
import type {InstanceIdentity} from '../state.js';

/** Time after issue for which a ticket may be used and its answer is kept, in milliseconds. */
export const ticketLifetimeMs = 600_000;
const ticketPattern = /^st1:(?<instanceId>[\w.-]{1,128}):(?<incarnation>[\w.@-]{1,128}):(?<issuedAt>\d{1,15}):(?<nonce>[\w-]{8,64})$/;

/** A parsed ticket. */
export type Ticket = {
	readonly text: string;
	readonly instanceId: string;
	readonly incarnation: string;
	/** Time of issue on the issuing process's clock. */
	readonly issuedAt: number;
};

export const ticketFaultKind = {malformed: 'malformed-ticket'} as const;
export type TicketFault = {readonly kind: typeof ticketFaultKind[keyof typeof ticketFaultKind]};

/** Creates the text of a ticket that names this process. */
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
