/**
 * Lends share to peers. The lender subtracts a loan from its own share before it
 * answers, and uses that share again after the loan's term and a margin.
 */
import {effectKind} from '../effect.js';
import type {BorrowRequestedEvent, LoanGivenBackEvent} from '../event.js';
import type {BorrowRequest, LoanAmount} from '../message.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import {updateBucket, updateLimitBucket} from './allowance-state.js';
import {computeDemandRate} from './demand-meter.js';
import {findConsolidator} from './consolidate-shares.js';
import {
	computeSlotsInUse, findLimit, findLimitAccount, findLimitTarget,
} from './limit.js';
import {
	computeExcessLent, computeLendableCapacity, computeLendableShare, computeLoanGraceMs, emptyShare, findMaxLoanTermMs, type Loan, type Share,
} from './share-ledger.js';

/** Time within which the answer has to be sent, in milliseconds. */
const answerTimeoutMs = 200;
/** Rate reserved for this instance's own demand, as a multiple of that demand. */
const reservedDemandMultiple = 1.15;
/** Amounts below this are not lent. */
const minLoanAmount = 1e-3;

/** Answers a peer's request for a loan of one limit. */
export function applyBorrowRequest(step: Step, {callId, request}: BorrowRequestedEvent): void {
	const amount = lendShare(step, request);
	step.effects.push({
		kind: effectKind.answerBorrow, callId, loanId: request.loanId, amounts: amount === undefined ? [] : [amount], notAfter: step.now + answerTimeoutMs,
	});
}

/** Ends a loan that its borrower returned early; the tokens of the loan count as spent. */
export function applyLoanReturn(step: Step, {loanId}: LoanGivenBackEvent): void {
	const {lent} = step.state.allowances;
	const loan = lent.get(loanId);
	if (loan === undefined) {
		return;
	}

	updateLimitBucket(step, loan.limitId);
	lent.remove(loanId);
	updateLimitBucket(step, loan.limitId);
}

function lendShare(step: Step, request: BorrowRequest): LoanAmount | undefined {
	const [requested] = request.amounts;
	const maxTermMs = findMaxLoanTermMs(step);
	if (requested === undefined || request.termMs > maxTermMs || findLimit(step, requested.limitId) === undefined) {
		return undefined;
	}

	updateLimitBucket(step, requested.limitId);
	const existing = step.state.allowances.lent.get(request.loanId);
	if (existing !== undefined && existing.endsAt > step.now) {
		return extendLoan(step, request, existing);
	}

	const amount = findLimitAccount(requested.limitId) === undefined ? lendSlots(step, requested) : lendAccountShare(step, request, requested);
	if (amount === undefined) {
		return undefined;
	}

	const {loanId, instanceId, termMs} = request;
	step.state.allowances.lent.add({
		loanId,
		peerId: instanceId,
		limitId: requested.limitId,
		rate: amount.rate,
		capacity: amount.room,
		extensionRequestedAt: step.now,
		endsAt: step.now + termMs + computeLoanGraceMs(step, requested.limitId),
	});
	updateLimitBucket(step, requested.limitId);
	recordEntry(step, {
		kind: timelineKind.loanGiven, cause: loanId, peerId: instanceId, account: findLimitAccount(requested.limitId), detail: describeAmount(amount),
	});
	return amount;
}

/**
 * Extends a loan, except for the part that this instance no longer owns. A loan
 * is not extended at all if this instance needs its whole rate itself. What is
 * not extended stays subtracted until the former end of the loan, because the
 * borrower may not receive the answer.
 */
function extendLoan(step: Step, request: BorrowRequest, existing: Loan): LoanAmount | undefined {
	const {limitId} = existing;
	const extended = computeExtendedShare(step, request, existing);
	if (Math.max(extended.rate, extended.capacity) < minLoanAmount || (existing.rate > 0 && extended.rate < minLoanAmount)) {
		return undefined;
	}

	const {lent} = step.state.allowances;
	const remainder = {rate: existing.rate - extended.rate, capacity: existing.capacity - extended.capacity};
	if (Math.max(remainder.rate, remainder.capacity) > 0) {
		lent.add({...existing, ...remainder, loanId: `${existing.loanId}/${step.now}`});
	}

	lent.add({...existing, ...extended, endsAt: Math.max(existing.endsAt, step.now + request.termMs + computeLoanGraceMs(step, limitId))});
	return {
		limitId, rate: extended.rate, room: extended.capacity, tokens: 0,
	};
}

