/**
 * Effects: every output of the reducer, as data.
 */
import type {DirectoryPosition} from './directory/directory-position.js';
import type {PeerMessage} from './members/peer-message.js';
import type {LoadMessage} from './targets/load-message.js';
import type {StreamMessage} from './streams/stream-message.js';
import type {Failure} from './requests/failure.js';

export const effectKind = {
	send: 'send',
	cancel: 'cancel',
	reportSilence: 'report-silence',
	refuse: 'refuse',
	deliverHeld: 'deliver-held',
	breakOff: 'break-off',
	finishStream: 'finish-stream',
	checkTarget: 'check-target',
	probeTarget: 'probe-target',
	callPeer: 'call-peer',
	answerPeer: 'answer-peer',
	callStreamPeer: 'call-stream-peer',
	answerStreamPeer: 'answer-stream-peer',
	callLoadPeer: 'call-load-peer',
	answerLoadPeer: 'answer-load-peer',
	watch: 'watch',
	readHistory: 'read-history',
	refreshDirectory: 'refresh-directory',
	log: 'log',
	refuseIncoming: 'refuse-incoming',
	finishDrain: 'finish-drain',
} as const;

/** Send the request to a target and deliver its response to the caller. */
export type SendEffect = {
	readonly kind: typeof effectKind.send;
	readonly openId: number;
	readonly sendId: number;
	readonly targetId: string;
	/** Unix time of the target's start in milliseconds. */
	readonly bornAt: number;
	readonly address: string;
	/** True if the target is a peer that relays the request; its id is that of the instance. */
	readonly isRelayed: boolean;
	/** Number of targets on which a peer may run the request. */
	readonly runLimit: number;
	/** Software version of the target, or the only one that a peer may use; `undefined` if the peer may use any. */
	readonly softwareVersion?: string;
	/** Number of targets on which the request may have begun, with this one. */
	readonly runCount: number;
	readonly account?: string;
	/** Urgency of the request, a whole number; 0 is the most urgent. `undefined` if the configuration tables state none. */
	readonly rank?: number;
	readonly isStream: boolean;
	/** True if the send has to use a new connection or one that was in use a moment ago. */
	readonly needsFreshConnection: boolean;
	/** Identifier of the event after which an interrupted stream resumes. */
	readonly resumeAfterEventId?: string;
	/** Identifier of the event after which a stream goes on that its caller takes up. */
	readonly takesUpAfterEventId?: string;
	/** Address of a target from which cached parts of the prompt can be copied. */
	readonly copyFromAddress?: string;
	/** Time at which the response has to be complete. */
	readonly deadlineAt: number;
	/**
	 * Time after which a send without a response is reported to the reducer, in
	 * milliseconds; 0 disables the report. A stream restarts it with all data that
	 * arrives; any other response has to be complete within it.
	 */
	readonly responseStartTimeoutMs: number;
	/** Time without data from a stream, after its first events, that is reported to the reducer, in milliseconds; 0 disables the report. */
	readonly eventGapTimeoutMs: number;
};

/** Cancel a send and close its connection; no event follows. */
export type CancelEffect = {readonly kind: typeof effectKind.cancel; readonly openId: number; readonly sendId: number};

/** Report again, as an event, that a send is silent, if it still is. */
export type ReportSilenceEffect = {readonly kind: typeof effectKind.reportSilence; readonly sendId: number};

/** Respond to the caller with a failure that this instance created. */
export type RefuseEffect = {
	readonly kind: typeof effectKind.refuse;
	readonly openId: number;
	readonly failure: Failure;
	/** Number of targets on which the request may have begun. */
	readonly runCount: number;
};

/** Deliver the error response of a target that is held for the caller. */
export type DeliverHeldEffect = {
	readonly kind: typeof effectKind.deliverHeld;
	readonly openId: number;
	/** Number of targets on which the request may have begun. */
	readonly runCount: number;
};

/** Close the caller's connection because its response cannot be completed. */
export type BreakOffEffect = {readonly kind: typeof effectKind.breakOff; readonly openId: number};

