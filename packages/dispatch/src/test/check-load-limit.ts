/**
 * Checks the platform's load limit for the requests that reached the engines of a simulated fleet.
 */
import assert from 'node:assert/strict';
import type {Arrival} from './simulated-fleet.js';

/** Load limit of the platform: a multiple of the pool's mean load, plus a fixed number of requests. */
const loadLimit = {multiple: 2, floor: 3};
/** Requests in a window that may reach a target above the limit: fewer than `count`, or at most this share of them. */
const allowedExcess = {share: 0.03, count: 20};
/** Length of a window, and time between the starts of two windows, in milliseconds. */
export const windowMs = 5000;
const windowStepMs = 500;

/** Fails if too many requests of a window that starts `fromMs` after the first arrival, or later, reached targets above the limit. */
export function checkLoadLimit(arrivals: readonly Arrival[], fromMs: number): void {
	const startedAt = arrivals[0]!.at;
	for (let from = startedAt + fromMs; from + windowMs <= arrivals.at(-1)!.at; from += windowStepMs) {
		const inWindow = arrivals.filter(({at}) => at >= from && at < from + windowMs);
		const over = inWindow.filter(({load, meanLoad}) => load > (loadLimit.multiple * meanLoad) + loadLimit.floor).length;
		assert.ok(over < allowedExcess.count || over <= inWindow.length * allowedExcess.share, `${over} of ${inWindow.length} requests above the limit from ${from - startedAt} ms`);
	}
}
