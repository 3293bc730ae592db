/**
 * Routes of the administration API, with the schemas of their inputs and
 * responses. The server, the OpenAPI document and the tests use this table.
 */
import {
	alarmKind, configurationSchema, refusalReason, runOutcome, targetStanding,
} from '@sequoiatally/core';
import {z} from 'zod';

/** One route of the API. */
export type AdminRoute = {
	readonly method: 'get' | 'post';
	/** Path with parameters in braces. */
	readonly path: string;
	readonly summary: string;
	readonly parameters?: z.ZodObject;
	readonly query?: z.ZodObject;
	readonly body?: z.ZodObject;
	readonly response: z.ZodType;
};

/** Largest number of entries in one response. */
const maxPageEntries = 5000;
const textSchema = z.string().min(1).max(256);
const limitSchema = z.coerce.number().int().min(1).max(maxPageEntries).default(500);
const wallTimeSchema = z.coerce.number().nonnegative();
const ageSchema = z.number().optional();

const alarmSchema = z.object({kind: z.enum(Object.values(alarmKind)), subject: z.string(), message: z.string()});

const statusSchema = z.object({
	instanceId: z.string(),
	incarnation: z.string(),
	zone: z.string(),
	uptimeMs: z.number(),
	isReady: z.boolean(),
	isDraining: z.boolean(),
	configurationVersion: z.number(),
	highestVersion: z.number(),
	configurationAgeMs: ageSchema,
	listAsOf: z.number(),
	listAgeMs: ageSchema,
	listedInstances: z.number(),
	listedTargets: z.number(),
	openRequests: z.number(),
	waitingRequests: z.number(),
	alarms: z.array(alarmSchema),
});

const instanceSchema = z.object({
	instanceId: z.string(),
	zone: z.string(),
	peerAddress: z.string(),
	listed: z.string(),
	isSelf: z.boolean(),
	heardAgoMs: ageSchema,
	configurationVersion: z.number().optional(),
	isDraining: z.boolean().optional(),
});

const targetSchema = z.object({
	targetId: z.string(),
	pool: z.string(),
	address: z.string(),
	zone: z.string(),
	isLeaving: z.boolean(),
	isZoneDrained: z.boolean(),
	avoidedForMs: z.number(),
	uptimeMs: ageSchema,
	evidenceAgeMs: ageSchema,
	isCold: z.boolean(),
	inFlight: z.number(),
	peerInFlight: z.number(),
	fleetSlots: z.number(),
	usableSlots: z.number(),
});

const shareSchema = z.object({
	ownedRate: z.number(),
	lentRate: z.number(),
	borrowedRate: z.number(),
	heldRate: z.number(),
	heldRoom: z.number(),
	lentRoom: z.number(),
	borrowedRoom: z.number(),
	tokens: z.number(),
});

const accountSchema = z.object({
	name: z.string(), rate: z.number(), burst: z.number(), keyCount: z.number(), openRequests: z.number(), share: shareSchema,
});

const refusalFields = {
	reason: z.enum(Object.values(refusalReason)), outcome: z.enum(Object.values(runOutcome)), message: z.string(),
};

const refusalsSchema = z.object({
	counts: z.array(z.object({reason: refusalFields.reason, outcome: refusalFields.outcome, count: z.number()})),
	newest: z.array(z.object({...refusalFields, requestId: z.string(), wallMs: z.number()})),
});

const timelineLineSchema = z.looseObject({
	wallMs: z.number(), monotonicMs: z.number(), process: z.string(), instanceId: z.string(), incarnation: z.string(), kind: z.string(), cause: z.string(),
});

const choiceSchema = z.object({
	refusal: z.object({...refusalFields, status: z.number(), retryAfterMs: z.number().optional()}).optional(),
	route: z.string().optional(),
	pool: z.string().optional(),
	account: accountSchema.optional(),
	chosenTargetId: z.string().optional(),
	targets: z.array(z.object({
		targetId: z.string(),
		zone: z.string(),
		standing: z.enum(Object.values(targetStanding)),
		rank: z.number().optional(),
		isCold: z.boolean(),
		inFlight: z.number(),
		usableSlots: z.number(),
	})),
});

