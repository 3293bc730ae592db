/**
 * Typed errors of the administration API.
 */
export const adminErrorKind = {
	unauthorized: 'unauthorized',
	badInput: 'bad-input',
	notFound: 'not-found',
	notReady: 'not-ready',
	/** The process exits once its requests have finished; the shutdown cannot be undone. */
	shuttingDown: 'shutting-down',
} as const;
export type AdminErrorKind = typeof adminErrorKind[keyof typeof adminErrorKind];

export type AdminError = {
	readonly type: AdminErrorKind;
	/** The cause and the recommended action. */
	readonly message: string;
};

/** HTTP status code of each error. */
export const statusByAdminError = {
	[adminErrorKind.unauthorized]: 401,
	[adminErrorKind.badInput]: 400,
	[adminErrorKind.notFound]: 404,
	[adminErrorKind.notReady]: 503,
	[adminErrorKind.shuttingDown]: 409,
} as const;

export function createAdminError(type: AdminErrorKind, message: string): AdminError {
	return {type, message};
}
