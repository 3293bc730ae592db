/**
 * Answers that were given under tickets, kept in memory for repeats of the
 * call. The bytes are bounded: the oldest answer goes first. What is forgotten
 * here never runs again, since the ledger of tickets keeps its own record.
 */
import type {PlainAnswer} from './open-request.js';

/** Bytes of all bodies that are kept. */
const maxStoredBytes = 32 * 1024 * 1024;
/** Bytes that each kept answer takes beside its body. */
const entryOverheadBytes = 512;

/** Keeps answers by the record of their ticket. */
export class AnswerStore {
	readonly #answers = new Map<string, PlainAnswer>();
	#storedBytes = 0;

	/** Keeps an answer; older ones go until the bound holds. */
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

	/** Reads a kept answer. */
	read(ticketRecordId: string): PlainAnswer | undefined {
		return this.#answers.get(ticketRecordId);
	}
}

function computeSizeBytes({body}: PlainAnswer): number {
	return body.length + entryOverheadBytes;
}
