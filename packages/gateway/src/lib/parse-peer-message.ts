/**
 * Parses messages of peers. A message is applied only if all of its fields have the
 * form that instances send: a part of it that cannot be used would otherwise remain
 * in the state and fail every later decision.
 */
import {
	factKind, routeKind, type LoadMessage, type PeerMessage, type StreamMessage,
} from '@sequoiatally/dispatch';
import {err, ok, type Result} from 'neverthrow';

type Check = (value: unknown) => boolean;

const isString: Check = value => typeof value === 'string';
const isBoolean: Check = value => typeof value === 'boolean';
const isNumber: Check = value => typeof value === 'number' && Number.isFinite(value);

function createOptionalCheck(check: Check): Check {
	return value => value === undefined || check(value);
}

function createListCheck(check: Check): Check {
	return value => Array.isArray(value) && value.every(item => check(item));
}

/** Checks the named fields of an object; other fields are ignored. */
function createObjectCheck(checks: Readonly<Record<string, Check>>): Check {
	const entries = Object.entries(checks);
	return value => typeof value === 'object' && value !== null && entries.every(([name, check]) => check((value as Readonly<Record<string, unknown>>)[name]));
}

const isMemberEntry = createObjectCheck({
	id: isString, incarnation: isString, address: isString, zone: isString, ageMs: isNumber,
});

const kinds = new Set<unknown>(Object.values(routeKind));

const isTables = createObjectCheck({
	version: isNumber,
	routes: createListCheck(createObjectCheck({
		name: isString,
		host: isString,
		prefix: isString,
		kind: value => kinds.has(value),
		canResume: isBoolean,
		timeLimitMs: isNumber,
		latencyTargetMs: isNumber,
		eventGapMs: isNumber,
		splits: createListCheck(createObjectCheck({pool: isString, weight: isNumber})),
		targetLimit: isNumber,
		isPublic: isBoolean,
		hasPrompts: isBoolean,
		rank: createOptionalCheck(isNumber),
	})),
	pools: createListCheck(createObjectCheck({name: isString, coldRatePerS: isNumber, probePath: createOptionalCheck(isString)})),
	accounts: createOptionalCheck(createListCheck(createObjectCheck({
		name: isString, keyDigests: createListCheck(isString), rank: createOptionalCheck(isNumber),
	}))),
	limits: createObjectCheck({headBytes: isNumber, bodyBytes: isNumber, idleTimeoutMs: isNumber}),
});

const isTarget = createObjectCheck({
	id: isString, pool: isString, address: isString, zone: isString, slots: isNumber, isLeaving: isBoolean, coldMs: isNumber, bornAt: isNumber,
	softwareVersion: isString,
});

const factChecks: ReadonlyArray<readonly [string, Check]> = [
	[factKind.tables, createObjectCheck({tables: isTables})],
	[factKind.zoneClosed, createObjectCheck({zone: isString})],
	[factKind.target, createObjectCheck({target: isTarget})],
];

const isFact: Check = value => factChecks.some(([kind, check]) => (value as {readonly kind?: unknown} | null)?.kind === kind && check(value)); // eslint-disable-line @typescript-eslint/no-restricted-types -- a value of JSON

const isUpdate = createObjectCheck({
	epoch: createOptionalCheck(isNumber),
	changes: createListCheck(createObjectCheck({
		subject: isString,
		revision: isNumber,
		fact: createOptionalCheck(isFact),
		changeRevision: createOptionalCheck(isNumber),
		removedProcess: createOptionalCheck(createObjectCheck({bornAt: isNumber, isLeaving: isBoolean})),
	})),
	revision: isNumber,
	since: isNumber,
});

const isVersionCount: Check = value => Array.isArray(value) && value.length === 2 && isString(value[0]) && isNumber(value[1]);

