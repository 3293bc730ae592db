/**
 * What a gateway needs to know of the protocols around it. Each is an abstract
 * class; the one that speaks a platform's protocol is chosen at the start.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {
	CallerHead, DirectoryUpdate, Failure, Send,
} from '@sequoiatally/dispatch';
import type {LifecycleManager} from '@sequoiatally/runtime';
import type {Result} from 'neverthrow';

/** A head that cannot be read, for the log. */
export type HeadFault = {readonly detail: string};

/** Headers as a flat list of names and values, in the order of the wire. */
export type RawHeaders = readonly string[];

/** How callers speak. */
export abstract class CallerProtocol {
	abstract readHead(message: IncomingMessage): Result<CallerHead, HeadFault>;
	/** Headers of an answer with a failure of this instance's own. */
	abstract createFailureHeaders(failure: Failure): Record<string, string>;
}

export const responseKind = {
	/** The target's own answer to this request. */
	own: 'own',
	/** The target says that it did not run the request. */
	notRun: 'not-run',
	/** Another process has the target's address. */
	otherTarget: 'other-target',
	/** Belongs to another request, or cannot be from the target. */
	stray: 'stray',
} as const;

/** What the head of a target's answer says. */
export type ResponseHead = {
	readonly kind: typeof responseKind[keyof typeof responseKind];
	/** Requests at the target, if it tells. */
	readonly targetLoad?: number;
};

/** How targets speak. */
export abstract class TargetProtocol {
	/** Headers of a send, from those that the caller sent. */
	abstract createSendHeaders(callerHeaders: RawHeaders, send: Send, now: number): string[];
	abstract readResponseHead(status: number, headers: IncomingHttpHeaders, requestId: string): ResponseHead;
	/** Headers of the target's answer that the caller gets. */
	abstract selectResponseHeaders(headers: RawHeaders): string[];
}

/** What a source tells of the directory. */
export abstract class DirectoryListener {
	/** The platform answered; `askedAt` is a time before it made the answer. */
	abstract handleUpdate(update: DirectoryUpdate, askedAt: number): void;
	/** The platform did not answer as it should. */
	abstract handleReadFailure(detail: string): void;
	/** Something that it published cannot be read; the rest holds. */
	abstract handleUnreadableEntry(subject: string, detail: string): void;
}

/** Reads the directory and goes on telling what changes. */
export abstract class DirectorySource {
	abstract start(listener: DirectoryListener, lifecycle: LifecycleManager): void;
	/** Stops telling changes, or goes on from a revision. */
	abstract setWatching(isWatching: boolean, revision: number): void;
}