const requestSchema = z.object({
	requestId: z.string(),
	end: z.enum(['completed', 'refused', 'caller-left', 'open']),
	route: z.string().optional(),
	account: z.string().optional(),
	/** Identifiers of the attempted targets, in order. */
	targetIds: z.array(z.string()),
	/** Cause of the refusal, or how the last attempt ended. */
	reason: z.string().optional(),
	entries: z.array(timelineLineSchema),
});

const drainSchema = z.object({isDraining: z.boolean(), openRequests: z.number()});

/** All routes that require an operator's token. */
export const adminRoutes = {
	status: {
		method: 'get', path: '/v1/status', summary: 'Status of this instance: configuration version in force, age of its documents, readiness and raised alarms', response: statusSchema,
	},
	instances: {
		method: 'get', path: '/v1/instances', summary: 'Listed instances with the state that each one last reported', response: z.object({instances: z.array(instanceSchema)}),
	},
	tables: {
		method: 'get', path: '/v1/tables', summary: 'The configuration in force, without key digests', response: configurationSchema,
	},
	targets: {
		method: 'get',
		path: '/v1/targets',
		summary: 'Targets with their load, cold state and slots',
		query: z.object({pool: textSchema.optional()}).strict(),
		response: z.object({targets: z.array(targetSchema)}),
	},
	accounts: {
		method: 'get',
		path: '/v1/accounts',
		summary: 'Client accounts with their limits and this instance\'s shares',
		query: z.object({name: textSchema.optional()}).strict(),
		response: z.object({accounts: z.array(accountSchema)}),
	},
	refusals: {
		method: 'get',
		path: '/v1/refusals',
		summary: 'Recent refusals: counts by reason and outcome, and the newest in full',
		query: z.object({sinceMs: wallTimeSchema.default(0), limit: limitSchema}).strict(),
		response: refusalsSchema,
	},
	timeline: {
		method: 'get',
		path: '/v1/timeline',
		summary: 'Timeline entries kept in memory, oldest first; if more match than the limit allows, the newest ones',
		query: z.object({
			request: textSchema.optional(),
			chat: textSchema.optional(),
			account: textSchema.optional(),
			target: textSchema.optional(),
			kind: textSchema.optional(),
			sinceMs: wallTimeSchema.optional(),
			untilMs: wallTimeSchema.optional(),
			limit: limitSchema,
		}).strict(),
		response: z.object({lines: z.array(timelineLineSchema)}),
	},
	request: {
		method: 'get',
		path: '/v1/requests/{requestId}',
		summary: 'Explains how a request was dispatched or why it was refused, from the timeline entries kept in memory',
		parameters: z.object({requestId: textSchema}),
		response: requestSchema,
	},
	explain: {
		method: 'post',
		path: '/v1/explain',
		summary: 'Dry run: the target that a request would be sent to now, and why',
		body: z.object({
			method: z.string().max(16).default('POST'),
			path: z.string().startsWith('/').max(2048),
			model: textSchema.optional(),
			chatId: textSchema,
			account: textSchema.optional(),
			priority: z.number().int().min(0).max(9).default(0),
		}).strict(),
		response: choiceSchema,
	},
	drain: {
		method: 'post', path: '/v1/drain', summary: 'Stops accepting new requests; open requests continue and the process keeps running', response: drainSchema,
	},
	undrain: {
		method: 'post', path: '/v1/undrain', summary: 'Accepts new requests again', response: drainSchema,
	},
} as const satisfies Record<string, AdminRoute>;

export type AdminRouteName = keyof typeof adminRoutes;

/** Input of a route's action: the validated parts of the request and the operator's name. */
export type AdminInput<N extends AdminRouteName> = {
	readonly operator: string;
	readonly parameters: InputOf<N, 'parameters'>;
	readonly query: InputOf<N, 'query'>;
	readonly body: InputOf<N, 'body'>;
};

type InputOf<N extends AdminRouteName, F extends string> = (typeof adminRoutes)[N] extends Readonly<Record<F, infer S extends z.ZodType>>
	? z.output<S>
	: undefined;

/** Response body of a route. */
export type AdminOutput<N extends AdminRouteName> = z.input<(typeof adminRoutes)[N]['response']>;
