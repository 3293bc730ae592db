/**
 * Events: every input of the reducer. Times are monotonic milliseconds of this
 * process.
 */
import type {DirectoryUpdate} from './directory/directory.js';
import type {PlatformHistory} from './versions/past-versions.js';
import type {PeerMessage} from './members/peer-message.js';
import type {LoadMessage} from './targets/load-message.js';
import type {StreamMessage} from './streams/stream-message.js';
import type {TargetReport} from './targets/target-statements.js';

export const eventKind = {
	requestArrived: 'request-arrived',
	sendOpened: 'send-opened',
	answerStarted: 'answer-started',
	answerContinued: 'answer-continued',
	answerSilent: 'answer-silent',
	sendEnded: 'send-ended',
	callerLeft: 'caller-left',
	targetChecked: 'target-checked',
	targetProbed: 'target-probed',
	holdFailed: 'hold-failed',
	directoryRead: 'directory-read',
	directoryLost: 'directory-lost',
	historyRead: 'history-read',
	directoryRefreshed: 'directory-refreshed',
	streamPeerCalled: 'stream-peer-called',
	streamPeerAnswered: 'stream-peer-answered',
	loadPeerCalled: 'load-peer-called',
	loadPeerAnswered: 'load-peer-answered',
	peerCalled: 'peer-called',
	peerAnswered: 'peer-answered',
	peerFailed: 'peer-failed',
	drainRequested: 'drain-requested',
	stopRequested: 'stop-requested',
	settingsChanged: 'settings-changed',
	tick: 'tick',
} as const;

/** A part of a prompt. An engine can reuse cached parts of an equal prefix. */
export type PromptPart = {readonly id: string; readonly tokenCount: number};

/** Content of the head of a caller's request. */
export type RequestHead = {
	/** Identifier that the caller chose. */
	readonly requestId: string;
	/** Host without port. */
	readonly host: string;
	/** Path without query. */
	readonly path: string;
	readonly keyDigest?: string;
	/** Time for which the caller waits, in milliseconds. */
	readonly timeoutMs?: number;
	readonly promptParts: readonly PromptPart[];
	/** Identifier of the event after which the caller takes up a stream that was cut; `undefined` if it asks for a new one. */
	readonly resumesAfterEventId?: string;
	/** Identifier of the request that began the stream. */
	readonly resumedRequestId?: string;
};

/** The instance from which a relayed request comes. */
export type RelayOrigin = {
	readonly id: string;
	readonly incarnation: string;
	/** Number of targets on which the request may still run. */
	readonly runLimit: number;
	/** Software version of the targets that may run the request; `undefined` if the peer is free to choose. */
	readonly softwareVersion?: string;
};

/** A caller's request was read completely. */
export type RequestArrivedEvent = RequestHead & {
	readonly kind: typeof eventKind.requestArrived;
	/** Identifies the request within this process. */
	readonly openId: number;
	/** Equal for requests that are the same for a target; tells nothing about their content. */
	readonly fingerprint: string;
	/** The peer that received the request from its caller and cannot reach the targets; `undefined` if the caller is connected to this instance. */
	readonly relayedFrom?: RelayOrigin;
};

export const sendOutcome = {
	/** The complete response was delivered. */
	complete: 'complete',
	/** No byte of the request left this process. */
	notSent: 'unreached',
	/** The target's address refused the connection: no process listens there. */
	connectionRefused: 'connection-refused',
	/** The target reported that it did not run the request. */
	rejected: 'rejected',
	/** Another process has the target's address and did not run the request. */
	misdirected: 'misdirected',
	/** The target sent an error response, which is held for the caller. */
	failed: 'failed',
	/** The request may have run, and no part of a response was delivered. */
	lost: 'lost',
	/** The stream broke after some events were delivered. */
	interrupted: 'interrupted',
	/** All bytes of the stream were delivered, up to the end of an event; that they are all is stated by the end of the connection alone. */
	endUnproved: 'end-unproved',
} as const;
export type SendOutcome = typeof sendOutcome[keyof typeof sendOutcome];

/** What states the end of a response's body. */
export const responseForm = {length: 'length', chunks: 'chunks', connectionEnd: 'connection-end'} as const;
export type ResponseForm = typeof responseForm[keyof typeof responseForm];

