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
	connectionFailed: 'unreached',
	/** Another process has its address: it has ended, and its registration will follow. */
	replaced: 'replaced',
} as const;
export type Verdict = typeof verdict[keyof typeof verdict];

/** First time for which a target is set aside, in milliseconds; doubles with each repeat. */
const baseEjectionMs = 600;
const maxEjectionMs = 4000;
/** Time for which a target is set aside whose address another process has, in milliseconds: registrations lapse within it. */
const replacedEjectionMs = 5000;
/** Answers lost in a row after which a target is set aside. */
const consecutiveLossLimit = 2;
/** Failures counted from this weight on: fewer say nothing. */
const minSampleWeight = 4;
/** Weight that an earlier answer keeps when a new one is counted. */
const sampleDecay = 0.85;
/** A target is set aside when its failing share is above this, and above a multiple of its pool's. */
const failureRatioThreshold = 0.3;
const poolFailureRatioMultiplier = 1.8;

export type TargetHealth = {
	/** Decayed number of answers, and of failures among them. */
	sampleWeight: number;
	failureWeight: number;
	consecutiveLosses: number;
	ejectionCount: number;
	/** Time until which the target is set aside. */
	ejectedUntil: number;
	/** What the last answer said. */
	lastVerdict: Verdict;
	/** True: it was set aside, and the next answer decides. */
	isOnProbation: boolean;
	/** A single request that tries the target again is out. */
	hasTrialInFlight: boolean;
};

export function createHealth(): TargetHealth {
	return {
		sampleWeight: 0, failureWeight: 0, consecutiveLosses: 0, ejectionCount: 0, ejectedUntil: 0,
		lastVerdict: verdict.good, isOnProbation: false, hasTrialInFlight: false,
	};
}

/** True when the target may get a request now. */
export function isUsable(health: TargetHealth, now: number): boolean {
	return now >= health.ejectedUntil && !(health.isOnProbation && health.hasTrialInFlight);
}

/** True when the target is there, even if it is set aside because requests fail. */
export function isResponding({ejectedUntil, lastVerdict}: TargetHealth, now: number): boolean {
	return now >= ejectedUntil || lastVerdict === verdict.failed;
}

/** Counts an answer; returns true when the target is set aside by it. */
export function recordVerdict(health: TargetHealth, sendVerdict: Verdict, poolFailureRatio: number, now: number): boolean {
	const isFailure = sendVerdict !== verdict.good;
	health.lastVerdict = sendVerdict;
	health.sampleWeight = (health.sampleWeight * sampleDecay) + 1;
	health.failureWeight = (health.failureWeight * sampleDecay) + (isFailure ? 1 : 0);
	health.consecutiveLosses = sendVerdict === verdict.lost || sendVerdict === verdict.connectionFailed ? health.consecutiveLosses + 1 : 0;
	const wasOnProbation = health.isOnProbation;
	health.hasTrialInFlight = false;
	health.isOnProbation = false;
	if (!isFailure) {
		if (health.consecutiveLosses === 0 && computeFailureRatio(health) < failureRatioThreshold / 2) {
			health.ejectionCount = 0;
		}

		return false;
	}

	if (sendVerdict === verdict.replaced) {
		health.ejectedUntil = now + replacedEjectionMs;
		health.isOnProbation = true;
		return true;
	}

	const isOutlier = health.sampleWeight >= minSampleWeight
		&& computeFailureRatio(health) > Math.max(failureRatioThreshold, poolFailureRatio * poolFailureRatioMultiplier);
	if (sendVerdict === verdict.connectionFailed || health.consecutiveLosses >= consecutiveLossLimit || isOutlier
		|| (wasOnProbation && sendVerdict !== verdict.failed)) {
		eject(health, now);
		return true;
	}

	return false;
}

function eject(health: TargetHealth, now: number): void {
	health.ejectedUntil = now + Math.min(maxEjectionMs, baseEjectionMs * (2 ** health.ejectionCount));
	health.ejectionCount++;
	health.isOnProbation = true;
}

export function computeFailureRatio({sampleWeight, failureWeight}: TargetHealth): number {
	return sampleWeight === 0 ? 0 : failureWeight / sampleWeight;
}
