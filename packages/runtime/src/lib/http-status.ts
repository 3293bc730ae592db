/**
 * Statuses of HTTP. Parsers also accept numbers that HTTP does not allow.
 */

const minFinalStatus = 200;
const maxFinalStatus = 599;

/** True if HTTP allows the status for a final response. */
export function isFinalStatus(status: number): boolean {
	return status >= minFinalStatus && status <= maxFinalStatus;
}
