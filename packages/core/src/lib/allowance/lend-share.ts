/**
 * Lends share to peers. What is lent is subtracted here before the answer
 * goes out, and comes back when the loan's term and a margin have passed.
 */
import {effectKind} from '../effect.js';
import type {BorrowRequestedEvent, LoanGivenBackEvent} from '../event.js';
import type {BorrowRequest, LoanAmount} from '../message.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import {updateBucket, updateLimit} from './allowance-state.js';
import {computeDemandRate} from './demand-meter.js';
import {findGatherer} from './gather.js';
import {
	computeSlotsInUse, findLimit, findLimitAccount, findLimitTarget,
} from './limit.js';
import {
	computeExcessLent, computeLendableRoom, computeLendableShare, computeLoanTailMs, emptyShare, findLoanTermMs, type Loan, type Share,
} from './share-ledger.js';

/** Time within which the answer has to leave the process, in milliseconds. */
const answerWithinMs = 200;
/** Rate kept for this instance's own demand, as a multiple of the demand. */
const keptDemandMultiple = 1.15;
/** Smallest amount worth a loan. */
const smallestLoan = 1e-3;

/** Answers a peer's request for a loan of one limit. */
export function applyBorrowRequest(step: Step, {callId, request}: BorrowRequestedEvent): void {
	const amount = lendShare(step, request);
	step.effects.push({
		kind: effectKind.answerBorrow, callId, loanId: request.loanId, amounts: amount === undefined ? [] : [amount], notAfter: step.now + answerWithinMs,
	});
}

/** Takes a loan back that its borrower returned early; its tokens count as spent. */
export function applyGivenBack(step: Step, {loanId}: LoanGivenBackEvent): void {
	const {lent} = step.state.allowances;
	const loan = lent.get(loanId);
	if (loan === undefined) {
		return;
	}

	updateLimit(step, loan.limitId);
	lent.remove(loanId);
	updateLimit(step, loan.limitId);
}

function lendShare(step: Step, request: BorrowRequest): LoanAmount | undefined {
	const [asked] = request.amounts;
	const termLimit = findLoanTermMs(step);
	if (asked === undefined || request.termMs > termLimit || findLimit(step, asked.limitId) === undefined) {
		return undefined;
	}

	updateLimit(step, asked.limitId);
	const known = step.state.allowances.lent.get(request.loanId);
	if (known !== undefined && known.endsAt > step.now) {
		return extendLoan(step, request, known);
	}

	const amount = findLimitAccount(asked.limitId) === undefined ? lendSlots(step, asked) : lendTokens(step, request, asked);
	if (amount === undefined) {
		return undefined;
	}

	const {loanId, instanceId, termMs} = request;
	step.state.allowances.lent.add({
		loanId,
		peerId: instanceId,
		limitId: asked.limitId,
		rate: amount.rate,
		room: amount.room,
		extendedAt: step.now,
		endsAt: step.now + termMs + computeLoanTailMs(step, asked.limitId),
	});
	updateLimit(step, asked.limitId);
	recordEntry(step, {
		kind: timelineKind.loanGiven, cause: loanId, peerId: instanceId, account: findLimitAccount(asked.limitId), detail: describeAmount(amount),
	});
	return amount;
}

/**
 * Extends a loan, less what is needed here or no longer owned. That part stays
 * subtracted until the old end, because the borrower may not hear of it.
 */
function extendLoan(step: Step, request: BorrowRequest, known: Loan): LoanAmount | undefined {
	const {limitId} = known;
	const kept = computeExtendedShare(step, request, known);
	if (Math.max(kept.rate, kept.room) < smallestLoan || (known.rate > 0 && kept.rate < smallestLoan)) {
		return undefined;
	}

	const {lent} = step.state.allowances;
	const rest = {rate: known.rate - kept.rate, room: known.room - kept.room};
	if (Math.max(rest.rate, rest.room) > 0) {
		lent.add({...known, ...rest, loanId: `${known.loanId}/${step.now}`});
	}

	lent.add({...known, ...kept, endsAt: Math.max(known.endsAt, step.now + request.termMs + computeLoanTailMs(step, limitId))});
	return {limitId, ...kept, tokens: 0};
}

function computeExtendedShare(step: Step, {instanceId}: BorrowRequest, {limitId, rate, room}: Loan): Share {
	const isNeededHere = findLimitAccount(limitId) !== undefined && computeSpareRate(step, limitId, instanceId) + rate < smallestLoan;
	if (isNeededHere) {
		return emptyShare;
	}

	const excess = computeExcessLent(step, limitId);
	return {rate: Math.max(0, rate - excess.rate), room: Math.max(0, room - excess.room)};
}

function lendTokens(step: Step, {instanceId, termMs}: BorrowRequest, asked: LoanAmount): LoanAmount | undefined {
	const account = findLimitAccount(asked.limitId)!;
	const bucket = updateBucket(step, account);
	if (asked.rate > 0) {
		const limit = findLimit(step, asked.limitId)!;
		const largestRoom = Math.min(computeLendableShare(step, asked.limitId).room, bucket.room);
		const rate = Math.min(asked.rate, computeSpareRate(step, asked.limitId, instanceId));
		const room = Math.min(largestRoom, asked.room * rate / asked.rate, rate * limit.room / limit.rate);
		return takeFromBucket(bucket, {...asked, rate}, room, bucket.tokens * room / Math.max(bucket.room, smallestLoan));
	}

	const waiting = step.state.allowances.waitingCounts.get(account) ?? 0;
	const largestRoom = Math.min(computeLendableRoom(step, asked.limitId, termMs), bucket.room);
	const spareTokens = Math.max(0, bucket.tokens - waiting);
	const tokens = Math.min(asked.tokens, spareTokens, largestRoom);
	return takeFromBucket(bucket, {...asked, rate: 0}, tokens, tokens);
}

function takeFromBucket(bucket: {tokens: number}, {limitId, rate}: LoanAmount, room: number, tokens: number): LoanAmount | undefined {
	if (rate < smallestLoan && tokens < smallestLoan) {
		return undefined;
	}

	bucket.tokens -= tokens;
	return {
		limitId, rate, room, tokens,
	};
}

/** Slots are lent whole: a part of a slot serves no request. */
function lendSlots(step: Step, asked: LoanAmount): LoanAmount | undefined {
	const inUse = computeSlotsInUse(step, findLimitTarget(step, asked.limitId)!);
	const room = Math.min(asked.room, computeLendableShare(step, asked.limitId).room - inUse);
	return room < smallestLoan
		? undefined
		: {
			limitId: asked.limitId, rate: 0, room, tokens: 0,
		};
}

/** Computes the rate that is not needed here; the gatherer of a limit may have all of it. */
function computeSpareRate(step: Step, limitId: string, borrowerId: string): number {
	const {rate} = computeLendableShare(step, limitId);
	if (findGatherer(step, limitId) === borrowerId) {
		return rate;
	}

	const demand = computeDemandRate(step.state.allowances.meters.get(findLimitAccount(limitId)!), step.now);
	return rate - (demand * keptDemandMultiple);
}

function describeAmount({rate, room, tokens}: LoanAmount): string {
	return `Rate ${rate.toFixed(3)} a second, room ${room.toFixed(3)}, tokens ${tokens.toFixed(3)}.`;
}
