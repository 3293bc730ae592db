/**
 * The ledger of tickets that were used at this process. A record is kept until
 * its ticket expires and is never evicted earlier, because a request could run
 * twice under a ticket without a record. A full ledger therefore refuses new tickets.
 */
import type {Refusal} from '../refusal.js';

/** Largest number of records of one client account. */
const maxRecordsPerAccount = 50_000;
/** Largest number of records of all client accounts together. */
const maxRecords = 200_000;
/** Largest number of further requests that wait for the end of one run. */
export const maxJoinedRequests = 16;

/** How the only run under a ticket ended; a run without a refusal was answered. */
export type TicketEnd = {readonly refusal?: Refusal};

/** Record of a ticket that was used. */
export type TicketRecord = {
	readonly id: string;
	readonly account: string;
	/** Digest of the request that runs under the ticket. */
	readonly contentDigest: string;
	readonly expiresAt: number;
	/** Identifiers of further requests under the ticket that wait for the end of the run. */
	readonly joinedRequestIds: string[];
	/** End of the run; `undefined` while the request is queued or running. */
	end?: TicketEnd;
};

export type TicketLedger = {
	readonly records: Map<string, TicketRecord>;
	readonly countByAccount: Map<string, number>;
};

export function createTicketLedger(): TicketLedger {
	return {records: new Map(), countByAccount: new Map()};
}

/** Creates the identifier of a record. It contains the account, so that a ticket used by two client accounts has two records. */
export function createRecordId(account: string, ticketText: string): string {
	return `${account}/${ticketText}`;
}

/** Adds a record unless the ledger or the account is at its limit; returns whether it did. */
export function tryAddRecord({records, countByAccount}: TicketLedger, record: TicketRecord): boolean {
	const count = countByAccount.get(record.account) ?? 0;
	if (records.size >= maxRecords || count >= maxRecordsPerAccount) {
		return false;
	}

	records.set(record.id, record);
	countByAccount.set(record.account, count + 1);
	return true;
}

/** Removes the records of tickets that have expired. */
export function removeExpiredRecords({records, countByAccount}: TicketLedger, now: number): void {
	for (const record of records.values()) {
		if (record.expiresAt > now) {
			continue;
		}

		records.delete(record.id);
		const count = countByAccount.get(record.account)! - 1;
		if (count > 0) {
			countByAccount.set(record.account, count);
		} else {
			countByAccount.delete(record.account);
		}
	}
}
