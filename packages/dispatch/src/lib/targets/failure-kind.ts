/**
 * Kinds of failures of targets that instances report to each other.
 */

export const failureKind = {
	/** The target responded with an error. */
	errorResponse: 'error-response',
	/** No process listens on the target's address, or another one. */
	noProcess: 'no-process',
} as const;
export type FailureKind = typeof failureKind[keyof typeof failureKind];
