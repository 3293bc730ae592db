/**
 * Judges a target by its answers, not by probes: a probe costs, and health
 * answers may lie. A target that does worse than its pool is set aside for a
 * while and then tried again with single requests.
 */

export const verdict = {
	/** A whole answer, of whatever status the request deserved. */
	good: 'good',
	/** An answer that says that the target failed. */
	failed: 'failed',
	/** No answer, or one that cannot be used. */
	lost: 'lost',
	/** No connection could be made. */
	unreached: 'unreached',
	/** Another process has its address: it has ended, and its registration will follow. */
	replaced: 'replaced',
} as const;
export type Verdict = typeof verdict[keyof typeof verdict];

/** First time for which a target is set aside, in milliseconds; doubles with each repeat. */
const firstPauseMs = 600;
const longestPauseMs = 4000;
/** Time for which a target is set aside whose address another process has, in milliseconds: registrations lapse within it. */
const replacedPauseMs = 5000;
/** Answers lost in a row after which a target is set aside. */
const lostInRow = 2;
/** Failures counted from this weight on: fewer say nothing. */
const enoughWeight = 4;
/** Weight that an earlier answer keeps when a new one is counted. */
const decay = 0.85;
/** A target is set aside when its failing share is above this, and above a multiple of its pool's. */
const failingShare = 0.3;
const poolMultiple = 1.8;

export type TargetHealth = {
	/** Decayed number of answers, and of failures among them. */
	weight: number;
	failures: number;
	lostRow: number;
	pauses: number;
	/** Time until which the target is set aside. */
	asideUntil: number;
	/** What the last answer said. */
	last: Verdict;
	/** True: it was set aside, and the next answer decides. */
	isOnTrial: boolean;
	/** A single request that tries the target again is out. */
	hasTrial: boolean;
};

export function createHealth(): TargetHealth {
	return {
		weight: 0, failures: 0, lostRow: 0, pauses: 0, asideUntil: 0, last: verdict.good, isOnTrial: false, hasTrial: false,
	};
}

/** True when the target may get a request now. */
export function isUsable(health: TargetHealth, now: number): boolean {
	return now >= health.asideUntil && !(health.isOnTrial && health.hasTrial);
}

/** True when the target is there, even if it is set aside because requests fail. */
export function isAnswering({asideUntil, last}: TargetHealth, now: number): boolean {
	return now >= asideUntil || last === verdict.failed;
}

/** Counts an answer; returns true when the target is set aside by it. */
export function recordVerdict(health: TargetHealth, found: Verdict, poolShare: number, now: number): boolean {
	const isBad = found !== verdict.good;
	health.last = found;
	health.weight = (health.weight * decay) + 1;
	health.failures = (health.failures * decay) + (isBad ? 1 : 0);
	health.lostRow = found === verdict.lost || found === verdict.unreached ? health.lostRow + 1 : 0;
	const wasOnTrial = health.isOnTrial;
	health.hasTrial = false;
	health.isOnTrial = false;
	if (!isBad) {
		if (health.lostRow === 0 && computeFailingShare(health) < failingShare / 2) {
			health.pauses = 0;
		}

		return false;
	}

	if (found === verdict.replaced) {
		health.asideUntil = now + replacedPauseMs;
		health.isOnTrial = true;
		return true;
	}

	const isFailingMore = health.weight >= enoughWeight
		&& computeFailingShare(health) > Math.max(failingShare, poolShare * poolMultiple);
	if (found === verdict.unreached || health.lostRow >= lostInRow || isFailingMore || (wasOnTrial && found !== verdict.failed)) {
		setAside(health, now);
		return true;
	}

	return false;
}

function setAside(health: TargetHealth, now: number): void {
	health.asideUntil = now + Math.min(longestPauseMs, firstPauseMs * (2 ** health.pauses));
	health.pauses++;
	health.isOnTrial = true;
}

export function computeFailingShare({weight, failures}: TargetHealth): number {
	return weight === 0 ? 0 : failures / weight;
}
