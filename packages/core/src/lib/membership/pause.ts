/**
 * Notices that the process was paused. Whatever it knew may have changed
 * meanwhile, so new work waits until the tables are known to be current again;
 * not for long, since the configuration service may be down.
 */
import type {Step} from '../state.js';

/** Time without any event, ticks included, that counts as a pause, in milliseconds. */
const pauseThresholdMs = 1000;
/** Longest time that new work waits after a pause, in milliseconds. */
const recoveryTimeoutMs = 800;

/** Records the end of a pause; to be called before each event is applied. */
export function recordPause({state, now}: Step): void {
	const {membership} = state;
	if (now - (membership.lastEventAt ?? now) >= pauseThresholdMs) {
		membership.resumedAt = now;
	}

	membership.lastEventAt = now;
}

/** True while what this instance knows may be from before a pause. */
export function isRecovering({state, now}: Step): boolean {
	const {resumedAt} = state.membership;
	return resumedAt !== undefined
		&& now - resumedAt < recoveryTimeoutMs
		&& (state.tables.currentAt ?? 0) < resumedAt;
}
