/**
 * The routes of the administration API: what each takes and returns. The
 * server, the OpenAPI page and the tests are all made from this table.
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

/** Most entries of one answer. */
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
	/** Targets that were tried, in order. */
	targetIds: z.array(z.string()),
	/** Why it was refused, or how its last attempt ended. */
	reason: z.string().optional(),
	entries: z.array(timelineLineSchema),
});

const drainSchema = z.object({isDraining: z.boolean(), openRequests: z.number()});

/** Every route that needs a token. */
export const adminRoutes = {
	status: {
		method: 'get', path: '/v1/status', summary: 'This instance: version in force, freshness, readiness and standing alarms', response: statusSchema,
	},
	instances: {
		method: 'get', path: '/v1/instances', summary: 'Instances of the list, and what was last heard of each', response: z.object({instances: z.array(instanceSchema)}),
	},
	tables: {
		method: 'get', path: '/v1/tables', summary: 'The configuration in force; digests of keys are left out', response: configurationSchema,
	},
	targets: {
		method: 'get',
		path: '/v1/targets',
		summary: 'Targets with load, coldness and slots',
		query: z.object({pool: textSchema.optional()}).strict(),
		response: z.object({targets: z.array(targetSchema)}),
	},
	accounts: {
		method: 'get',
		path: '/v1/accounts',
		summary: 'Client accounts with their limits and the shares of this instance',
		query: z.object({name: textSchema.optional()}).strict(),
		response: z.object({accounts: z.array(accountSchema)}),
	},
	refusals: {
		method: 'get',
		path: '/v1/refusals',
		summary: 'Recent refusals, counted by type and the newest in full',
		query: z.object({sinceMs: wallTimeSchema.default(0), limit: limitSchema}).strict(),
		response: refusalsSchema,
	},
	timeline: {
		method: 'get',
		path: '/v1/timeline',
		summary: 'Kept time line entries, oldest first; the newest that fit the limit',
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
		summary: 'Why a request went where it went, or was refused, from kept entries',
		parameters: z.object({requestId: textSchema}),
		response: requestSchema,
	},
	explain: {
		method: 'post',
		path: '/v1/explain',
		summary: 'Dry run: where a request would go now, and why',
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
		method: 'post', path: '/v1/drain', summary: 'Takes no new work; open requests go on and the process stays', response: drainSchema,
	},
	undrain: {
		method: 'post', path: '/v1/undrain', summary: 'Takes new work again', response: drainSchema,
	},
} as const satisfies Record<string, AdminRoute>;

export type AdminRouteName = keyof typeof adminRoutes;

/** What a route's handler gets: the checked input and who asked. */
export type AdminInput<N extends AdminRouteName> = {
	readonly operator: string;
	readonly parameters: InputOf<N, 'parameters'>;
	readonly query: InputOf<N, 'query'>;
	readonly body: InputOf<N, 'body'>;
};

type InputOf<N extends AdminRouteName, F extends string> = (typeof adminRoutes)[N] extends Readonly<Record<F, infer S extends z.ZodType>>
	? z.output<S>
	: undefined;

/** What a route's handler returns. */
export type AdminOutput<N extends AdminRouteName> = z.input<(typeof adminRoutes)[N]['response']>;
