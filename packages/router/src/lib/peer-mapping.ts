/**
 * Maps messages between routers to and from the generated wire types.
 */
import {create} from '@bufbuild/protobuf';
import type {BorrowRequest, LoanAmount, Summary} from '@sequoiatally/core';
import {
	AbsentInstanceSchema, BorrowRequestSchema, LoanAmountSchema, SummarySchema,
	type BorrowRequest as WireBorrowRequest, type LoanAmount as WireLoanAmount, type Summary as WireSummary,
} from '@sequoiatally/peer';

/** Age on the wire of a document that was never read. */
const unknownAge = -1n;

export function toWireSummary(summary: Summary): WireSummary {
	return create(SummarySchema, {
		...summary,
		tablesVersion: BigInt(summary.tablesVersion),
		listAsOf: BigInt(Math.floor(summary.listAsOf)),
		tablesAgeMs: toWireAge(summary.tablesAgeMs),
		listAgeMs: toWireAge(summary.listAgeMs),
		targets: summary.targets.map(target => ({...target, uptimeMs: BigInt(target.uptimeMs)})),
		spare: [...summary.spare],
		listHash: BigInt(summary.listHash ?? 0),
		absent: (summary.absent ?? []).map(({id, since, absentMs}) => create(AbsentInstanceSchema, {id, since, absentMs: BigInt(absentMs)})),
	});
}

export function fromWireSummary(wire: WireSummary): Summary {
	return {
		protocolVersion: wire.protocolVersion,
		instanceId: wire.instanceId,
		incarnation: wire.incarnation,
		tablesVersion: Number(wire.tablesVersion),
		listAsOf: Number(wire.listAsOf),
		tablesAgeMs: fromWireAge(wire.tablesAgeMs),
		listAgeMs: fromWireAge(wire.listAgeMs),
		draining: wire.draining,
		targets: wire.targets.map(target => ({
			targetId: target.targetId,
			inFlight: target.inFlight,
			bootId: target.bootId,
			uptimeMs: Number(target.uptimeMs),
			evidenceAgeMs: target.evidenceAgeMs,
		})),
		spare: wire.spare.map(({limitId, tokens, rate}) => ({limitId, tokens, rate})),
		listHash: Number(wire.listHash),
		isHistoryComplete: wire.isHistoryComplete,
		absent: wire.absent.map(({id, since, absentMs}) => ({id, since, absentMs: Number(absentMs)})),
	};
}

/**
 * Maps a batch of one or more loan requests from one sender to one peer. Loan
 * identifiers that begin with the sender's incarnation are sent without it.
 */
export function toWireBorrowRequest(requests: readonly BorrowRequest[]): WireBorrowRequest {
	const {instanceId, incarnation} = requests[0]!;
	return create(BorrowRequestSchema, {
		instanceId,
		incarnation,
		requests: requests.map(({loanId, termMs, amounts}) => ({
			loanId: loanId.startsWith(`${incarnation}/`) ? loanId.slice(incarnation.length) : loanId,
			termMs,
			amounts: amounts.map(amount => toWireAmount(amount)),
		})),
	});
}

export function fromWireBorrowRequest({instanceId, incarnation, requests}: WireBorrowRequest): BorrowRequest[] {
	return requests.map(({loanId, termMs, amounts}) => ({
		loanId: loanId.startsWith('/') ? incarnation + loanId : loanId,
		instanceId,
		incarnation,
		termMs,
		amounts: amounts.map(amount => fromWireAmount(amount)),
	}));
}

export function toWireAmount(amount: LoanAmount): WireLoanAmount {
	return create(LoanAmountSchema, amount);
}

export function fromWireAmount({
	limitId, rate, room, tokens,
}: WireLoanAmount): LoanAmount {
	return {
		limitId, rate, room, tokens,
	};
}

function toWireAge(age: number | undefined): bigint {
	return age === undefined ? unknownAge : BigInt(Math.max(0, Math.ceil(age)));
}

function fromWireAge(age: bigint): number | undefined {
	return age < 0n ? undefined : Number(age);
}
