/**
 * What the processes of targets state about themselves in their responses: how many
 * requests a second they take and survive rejecting, that they leave, and for how long this instance shall send
 * them nothing. A statement belongs to one process and ends with it; a process that
 * starts under the same id has stated nothing.
 *
 * Statements are kept apart from registrations: the platform may still describe a target
 * as it was before, and a registration may disappear and return while the process runs.
 */
import {evictOldest} from '../evict-oldest.js';
import type {SharedLeavingTarget, SharedTargetLimit} from '../members/peer-message.js';

/** What a target states about its load. */
export type TargetLoad = {
	/** Number of requests that the target runs. */
	readonly running: number;
	/** Number of requests that wait at the target. */
	readonly waiting: number;
	/** Number of requests that the target can run at the same time; `undefined` if it does not state it. */
	readonly slots?: number;
	/** How long work takes on the target's machine at this moment, as a multiple of the usual time; `undefined` if the target does not state it. */
	readonly slowness?: number;
};

/** What a target states about itself in a response. */
export type TargetStatement = {
	/** `undefined` if the target does not report its load. */
	readonly load?: TargetLoad;
	/** Number of requests a second that the target takes from all instances together; `undefined` if it sets no limit. */
	readonly requestsPerS?: number;
	/** Number of requests a second that the target survives rejecting, from all instances together; `undefined` if it states none. */
	readonly rejectionsPerS?: number;
	/** True if the process is about to end and wants no new requests. */
	readonly isLeaving?: boolean;
	/** Time for which the target wants no requests from this instance, in milliseconds. */
	readonly pauseMs?: number;
	/** Names of statements that cannot be read, for the log. */
	readonly unreadable?: readonly string[];
};

/** A process of a target: a restart under the same id is another process. */
export type ProcessId = {readonly id: string; readonly bornAt: number};

/** A target's statement, and the time at which the head of the response was read. */
export type TargetReport = TargetStatement & {
	readonly at: number;
	/** The process that responded, if a peer relayed the response. */
	readonly process?: ProcessId;
};

/** The limits that a target named in its latest response. */
type NamedLimit = {
	/** Time of that response. */
	readonly at: number;
	/** Requests a second from all instances together; `undefined` if the target named no limit. */
	readonly requestsPerS?: number;
	/** Rejections a second that the target survives; `undefined` if it stated none. */
	readonly rejectionsPerS?: number;
	/** Time of the latest response that named a limit. */
	readonly limitedAt: number;
};

/** The statements of one process that are in force. */
export type ProcessStatements = {
	limit?: NamedLimit;
	/** Time of the first response that stated that the process leaves. It does not change its mind: responses that left the target earlier may still arrive. */
	leavingSince?: number;
	/** Time until which the target wants no requests from this instance. */
	pausedUntil: number;
};

export const statementKind = {
	limit: 'limit', brittle: 'brittle', leaving: 'leaving', pause: 'pause',
} as const;
export type StatementKind = typeof statementKind[keyof typeof statementKind];

/** Longest time for which a target may keep this instance from sending, in milliseconds. */
const maxPauseMs = 60_000;
/** Number of processes whose statements are kept. */
const processLimit = 2048;
/** Time for which a named limit is shared with peers, and for which its end is, in milliseconds. */
const sharedLimitMaxAgeMs = 10_000;
/** Number of named limits in one message, the latest first. */
const limitsPerMessage = 64;
/** Time for which peers are told that a process leaves, in milliseconds. */
const sharedLeavingMaxAgeMs = 30_000;
/** Number of leaving processes in one message, the latest first. */
const leavingPerMessage = 32;

export class TargetStatements {
	/** Statements by process, in the order of their last use. */
	readonly #byProcess = new Map<string, {readonly process: ProcessId; readonly statements: ProcessStatements}>();

	/** Finds the statements of a process; a process that has stated nothing gets an empty entry. */
	claim({id, bornAt}: ProcessId): ProcessStatements {
		const key = `${bornAt}/${id}`;
		const entry = this.#byProcess.get(key) ?? {process: {id, bornAt}, statements: {pausedUntil: 0}};
		this.#byProcess.delete(key);
		this.#byProcess.set(key, entry);
		evictOldest(this.#byProcess, processLimit);
		return entry.statements;
	}

	/** Describes the limits that targets named recently, and those that have ended, for peers. */
	describeLimits(now: number): SharedTargetLimit[] {
		const limits: SharedTargetLimit[] = [];
		for (const {process, statements: {limit}} of this.#byProcess.values()) {
			if (limit !== undefined && now - limit.limitedAt <= sharedLimitMaxAgeMs) {
				limits.push({
					targetId: process.id, bornAt: process.bornAt,
					requestsPerS: limit.requestsPerS, rejectionsPerS: limit.rejectionsPerS, ageMs: Math.round(now - limit.at),
				});
			}
		}

		return limits.sort((a, b) => a.ageMs - b.ageMs).slice(0, limitsPerMessage);
	}

	/** Describes the processes that recently stated that they leave, for peers. */
	describeLeaving(now: number): SharedLeavingTarget[] {
		const leaving: SharedLeavingTarget[] = [];
		for (const {process, statements: {leavingSince}} of this.#byProcess.values()) {
			if (leavingSince !== undefined && now - leavingSince <= sharedLeavingMaxAgeMs) {
				leaving.push({targetId: process.id, bornAt: process.bornAt, ageMs: Math.round(now - leavingSince)});
			}
		}

		return leaving.sort((a, b) => a.ageMs - b.ageMs).slice(0, leavingPerMessage);
	}
}

/** Records what a response stated; returns the kinds of statements that changed. */
export function recordStatement(statements: ProcessStatements, report: TargetReport): StatementKind[] {
	const {isLeaving, pauseMs, at} = report;
	const changed = recordNamedLimits(statements, report);

	if (isLeaving && recordLeaving(statements, at)) {
		changed.push(statementKind.leaving);
	}

	if (pauseMs !== undefined && pauseMs > 0) {
		statements.pausedUntil = Math.max(statements.pausedUntil, at + Math.min(pauseMs, maxPauseMs));
		changed.push(statementKind.pause);
	}

	return changed;
}

/** Records the limits that a response at time `at` named, or that it named none; returns the kinds that change. */
export function recordNamedLimits(statements: ProcessStatements, {requestsPerS, rejectionsPerS, at}: Omit<NamedLimit, 'limitedAt'>): StatementKind[] {
	const known = statements.limit;
	if (known !== undefined && at <= known.at) {
		return [];
	}

	const isNamed = requestsPerS !== undefined || rejectionsPerS !== undefined;
	statements.limit = {
		at, requestsPerS, rejectionsPerS, limitedAt: isNamed ? at : known?.limitedAt ?? Number.NEGATIVE_INFINITY,
	};
	const changed: StatementKind[] = [];
	if (known?.requestsPerS !== requestsPerS) {
		changed.push(statementKind.limit);
	}

	if (known?.rejectionsPerS !== rejectionsPerS) {
		changed.push(statementKind.brittle);
	}

	return changed;
}

/** Records that a process stated at time `at` that it leaves; returns false if that is known. */
export function recordLeaving(statements: ProcessStatements, at: number): boolean {
	if (statements.leavingSince !== undefined) {
		return false;
	}

	statements.leavingSince = at;
	return true;
}

/** True if the target's latest response stated that it falls over when it rejects too many requests. */
export function isBrittle({statements: {limit}}: {readonly statements: ProcessStatements}): boolean {
	return limit?.rejectionsPerS !== undefined;
}
