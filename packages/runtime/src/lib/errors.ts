/**
 * Describes caught values, which may be of any type. Only the class, code and
 * message of an error are written to logs and timelines.
 */

/** Describes an error by its class, code and message, and any other value by its type. */
export function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return `Non-error value of type ${typeof error}`;
	}

	const {code} = error as Error & {code?: unknown};
	return typeof code === 'string' ? `${error.name} ${code}: ${error.message}` : `${error.name}: ${error.message}`;
}
