/**
 * Positions in the platform's history. The platform gives out revisions again after it
 * was restored from a copy, so a revision has an order within its epoch only.
 */

export type DirectoryPosition = {
	/** Number of the history; rises with each restore of the platform. */
	readonly epoch: number;
	/** Number of the last change in that history. */
	readonly revision: number;
};

export function isEarlier(a: DirectoryPosition, b: DirectoryPosition): boolean {
	return a.epoch < b.epoch || (a.epoch === b.epoch && a.revision < b.revision);
}

export function isSamePosition(a: DirectoryPosition, b: DirectoryPosition): boolean {
	return a.epoch === b.epoch && a.revision === b.revision;
}
