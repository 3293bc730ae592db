/**
 * Borrows share from peers: rate ahead of steady demand, tokens for bursts,
 * slots for targets.
 */
import type {Account} from '../configuration/configuration.js';
import {effectKind} from '../effect.js';
import type {LoanFailed, LoanGranted} from '../event.js';
import {hashText} from '../hash.js';
import {findPeerAddress, listReachablePeers} from '../membership/peers.js';
import {computeOwnedFraction} from '../membership/owned-fraction.js';
import {recordEntry, type Step} from '../state.js';
import {timelineKind} from '../timeline-entry.js';
import {updateBucket, updateLimit} from './allowance-state.js';
import {computeDemandRate} from './demand-meter.js';
import {findGatherer, isRoomScarce} from './gather.js';
import {describeAccountLimitId, findLimit, findLimitAccount} from './limit.js';
import {computeNetShare, findLoanTermMs, type Loan} from './share-ledger.js';
import {
	createShareWant, recordAnswer, type LoanAsk, type ShareAmount, type ShareWant,
} from './share-want.js';

/** Time after which an unanswered request no longer keeps another peer from being asked, in milliseconds. */
const hedgeAfterMs = 30;
/** Time before the end of a loan at which it is extended, in milliseconds. */
const extendBeforeMs = 800;
/** Time between two requests to extend one loan, in milliseconds. */
const extendAgainMs = 300;
/** Rate below which more is borrowed, as a multiple of the recent demand. */
const neededDemandMultiple = 1;
/** Rate up to which is borrowed then, as a multiple of the recent demand: fewer and larger loans. */
const wantedDemandMultiple = 1.25;
/**
 * Room that moves with a rate, as time at that rate, in milliseconds. The rest
 * of the burst stays spread, so that little of it is lost with one instance.
 */
const roomOfRateMs = 500;
/** Smallest part of an account's rate for which a loan of rate is asked. */
const smallestRatePart = 0.02;
/**
 * Term of a loan of tokens alone, in milliseconds. They are spent at once, so
 * that the room soon serves its lender again without a message.
 */
const tokenTermMs = 200;
/** Demand for which tokens are asked beyond those that requests wait for, in milliseconds. */
const tokensAheadMs = 150;
/** Amounts below this are no share. */
const smallestAmount = 1e-3;

/**
 * Asks peers for more share of a limit, unless enough is asked for already.
 * An amount with a rate asks for a loan that is extended while demand lasts.
 */
export function requestShare(step: Step, limitId: string, amount: ShareAmount): void {
	const {allowances} = step.state;
	const wants = amount.rate > 0 ? allowances.rateWants : allowances.roomWants;
	const want = wants.get(limitId) ?? createShareWant();
	wants.set(limitId, want);
	want.amount = amount;
	askNextPeer(step, limitId, want);
}

/** Keeps rate loans that are needed, and asks for the rate that demand lacks; called at each tick. */
export function borrowRates(step: Step): void {
	const {state, now} = step;
	const {allowances, membership} = state;
	allowances.lent.removeEnded(now);
	allowances.borrowed.removeEnded(now);
	if (membership.isDraining) {
		return;
	}

	for (const account of state.tables.accountByName.values()) {
		borrowRate(step, account);
	}
}

function borrowRate(step: Step, account: Account): void {
	const limitId = describeAccountLimitId(account.name);
	const net = computeNetShare(step, limitId);
	if (findGatherer(step, limitId) === step.state.self.instanceId) {
		extendLoans(step, limitId, net.rate, account.rate);
		const part = computeFleetFraction(step);
		requestRate(step, account, (account.rate * part) - net.rate, (account.burst * part) - net.room);
		return;
	}

	const demand = computeDemandRate(step.state.allowances.meters.get(account.name), step.now);
	if (findGatherer(step, limitId) !== undefined) {
		return;
	}

	extendLoans(step, limitId, net.rate, demand * neededDemandMultiple);
	if (net.rate < demand * neededDemandMultiple) {
		const missing = Math.min(demand * wantedDemandMultiple, account.rate) - net.rate;
		requestRate(step, account, missing, missing * Math.min(account.burst / account.rate, roomOfRateMs / 1000));
	}
}

/** Estimates the fraction of each limit that all instances own together; asking for more is in vain. */
function computeFleetFraction(step: Step): number {
	const instanceCount = step.state.membership.list?.instances.length ?? 0;
	return Math.min(1, computeOwnedFraction(step) * instanceCount);
}

function requestRate(step: Step, account: Account, rate: number, room: number): void {
	if (rate > account.rate * smallestRatePart) {
		requestShare(step, describeAccountLimitId(account.name), {rate, room, tokens: 0});
	}
}

