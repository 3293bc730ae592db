/**
 * Borrows share from peers: rate ahead of steady demand, tokens for bursts,
 * slots for targets.
 */
import type {Account} from '../configuration/configuration.js';
import {effectKind} from '../effect.js';
import type {LoanFailed, LoanGranted} from '../event.js';
import {hashText} from '../hash.js';
import {findPeerAddress, listHeardPeers} from '../membership/peers.js';
import {computeOwnedFraction} from '../membership/owned-fraction.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import {updateBucket, updateLimitBucket} from './allowance-state.js';
import {computeDemandRate} from './demand-meter.js';
import {findConsolidator, isCapacityScarce} from './consolidate-shares.js';
import {formatAccountLimitId, findLimit, findLimitAccount} from './limit.js';
import {computeNetShare, findMaxLoanTermMs, type Loan} from './share-ledger.js';
import {
	createShareDemand, recordLenderAnswer, type PendingLoan, type ShareAmount, type ShareDemand,
} from './share-demand.js';

/** Time after which an unanswered request no longer keeps another peer from being asked, in milliseconds. */
const hedgeDelayMs = 30;
/** Time before the end of a loan at which it is extended, in milliseconds. */
const extensionLeadMs = 800;
/** Time between two requests to extend one loan, in milliseconds. */
const extensionIntervalMs = 300;
/** Rate below which more is borrowed, as a multiple of the recent demand. */
const minDemandMultiple = 1;
/** Rate up to which is borrowed then, as a multiple of the recent demand: fewer and larger loans. */
const maxDemandMultiple = 1.25;
/**
 * Room that moves with a rate, as time at that rate, in milliseconds. The rest
 * of the burst stays spread, so that little of it is lost with one instance.
 */
const rateLoanCapacityMs = 500;
/** Smallest part of an account's rate for which a loan of rate is asked. */
const minRateLoanFraction = 0.02;
/**
 * Term of a loan of tokens alone, in milliseconds. They are spent at once, so
 * that the room soon serves its lender again without a message.
 */
const tokenLoanTermMs = 200;
/** Demand for which tokens are asked beyond those that requests wait for, in milliseconds. */
const tokenLookaheadMs = 150;
/** Amounts below this are no share. */
const minAmount = 1e-3;

/**
 * Asks peers for more share of a limit, unless enough is asked for already.
 * An amount with a rate asks for a loan that is extended while demand lasts.
 */
export function requestShare(step: Step, limitId: string, amount: ShareAmount): void {
	const {allowances} = step.state;
	const demands = amount.rate > 0 ? allowances.rateDemands : allowances.capacityDemands;
	const demand = demands.get(limitId) ?? createShareDemand();
	demands.set(limitId, demand);
	demand.amount = amount;
	requestFromNextPeer(step, limitId, demand);
}

/** Keeps rate loans that are needed, and asks for the rate that demand lacks; called at each tick. */
export function borrowRates(step: Step): void {
	const {state, now} = step;
	const {allowances, membership} = state;
	allowances.lent.removeExpired(now);
	allowances.borrowed.removeExpired(now);
	if (membership.isDraining) {
		return;
	}

	for (const account of state.tables.accountByName.values()) {
		borrowRate(step, account);
	}
}

function borrowRate(step: Step, account: Account): void {
	const limitId = formatAccountLimitId(account.name);
	const net = computeNetShare(step, limitId);
	if (findConsolidator(step, limitId) === step.state.self.instanceId) {
		requestExtensions(step, limitId, net.rate, account.rate);
		const fleetFraction = estimateOwnedFleetFraction(step);
		requestRateLoan(step, account, (account.rate * fleetFraction) - net.rate, (account.burst * fleetFraction) - net.capacity);
		return;
	}

	const demandRate = computeDemandRate(step.state.allowances.demandMeters.get(account.name), step.now);
	if (findConsolidator(step, limitId) !== undefined) {
		return;
	}

	requestExtensions(step, limitId, net.rate, demandRate * minDemandMultiple);
	if (net.rate < demandRate * minDemandMultiple) {
		const missing = Math.min(demandRate * maxDemandMultiple, account.rate) - net.rate;
		requestRateLoan(step, account, missing, missing * Math.min(account.burst / account.rate, rateLoanCapacityMs / 1000));
	}
}

