/**
 * Describes caught values. A caught value can be anything; what reaches a log
 * or the time line is its class and message only.
 */

/** Describes a caught value in one line. */
export function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return `Non-error value of type ${typeof error}`;
	}

	const {code} = error as Error & {code?: unknown};
	return typeof code === 'string' ? `${error.name} ${code}: ${error.message}` : `${error.name}: ${error.message}`;
}
