/**
 * The fraction of every limit that this instance owns.
 */
import type {Step} from '../state.js';

/** Computes the fraction: the limit divided by the most instances that may exist. */
export function computeOwnedFraction(step: Step): number {
	const ceiling = step.state.tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY;
	return 1 / ceiling;
}

/** Computes the fraction that every instance owns of a limit that does not follow the list. */
export function computeCeilingFraction(step: Step): number {
	return 1 / (step.state.tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY);
}
