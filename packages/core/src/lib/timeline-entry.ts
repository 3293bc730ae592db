/**
 * Timeline entries: typed records of a process's decisions. The writer adds the
 * instance, the incarnation and the times of the wall clock and the monotonic clock.
 */

export const timelineKind = {
	processStarted: 'process-started',
	processStopped: 'process-stopped',
	/** Written by callers, which receive the request's identifier with the answer. */
	callerSent: 'caller-sent',
	callerAnswered: 'caller-answered',
	/** Written by targets. */
	targetReceived: 'target-received',
	targetAnswered: 'target-answered',
	requestReceived: 'request-received',
	requestWaits: 'request-waits',
	requestDispatched: 'request-dispatched',
	attemptEnded: 'attempt-ended',
	requestForwarded: 'request-forwarded',
	ticketReplayed: 'ticket-replayed',
	requestCompleted: 'request-completed',
	requestRefused: 'request-refused',
	callerLeft: 'caller-left',
	configurationApplied: 'configuration-applied',
	configurationRejected: 'configuration-rejected',
	membershipChanged: 'membership-changed',
	shareChanged: 'share-changed',
	loanTaken: 'loan-taken',
	loanGiven: 'loan-given',
	targetCold: 'target-cold',
	targetWarm: 'target-warm',
	drainStarted: 'drain-started',
	drainEnded: 'drain-ended',
	alarmRaised: 'alarm-raised',
	alarmCleared: 'alarm-cleared',
	faultInjected: 'fault-injected',
	administratorActed: 'administrator-acted',
} as const;
export type TimelineKind = typeof timelineKind[keyof typeof timelineKind];

export type TimelineEntry = {
	readonly kind: TimelineKind;
	/** Correlates related entries of all processes, such as a request identifier. */
	readonly cause: string;
	readonly requestId?: string;
	readonly chatKey?: string;
	readonly account?: string;
	/** Name of the request's route. */
	readonly route?: string;
	readonly targetId?: string;
	readonly peerId?: string;
	/** One sentence for the operator; never contains a key or caller data. */
	readonly detail?: string;
};
