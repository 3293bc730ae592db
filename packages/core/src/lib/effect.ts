/**
 * Effects: the actions that the reducer requests from the runner, as data. All
 * times are monotonic milliseconds of this process.
 *
 * An effect that uses or lends part of a limit carries `notAfter`. The runner
 * checks this time again before it sends, because the process can be paused
 * between the decision and the send.
 */
import type {DocumentKind} from './event.js';
import type {BorrowRequest, LoanAmount, Summary} from './message.js';
import type {Refusal} from './refusal.js';
import type {TimelineEntry} from './timeline-entry.js';

export const effectKind = {
	dispatch: 'dispatch',
	refuse: 'refuse',
	cancel: 'cancel',
	forward: 'forward',
	rememberAnswer: 'remember-answer',
	replay: 'replay',
	probe: 'probe',
	readDocument: 'read-document',
	fetchDocument: 'fetch-document',
	exchange: 'exchange',
	borrow: 'borrow',
	answerBorrow: 'answer-borrow',
	giveBack: 'give-back',
	record: 'record',
	finishDrain: 'finish-drain',
} as const;

/** Send the request to a target and deliver the answer to the caller. */
export type DispatchEffect = {
	readonly kind: typeof effectKind.dispatch;
	readonly requestId: string;
	readonly attemptId: number;
	readonly targetId: string;
	readonly address: string;
	readonly priority: number;
	/** Whether the target answers with an engine's token stream rather than a plain response. */
	readonly isStream: boolean;
	/** Number of stream events already delivered; the target resumes after them. */
	readonly resumeFrom: number;
	/** Whether to open a new connection, so that a failed connect proves that the request did not run. */
	readonly useFreshConnection: boolean;
	/** Time after which the request must not be sent. */
	readonly notAfter: number;
	/** Time by which the answer has to be complete. */
	readonly deadlineAt: number;
};

/** Answer the caller with a typed refusal, or end its stream with a typed error. */
export type RefuseEffect = {readonly kind: typeof effectKind.refuse; readonly requestId: string; readonly refusal: Refusal};

/** Stop an attempt and close its connection. */
export type CancelEffect = {readonly kind: typeof effectKind.cancel; readonly requestId: string; readonly attemptId: number};

/** Forward a request to the process named in its ticket. */
export type ForwardEffect = {
	readonly kind: typeof effectKind.forward;
	readonly requestId: string;
	readonly attemptId: number;
	readonly peerId: string;
	readonly address: string;
	readonly ticket: string;
	readonly keyDigest?: string;
	readonly priority: number;
	/** Time after which the request must not be sent. */
	readonly notAfter: number;
	/** Time by which the answer has to be complete. */
	readonly deadlineAt: number;
};

/** Keep the answer delivered for a request, to replay it when the request is retried with its ticket. */
export type RememberAnswerEffect = {readonly kind: typeof effectKind.rememberAnswer; readonly requestId: string; readonly ticketRecordId: string};

/** Answer a request with the answer kept for its ticket. */
export type ReplayEffect = {readonly kind: typeof effectKind.replay; readonly requestId: string; readonly ticketRecordId: string};

/** Ask a target for its boot and load. A probe takes no slot; its answer arrives as a load report. */
export type ProbeEffect = {readonly kind: typeof effectKind.probe; readonly targetId: string; readonly address: string};

/** Read a document from the configuration service, waiting for a revision newer than `after`. */
export type ReadDocumentEffect = {
	readonly kind: typeof effectKind.readDocument;
	readonly document: DocumentKind;
	readonly after: number;
	/** Longest time for which the service may hold the call open, in milliseconds. */
	readonly waitMs: number;
};

/** Fetch a document from a peer that announced a newer version. */
export type FetchDocumentEffect = {
	readonly kind: typeof effectKind.fetchDocument;
	readonly document: DocumentKind;
	readonly peerId: string;
	readonly address: string;
};

export type ExchangeEffect = {
	readonly kind: typeof effectKind.exchange;
	readonly peerId: string;
	readonly address: string;
	readonly summary: Summary;
};

export type BorrowEffect = {
	readonly kind: typeof effectKind.borrow;
	readonly peerId: string;
	readonly address: string;
	readonly request: BorrowRequest;
};

/** Answer the `borrowRequested` event with the same `callId`. The amounts are already subtracted from this instance's share. */
export type AnswerBorrowEffect = {
	readonly kind: typeof effectKind.answerBorrow;
	readonly callId: number;
	readonly loanId: string;
	readonly amounts: readonly LoanAmount[];
	/** Time after which an empty answer has to be sent instead of the amounts. */
	readonly notAfter: number;
};

export type GiveBackEffect = {
	readonly kind: typeof effectKind.giveBack;
	readonly peerId: string;
	readonly address: string;
	readonly loanId: string;
};

/** Write an entry to the timeline. */
export type RecordEffect = {readonly kind: typeof effectKind.record; readonly entry: TimelineEntry};

/** All requests have finished, so the process may exit. */
export type FinishDrainEffect = {readonly kind: typeof effectKind.finishDrain};

export type Effect =
	| DispatchEffect | RefuseEffect | CancelEffect | ForwardEffect | RememberAnswerEffect | ReplayEffect | ProbeEffect
	| ReadDocumentEffect | FetchDocumentEffect | ExchangeEffect | BorrowEffect | AnswerBorrowEffect | GiveBackEffect
	| RecordEffect | FinishDrainEffect;