/** End the caller's stream as complete. */
export type FinishStreamEffect = {readonly kind: typeof effectKind.finishStream; readonly openId: number};

/** Find out whether a process listens on a target's address; the result is emitted as an event. */
export type CheckTargetEffect = {readonly kind: typeof effectKind.checkTarget; readonly targetId: string; readonly address: string};

/** Find out whether a target answers a request that costs it little; the result is emitted as an event. */
export type ProbeTargetEffect = {
	readonly kind: typeof effectKind.probeTarget;
	readonly targetId: string;
	readonly address: string;
	/** Path of the request; `undefined` if the configuration tables name none. */
	readonly path?: string;
};

export type CallPeerEffect = {readonly kind: typeof effectKind.callPeer; readonly address: string; readonly message: PeerMessage};
export type AnswerPeerEffect = {readonly kind: typeof effectKind.answerPeer; readonly callId: number; readonly message: PeerMessage};

/** Tell a peer of streams, and ask it for some; the response or the failure is emitted as an event. */
export type CallStreamPeerEffect = {readonly kind: typeof effectKind.callStreamPeer; readonly address: string; readonly message: StreamMessage};
export type AnswerStreamPeerEffect = {readonly kind: typeof effectKind.answerStreamPeer; readonly callId: number; readonly message: StreamMessage};

/** Tell a peer of the load of a target, or ask it for the present one; the response or the failure is emitted as an event. */
export type CallLoadPeerEffect = {
	readonly kind: typeof effectKind.callLoadPeer;
	readonly address: string;
	readonly message: LoadMessage;
	/** The request that waits for the response, if there is one. */
	readonly openId?: number;
	readonly timeoutMs: number;
};
export type AnswerLoadPeerEffect = {readonly kind: typeof effectKind.answerLoadPeer; readonly callId: number; readonly message: LoadMessage};

export const logLevel = {info: 'info', warn: 'warn'} as const;

/** Write a log line. */
export type LogEffect = {
	readonly kind: typeof effectKind.log;
	readonly level: typeof logLevel[keyof typeof logLevel];
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Start or stop reading the platform. */
export type WatchEffect = {
	readonly kind: typeof effectKind.watch;
	readonly isWatching: boolean;
	/** Position up to which the directory is known. */
	readonly position: DirectoryPosition;
};

/** Read what the platform keeps of its history; the result is emitted as an event. */
export type ReadHistoryEffect = {
	readonly kind: typeof effectKind.readHistory;
	/** Position up to which the directory is known; the history is read up to it, or further. */
	readonly position: DirectoryPosition;
	/** Time that the history should span, in milliseconds. */
	readonly spanMs: number;
	/** Number of targets that are registered: as many changes as these make follow from it. */
	readonly targetCount: number;
};

/** Read the changes of the directory since a position, without waiting for any; the result is emitted as an event. */
export type RefreshDirectoryEffect = {readonly kind: typeof effectKind.refreshDirectory; readonly position: DirectoryPosition};

/** Refuse the requests whose body is still being received, and those that arrive later. */
export type RefuseIncomingEffect = {readonly kind: typeof effectKind.refuseIncoming};

/**
 * End the process as soon as all responses are sent, or at once if `isLimitReached` is
 * true. No request is open. Repeated until the process ends.
 */
export type FinishDrainEffect = {readonly kind: typeof effectKind.finishDrain; readonly isLimitReached: boolean};

export type Effect =
	| SendEffect | CancelEffect | ReportSilenceEffect | RefuseEffect | DeliverHeldEffect | BreakOffEffect | FinishStreamEffect
	| CheckTargetEffect | ProbeTargetEffect | CallPeerEffect | AnswerPeerEffect | CallStreamPeerEffect | AnswerStreamPeerEffect
	| CallLoadPeerEffect | AnswerLoadPeerEffect
	| WatchEffect | ReadHistoryEffect | RefreshDirectoryEffect | LogEffect | RefuseIncomingEffect | FinishDrainEffect;
