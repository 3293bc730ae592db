/**
 * The rank of a request: how urgent it is in comparison with others that wait for the same
 * targets. 0 is the most urgent. Engines under contention serve requests by rank, so that
 * the urgent ones meet their latency targets while the others wait.
 */
import type {ResolvedRequest} from './resolve-request.js';

/** Finds the rank of a request: that of its client account, otherwise that of its route; `undefined` if the tables state neither. */
export function findRank({route, account}: ResolvedRequest): number | undefined {
	return account?.rank ?? route.rank;
}
