/**
 * The order in which requests that wait in an instance are sent when targets can receive
 * some of them. Load: requests of different urgency wait for the same targets, which take
 * fewer than arrive; in order of arrival, urgent requests would miss their latency targets
 * while others with seconds to spare are sent.
 *
 * More urgent requests precede less urgent ones. Equally urgent ones are ordered by the
 * latest time at which a start is still useful, then by arrival. A request becomes more
 * urgent as its time limit runs out, so that the least urgent ones are sent too. The size
 * of the prompt has no influence.
 */
import type {OpenRequest} from '../state.js';
import type {RouteDurations} from './route-durations.js';

/** Rank of requests without a stated one: the one that engines assume. */
const defaultRank = 5;
/** Least urgent rank that engines distinguish. */
const lowestRank = 9;
/**
 * Part of its time limit after which a waiting request moves up by one rank, again and again: even
 * the least urgent request reaches the most urgent rank while a tenth of its time is left.
 */
const agingFraction = 0.1;

export type WaitingRequest = Pick<OpenRequest, 'rank' | 'arrivedAt' | 'deadlineAt' | 'hasResponseStarted' | 'route'>;

/** How long requests of each route take from their send: to the start of their response, and to its end. */
export type SendDurations = {readonly toStart: RouteDurations; readonly toEnd: RouteDurations};

type Position = {readonly rank: number; readonly latestStart: number; readonly arrivedAt: number};

/** Lists the requests in the order in which they are sent. */
export function listInWaitingOrder<T extends WaitingRequest>(requests: Iterable<T>, durations: SendDurations, now: number): T[] {
	const entries = Array.from(requests, request => ({request, position: computePosition(request, durations, now)}));
	return entries.sort((a, b) => comparePositions(a.position, b.position)).map(({request}) => request);
}

function computePosition(request: WaitingRequest, durations: SendDurations, now: number): Position {
	return {rank: computeAgedRank(request, now), latestStart: estimateLatestStart(request, durations, now), arrivedAt: request.arrivedAt};
}

function comparePositions(a: Position, b: Position): number {
	return a.rank - b.rank || a.latestStart - b.latestStart || a.arrivedAt - b.arrivedAt;
}

/** Computes the rank of a waiting request, which falls towards 0 as its time limit runs out. */
export function computeAgedRank({rank = defaultRank, arrivedAt, deadlineAt}: WaitingRequest, now: number): number {
	const waitedFraction = (now - arrivedAt) / Math.max(1, deadlineAt - arrivedAt);
	return Math.max(0, Math.min(rank, lowestRank) - Math.floor(waitedFraction / agingFraction));
}

/**
 * Estimates the latest time at which the request can start usefully: to meet its latency target
 * or, if it is too late for that, its deadline. A stream that has begun is interrupted while it waits.
 */
export function estimateLatestStart({
	route, arrivedAt, deadlineAt, hasResponseStarted,
}: WaitingRequest, {toStart, toEnd}: SendDurations, now: number): number {
	if (hasResponseStarted) {
		return now;
	}

	const startForTarget = arrivedAt + route.latencyTargetMs - (toStart.computeMeanMs(route.name, now) ?? 0);
	return startForTarget >= now ? startForTarget : deadlineAt - (toEnd.computeMeanMs(route.name, now) ?? 0);
}