/** Estimates the fraction of each limit that all instances own together; asking for more is in vain. */
function estimateOwnedFleetFraction(step: Step): number {
	const instanceCount = step.state.membership.list?.instances.length ?? 0;
	return Math.min(1, computeOwnedFraction(step) * instanceCount);
}

function requestRateLoan(step: Step, account: Account, rate: number, capacity: number): void {
	if (rate > account.rate * minRateLoanFraction) {
		requestShare(step, formatAccountLimitId(account.name), {rate, room: capacity, tokens: 0});
	}
}

/** Takes a loan that a peer granted, if it was asked for and has not ended. */
export function applyLoanGrant(step: Step, event: LoanGranted): void {
	const {allowances} = step.state;
	const pending = allowances.pendingLoans.get(event.loanId);
	allowances.pendingLoans.delete(event.loanId);
	const [amount] = event.amounts;
	if (pending === undefined) {
		return;
	}

	const demand = findShareDemand(step, pending);
	const isSufficient = amount?.limitId === pending.limitId && isAtLeast(amount, pending.amount);
	if (demand !== undefined) {
		recordLenderAnswer(demand, event.peerId, isSufficient, step.now);
	}

	const endsAt = event.askedAt + event.termMs;
	const existing = allowances.borrowed.get(event.loanId);
	const isHeld = existing !== undefined && existing.endsAt > step.now;
	if (amount !== undefined && pending.isExtension && isHeld) {
		applyExtension(step, existing, amount, endsAt);
	} else if (amount !== undefined && !pending.isExtension && endsAt > step.now) {
		addLoan(step, event, pending);
	} else if (amount !== undefined) {
		sendLoanReturn(step, event.peerId, event.loanId);
	}

	if (demand !== undefined && !isSufficient && !pending.isExtension) {
		requestFromNextPeer(step, pending.limitId, demand);
	}
}

/** Takes the failure of a request: what may have been lent is returned, and the next peer asked. */
export function applyLoanFailure(step: Step, {loanId, peerId}: LoanFailed): void {
	const {pendingLoans} = step.state.allowances;
	const pending = pendingLoans.get(loanId);
	pendingLoans.delete(loanId);
	const demand = pending === undefined ? undefined : findShareDemand(step, pending);
	if (pending === undefined || demand === undefined) {
		return;
	}

	recordLenderAnswer(demand, peerId, false, step.now);
	if (!pending.isExtension) {
		sendLoanReturn(step, peerId, loanId);
	}
}

/** Returns the loans of bare room that are not needed to keep `keptRoom`. */
export function returnCapacity(step: Step, limitId: string, keptCapacity: number): void {
	const {borrowed} = step.state.allowances;
	let {capacity} = computeNetShare(step, limitId);
	for (const loan of borrowed.listActive(limitId, step.now)) {
		if (loan.rate === 0 && capacity - loan.capacity >= keptCapacity) {
			capacity -= loan.capacity;
			returnLoan(step, loan);
		}
	}
}

/** Returns the token loans of accounts for which no request waits any more, where their room is scarce. */
export function returnTokenLoans(step: Step): void {
	const {borrowed, queuedCounts} = step.state.allowances;
	for (const loan of borrowed.values()) {
		const hasQueuedRequests = (queuedCounts.get(findLimitAccount(loan.limitId) ?? '') ?? 0) > 0;
		if (loan.rate === 0 && loan.endsAt > step.now && !hasQueuedRequests && isCapacityScarce(step, loan.limitId)) {
			returnLoan(step, loan);
		}
	}
}

function returnLoan(step: Step, loan: Loan): void {
	const {allowances} = step.state;
	allowances.borrowed.remove(loan.loanId);
	allowances.pendingLoans.delete(loan.loanId);
	updateLimitBucket(step, loan.limitId);
	sendLoanReturn(step, loan.peerId, loan.loanId);
}