/** Takes a loan that a peer granted, if it was asked for and has not ended. */
export function applyLoan(step: Step, event: LoanGranted): void {
	const {allowances} = step.state;
	const ask = allowances.asks.get(event.loanId);
	allowances.asks.delete(event.loanId);
	const [amount] = event.amounts;
	if (ask === undefined) {
		return;
	}

	const want = findWant(step, ask);
	const isEnough = amount?.limitId === ask.limitId && isAtLeast(amount, ask.amount);
	if (want !== undefined) {
		recordAnswer(want, event.peerId, isEnough, step.now);
	}

	const endsAt = event.askedAt + event.termMs;
	const held = allowances.borrowed.get(event.loanId);
	const isHeld = held !== undefined && held.endsAt > step.now;
	if (amount !== undefined && ask.isExtension && isHeld) {
		keepLoan(step, held, amount, endsAt);
	} else if (amount !== undefined && !ask.isExtension && endsAt > step.now) {
		addLoan(step, event, ask);
	} else if (amount !== undefined) {
		returnLoan(step, event.peerId, event.loanId);
	}

	if (want !== undefined && !isEnough && !ask.isExtension) {
		askNextPeer(step, ask.limitId, want);
	}
}

/** Takes the failure of a request: what may have been lent is returned, and the next peer asked. */
export function applyLoanFailure(step: Step, {loanId, peerId}: LoanFailed): void {
	const {asks} = step.state.allowances;
	const ask = asks.get(loanId);
	asks.delete(loanId);
	const want = ask === undefined ? undefined : findWant(step, ask);
	if (ask === undefined || want === undefined) {
		return;
	}

	recordAnswer(want, peerId, false, step.now);
	if (!ask.isExtension) {
		returnLoan(step, peerId, loanId);
	}
}

/** Returns the loans of bare room that are not needed to keep `keptRoom`. */
export function giveBackRoom(step: Step, limitId: string, keptRoom: number): void {
	const {borrowed} = step.state.allowances;
	let {room} = computeNetShare(step, limitId);
	for (const loan of borrowed.listOpen(limitId, step.now)) {
		if (loan.rate === 0 && room - loan.room >= keptRoom) {
			room -= loan.room;
			giveBackLoan(step, loan);
		}
	}
}

/** Returns the token loans of accounts for which no request waits any more, where their room is scarce. */
export function giveBackTokens(step: Step): void {
	const {borrowed, waitingCounts} = step.state.allowances;
	for (const loan of borrowed.values()) {
		const isWaitedFor = (waitingCounts.get(findLimitAccount(loan.limitId) ?? '') ?? 0) > 0;
		if (loan.rate === 0 && loan.endsAt > step.now && !isWaitedFor && isRoomScarce(step, loan.limitId)) {
			giveBackLoan(step, loan);
		}
	}
}

function giveBackLoan(step: Step, loan: Loan): void {
	const {allowances} = step.state;
	allowances.borrowed.remove(loan.loanId);
	allowances.asks.delete(loan.loanId);
	updateLimit(step, loan.limitId);
	returnLoan(step, loan.peerId, loan.loanId);
}

function returnLoan(step: Step, peerId: string, loanId: string): void {
	const address = findPeerAddress(step, peerId);
	if (address !== undefined) {
		step.effects.push({
			kind: effectKind.giveBack, peerId, address, loanId,
		});
	}
}

/** Keeps a loan for longer; the lender may have extended a part of it only. */
function keepLoan(step: Step, held: Loan, amount: ShareAmount, endsAt: number): void {
	updateLimit(step, held.limitId);
	step.state.allowances.borrowed.add({
		...held,
		rate: Math.min(held.rate, amount.rate),
		room: Math.min(held.room, amount.room),
		endsAt: Math.max(held.endsAt, endsAt),
	});
	updateLimit(step, held.limitId);
}

function addLoan(step: Step, event: LoanGranted, ask: LoanAsk): void {
	const [amount] = event.amounts;
	const {limitId, rate, room, tokens} = amount!;
	updateLimit(step, limitId);
	step.state.allowances.borrowed.add({
		loanId: event.loanId, peerId: event.peerId, limitId, rate, room, endsAt: event.askedAt + event.termMs, extendedAt: step.now,
	});
	const account = findLimitAccount(limitId);
	if (account !== undefined && step.state.tables.accountByName.has(account)) {
		const bucket = updateBucket(step, account);
		bucket.tokens += Math.min(tokens, room);
	}

	recordEntry(step, {
		kind: timelineKind.loanTaken, cause: event.loanId, peerId: ask.peerId, account, detail: `Rate ${rate.toFixed(3)} a second, room ${room.toFixed(3)}, tokens ${tokens.toFixed(3)}.`,
	});
}

function extendLoans(step: Step, limitId: string, netRate: number, demand: number): void {
	const {borrowed} = step.state.allowances;
	let rate = netRate;
	for (const loan of borrowed.listOpen(limitId, step.now)) {
		if (loan.rate === 0) {
			continue;
		}

		if (rate - loan.rate >= demand) {
			rate -= loan.rate;
			continue;
		}

		extendLoan(step, loan);
	}
}

/** Asks the lender to extend a loan that ends soon. */
export function extendLoan(step: Step, loan: Loan): void {
	const isDue = loan.endsAt - step.now < extendBeforeMs && step.now - loan.extendedAt >= extendAgainMs;
	if (!isDue) {
		return;
	}

	loan.extendedAt = step.now;
	const {limitId, rate, room} = loan;
	sendAsk(step, {
		loanId: loan.loanId, limitId, peerId: loan.peerId, amount: {rate, room, tokens: 0}, askedAt: step.now, isExtension: true,
	});
}

