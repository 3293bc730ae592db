/**
 * Borrows share from peers: rate in advance for steady demand, tokens for
 * bursts, and slots of targets.
 */
import type {Account} from '../configuration/configuration.js';
import {effectKind} from '../effect.js';
import type {LoanFailedEvent, LoanGrantedEvent} from '../event.js';
import {hashText} from '../hash.js';
import {findPeerAddress, listReachablePeers} from '../membership/peers.js';
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

/** Time without an answer after which the same amount is requested from another peer, in milliseconds. */
const hedgeDelayMs = 30;
/** Time before the end of a loan from which its extension is requested, in milliseconds. */
const extensionLeadMs = 800;
/** Shortest time between two requests to extend the same loan, in milliseconds. */
const extensionIntervalMs = 300;
/** Rate below which this instance borrows more, as a multiple of the recent demand. */
const minDemandMultiple = 1;
/** Rate up to which this instance then borrows, as a multiple of the recent demand. The surplus makes loans fewer and larger. */
const maxDemandMultiple = 1.25;
/**
 * Bucket capacity borrowed together with a rate, as time at that rate, in
 * milliseconds. The rest of the burst stays distributed over the instances, so
 * that the failure of one instance loses little of it.
 */
const rateLoanCapacityMs = 500;
/** Smallest loan of rate that is requested, as a fraction of the account's rate. */
const minRateLoanFraction = 0.02;
/**
 * Term of a loan of tokens without a rate, in milliseconds. The tokens are spent
 * at once, and after the short term the lender uses the capacity again without
 * a message.
 */
const tokenLoanTermMs = 200;
/** Time for which the expected demand is requested in tokens, beyond the tokens for queued requests, in milliseconds. */
const tokenLookaheadMs = 150;
/** Amounts below this are not requested. */
const minAmount = 1e-3;

/**
 * Requests more share of a limit from a peer, unless recent unanswered requests
 * already cover the amount. A loan with a rate is extended as long as demand lasts.
 */
export function requestShare(step: Step, limitId: string, amount: ShareAmount): void {
	const {allowances} = step.state;
	const demands = amount.rate > 0 ? allowances.rateDemands : allowances.capacityDemands;
	const demand = demands.get(limitId) ?? createShareDemand();
	demands.set(limitId, demand);
	demand.amount = amount;
	requestFromNextPeer(step, limitId, demand);
}

/**
 * Removes the loans that have ended. Unless this instance is draining, also
 * extends the loans of rate that are needed and requests the rate that is missing
 * for the demand. Called at each tick.
 */
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

/**
 * Borrows rate for one account. The consolidator of a limit borrows all of it that
 * its peers own; other instances borrow no rate of a consolidated limit.
 */
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

/** Estimates the fraction of each limit that all instances together own. Share beyond it is owned by no peer and cannot be borrowed. */
function estimateOwnedFleetFraction(step: Step): number {
	const instanceCount = step.state.membership.list?.instances.length ?? 0;
	return Math.min(1, computeOwnedFraction(step) * instanceCount);
}

function requestRateLoan(step: Step, account: Account, rate: number, capacity: number): void {
	if (rate > account.rate * minRateLoanFraction) {
		requestShare(step, formatAccountLimitId(account.name), {rate, room: capacity, tokens: 0});
	}
}

/**
 * Applies a peer's answer to a loan request. A loan that can no longer be used
 * is returned, and an answer without a pending request is ignored. If a new loan
 * falls short of the request, this instance asks the next peer.
 */
export function applyLoanGrant(step: Step, event: LoanGrantedEvent): void {
	const {allowances} = step.state;
	const pending = allowances.pendingLoans.get(event.loanId);
	allowances.pendingLoans.delete(event.loanId);
	const [amount] = event.amounts;
	if (pending === undefined) {
		return;
	}

	const demand = findShareDemand(step, pending);
	const isSufficient = amount?.limitId === pending.limitId && isSufficientAmount(amount, pending.amount);
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

/**
 * Applies the failure of a loan request. The peer may have granted a new loan, so
 * a return is sent for it; further requests go to other peers for a while.
 */
export function applyLoanFailure(step: Step, {loanId, peerId}: LoanFailedEvent): void {
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

/** Returns the loans without a rate that are not needed to keep a capacity of `keptCapacity`. */
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

/** Returns the token loans of accounts that have scarce capacity and no queued requests. */
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

/** Applies the extension of a loan; the lender may have extended only a part of it. */
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

function addLoan(step: Step, event: LoanGrantedEvent, pending: PendingLoan): void {
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

/** Requests the extension of a loan from its lender if the loan ends soon. */
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

/** Requests the tokens missing for an account's queued requests, and some in advance if its limit is not consolidated. */
export function requestTokens(step: Step, account: string, queuedCount: number): void {
	const {buckets, demandMeters} = step.state.allowances;
	const isConsolidated = findConsolidator(step, formatAccountLimitId(account)) !== undefined;
	const lookaheadTokens = isConsolidated ? 0 : computeDemandRate(demandMeters.get(account), step.now) * tokenLookaheadMs / 1000;
	const tokens = queuedCount + lookaheadTokens - (buckets.get(account)?.tokens ?? 0);
	requestShare(step, formatAccountLimitId(account), {rate: 0, room: tokens, tokens});
}

/** Computes the amount still to be requested: the demand less what recent unanswered requests may yield. Returns `undefined` if it is negligible. */
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

/**
 * Chooses a peer that has no request for this limit pending and is not in
 * backoff. The consolidator comes first; the order of the others differs per
 * instance.
 */
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
	for (const peerId of listReachablePeers(step)) {
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

/** Says whether a loan covers a request; 90 % of a requested rate is enough. */
function isSufficientAmount(granted: ShareAmount, requested: ShareAmount): boolean {
	return requested.rate > 0 ? granted.rate >= requested.rate * 0.9 : granted.tokens >= requested.tokens && granted.room >= requested.room;
}

/** Says whether a recent request for a loan of this limit is unanswered. */
export function isLoanPending({state, now}: Step, limitId: string): boolean {
	for (const pending of state.allowances.pendingLoans.values()) {
		if (pending.limitId === limitId && !pending.isExtension && now - pending.requestedAt < hedgeDelayMs) {
			return true;
		}
	}

	return false;
}