const isPeerMessage = createObjectCheck({
	from: isMemberEntry,
	members: createListCheck(isMemberEntry),
	epoch: createOptionalCheck(isNumber),
	revision: isNumber,
	tablesVersion: createOptionalCheck(isNumber),
	tablesRanks: createOptionalCheck(isNumber),
	tables: createOptionalCheck(isTables),
	directoryAgeMs: createOptionalCheck(isNumber),
	loads: createListCheck(createObjectCheck({targetId: isString, load: isNumber, ageMs: isNumber})),
	limits: createOptionalCheck(createListCheck(createObjectCheck({
		targetId: isString, bornAt: isNumber, requestsPerS: createOptionalCheck(isNumber), rejectionsPerS: createOptionalCheck(isNumber), ageMs: isNumber,
	}))),
	leaving: createOptionalCheck(createListCheck(createObjectCheck({targetId: isString, bornAt: isNumber, ageMs: isNumber}))),
	readings: createListCheck(createObjectCheck({
		partIds: createListCheck(isString), targetId: isString, bornAt: isNumber, ageMs: isNumber,
	})),
	failures: createOptionalCheck(createListCheck(createObjectCheck({
		id: isString, kind: isString, instance: isString, targetId: isString, bornAt: isNumber, ageMs: isNumber,
	}))),
	suspects: createOptionalCheck(createListCheck(createObjectCheck({
		partId: isString,
		crashes: createListCheck(createObjectCheck({
			targetId: isString, bornAt: isNumber, ageMs: isNumber, sentAgeMs: createOptionalCheck(isNumber),
		})),
		begunAgeMs: createOptionalCheck(isNumber),
	}))),
	accountLoads: createOptionalCheck(createListCheck(createObjectCheck({
		pool: isString,
		instances: isNumber,
		completionsPerS: isNumber,
		requestsPerS: isNumber,
		accounts: createListCheck(createObjectCheck({name: isString, requestsPerS: isNumber})),
	}))),
	demands: createOptionalCheck(createListCheck(createObjectCheck({prefix: isString, requests: isNumber, instances: createOptionalCheck(isNumber)}))),
	arrivals: createOptionalCheck(createListCheck(createObjectCheck({prefix: isString, count: isNumber, durationMs: isNumber}))),
	services: createOptionalCheck(createListCheck(createObjectCheck({pool: isString, ageMs: isNumber}))),
	unreachedPools: createOptionalCheck(createListCheck(isString)),
	versionsKnownMs: createOptionalCheck(isNumber),
	versions: createOptionalCheck(createListCheck(createObjectCheck({
		pool: isString,
		knownMs: isNumber,
		states: createListCheck(createObjectCheck({counts: createListCheck(isVersionCount), endedMs: createOptionalCheck(isNumber)})),
	}))),
	wantsUpdate: isBoolean,
	isWatching: createOptionalCheck(isBoolean),
	readingMs: createOptionalCheck(isNumber),
	lapseGraceMs: createOptionalCheck(isNumber),
	update: createOptionalCheck(isUpdate),
	isLeaving: createOptionalCheck(isBoolean),
});

const isSharedStream: Check = value => Array.isArray(value) && value.length === 2 && isString(value[0]) && isString(value[1]);

const isStreamMessage = createObjectCheck({
	from: createObjectCheck({id: isString, incarnation: isString}),
	streams: createListCheck(isSharedStream),
	askedKeys: createListCheck(isString),
});

const isLoadMessage = createObjectCheck({
	from: createObjectCheck({id: isString, incarnation: isString}),
	targetId: isString,
	bornAt: isNumber,
	load: createOptionalCheck(isNumber),
	loadLimit: createOptionalCheck(isNumber),
});

/** Parses the JSON text of a message; the error describes the fault. */
export function parsePeerMessage(text: string): Result<PeerMessage, string> {
	return parseMessage<PeerMessage>(text, isPeerMessage);
}

/** Parses the JSON text of a message about streams; the error describes the fault. */
export function parseStreamMessage(text: string): Result<StreamMessage, string> {
	return parseMessage<StreamMessage>(text, isStreamMessage);
}

/** Parses the JSON text of a message about the load of a target; the error describes the fault. */
export function parseLoadMessage(text: string): Result<LoadMessage, string> {
	return parseMessage<LoadMessage>(text, isLoadMessage);
}

function parseMessage<T>(text: string, isMessage: Check): Result<T, string> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return err('the message is not JSON');
	}

	return isMessage(value) ? ok(value as T) : err('the message lacks fields, or some of its fields are malformed');
}
