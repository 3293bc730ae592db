/**
 * Events: the inputs of the reducer.
 *
 * All times are monotonic milliseconds of this process unless a name says
 * otherwise. Ages received from other processes are converted to such times
 * before they become part of an event, erring toward the older time.
 */
import type {Configuration} from './configuration/configuration.js';
import type {InstanceList} from './configuration/instance-list.js';
import type {BorrowRequest, LoanAmount, Summary} from './message.js';
import type {Refusal} from './refusal.js';

export const eventKind = {
	requestArrived: 'request-arrived',
	attemptEnded: 'attempt-ended',
	forwardEnded: 'forward-ended',
	callerLeft: 'caller-left',
	configurationRead: 'configuration-read',
	configurationRejected: 'configuration-rejected',
	listRead: 'list-read',
	documentUnchanged: 'document-unchanged',
	readFailed: 'read-failed',
	summaryReceived: 'summary-received',
	peerFailed: 'peer-failed',
	borrowRequested: 'borrow-requested',
	loanGranted: 'loan-granted',
	loanFailed: 'loan-failed',
	loanGivenBack: 'loan-given-back',
	loadReported: 'load-reported',
	drainRequested: 'drain-requested',
	undrainRequested: 'undrain-requested',
	tick: 'tick',
} as const;

/** A request from a caller was read and needs a decision. */
export type RequestArrivedEvent = {
	readonly kind: typeof eventKind.requestArrived;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** The `model` field of the body; `undefined` for plain requests. */
	readonly model?: string;
	/** SHA-256 of the request's key, in hexadecimal. */
	readonly keyDigest?: string;
	/** Identifies the chat; requests with equal keys prefer the same target. */
	readonly chatKey: string;
	/** 0 (lowest) to 9; limited to the account's highest priority. */
	readonly priority: number;
	readonly idempotencyKey?: string;
	/** Digest of method, path and body; a ticket is valid for one digest. */
	readonly contentDigest?: string;
	/** Whether a peer forwarded the request, because its ticket names this process. */
	readonly isForwarded?: boolean;
	/** Time that the caller allows for the request, in milliseconds from now. */
	readonly deadlineMs?: number;
};

export const attemptOutcome = {
	/** The complete answer was delivered to the caller. */
	complete: 'complete',
	/** No byte of the request can have reached the target, or the target reported that the request was not started. */
	notRun: 'not-run',
	/** The request may have run, but no byte of the answer was delivered. */
	unknown: 'unknown',
	/** Part of the answer was delivered before the connection failed or timed out. */
	interrupted: 'interrupted',
	/** The effect's `notAfter` had passed before anything was sent. */
	expired: 'expired',
} as const;
export type AttemptOutcome = typeof attemptOutcome[keyof typeof attemptOutcome];

/** An attempt at a target ended. */
export type AttemptEndedEvent = {
	readonly kind: typeof eventKind.attemptEnded;
	readonly requestId: string;
	readonly attemptId: number;
	readonly outcome: AttemptOutcome;
	/** Number of stream events delivered to the caller so far, over all attempts. */
	readonly deliveredCount: number;
	/** Cause of a failure, for the timeline; never contains caller data. */
	readonly detail?: string;
	/** Delay that the target requested before a retry, in milliseconds. */
	readonly retryAfterMs?: number;
};

/** A request that was forwarded to a peer ended. */
export type ForwardEndedEvent = {
	readonly kind: typeof eventKind.forwardEnded;
	readonly requestId: string;
	readonly attemptId: number;
	/** `false` if the peer could not be reached or its answer was lost. */
	readonly isAnswered: boolean;
	/** The peer's refusal; `undefined` if `isAnswered` is true and the answer was delivered to the caller. */
	readonly refusal?: Refusal;
};

/** The caller closed its connection before the answer was complete. */
export type CallerLeftEvent = {readonly kind: typeof eventKind.callerLeft; readonly requestId: string};

export const documentKind = {tables: 'tables', list: 'list'} as const;
export type DocumentKind = typeof documentKind[keyof typeof documentKind];

/** Origin of a document: the configuration service at a revision, or a peer. */
export type DocumentSource = {
	/** The peer that relayed the document; `undefined` if it was read from the configuration service. */
	readonly peerId?: string;
	/** The service's revision; `undefined` if a peer relayed the document. */
	readonly revision?: number;
};

