/**
 * The configuration published by operators: routes, the pools to which they
 * refer by name, client accounts, and the limits of the fleet.
 *
 * All tables are one document with one version, because routes refer to pools
 * by name and a change to both has to take effect at once.
 */
import {z} from 'zod';

const nameSchema = z.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, 'use 1 to 63 characters from a-z, 0-9 and "-"');
const digestSchema = z.string().regex(/^[\da-f]{64}$/, 'use the SHA-256 of the key as 64 hexadecimal digits');
const durationSchema = z.number().int().nonnegative().max(86_400_000);

/** What a route serves: the token stream of an engine, or a plain HTTP service. */
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
	/** Value of the request's `model` field that the route matches; model routes only. */
	model: z.string().min(1).max(128).optional(),
	methods: z.array(z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH'])).min(1).default(['POST']),
	pool: nameSchema,
	/** Whether requests may be retried; otherwise a request runs at most once and is never sent again. */
	repeatable: z.boolean(),
	/** Whether requests need no key; the limits of `openAccount` then apply. */
	open: z.boolean().default(false),
	/** Client account to whose limits the requests of an open route are charged. */
	openAccount: nameSchema.optional(),
	/** Time within which an answer has to be complete, in milliseconds. */
	deadlineMs: durationSchema.default(120_000),
}).strict();
export type Route = z.infer<typeof routeSchema>;

export const poolSchema = z.object({
	name: nameSchema,
	/** Load limit of one target as a multiple of the pool's mean load; `loadFloor` raises it while the load is low. */
	loadMultiple: z.number().min(1).max(100).default(2),
	/** Requests in flight at one target, across the fleet, that are allowed even if `loadMultiple` gives less; `load-limit.ts` states the exact bounds. */
	loadFloor: z.number().int().min(0).max(10_000).default(8),
	/** Concurrency limit of one target: most requests in flight, across the fleet. */
	slotsPerTarget: z.number().int().min(1).max(10_000).default(32),
	/** Concurrency limit of a cold target: most requests in flight, across the fleet. */
	coldSlots: z.number().int().min(1).max(10_000).default(2),
	/** Time after its boot at which a target counts as warm, in milliseconds. */
	warmAfterMs: durationSchema.default(10_000),
	/** Most requests that one router may queue for this pool. */
	queueLimit: z.number().int().min(0).max(10_000).default(64),
	/** Longest time for which a request is queued for a target, in milliseconds. */
	queueMs: durationSchema.default(1000),
}).strict();
export type Pool = z.infer<typeof poolSchema>;

export const accountSchema = z.object({
	name: nameSchema,
	/** Requests per second, across the fleet. */
	rate: z.number().positive().max(1_000_000),
	/** Burst size in requests, across the fleet. */
	burst: z.number().min(1).max(1_000_000),
	/** SHA-256 digests of the account's keys; a key is revoked by removing its digest. */
	keyDigests: z.array(digestSchema).max(64).default([]),
	/** Highest priority that requests of the account may have; 0 is the lowest priority. */
	highestPriority: z.number().int().min(0).max(9).default(5),
}).strict();
export type Account = z.infer<typeof accountSchema>;

export const fleetSchema = z.object({
	/** Most router instances that may exist at once, including replacements. */
	ceiling: z.number().int().min(1).max(10_000),
	/** Longest time from the start of an instance until the list shows it, in milliseconds. */
	listLagMs: durationSchema.default(3000),
	/** Age at which an instance no longer relies on its list, in milliseconds. */
	freshMs: durationSchema.default(3000),
	/** Age of the configuration at which an instance refuses all new work, in milliseconds. */
	staleLimitMs: durationSchema.default(3_600_000),
	/** Term of a loan between instances, in milliseconds. */
	loanTermMs: durationSchema.default(1500),
	/** Instances that operators have confirmed to be stopped. */
	gone: z.array(z.string().max(128)).default([]),
}).strict();
export type Fleet = z.infer<typeof fleetSchema>;

export const configurationSchema = z.object({
	version: z.number().int().positive(),
	fleet: fleetSchema,
	routes: z.array(routeSchema).min(1).max(1000),
	pools: z.array(poolSchema).min(1).max(1000),
	accounts: z.array(accountSchema).max(10_000),
	/** Availability zones that receive no new work. */
	drainedZones: z.array(nameSchema).default([]),
}).strict();
export type Configuration = z.infer<typeof configurationSchema>;