function sendLoanReturn(step: Step, peerId: string, loanId: string): void {
	const address = findPeerAddress(step, peerId);
	if (address !== undefined) {
		step.effects.push({
			kind: effectKind.giveBack, peerId, address, loanId,
		});
	}
}

/** Keeps a loan for longer; the lender may have extended a part of it only. */
function applyExtension(step: Step, existing: Loan, amount: ShareAmount, endsAt: number): void {
	updateLimitBucket(step, existing.limitId);
	step.state.allowances.borrowed.add({
		...existing,
		rate: Math.min(existing.rate, amount.rate),
		capacity: Math.min(existing.capacity, amount.room),
		endsAt: Math.max(existing.endsAt, endsAt),
	});
	updateLimitBucket(step, existing.limitId);
}

function addLoan(step: Step, event: LoanGranted, pending: PendingLoan): void {
	const [amount] = event.amounts;
	const {limitId, rate, room: capacity, tokens} = amount!;
	updateLimitBucket(step, limitId);
	step.state.allowances.borrowed.add({
		loanId: event.loanId, peerId: event.peerId, limitId, rate, capacity, endsAt: event.askedAt + event.termMs, extensionRequestedAt: step.now,
	});
	const account = findLimitAccount(limitId);
	if (account !== undefined && step.state.tables.accountByName.has(account)) {
		const bucket = updateBucket(step, account);
		bucket.tokens += Math.min(tokens, capacity);
	}

	recordEntry(step, {
		kind: timelineKind.loanTaken, cause: event.loanId, peerId: pending.peerId, account, detail: `Rate ${rate.toFixed(3)} a second, room ${capacity.toFixed(3)}, tokens ${tokens.toFixed(3)}.`,
	});
}

function requestExtensions(step: Step, limitId: string, netRate: number, demandRate: number): void {
	const {borrowed} = step.state.allowances;
	let rate = netRate;
	for (const loan of borrowed.listActive(limitId, step.now)) {
		if (loan.rate === 0) {
			continue;
		}

		if (rate - loan.rate >= demandRate) {
			rate -= loan.rate;
			continue;
		}

		requestExtension(step, loan);
	}
}

/** Asks the lender to extend a loan that ends soon. */
export function requestExtension(step: Step, loan: Loan): void {
	const isDue = loan.endsAt - step.now < extensionLeadMs && step.now - loan.extensionRequestedAt >= extensionIntervalMs;
	if (!isDue) {
		return;
	}

	loan.extensionRequestedAt = step.now;
	const {limitId, rate, capacity} = loan;
	sendLoanRequest(step, {
		loanId: loan.loanId, limitId, peerId: loan.peerId, amount: {rate, room: capacity, tokens: 0}, requestedAt: step.now, isExtension: true,
	});
}

function requestFromNextPeer(step: Step, limitId: string, demand: ShareDemand): void {
	const missing = computeMissingAmount(step, limitId, demand);
	if (missing === undefined || findLimit(step, limitId) === undefined) {
		return;
	}

	const peerId = chooseLender(step, limitId, demand);
	if (peerId === undefined) {
		return;
	}

	const {allowances, self} = step.state;
	const loanId = `${self.incarnation}/${allowances.nextLoanNumber++}`;
	sendLoanRequest(step, {
		loanId, limitId, peerId, amount: missing, requestedAt: step.now, isExtension: false,
	});
}

function sendLoanRequest(step: Step, pending: PendingLoan): void {
	const {self, allowances} = step.state;
	const address = findPeerAddress(step, pending.peerId);
	if (address === undefined) {
		return;
	}

	allowances.pendingLoans.set(pending.loanId, pending);
	step.effects.push({
		kind: effectKind.borrow,
		peerId: pending.peerId,
		address,
		request: {
			loanId: pending.loanId,
			instanceId: self.instanceId,
			incarnation: self.incarnation,
			termMs: computeLoanTermMs(step, pending),
			amounts: [{limitId: pending.limitId, ...pending.amount}],
		},
	});
}