function askNextPeer(step: Step, limitId: string, want: ShareWant): void {
	const missing = computeMissing(step, limitId, want);
	if (missing === undefined || findLimit(step, limitId) === undefined) {
		return;
	}

	const peerId = chooseLender(step, limitId, want);
	if (peerId === undefined) {
		return;
	}

	const {allowances, self} = step.state;
	const loanId = `${self.incarnation}/${allowances.nextLoanNumber++}`;
	sendAsk(step, {
		loanId, limitId, peerId, amount: missing, askedAt: step.now, isExtension: false,
	});
}

function sendAsk(step: Step, ask: LoanAsk): void {
	const {self, allowances} = step.state;
	const address = findPeerAddress(step, ask.peerId);
	if (address === undefined) {
		return;
	}

	allowances.asks.set(ask.loanId, ask);
	step.effects.push({
		kind: effectKind.borrow,
		peerId: ask.peerId,
		address,
		request: {
			loanId: ask.loanId,
			instanceId: self.instanceId,
			incarnation: self.incarnation,
			termMs: computeTermMs(step, ask),
			amounts: [{limitId: ask.limitId, ...ask.amount}],
		},
	});
}

function computeTermMs(step: Step, {limitId, amount}: LoanAsk): number {
	const isTokens = amount.rate === 0 && findLimitAccount(limitId) !== undefined;
	const longestMs = findLoanTermMs(step);
	return isTokens ? Math.min(tokenTermMs, longestMs) : longestMs;
}

/** Asks for the tokens that waiting requests of an account lack, and a few ahead. */
export function requestTokens(step: Step, account: string, waitingCount: number): void {
	const {buckets, meters} = step.state.allowances;
	const isGathered = findGatherer(step, describeAccountLimitId(account)) !== undefined;
	const ahead = isGathered ? 0 : computeDemandRate(meters.get(account), step.now) * tokensAheadMs / 1000;
	const tokens = waitingCount + ahead - (buckets.get(account)?.tokens ?? 0);
	requestShare(step, describeAccountLimitId(account), {rate: 0, room: tokens, tokens});
}

/** Computes what is still to be asked for: what is wanted less what fresh requests may bring. */
function computeMissing(step: Step, limitId: string, {amount}: ShareWant): ShareAmount | undefined {
	let {rate, room, tokens} = amount;
	for (const ask of step.state.allowances.asks.values()) {
		const isSameKind = ask.limitId === limitId && (ask.amount.rate > 0) === (amount.rate > 0);
		if (isSameKind && !ask.isExtension && step.now - ask.askedAt < hedgeAfterMs) {
			rate -= ask.amount.rate;
			room -= ask.amount.room;
			tokens -= ask.amount.tokens;
		}
	}

	const missing = {rate: Math.max(0, rate), room: Math.max(0, room), tokens: Math.max(0, tokens)};
	return Math.max(missing.rate, missing.room, missing.tokens) < smallestAmount ? undefined : missing;
}

/** Chooses a peer that did not fall short lately; each instance has its own order of them. */
function chooseLender(step: Step, limitId: string, {lenders}: ShareWant): string | undefined {
	const {state, now} = step;
	const asked = new Set<string>();
	for (const ask of state.allowances.asks.values()) {
		if (ask.limitId === limitId) {
			asked.add(ask.peerId);
		}
	}

	let best: string | undefined;
	let bestScore = -1;
	const gatherer = findGatherer(step, limitId);
	for (const peerId of listReachablePeers(step)) {
		const isSkipped = asked.has(peerId) || (lenders.get(peerId)?.skipUntil ?? 0) > now;
		const score = isSkipped ? -1 : computeLenderScore(limitId, state.self.instanceId, peerId, gatherer);
		if (score > bestScore) {
			best = peerId;
			bestScore = score;
		}
	}

	return best;
}

function computeLenderScore(limitId: string, ownId: string, peerId: string, gatherer: string | undefined): number {
	return peerId === gatherer ? Number.POSITIVE_INFINITY : hashText(`${limitId}/${ownId}/${peerId}`);
}

function findWant({state}: Step, ask: LoanAsk): ShareWant | undefined {
	const {rateWants, roomWants} = state.allowances;
	return (ask.amount.rate > 0 ? rateWants : roomWants).get(ask.limitId);
}

function isAtLeast(given: ShareAmount, asked: ShareAmount): boolean {
	return asked.rate > 0 ? given.rate >= asked.rate * 0.9 : given.tokens >= asked.tokens && given.room >= asked.room;
}

/** True when a fresh request for a loan of this limit is not answered yet. */
export function isLoanExpected({state, now}: Step, limitId: string): boolean {
	for (const ask of state.allowances.asks.values()) {
		if (ask.limitId === limitId && !ask.isExtension && now - ask.askedAt < hedgeAfterMs) {
			return true;
		}
	}

	return false;
}
