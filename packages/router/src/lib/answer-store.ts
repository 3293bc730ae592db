/**
 * Keeps the answers of requests with tickets in memory, to replay them when a
 * caller retries. The size is bounded; the oldest answers are evicted first.
 * Evicting an answer never causes its request to run again, because the ticket
 * ledger keeps a separate record.
 */
import type {PlainAnswer} from './open-request.js';

/** Largest total size of the stored answers, including their overhead. */
const maxStoredBytes = 32 * 1024 * 1024;
/** Memory assumed for each stored answer in addition to its body. */
const entryOverheadBytes = 512;

/** Stores answers by the identifier of their ticket record. */
export class AnswerStore {
	readonly #answers = new Map<string, PlainAnswer>();
	#storedBytes = 0;

	/** Stores an answer, and evicts the oldest answers until the size limit is met. */
	add(ticketRecordId: string, answer: PlainAnswer): void {
		this.#answers.set(ticketRecordId, answer);
		this.#storedBytes += computeSizeBytes(answer);
		for (const [id, oldest] of this.#answers) {
			if (this.#storedBytes <= maxStoredBytes) {
				return;
			}

			this.#answers.delete(id);
			this.#storedBytes -= computeSizeBytes(oldest);
		}
	}

	/** Reads a stored answer; returns `undefined` if the answer was evicted or never stored. */
	read(ticketRecordId: string): PlainAnswer | undefined {
		return this.#answers.get(ticketRecordId);
	}
}

function computeSizeBytes({body}: PlainAnswer): number {
	return body.length + entryOverheadBytes;
}
