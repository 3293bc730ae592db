/**
 * Events: everything that the reducer can be told.
 *
 * All times are monotonic milliseconds of this process unless a name says
 * otherwise. Ages received from other processes are converted before they
 * become part of an event, always towards the older.
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

/** A caller's request was read and is waiting for a decision. */
export type RequestArrivedEvent = {
	readonly kind: typeof eventKind.requestArrived;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** The `model` field of the body; undefined for plain requests. */
	readonly model?: string;
	/** SHA-256 of the key that came with the request, in hexadecimal. */
	readonly keyDigest?: string;
	/** What identifies the chat; equal keys prefer the same target. */
	readonly chatKey: string;
	/** 0 (lowest) to 9; cut to the account's highest. */
	readonly priority: number;
	readonly idempotencyKey?: string;
	/** Digest of method, path and body; a ticket counts for one of them. */
	readonly contentDigest?: string;
	/** True: a peer passed it on to the process that its ticket names. */
	readonly isForwarded?: boolean;
	/** Time that the caller allows, in milliseconds from now. */
	readonly deadlineMs?: number;
};

export const attemptOutcome = {
	/** The whole answer was delivered to the caller. */
	complete: 'complete',
	/** No byte of the request can have reached the target, or the target said that it did not start. */
	notRun: 'not-run',
	/** The request may have run, and no byte of the answer was delivered. */
	unknown: 'unknown',
	/** Part of the answer was delivered, then the connection broke or fell silent. */
	interrupted: 'interrupted',
	/** The effect's `notAfter` had passed before anything was sent. */
	expired: 'expired',
} as const;
export type AttemptOutcome = typeof attemptOutcome[keyof typeof attemptOutcome];

/** An attempt at a target is over. */
export type AttemptEndedEvent = {
	readonly kind: typeof eventKind.attemptEnded;
	readonly requestId: string;
	readonly attemptId: number;
	readonly outcome: AttemptOutcome;
	/** Stream events delivered to the caller so far, over all attempts. */
	readonly deliveredCount: number;
	/** What went wrong, for the time line; never holds caller data. */
	readonly detail?: string;
	/** Time that the target asked to wait before a repeat, in milliseconds. */
	readonly retryAfterMs?: number;
};

/** A request that was passed on to a peer is over. */
export type ForwardEndedEvent = {
	readonly kind: typeof eventKind.forwardEnded;
	readonly requestId: string;
	readonly attemptId: number;
	/** False: the peer could not be reached or its answer was lost. */
	readonly isAnswered: boolean;
	/** The peer's refusal; undefined with an answer: it was delivered. */
	readonly refusal?: Refusal;
};

/** The caller closed its connection before the answer was whole. */
export type CallerLeftEvent = {readonly kind: typeof eventKind.callerLeft; readonly requestId: string};

export const documentKind = {tables: 'tables', list: 'list'} as const;
export type DocumentKind = typeof documentKind[keyof typeof documentKind];

/** Where a document came from: the service at a revision, or a peer. */
export type DocumentSource = {
	/** The peer that relayed it; undefined: read from the configuration service. */
	readonly peerId?: string;
	/** The service's revision; undefined from a peer. */
	readonly revision?: number;
};

/** A checked configuration was read. */
export type ConfigurationReadEvent = {
	readonly kind: typeof eventKind.configurationRead;
	readonly configuration: Configuration;
	/** The document's own text, relayed to peers as it came. */
	readonly text: string;
	/** Time at which the document was certainly current. */
	readonly currentAt: number;
	readonly source: DocumentSource;
};

/** A configuration was read and refused whole. */
export type ConfigurationRejectedEvent = {
	readonly kind: typeof eventKind.configurationRejected;
	readonly version?: number;
	readonly faultCount: number;
	readonly currentAt: number;
	readonly source: DocumentSource;
};

/** A list was read. */
export type ListReadEvent = {
	readonly kind: typeof eventKind.listRead;
	readonly list: InstanceList;
	readonly currentAt: number;
	readonly source: DocumentSource;
};

/** The configuration service said that it has nothing newer than the revision asked for. */
export type DocumentUnchangedEvent = {
	readonly kind: typeof eventKind.documentUnchanged;
	readonly document: DocumentKind;
	readonly revision: number;
	/** Platform time at which the list was true; lists only. */
	readonly asOf?: number;
	readonly currentAt: number;
};

/** A read of a document failed. */
export type ReadFailedEvent = {
	readonly kind: typeof eventKind.readFailed;
	readonly document: DocumentKind;
	readonly source: DocumentSource;
};

/** A peer's summary arrived, as a request or as an answer. */
export type SummaryReceivedEvent = {
	readonly kind: typeof eventKind.summaryReceived;
	readonly summary: Summary;
	/** Start of the exchange that brought it: ages count from here. */
	readonly startedAt: number;
	/**
	 * True: it answers an exchange that this instance started at `startedAt`. Only
	 * then are its ages proof: nobody knows how long a request was on its way.
	 */
	readonly isAnswer?: boolean;
};

/** A call to a peer failed. */
export type PeerFailedEvent = {readonly kind: typeof eventKind.peerFailed; readonly peerId: string};

/** A peer asks for a loan; the answer goes out as an effect with the same `callId`. */
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
	/** Time before the request for the loan was sent: the term counts from here. */
	readonly askedAt: number;
	readonly termMs: number;
};

/** A request for a loan failed or was not answered. */
export type LoanFailedEvent = {readonly kind: typeof eventKind.loanFailed; readonly loanId: string; readonly peerId: string};

/** The borrower returned a loan early. */
export type LoanGivenBackEvent = {readonly kind: typeof eventKind.loanGivenBack; readonly loanId: string};

/** A target told something of itself, in an answer or a load report. */
export type LoadReportedEvent = {
	readonly kind: typeof eventKind.loadReported;
	readonly targetId: string;
	readonly bootId?: string;
	readonly uptimeMs?: number;
	readonly inFlight?: number;
	/** Time before the request that brought the report was sent: the report is not older. */
	readonly askedAt?: number;
};

/** Somebody asks this instance to take no new work. */
export type DrainRequestedEvent = {
	readonly kind: typeof eventKind.drainRequested;
	readonly by: string;
	/** True: the process stays when its requests are finished, so that it can be undrained. */
	readonly keepsRunning?: boolean;
	/** Time in which new work is still taken, until the balancer has noticed, in milliseconds. */
	readonly graceMs?: number;
};
export type UndrainRequestedEvent = {readonly kind: typeof eventKind.undrainRequested; readonly by: string};

/** Time has passed; sent several times a second. */
export type TickEvent = {readonly kind: typeof eventKind.tick};

export type Event =
	| RequestArrivedEvent | AttemptEndedEvent | ForwardEndedEvent | CallerLeftEvent
	| ConfigurationReadEvent | ConfigurationRejectedEvent | ListReadEvent | DocumentUnchangedEvent | ReadFailedEvent
	| SummaryReceivedEvent | PeerFailedEvent
	| BorrowRequestedEvent | LoanGrantedEvent | LoanFailedEvent | LoanGivenBackEvent
	| LoadReportedEvent | DrainRequestedEvent | UndrainRequestedEvent | TickEvent;
