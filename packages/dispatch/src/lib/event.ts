/**
 * Events: everything that the reducer can be told. Times are monotonic
 * milliseconds of this process.
 */
import type {DirectoryUpdate} from './directory.js';
import type {PeerMessage} from './peer-message.js';

export const eventKind = {
	requestArrived: 'request-arrived',
	answerStarted: 'answer-started',
	answerSilent: 'answer-silent',
	sendEnded: 'send-ended',
	callerLeft: 'caller-left',
	directoryRead: 'directory-read',
	directoryLost: 'directory-lost',
	peerCalled: 'peer-called',
	peerAnswered: 'peer-answered',
	peerFailed: 'peer-failed',
	drainRequested: 'drain-requested',
	settingsChanged: 'settings-changed',
	tick: 'tick',
} as const;

/** A part of a prompt; equal parts in front of it can be reused by an engine. */
export type PromptPart = {readonly id: string; readonly tokenCount: number};

/** What the head of a caller's request says. */
export type RequestHead = {
	/** The caller's own identifier. */
	readonly requestId: string;
	/** Host without port. */
	readonly host: string;
	/** Path without query. */
	readonly path: string;
	readonly keyDigest?: string;
	/** Time that the caller will wait, in milliseconds. */
	readonly timeoutMs?: number;
	readonly promptParts: readonly PromptPart[];
};

/** A caller's request was read whole. */
export type RequestArrivedEvent = RequestHead & {
	readonly kind: typeof eventKind.requestArrived;
	/** Names the request within this process. */
	readonly openId: number;
};

export const sendOutcome = {
	/** The whole answer was delivered. */
	complete: 'complete',
	/** No byte of the request left this process. */
	notSent: 'unreached',
	/** The target said that it did not run the request. */
	rejected: 'rejected',
	/** Another process has the target's address; it did not run the request. */
	misdirected: 'misdirected',
	/** The target answered with a failure; the answer is held for the caller. */
	failed: 'failed',
	/** The request may have run, and nothing of an answer was delivered. */
	lost: 'lost',
	/** Some events were delivered, then the stream broke. */
	interrupted: 'interrupted',
} as const;
export type SendOutcome = typeof sendOutcome[keyof typeof sendOutcome];

/** The first part of an answer was delivered. */
export type AnswerStartedEvent = {
	readonly kind: typeof eventKind.answerStarted;
	readonly openId: number;
	readonly sendId: number;
	/** Requests at the target, as it told in its answer. */
	readonly targetLoad?: number;
};

/** A target has been silent for the time that the send named. */
export type AnswerSilentEvent = {
	readonly kind: typeof eventKind.answerSilent;
	readonly openId: number;
	readonly sendId: number;
	/** Identifier of the last event that was delivered. */
	readonly lastEventId?: string;
};

/** A send is over. */
export type SendEndedEvent = {
	readonly kind: typeof eventKind.sendEnded;
	readonly openId: number;
	readonly sendId: number;
	readonly outcome: SendOutcome;
	/** What was seen, for the log; never holds caller data. */
	readonly detail: string;
	/** Identifier of the last event that was delivered. */
	readonly lastEventId?: string;
	readonly targetLoad?: number;
};

/** The caller closed its connection. */
export type CallerLeftEvent = {readonly kind: typeof eventKind.callerLeft; readonly openId: number};

/** The platform told the directory, or what changed in it. */
export type DirectoryReadEvent = {
	readonly kind: typeof eventKind.directoryRead;
	readonly update: DirectoryUpdate;
	/** Time at which the question was sent: the answer is not older. */
	readonly requestedAt: number;
};

/** The platform did not answer as it should. */
export type DirectoryLostEvent = {readonly kind: typeof eventKind.directoryLost; readonly detail: string};

/** A peer calls; the answer goes out as an effect with the same `callId`. */
export type PeerCalledEvent = {readonly kind: typeof eventKind.peerCalled; readonly callId: number; readonly message: PeerMessage};
export type PeerAnsweredEvent = {
	readonly kind: typeof eventKind.peerAnswered;
	readonly address: string;
	readonly message: PeerMessage;
	/** Time at which the call was sent. */
	readonly requestedAt: number;
};
export type PeerFailedEvent = {readonly kind: typeof eventKind.peerFailed; readonly address: string; readonly detail: string};

/** The process was told to end. */
export type DrainRequestedEvent = {readonly kind: typeof eventKind.drainRequested; readonly by: string};

/** Settings that may change while the process runs. */
export type SettingsChangedEvent = {readonly kind: typeof eventKind.settingsChanged; readonly seedAddresses: readonly string[]};

/** Time has passed; sent several times a second. */
export type TickEvent = {readonly kind: typeof eventKind.tick};

export type Event =
	| RequestArrivedEvent | AnswerStartedEvent | AnswerSilentEvent | SendEndedEvent | CallerLeftEvent
	| DirectoryReadEvent | DirectoryLostEvent | PeerCalledEvent | PeerAnsweredEvent | PeerFailedEvent
	| DrainRequestedEvent | SettingsChangedEvent | TickEvent;
