/**
 * The ledger of tickets that were used at this process. A record stays until
 * its ticket can no longer be used; it is never evicted before, because a
 * forgotten ticket could run twice. A full ledger therefore refuses.
 */
import type {Refusal} from '../refusal.js';

/** Records of one client account. */
const maxRecordsPerAccount = 50_000;
/** Records of all client accounts. */
const maxRecords = 200_000;
/** Callers that wait for the end of one run. */
export const maxJoinedRequests = 16;

/** How a ticket's only run ended; without a refusal it was answered. */
export type TicketEnd = {readonly refusal?: Refusal};

/** A ticket that was used. */
export type TicketRecord = {
	readonly id: string;
	readonly account: string;
	/** Digest of the request that runs under it. */
	readonly contentDigest: string;
	readonly expiresAt: number;
	/** Further requests that wait for the end of the run. */
	readonly joinedRequestIds: string[];
	/** Undefined while it runs or waits to run. */
	end?: TicketEnd;
};

export type TicketLedger = {
	readonly records: Map<string, TicketRecord>;
	readonly countByAccount: Map<string, number>;
};

export function createTicketLedger(): TicketLedger {
	return {records: new Map(), countByAccount: new Map()};
}

/** The identifier of a record: a ticket counts for one client account only. */
export function createRecordId(account: string, ticketText: string): string {
	return `${account}/${ticketText}`;
}

/** Adds a record if there is room; says whether it did. */
export function tryAddRecord({records, countByAccount}: TicketLedger, record: TicketRecord): boolean {
	const count = countByAccount.get(record.account) ?? 0;
	if (records.size >= maxRecords || count >= maxRecordsPerAccount) {
		return false;
	}

	records.set(record.id, record);
	countByAccount.set(record.account, count + 1);
	return true;
}

/** Forgets the tickets that can no longer be used. */
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
