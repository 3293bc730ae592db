/**
 * The share ledger: what this instance has lent and borrowed of every limit.
 *
 * Loans conserve the sum of all shares without coordination. A lender subtracts
 * a loan before it answers, and uses that share again only after the term and a
 * grace (`computeLoanGraceMs`) on its own clock, or when the borrower returns the
 * loan. A borrower counts the term from before it sent its request. A lost message
 * can therefore make share unusable for a term, but never usable at two instances
 * at once.
 */
import {computeCeilingFraction, computeOwnedFraction} from '../membership/owned-fraction.js';
import type {Step} from '../state.js';
import {computeMaxSlotUseMs, findLimit, findLimitTarget} from './limit.js';
import {loanMarginMs} from './loan-margin.js';

/** Excess up to this is attributed to rounding of the sums of loans. */
const roundingTolerance = 1e-9;

/** Part of a limit. */
export type Share = {
	/** Tokens per second. */
	readonly rate: number;
	/** Bucket capacity in tokens, or slots. */
	readonly capacity: number;
};

export const emptyShare: Share = {rate: 0, capacity: 0};

/** A loan of one limit, at the lender or at the borrower. */
export type Loan = Share & {
	readonly loanId: string;
	readonly peerId: string;
	readonly limitId: string;
	/** Time at which the loan ends, on this process's clock. */
	endsAt: number;
	/** Time of the last request to extend the loan, or of the grant if there was none; used by the borrower only. */
	extensionRequestedAt: number;
};

/** Loans indexed by identifier, and by limit to compute sums. */
export class LoanIndex {
	readonly #byId = new Map<string, Loan>();
	readonly #byLimit = new Map<string, Set<Loan>>();

	get(loanId: string): Loan | undefined {
		return this.#byId.get(loanId);
	}

	/** Adds a loan, or replaces the one with the same identifier. */
	add(loan: Loan): void {
		this.remove(loan.loanId);
		this.#byId.set(loan.loanId, loan);
		const loans = this.#byLimit.get(loan.limitId) ?? new Set();
		loans.add(loan);
		this.#byLimit.set(loan.limitId, loans);
	}

	remove(loanId: string): void {
		const loan = this.#byId.get(loanId);
		if (loan === undefined) {
			return;
		}

		this.#byId.delete(loanId);
		const loans = this.#byLimit.get(loan.limitId)!;
		loans.delete(loan);
		if (loans.size === 0) {
			this.#byLimit.delete(loan.limitId);
		}
	}

	/** Removes the loans that have ended. */
	removeExpired(now: number): void {
		for (const loan of this.#byId.values()) {
			if (loan.endsAt <= now) {
				this.remove(loan.loanId);
			}
		}
	}

	values(): Iterable<Loan> {
		return this.#byId.values();
	}

	/** Lists the loans of a limit that have not ended. */
	* listActive(limitId: string, now: number): Generator<Loan> {
		for (const loan of this.#byLimit.get(limitId) ?? []) {
			if (loan.endsAt > now) {
				yield loan;
			}
		}
	}

	/** Computes the sum of the loans of a limit that have not ended. */
	computeSum(limitId: string, now: number): Share {
		let rate = 0;
		let capacity = 0;
		for (const loan of this.listActive(limitId, now)) {
			rate += loan.rate;
			capacity += loan.capacity;
		}

		return {rate, capacity};
	}
}

/** Computes the part of a limit that this instance owns, without loans. */
export function computeOwnedShare(step: Step, limitId: string): Share {
	const limit = findLimit(step, limitId);
	if (limit === undefined) {
		return emptyShare;
	}

	// Requests in flight cannot be withdrawn when the instance list grows, so slots are divided by the fleet ceiling only.
	const fraction = findLimitTarget(step, limitId) === undefined ? computeOwnedFraction(step) : computeCeilingFraction(step);
	return {rate: limit.rate * fraction, capacity: limit.capacity * fraction};
}

/** Computes the part of a limit that this instance may use now: owned plus borrowed minus lent. */
export function computeNetShare(step: Step, limitId: string): Share {
	if (findLimit(step, limitId) === undefined) {
		return emptyShare;
	}

	const {borrowed, lent} = step.state.allowances;
	const owned = computeOwnedShare(step, limitId);
	const borrowedShare = borrowed.computeSum(limitId, step.now);
	const lentShare = lent.computeSum(limitId, step.now);
	return {
		rate: Math.max(0, owned.rate + borrowedShare.rate - lentShare.rate),
		capacity: Math.max(0, owned.capacity + borrowedShare.capacity - lentShare.capacity),
	};
}

/** Computes the share that is owned and not lent, which may be lent for a full term. */
export function computeLendableShare(step: Step, limitId: string): Share {
	const owned = computeOwnedShare(step, limitId);
	const lentShare = step.state.allowances.lent.computeSum(limitId, step.now);
	return {rate: Math.max(0, owned.rate - lentShare.rate), capacity: Math.max(0, owned.capacity - lentShare.capacity)};
}

/** Computes by how much the lent share exceeds the owned share, which may have shrunk; loans must not be extended by this excess. */
export function computeExcessLent(step: Step, limitId: string): Share {
	const owned = computeOwnedShare(step, limitId);
	const lentShare = step.state.allowances.lent.computeSum(limitId, step.now);
	return {
		rate: Math.max(0, lentShare.rate - owned.rate - roundingTolerance),
		capacity: Math.max(0, lentShare.capacity - owned.capacity - roundingTolerance),
	};
}

/**
 * Computes the capacity that may be lent for `termMs`. This includes capacity
 * borrowed for longer than `termMs`, because the new loan then ends before the
 * borrowed capacity that covers it.
 */
export function computeLendableCapacity(step: Step, limitId: string, termMs: number): number {
	const {borrowed, lent} = step.state.allowances;
	let {capacity} = computeOwnedShare(step, limitId);
	for (const loan of borrowed.listActive(limitId, step.now + termMs)) {
		capacity += loan.capacity;
	}

	return Math.max(0, capacity - lent.computeSum(limitId, step.now).capacity);
}

/** Finds the longest permitted term of a loan, in milliseconds; 0 without a configuration. */
export function findMaxLoanTermMs({state}: Step): number {
	return state.tables.configuration?.fleet.loanTermMs ?? 0;
}

/**
 * Computes the time after its term for which a loan may still be in use, in
 * milliseconds. A request that took a slot at the end of the term keeps the slot
 * until its deadline.
 */
export function computeLoanGraceMs(step: Step, limitId: string): number {
	const targetId = findLimitTarget(step, limitId);
	return loanMarginMs + (targetId === undefined ? 0 : computeMaxSlotUseMs(step, targetId));
}