function computeExtendedShare(step: Step, {instanceId}: BorrowRequest, {limitId, rate, capacity}: Loan): Share {
	const isNeededLocally = findLimitAccount(limitId) !== undefined && computeSpareRate(step, limitId, instanceId) + rate < minLoanAmount;
	if (isNeededLocally) {
		return emptyShare;
	}

	const excess = computeExcessLent(step, limitId);
	return {rate: Math.max(0, rate - excess.rate), capacity: Math.max(0, capacity - excess.capacity)};
}

function lendAccountShare(step: Step, {instanceId, termMs}: BorrowRequest, requested: LoanAmount): LoanAmount | undefined {
	const account = findLimitAccount(requested.limitId)!;
	const bucket = updateBucket(step, account);
	if (requested.rate > 0) {
		const limit = findLimit(step, requested.limitId)!;
		const maxCapacity = Math.min(computeLendableShare(step, requested.limitId).capacity, bucket.capacity);
		const rate = Math.min(requested.rate, computeSpareRate(step, requested.limitId, instanceId));
		const capacity = Math.min(maxCapacity, requested.room * rate / requested.rate, rate * limit.capacity / limit.rate);
		return takeFromBucket(bucket, {...requested, rate}, capacity, bucket.tokens * capacity / Math.max(bucket.capacity, minLoanAmount));
	}

	const queuedCount = step.state.allowances.queuedCounts.get(account) ?? 0;
	const maxCapacity = Math.min(computeLendableCapacity(step, requested.limitId, termMs), bucket.capacity);
	const spareTokens = Math.max(0, bucket.tokens - queuedCount);
	const tokens = Math.min(requested.tokens, spareTokens, maxCapacity);
	return takeFromBucket(bucket, {...requested, rate: 0}, tokens, tokens);
}

function takeFromBucket(bucket: {tokens: number}, {limitId, rate}: LoanAmount, capacity: number, tokens: number): LoanAmount | undefined {
	if (rate < minLoanAmount && tokens < minLoanAmount) {
		return undefined;
	}

	bucket.tokens -= tokens;
	return {
		limitId, rate, room: capacity, tokens,
	};
}

/**
 * Lends slots that this instance's requests do not occupy, including fractions
 * of a slot. A fraction alone serves no request, but the fractions of several
 * lenders add up at the borrower.
 */
function lendSlots(step: Step, requested: LoanAmount): LoanAmount | undefined {
	const slotsInUse = computeSlotsInUse(step, findLimitTarget(step, requested.limitId)!);
	const capacity = Math.min(requested.room, computeLendableShare(step, requested.limitId).capacity - slotsInUse);
	return capacity < minLoanAmount
		? undefined
		: {
			limitId: requested.limitId, rate: 0, room: capacity, tokens: 0,
		};
}

/** Computes the rate that this instance can lend to a borrower. The consolidator of a limit may also borrow the rate that this instance needs itself. */
function computeSpareRate(step: Step, limitId: string, borrowerId: string): number {
	const {rate} = computeLendableShare(step, limitId);
	if (findConsolidator(step, limitId) === borrowerId) {
		return rate;
	}

	const demandRate = computeDemandRate(step.state.allowances.demandMeters.get(findLimitAccount(limitId)!), step.now);
	return rate - (demandRate * reservedDemandMultiple);
}

function describeAmount({rate, room: capacity, tokens}: LoanAmount): string {
	return `Rate ${rate.toFixed(3)} a second, room ${capacity.toFixed(3)}, tokens ${tokens.toFixed(3)}.`;
}