/** The connection of a send is open, so that the target may receive the request from now on. */
export type SendOpenedEvent = {
	readonly kind: typeof eventKind.sendOpened;
	readonly openId: number;
	readonly sendId: number;
	/** False if the connection was kept from an earlier request. */
	readonly isNewConnection: boolean;
};

/** A send delivered the first events of a stream. */
export type AnswerStartedEvent = {
	readonly kind: typeof eventKind.answerStarted;
	readonly openId: number;
	readonly sendId: number;
	readonly targetReport?: TargetReport;
	/** Software version of the target that responded, as far as it is known. */
	readonly softwareVersion?: string;
};

/** The response of a resumed send has a body: the stream was not at its end. */
export type AnswerContinuedEvent = {readonly kind: typeof eventKind.answerContinued; readonly openId: number; readonly sendId: number};

/** A timeout of a send, `responseStartTimeoutMs` or `eventGapTimeoutMs`, has expired; emitted again each time that it expires again. */
export type AnswerSilentEvent = {
	readonly kind: typeof eventKind.answerSilent;
	readonly openId: number;
	readonly sendId: number;
	/** Identifier of the last event that was delivered. */
	readonly lastEventId?: string;
	/** Time since which this send has made no progress: it was sent, or its last event arrived. */
	readonly silentSince: number;
	/** Time at which the target last started a response or sent an event, for any request of this instance; `undefined` if it never did. */
	readonly targetHeardAt?: number;
};

/** A send ended. */
export type SendEndedEvent = {
	readonly kind: typeof eventKind.sendEnded;
	readonly openId: number;
	readonly sendId: number;
	readonly outcome: SendOutcome;
	/** Description for the log; never contains caller data. */
	readonly detail: string;
	/** Identifier of the last event that was delivered. */
	readonly lastEventId?: string;
	/** Form of the response; `undefined` if its head was not read. */
	readonly form?: ResponseForm;
	/** What the response stated; `undefined` if its head was not read, or was reported before. */
	readonly targetReport?: TargetReport;
	/** Number of targets on which the request may have begun at the peer that relayed it; `undefined` if the peer has not told it. */
	readonly runCount?: number;
};

/** The caller closed its connection. */
export type CallerLeftEvent = {readonly kind: typeof eventKind.callerLeft; readonly openId: number};

/** A stream that is held until it is complete cannot be held any longer; nothing of it has been delivered. */
export type HoldFailedEvent = {readonly kind: typeof eventKind.holdFailed; readonly openId: number; readonly detail: string};

/** The result of a check whether a process listens on a target's address. */
export type TargetCheckedEvent = {
	readonly kind: typeof eventKind.targetChecked;
	readonly targetId: string;
	/** Time at which the check started. */
	readonly startedAt: number;
	/** False if the address refused the connection, `undefined` if it did not respond. */
	readonly isListening?: boolean;
	/** True if the target closed each connection, but still accepted one at the end of the check: a target at its connection limit does so. */
	readonly isAccepting?: boolean;
};

/** What a probe of a target showed. */
export const probeResult = {
	/** The target's address responded in some way. */
	answered: 'answered',
	/** The connection opened, and was closed or silent. */
	unanswered: 'unanswered',
	/** No connection opened. */
	unreached: 'unreached',
} as const;

/** The result of a probe of a target. */
export type TargetProbedEvent = {
	readonly kind: typeof eventKind.targetProbed;
	readonly targetId: string;
	/** Time at which the probe started. */
	readonly startedAt: number;
	readonly result: typeof probeResult[keyof typeof probeResult];
};

/** The directory, or changes of it, were read from the platform. */
export type DirectoryReadEvent = {
	readonly kind: typeof eventKind.directoryRead;
	readonly update: DirectoryUpdate;
	/** Time up to which the update certainly contains all changes. */
	readonly confirmedAt: number;
};

/** A read of the directory failed: the platform did not respond, or responded with an error or unreadable content. */
export type DirectoryLostEvent = {readonly kind: typeof eventKind.directoryLost; readonly detail: string};

