/**
 * The configuration that operators publish: a table of routes and a table of
 * pools joined by names, the client accounts, and the limits of the fleet.
 *
 * The tables are one document with one version, because routes refer to pools
 * by name and a change of both has to take effect together.
 */
import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, 'use 1 to 63 of a-z, 0-9 and "-"');
const digestSchema = z.string().regex(/^[\da-f]{64}$/, 'use the SHA-256 of the key as 64 hexadecimal digits');
const durationSchema = z.number().int().nonnegative().max(86_400_000);

/** What a route leads to: an engine's token stream, or a plain HTTP service. */
export const routeKind = {
	model: 'model',
	plain: 'plain',
} as const;
export type RouteKind = typeof routeKind[keyof typeof routeKind];

export const routeSchema = z.object({
	name: nameSchema,
	kind: z.enum(Object.values(routeKind)),
	/** Exact path for model routes, path prefix for plain routes. */
	path: z.string().startsWith('/').max(256),
	/** Value of the request's `model` field; model routes only. */
	model: z.string().min(1).max(128).optional(),
	methods: z.array(z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH'])).min(1).default(['POST']),
	pool: nameSchema,
	/** False: a request runs at most once and is never sent again. */
	repeatable: z.boolean(),
	/** True: no key is needed; the limit of `openAccount` applies. */
	open: z.boolean().default(false),
	/** Client account whose limits an open route's requests count against. */
	openAccount: nameSchema.optional(),
	/** Time within which an answer has to be whole, in milliseconds. */
	deadlineMs: durationSchema.default(120_000),
}).strict();
export type Route = z.infer<typeof routeSchema>;

export const poolSchema = z.object({
	name: nameSchema,
	/** Highest load of one target as a multiple of the pool's mean load; `loadFloor` comes on top. */
	loadMultiple: z.number().min(1).max(100).default(2),
	/** Requests in flight at one target that do not count against the multiple, over the whole fleet. */
	loadFloor: z.number().int().min(0).max(10_000).default(8),
	/** Requests in flight that one target bears, over the whole fleet. */
	slotsPerTarget: z.number().int().min(1).max(10_000).default(32),
	/** Requests in flight that a cold target bears, over the whole fleet. */
	coldSlots: z.number().int().min(1).max(10_000).default(2),
	/** Time after its boot until a target counts as warm, in milliseconds. */
	warmAfterMs: durationSchema.default(10_000),
	/** Requests that one router may keep waiting for this pool. */
	queueLimit: z.number().int().min(0).max(10_000).default(64),
	/** Longest time that a request waits for a target, in milliseconds. */
	queueMs: durationSchema.default(1000),
}).strict();
export type Pool = z.infer<typeof poolSchema>;

export const accountSchema = z.object({
	name: nameSchema,
	/** Requests per second, over the whole fleet. */
	rate: z.number().positive().max(1_000_000),
	/** Requests that may come at once, over the whole fleet. */
	burst: z.number().min(1).max(1_000_000),
	/** SHA-256 digests of the account's keys; withdrawing one removes it here. */
	keyDigests: z.array(digestSchema).max(64).default([]),
	/** Highest priority that the account may ask for; 0 is the lowest. */
	highestPriority: z.number().int().min(0).max(9).default(5),
}).strict();
export type Account = z.infer<typeof accountSchema>;

export const fleetSchema = z.object({
	/** Most router instances that may exist at once, replacements included. */
	ceiling: z.number().int().min(1).max(10_000),
	/** Longest time until the list shows a started instance, in milliseconds. */
	listLagMs: durationSchema.default(3000),
	/** Age of the list at which an instance no longer counts on it. */
	freshMs: durationSchema.default(3000),
	/** Age of the configuration at which an instance refuses all new work. */
	staleLimitMs: durationSchema.default(3_600_000),
	/** Term of a loan between instances, in milliseconds. */
	loanTermMs: durationSchema.default(1500),
	/** Instances whose end the operators have confirmed. */
	gone: z.array(z.string().max(128)).default([]),
}).strict();
export type Fleet = z.infer<typeof fleetSchema>;

export const configurationSchema = z.object({
	version: z.number().int().positive(),
	fleet: fleetSchema,
	routes: z.array(routeSchema).min(1).max(1000),
	pools: z.array(poolSchema).min(1).max(1000),
	accounts: z.array(accountSchema).max(10_000),
	/** Availability zones that get no new work. */
	drainedZones: z.array(nameSchema).default([]),
}).strict();
export type Configuration = z.infer<typeof configurationSchema>;