function computeLoanTermMs(step: Step, {limitId, amount}: PendingLoan): number {
	const isTokenLoan = amount.rate === 0 && findLimitAccount(limitId) !== undefined;
	const maxTermMs = findMaxLoanTermMs(step);
	return isTokenLoan ? Math.min(tokenLoanTermMs, maxTermMs) : maxTermMs;
}

/** Asks for the tokens that waiting requests of an account lack, and a few ahead. */
export function requestTokens(step: Step, account: string, queuedCount: number): void {
	const {buckets, demandMeters} = step.state.allowances;
	const isConsolidated = findConsolidator(step, formatAccountLimitId(account)) !== undefined;
	const lookaheadTokens = isConsolidated ? 0 : computeDemandRate(demandMeters.get(account), step.now) * tokenLookaheadMs / 1000;
	const tokens = queuedCount + lookaheadTokens - (buckets.get(account)?.tokens ?? 0);
	requestShare(step, formatAccountLimitId(account), {rate: 0, room: tokens, tokens});
}

/** Computes what is still to be asked for: what is wanted less what fresh requests may bring. */
function computeMissingAmount(step: Step, limitId: string, {amount}: ShareDemand): ShareAmount | undefined {
	let {rate, room: capacity, tokens} = amount;
	for (const pending of step.state.allowances.pendingLoans.values()) {
		const isSameKind = pending.limitId === limitId && (pending.amount.rate > 0) === (amount.rate > 0);
		if (isSameKind && !pending.isExtension && step.now - pending.requestedAt < hedgeDelayMs) {
			rate -= pending.amount.rate;
			capacity -= pending.amount.room;
			tokens -= pending.amount.tokens;
		}
	}

	const missing = {rate: Math.max(0, rate), room: Math.max(0, capacity), tokens: Math.max(0, tokens)};
	return Math.max(missing.rate, missing.room, missing.tokens) < minAmount ? undefined : missing;
}

/** Chooses a peer that did not fall short lately; each instance has its own order of them. */
function chooseLender(step: Step, limitId: string, {lenders}: ShareDemand): string | undefined {
	const {state, now} = step;
	const askedPeerIds = new Set<string>();
	for (const pending of state.allowances.pendingLoans.values()) {
		if (pending.limitId === limitId) {
			askedPeerIds.add(pending.peerId);
		}
	}

	let chosenId: string | undefined;
	let chosenScore = -1;
	const consolidator = findConsolidator(step, limitId);
	for (const peerId of listHeardPeers(step)) {
		const isSkipped = askedPeerIds.has(peerId) || (lenders.get(peerId)?.retryAt ?? 0) > now;
		const score = isSkipped ? -1 : computeLenderScore(limitId, state.self.instanceId, peerId, consolidator);
		if (score > chosenScore) {
			chosenId = peerId;
			chosenScore = score;
		}
	}

	return chosenId;
}

function computeLenderScore(limitId: string, ownId: string, peerId: string, consolidator: string | undefined): number {
	return peerId === consolidator ? Number.POSITIVE_INFINITY : hashText(`${limitId}/${ownId}/${peerId}`);
}

function findShareDemand({state}: Step, pending: PendingLoan): ShareDemand | undefined {
	const {rateDemands, capacityDemands} = state.allowances;
	return (pending.amount.rate > 0 ? rateDemands : capacityDemands).get(pending.limitId);
}

function isAtLeast(granted: ShareAmount, requested: ShareAmount): boolean {
	return requested.rate > 0 ? granted.rate >= requested.rate * 0.9 : granted.tokens >= requested.tokens && granted.room >= requested.room;
}

/** True when a fresh request for a loan of this limit is not answered yet. */
export function isLoanPending({state, now}: Step, limitId: string): boolean {
	for (const pending of state.allowances.pendingLoans.values()) {
		if (pending.limitId === limitId && !pending.isExtension && now - pending.requestedAt < hedgeDelayMs) {
			return true;
		}
	}

	return false;
}
