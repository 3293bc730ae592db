/**
 * Determines the health of a target from its responses instead of probes: probes
 * cost capacity, and health endpoints can report wrong results. A target that
 * cannot be reached, loses responses in a row or fails more than its pool is
 * ejected for a time and then tried again with a single request.
 */

export const verdict = {
	/** A complete response, including an error status that the request itself caused. */
	good: 'good',
	/** A response that reports a failure of the target. */
	failed: 'failed',
	/** No response, or one that cannot be used. */
	lost: 'lost',
	/** No connection could be made. */
	connectionFailed: 'unreached',
	/** Another process has the target's address: the target has ended, and its registration will lapse. */
	replaced: 'replaced',
} as const;
export type Verdict = typeof verdict[keyof typeof verdict];

/** Duration of the first ejection, in milliseconds; doubles with each further ejection. */
const baseEjectionMs = 600;
const maxEjectionMs = 4000;
/** Duration of the ejection of a target whose address another process has, in milliseconds; its registration lapses within this time. */
const replacedEjectionMs = 5000;
/** Time after an ejection for which a target waits for a request that can be repeated, in milliseconds. */
const trialDurationMs = 3000;
/** Number of consecutive lost responses after which a target is ejected. */
const consecutiveLossLimit = 2;
/** Smallest weight of verdicts from which the failure ratio is evaluated; fewer verdicts are not significant. */
const minSampleWeight = 4;
/** Factor by which the weight of earlier verdicts decreases with each new verdict. */
const sampleDecay = 0.85;
/** A target is ejected when its failure ratio exceeds this threshold and a multiple of its pool's failure ratio. */
const failureRatioThreshold = 0.3;
const poolFailureRatioMultiplier = 1.8;

export type TargetHealth = {
	/** Decayed number of verdicts, and of failures among these. */
	sampleWeight: number;
	failureWeight: number;
	consecutiveLosses: number;
	ejectionCount: number;
	/** Time until which the target is ejected. */
	ejectedUntil: number;
	/** Verdict of the last send. */
	lastVerdict: Verdict;
	/** True after an ejection, until the verdict of the next send. */
	isOnProbation: boolean;
	/** True while the single request that tries the target again is in flight. */
	hasTrialInFlight: boolean;
};

export function createHealth(): TargetHealth {
	return {
		sampleWeight: 0, failureWeight: 0, consecutiveLosses: 0, ejectionCount: 0, ejectedUntil: 0,
		lastVerdict: verdict.good, isOnProbation: false, hasTrialInFlight: false,
	};
}

/** True when the target may receive a request now. */
export function isUsable(health: TargetHealth, now: number): boolean {
	return now >= health.ejectedUntil && !(health.isOnProbation && health.hasTrialInFlight);
}

/** True when a request that can be repeated should be the first after an ejection. */
export function isAwaitingTrial({isOnProbation, ejectedUntil}: TargetHealth, now: number): boolean {
	return isOnProbation && now < ejectedUntil + trialDurationMs;
}

/** True when the target is expected to respond, even if it is ejected because of error responses. */
export function isResponding({ejectedUntil, lastVerdict}: TargetHealth, now: number): boolean {
	return now >= ejectedUntil || lastVerdict === verdict.failed;
}

/** Records the verdict of a send; returns true when it ejects the target. */
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

/** Ejects the target for a time that doubles with each further ejection. */
export function eject(health: TargetHealth, now: number): void {
	health.ejectedUntil = now + Math.min(maxEjectionMs, baseEjectionMs * (2 ** health.ejectionCount));
	health.ejectionCount++;
	health.isOnProbation = true;
}

export function computeFailureRatio({sampleWeight, failureWeight}: TargetHealth): number {
	return sampleWeight === 0 ? 0 : failureWeight / sampleWeight;
}
