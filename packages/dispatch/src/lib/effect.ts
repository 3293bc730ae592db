/**
 * Effects: everything that the reducer can ask for, as data.
 */
import type {PeerMessage} from './peer-message.js';
import type {Failure} from './failure.js';

export const effectKind = {
	send: 'send',
	cancel: 'cancel',
	refuse: 'refuse',
	deliverHeld: 'deliver-held',
	breakOff: 'break-off',
	callPeer: 'call-peer',
	answerPeer: 'answer-peer',
	watch: 'watch',
	log: 'log',
	finishDrain: 'finish-drain',
} as const;

/** Send the request to a target and deliver its answer. */
export type SendEffect = {
	readonly kind: typeof effectKind.send;
	readonly openId: number;
	readonly sendId: number;
	readonly targetId: string;
	readonly address: string;
	readonly account?: string;
	readonly isStream: boolean;
	/** True: only a connection that was used a moment ago, or a new one, will do. */
	readonly needsFreshConnection: boolean;
	/** Event after which a broken stream goes on. */
	readonly resumeAfterEventId?: string;
	/** Address of a target from which cached parts of the prompt can be copied. */
	readonly copyFromAddress?: string;
	/** Time at which the answer has to be whole. */
	readonly deadlineAt: number;
	/** Silence before the first part of the answer after which the reducer wants to be told, in milliseconds; 0: never. */
	readonly answerStartTimeoutMs: number;
	/** The same between events of a stream. */
	readonly eventGapTimeoutMs: number;
};

/** Stop a send and close its connection; no event follows. */
export type CancelEffect = {readonly kind: typeof effectKind.cancel; readonly openId: number; readonly sendId: number};

/** Answer the caller with a failure of this instance's own. */
export type RefuseEffect = {readonly kind: typeof effectKind.refuse; readonly openId: number; readonly failure: Failure};

/** Answer the caller with the target's failure that is held. */
export type DeliverHeldEffect = {readonly kind: typeof effectKind.deliverHeld; readonly openId: number};

/** Close the caller's connection: its answer cannot be finished. */
export type BreakOffEffect = {readonly kind: typeof effectKind.breakOff; readonly openId: number};

export type CallPeerEffect = {readonly kind: typeof effectKind.callPeer; readonly address: string; readonly message: PeerMessage};
export type AnswerPeerEffect = {readonly kind: typeof effectKind.answerPeer; readonly callId: number; readonly message: PeerMessage};

export const logLevel = {info: 'info', warn: 'warn'} as const;

/** Write a log line. */
export type LogEffect = {
	readonly kind: typeof effectKind.log;
	readonly level: typeof logLevel[keyof typeof logLevel];
	readonly event: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Read the platform, or leave that to others. */
export type WatchEffect = {
	readonly kind: typeof effectKind.watch;
	readonly isWatching: boolean;
	/** The directory is known up to here. */
	readonly revision: number;
};

/** Everything is finished: the process may end. */
export type FinishDrainEffect = {readonly kind: typeof effectKind.finishDrain};

export type Effect =
	| SendEffect | CancelEffect | RefuseEffect | DeliverHeldEffect | BreakOffEffect | CallPeerEffect
	| AnswerPeerEffect | WatchEffect | LogEffect | FinishDrainEffect;