/** A configuration was read and is valid. */
export type ConfigurationReadEvent = {
	readonly kind: typeof eventKind.configurationRead;
	readonly configuration: Configuration;
	/** Text of the document, relayed to peers unchanged. */
	readonly text: string;
	/** Latest time at which the document is known to have been current. */
	readonly currentAt: number;
	readonly source: DocumentSource;
};

/** A configuration was read and rejected as a whole, because it has faults. */
export type ConfigurationRejectedEvent = {
	readonly kind: typeof eventKind.configurationRejected;
	readonly version?: number;
	readonly faultCount: number;
	readonly currentAt: number;
	readonly source: DocumentSource;
};

/** A list of instances and targets was read. */
export type ListReadEvent = {
	readonly kind: typeof eventKind.listRead;
	readonly list: InstanceList;
	readonly currentAt: number;
	readonly source: DocumentSource;
};

/** The configuration service reported that it has no revision newer than the requested one. */
export type DocumentUnchangedEvent = {
	readonly kind: typeof eventKind.documentUnchanged;
	readonly document: DocumentKind;
	readonly revision: number;
	/** Platform time at which the list was valid; only for lists. */
	readonly asOf?: number;
	readonly currentAt: number;
};

/** A read of a document failed. */
export type ReadFailedEvent = {
	readonly kind: typeof eventKind.readFailed;
	readonly document: DocumentKind;
	readonly source: DocumentSource;
};

/** A peer's summary was received, in an exchange that either side started. */
export type SummaryReceivedEvent = {
	readonly kind: typeof eventKind.summaryReceived;
	readonly summary: Summary;
	/** Start of the exchange that carried the summary; its ages count from this time. */
	readonly startedAt: number;
	/**
	 * Whether the summary answers an exchange that this instance started at
	 * `startedAt`. Only then are its ages reliable: how long a peer's request was
	 * in transit is unknown.
	 */
	readonly isAnswer?: boolean;
};

/** A call to a peer failed. */
export type PeerFailedEvent = {readonly kind: typeof eventKind.peerFailed; readonly peerId: string};

/** A peer requested a loan; the answer is an effect with the same `callId`. */
export type BorrowRequestedEvent = {
	readonly kind: typeof eventKind.borrowRequested;
	readonly callId: number;
	readonly request: BorrowRequest;
};

/** A peer granted a loan. */
export type LoanGrantedEvent = {
	readonly kind: typeof eventKind.loanGranted;
	readonly loanId: string;
	readonly peerId: string;
	readonly amounts: readonly LoanAmount[];
	/** Time just before the request for the loan was sent; the term counts from this time. */
	readonly askedAt: number;
	readonly termMs: number;
};

/** A request for a loan failed or was not answered. */
export type LoanFailedEvent = {readonly kind: typeof eventKind.loanFailed; readonly loanId: string; readonly peerId: string};

/** The borrower returned a loan early. */
export type LoanGivenBackEvent = {readonly kind: typeof eventKind.loanGivenBack; readonly loanId: string};

/** A target reported its boot or load, in an answer or in reply to a probe. */
export type LoadReportedEvent = {
	readonly kind: typeof eventKind.loadReported;
	readonly targetId: string;
	readonly bootId?: string;
	readonly uptimeMs?: number;
	readonly inFlight?: number;
	/** Time just before the request that the report answers was sent; the report is no older than this. */
	readonly askedAt?: number;
};

/** An operator or a signal requested that this instance accept no new requests. */
export type DrainRequestedEvent = {
	readonly kind: typeof eventKind.drainRequested;
	readonly by: string;
	/** Whether the process keeps running once its requests have finished, so that the drain can be undone. */
	readonly keepsRunning?: boolean;
	/** Time during which new requests are still accepted, until the load balancer notices the drain, in milliseconds. */
	readonly graceMs?: number;
};
export type UndrainRequestedEvent = {readonly kind: typeof eventKind.undrainRequested; readonly by: string};

/** A timer event, sent several times a second. */
export type TickEvent = {readonly kind: typeof eventKind.tick};

export type Event =
	| RequestArrivedEvent | AttemptEndedEvent | ForwardEndedEvent | CallerLeftEvent
	| ConfigurationReadEvent | ConfigurationRejectedEvent | ListReadEvent | DocumentUnchangedEvent | ReadFailedEvent
	| SummaryReceivedEvent | PeerFailedEvent
	| BorrowRequestedEvent | LoanGrantedEvent | LoanFailedEvent | LoanGivenBackEvent
	| LoadReportedEvent | DrainRequestedEvent | UndrainRequestedEvent | TickEvent;