/** The platform's history was read, or could not be. */
export type HistoryReadEvent = {
	readonly kind: typeof eventKind.historyRead;
	/** `undefined` if the platform did not return it. */
	readonly history?: PlatformHistory;
	/** Epoch that the history belongs to. */
	readonly epoch: number;
	/** Why it was not read, for the log. */
	readonly fault?: string;
};

/** A read of the directory that was started by a `refreshDirectory` effect has ended. */
export type DirectoryRefreshedEvent = {
	readonly kind: typeof eventKind.directoryRefreshed;
	/** All changes up to `startedAt`, and perhaps later ones; `undefined` if the read failed. */
	readonly update?: DirectoryUpdate;
	/** Time at which the read started. */
	readonly startedAt: number;
	/** Why it failed, for the log. */
	readonly fault?: string;
};

/** A peer called; the response is returned as an effect with the same `callId`. */
export type PeerCalledEvent = {readonly kind: typeof eventKind.peerCalled; readonly callId: number; readonly message: PeerMessage};
export type PeerAnsweredEvent = {
	readonly kind: typeof eventKind.peerAnswered;
	readonly address: string;
	readonly message: PeerMessage;
	/** Time at which the call was sent. */
	readonly requestedAt: number;
};
export type PeerFailedEvent = {readonly kind: typeof eventKind.peerFailed; readonly address: string; readonly detail: string};

/** A peer told of streams or asks for them; the response is returned as an effect with the same `callId`. */
export type StreamPeerCalledEvent = {readonly kind: typeof eventKind.streamPeerCalled; readonly callId: number; readonly message: StreamMessage};
/** A call about streams has ended. */
export type StreamPeerAnsweredEvent = {
	readonly kind: typeof eventKind.streamPeerAnswered;
	readonly address: string;
	/** Keys of the streams that the peer was asked for. */
	readonly askedKeys: readonly string[];
	/** The response; `undefined` if the call failed. */
	readonly message?: StreamMessage;
	/** Why it failed, for the log. */
	readonly fault?: string;
};

/** A peer tells of the load of a target, or asks for it; the response is returned as an effect with the same `callId`. */
export type LoadPeerCalledEvent = {readonly kind: typeof eventKind.loadPeerCalled; readonly callId: number; readonly message: LoadMessage};
/** A call about the load of a target has ended. */
export type LoadPeerAnsweredEvent = {
	readonly kind: typeof eventKind.loadPeerAnswered;
	readonly address: string;
	/** The request that waits for the response, if there is one. */
	readonly openId?: number;
	/** The response; `undefined` if the call failed. */
	readonly message?: LoadMessage;
	/** Why it failed, for the log. */
	readonly fault?: string;
};

/** The process received a request to drain and end. */
export type DrainRequestedEvent = {readonly kind: typeof eventKind.drainRequested; readonly by: string};

/** The process has to end at once, with or without a drain before: no request may finish. */
export type StopRequestedEvent = {readonly kind: typeof eventKind.stopRequested; readonly by: string};

/** Settings that can change at run time were changed. */
export type SettingsChangedEvent = {readonly kind: typeof eventKind.settingsChanged; readonly seedAddresses: readonly string[]};

/** Time has passed. Ticks arrive several times a second. */
export type TickEvent = {readonly kind: typeof eventKind.tick};

/** What a check or a probe has shown about a target. */
export type TargetEvidenceEvent = TargetCheckedEvent | TargetProbedEvent;

/** Events of the platform and of peers. */
export type FleetEvent =
	| DirectoryReadEvent | DirectoryLostEvent | HistoryReadEvent | DirectoryRefreshedEvent | PeerCalledEvent | PeerAnsweredEvent | PeerFailedEvent
	| StreamPeerCalledEvent | StreamPeerAnsweredEvent | LoadPeerCalledEvent | LoadPeerAnsweredEvent;

export type Event =
	| RequestArrivedEvent | SendOpenedEvent | AnswerStartedEvent | AnswerContinuedEvent | AnswerSilentEvent | SendEndedEvent
	| CallerLeftEvent | HoldFailedEvent | TargetEvidenceEvent | FleetEvent
	| DrainRequestedEvent | StopRequestedEvent | SettingsChangedEvent | TickEvent;
