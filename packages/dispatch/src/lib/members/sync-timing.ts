/**
 * How often instances synchronize the directory. All times follow from the time
 * within which a deployment requires each change of the platform to be in force, so
 * that a deployment with a longer time needs fewer calls.
 */

export type SyncTiming = {
	/** Pause of a watcher after a watch that returned changes, in milliseconds: targets write often, and the pause saves calls. */
	readonly watchPauseMs: number;
	/** Time between two calls of a follower to a watcher, in milliseconds. */
	readonly followerCallIntervalMs: number;
	/** Age of the directory above which more instances than usual read the platform, in milliseconds: it may refuse the regular watchers. */
	readonly extraWatchersAgeMs: number;
	/** Age of the directory above which an instance reads the platform itself, in milliseconds. */
	readonly fallbackWatchAgeMs: number;
	/** Age of the directory above which a missing route or key is no longer certain, in milliseconds. */
	readonly authoritativeAgeMs: number;
	/** Time without updates, from the platform or from peers that read it, after which registrations may have lapsed, in milliseconds. */
	readonly lapseSilenceMs: number;
};

/** Lower bounds, in milliseconds: the directory of an instance that reads a quiet platform is confirmed once a second. */
const minAuthoritativeAgeMs = 1500;
const minLapseSilenceMs = 2000;

/** Computes the times for a deployment that requires changes to be in force within `limitMs` milliseconds. */
export function computeSyncTiming(limitMs: number): SyncTiming {
	return {
		watchPauseMs: limitMs * 0.15,
		followerCallIntervalMs: limitMs * 0.22,
		extraWatchersAgeMs: limitMs * 0.65,
		// A read and one repetition on a new connection still fit into the rest.
		fallbackWatchAgeMs: limitMs * 0.85,
		authoritativeAgeMs: Math.max(minAuthoritativeAgeMs, limitMs * 0.5),
		lapseSilenceMs: Math.max(minLapseSilenceMs, limitMs * 0.7),
	};
}
