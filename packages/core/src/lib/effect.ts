/**
 * Effects: everything that the reducer can ask the runner to do, as data.
 *
 * An effect that spends something carries `notAfter`: a process can pause
 * between the decision and the send, so the runner checks the time again.
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
	/** True for an engine's token stream, false for a plain answer. */
	readonly isStream: boolean;
	/** Stream events already delivered; the target continues after them. */
	readonly resumeFrom: number;
	/** True: use a new connection, so that a failed connect proves that nothing ran. */
	readonly useFreshConnection: boolean;
	/** Time after which nothing may be sent any more. */
	readonly notAfter: number;
	/** Time at which the answer has to be whole. */
	readonly deadlineAt: number;
};

/** Answer the caller with a typed refusal, or end its stream with a typed error. */
export type RefuseEffect = {readonly kind: typeof effectKind.refuse; readonly requestId: string; readonly refusal: Refusal};

/** Stop an attempt and close its connection. */
export type CancelEffect = {readonly kind: typeof effectKind.cancel; readonly requestId: string; readonly attemptId: number};

/** Pass a request on to the process that its ticket names. */
export type ForwardEffect = {
	readonly kind: typeof effectKind.forward;
	readonly requestId: string;
	readonly attemptId: number;
	readonly peerId: string;
	readonly address: string;
	readonly ticket: string;
	readonly keyDigest?: string;
	readonly priority: number;
	/** Time after which nothing may be sent any more. */
	readonly notAfter: number;
	/** Time at which the answer has to be whole. */
	readonly deadlineAt: number;
};

/** Keep the answer that was delivered for a request, for repeats under its ticket. */
export type RememberAnswerEffect = {readonly kind: typeof effectKind.rememberAnswer; readonly requestId: string; readonly ticketRecordId: string};

/** Answer a request with the answer that was kept for its ticket. */
export type ReplayEffect = {readonly kind: typeof effectKind.replay; readonly requestId: string; readonly ticketRecordId: string};

/** Ask a target for its boot and load; costs it no slot, and the answer comes back as a load report. */
export type ProbeEffect = {readonly kind: typeof effectKind.probe; readonly targetId: string; readonly address: string};

/** Read a document from the configuration service, waiting for one newer than `after`. */
export type ReadDocumentEffect = {
	readonly kind: typeof effectKind.readDocument;
	readonly document: DocumentKind;
	readonly after: number;
	/** Longest time that the service may hold the call, in milliseconds. */
	readonly waitMs: number;
};

/** Read a document from a peer that announced a newer one. */
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

/** Answer a peer's `borrowRequested`; the amounts are already subtracted here. */
export type AnswerBorrowEffect = {
	readonly kind: typeof effectKind.answerBorrow;
	readonly callId: number;
	readonly loanId: string;
	readonly amounts: readonly LoanAmount[];
	/** Time after which an empty answer has to be sent instead. */
	readonly notAfter: number;
};

export type GiveBackEffect = {
	readonly kind: typeof effectKind.giveBack;
	readonly peerId: string;
	readonly address: string;
	readonly loanId: string;
};

/** Write an entry to the time line. */
export type RecordEffect = {readonly kind: typeof effectKind.record; readonly entry: TimelineEntry};

/** Every request is finished: the process may end. */
export type FinishDrainEffect = {readonly kind: typeof effectKind.finishDrain};

export type Effect =
	| DispatchEffect | RefuseEffect | CancelEffect | ForwardEffect | RememberAnswerEffect | ReplayEffect | ProbeEffect
	| ReadDocumentEffect | FetchDocumentEffect | ExchangeEffect | BorrowEffect | AnswerBorrowEffect | GiveBackEffect
	| RecordEffect | FinishDrainEffect;
