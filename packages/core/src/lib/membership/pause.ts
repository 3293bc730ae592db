/**
 * Detects pauses of the process. The configuration may have changed during a
 * pause, so new work waits until it is known to be current again. The wait is
 * bounded, since the configuration service may be unavailable.
 */
import type {Step} from '../state.js';

/** Time without any event, including ticks, that counts as a pause. */
const pauseThresholdMs = 1000;
/** Longest time for which new work waits after a pause. */
const recoveryTimeoutMs = 800;

/** Records the end of a pause, if there was one; to be called before each event is applied. */
export function recordPause({state, now}: Step): void {
	const {membership} = state;
	if (now - (membership.lastEventAt ?? now) >= pauseThresholdMs) {
		membership.resumedAt = now;
	}

	membership.lastEventAt = now;
}

/** Whether the configuration may date from before the latest pause; `false` once `recoveryTimeoutMs` have passed since the pause. */
export function isRecovering({state, now}: Step): boolean {
	const {resumedAt} = state.membership;
	return resumedAt !== undefined
		&& now - resumedAt < recoveryTimeoutMs
		&& (state.tables.currentAt ?? 0) < resumedAt;
}
