/**
 * Protocols between a gateway and its environment, as abstract classes. The
 * implementations for a platform are passed to the gateway when it is created.
 */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {
	RequestHead, DirectoryPosition, DirectoryUpdate, Failure, PlatformHistory, ReadHistoryEffect, SendEffect, TargetStatement,
} from '@sequoiatally/dispatch';
import type {LifecycleManager} from '@sequoiatally/runtime';
import type {Result} from 'neverthrow';

/** Describes an invalid request head, for the log. */
export type HeadFault = {readonly detail: string};

/** Headers as a flat list of alternating names and values, in the order received. */
export type RawHeaders = readonly string[];

/** The protocol of callers. */
export abstract class CallerProtocol {
	abstract readHead(message: IncomingMessage): Result<RequestHead, HeadFault>;
	/** Creates the headers with which another instance reads the caller's request as this one did, with the time that is left. */
	abstract createRelayHeaders(callerHeaders: RawHeaders, send: SendEffect, now: number): string[];
	/** Creates the protocol's headers of an error response that the gateway itself generates. */
	abstract createFailureHeaders(failure: Failure): Record<string, string>;
}

export const responseKind = {
	/** The target's response to this request. */
	own: 'own',
	/** The target states that it did not run the request. */
	notRun: 'not-run',
	/** Another process listens on the target's address. */
	otherTarget: 'other-target',
	/** The response belongs to another request, or cannot come from the target. */
	stray: 'stray',
} as const;

/** What the head of a target's response states. */
export type ResponseHead = {
	readonly kind: typeof responseKind[keyof typeof responseKind];
	/** True if the response names the request that it belongs to. */
	readonly isIdentified: boolean;
	/** What the target states about itself; `undefined` if another process responded. */
	readonly statement?: TargetStatement;
};

/** The protocol of targets. */
export abstract class TargetProtocol {
	/** Creates the headers of a send from the caller's headers. */
	abstract createSendHeaders(callerHeaders: RawHeaders, send: SendEffect, now: number): string[];
	/** Creates the headers of a probe, which shows whether the target answers. */
	abstract createProbeHeaders(targetId: string): string[];
	abstract readResponseHead(status: number, headers: IncomingHttpHeaders, requestId: string): ResponseHead;
	/** Selects the headers of the target's response that are forwarded to the caller. */
	abstract selectResponseHeaders(headers: RawHeaders): string[];
}

/** Receives the reports of a directory source. */
export abstract class DirectoryListener {
	/** Handles an update, which contains all changes up to the time `confirmedAt`, and perhaps later ones. */
	abstract handleUpdate(update: DirectoryUpdate, confirmedAt: number): void;
	/** Handles a read of the directory that failed. */
	abstract handleReadFailure(detail: string): void;
	/** Handles the loss of the history after `revision`; the directory is read again in full. */
	abstract handleHistoryLost(revision: number): void;
	/**
	 * Handles a response with another epoch than the one before, which was at `revision`: the
	 * platform was restored from a copy. `before` is `undefined` at the first response.
	 */
	abstract handleEpochChanged(epoch: number, before: number | undefined, revision: number): void;
	/** Handles the history that was requested, of an epoch; `undefined` if it could not be read, with the fault. */
	abstract handleHistory(history: PlatformHistory | undefined, epoch: number, fault?: string): void;
	/** Handles the end of a refresh that started at `startedAt`; without an update it failed, with the fault. */
	abstract handleRefresh(update: DirectoryUpdate | undefined, startedAt: number, fault?: string): void;
	/** Handles an entry that cannot be decoded, with its key at the platform; the other entries remain valid. */
	abstract handleUnreadableEntry(key: string, detail: string): void;
}

/** The part of the history that is read. */
export type HistoryRequest = Omit<ReadHistoryEffect, 'kind'>;

/** Reads the directory and then watches it for changes. */
export abstract class DirectorySource {
	abstract start(listener: DirectoryListener, lifecycle: LifecycleManager): void;
	/** Stops watching for changes, or resumes from `position`. */
	abstract setWatching(isWatching: boolean, position: DirectoryPosition): void;
	/** Reads the history up to a position, as far as the source keeps it; the listener handles the result. */
	abstract readHistory(request: HistoryRequest): void;
	/** Reads the changes since `position` without waiting for any, beside the watch; the listener handles the result. */
	abstract refresh(position: DirectoryPosition): void;
}
