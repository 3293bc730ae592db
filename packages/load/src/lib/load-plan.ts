/**
 * The load plan of a run: the deployment to start, the requests that callers
 * send, and the faults to inject with their times. A plan is one JSON document
 * that is validated completely before any process starts; counts and times are
 * bounded.
 */
import {engineFault, serviceMode} from '@sequoiatally/stand-ins';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

const maxRunDurationMs = 3_600_000;
/** The record of each request stays in memory until the report is written. */
const maxRequestCount = 500_000;
/** Limit for each kind of process, because all processes of a run share one machine. */
const maxProcessCount = 64;

const timeSchema = z.number().int().min(0).max(maxRunDurationMs);
const durationSchema = z.number().int().min(1).max(maxRunDurationMs);
const fractionSchema = z.number().min(0).max(1);
const countSchema = z.number().int().min(0).max(maxProcessCount);
const indexSchema = z.number().int().min(0).max(maxProcessCount);
const textSchema = z.string().min(1).max(256);

/** Faults and operator actions that a run can inject. */
export const faultKind = {
	/** Kills a router with SIGKILL and does not replace it. */
	killRouter: 'kill-router',
	/** Kills a router with SIGKILL and starts another one. */
	replaceRouter: 'replace-router',
	/** Rolling replacement: for each router in turn, starts a new router and drains the old one. */
	replaceAllRouters: 'replace-all-routers',
	/** Suspends a router's process for the duration. */
	freezeRouter: 'freeze-router',
	/** Cuts a router's connections to the configuration service and the peers' connections to the router. */
	cutRouter: 'cut-router',
	/** Kills a target with SIGKILL and restarts it after the duration. */
	restartTarget: 'restart-target',
	/** Empties a target's cache and makes it cold, without notice to the routers. */
	turnTargetCold: 'turn-target-cold',
	/** Puts an engine stand-in into one of its failure modes for the duration. */
	breakTarget: 'break-target',
	/** Publishes a configuration that drains an availability zone, and another that restores it after the duration. */
	drainZone: 'drain-zone',
	/** Puts the configuration service into another mode for the duration. */
	changePlatform: 'change-platform',
	/** Publishes a configuration without the keys of a client account. */
	withdrawKey: 'withdraw-key',
} as const;

const faultSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal(faultKind.killRouter), atMs: timeSchema, router: indexSchema}).strict(),
	z.object({kind: z.literal(faultKind.replaceRouter), atMs: timeSchema, router: indexSchema}).strict(),
	z.object({kind: z.literal(faultKind.replaceAllRouters), atMs: timeSchema}).strict(),
	z.object({
		kind: z.literal(faultKind.freezeRouter), atMs: timeSchema, router: indexSchema, durationMs: durationSchema,
	}).strict(),
	z.object({
		kind: z.literal(faultKind.cutRouter), atMs: timeSchema, router: indexSchema, durationMs: durationSchema,
	}).strict(),
	z.object({
		kind: z.literal(faultKind.restartTarget), atMs: timeSchema, target: textSchema, durationMs: durationSchema,
	}).strict(),
	z.object({kind: z.literal(faultKind.turnTargetCold), atMs: timeSchema, target: textSchema}).strict(),
	z.object({
		kind: z.literal(faultKind.breakTarget), atMs: timeSchema, target: textSchema, fault: z.enum(Object.values(engineFault)), durationMs: durationSchema,
	}).strict(),
	z.object({
		kind: z.literal(faultKind.drainZone), atMs: timeSchema, zone: textSchema, durationMs: durationSchema,
	}).strict(),
	z.object({
		kind: z.literal(faultKind.changePlatform), atMs: timeSchema, mode: z.enum(Object.values(serviceMode)), durationMs: durationSchema,
	}).strict(),
	z.object({kind: z.literal(faultKind.withdrawKey), atMs: timeSchema, account: textSchema}).strict(),
]);
export type PlannedFault = z.infer<typeof faultSchema>;

const deploymentSchema = z.object({
	/** Path of the configuration file, relative to the directory of the plan. */
	configuration: textSchema,
	routerCount: countSchema.min(1),
	zones: z.array(textSchema).min(1).max(16),
	modelPool: textSchema,
	/** Value of the `model` field of chat requests. */
	model: textSchema,
	engineCount: countSchema.min(1),
	plainPool: textSchema,
	plainCount: countSchema,
	/** Additional flags of each engine stand-in. */
	engineFlags: z.array(textSchema).max(32).default([]),
	/** The key of a client account is this prefix followed by the account's name. */
	keyPrefix: textSchema.default('example-key-'),
}).strict();

const chatsSchema = z.object({
	/** Mean number of turns in a chat. */
	meanTurns: z.number().min(1).max(1000).default(8),
	/** Mean of the exponential distribution of pauses between two turns, in milliseconds. */
	pauseMs: durationSchema.default(4000),
	/** Fraction of the pauses that follow the long-tailed distribution instead. */
	longFraction: fractionSchema.default(0.1),
	/** Minimum of the long-tailed distribution, in milliseconds. */
	longPauseMs: durationSchema.default(15_000),
}).strict();

const surgeSchema = z.object({
	account: textSchema, atMs: timeSchema, durationMs: durationSchema, multiple: z.number().positive().max(100),
}).strict();
export type Surge = z.infer<typeof surgeSchema>;

const trafficSchema = z.object({
	/** Mean request rate of each client account as a multiple of its rate limit. */
	rateMultiple: z.number().positive().max(100).default(0.5),
	/** Fraction of an account's requests that go to the same router while the available routers stay the same. */
	stickyFraction: fractionSchema.default(0.5),
	/** Fraction of the requests that are plain and not idempotent. */
	bookingFraction: fractionSchema.default(0.1),
	bookingPath: z.string().startsWith('/').default('/v1/bookings'),
	/** Fraction of the requests that are plain and idempotent. */
	readFraction: fractionSchema.default(0),
	readPath: z.string().startsWith('/').default('/v1/records'),
	/** Requests per second without a key, to a public route. */
	openRate: z.number().min(0).max(100_000).default(0),
	openPath: z.string().startsWith('/').default('/public/notices'),
	/** Fraction of the requests that have the priority `urgentPriority`; the priority of all others is 0. */
	urgentFraction: fractionSchema.default(0.1),
	urgentPriority: z.number().int().min(0).max(9).default(5),
	fewestTokens: z.number().int().min(1).max(10_000).default(8),
	mostTokens: z.number().int().min(1).max(10_000).default(64),
	chats: chatsSchema.prefault({}),
	surges: z.array(surgeSchema).max(100).default([]),
}).strict();

const loadPlanSchema = z.object({
	name: z.string().regex(/^[a-z\d][a-z\d-]{0,62}$/, 'use 1 to 63 of a-z, 0-9 and "-"'),
	seed: z.number().int().min(1).max(2_147_483_647),
	/** Time without traffic after the start, in milliseconds, in which targets warm up and shares fill. */
	settleMs: timeSchema.default(6000),
	/** Duration of the traffic, in milliseconds. */
	durationMs: durationSchema,
	/** Maximum number of requests in the schedule. */
	requestLimit: z.number().int().min(1).max(maxRequestCount).default(100_000),
	/** Maximum number of open requests; requests above it are not sent and count as unsent. */
	openLimit: z.number().int().min(1).max(20_000).default(4000),
	deployment: deploymentSchema,
	traffic: trafficSchema.prefault({}),
	faults: z.array(faultSchema).max(200).default([]),
}).strict();
export type LoadPlan = z.infer<typeof loadPlanSchema>;

export const planErrorKind = {
	notJson: 'not-json',
	schema: 'schema',
	outsideRun: 'outside-run',
	unknownZone: 'unknown-zone',
	unknownRouter: 'unknown-router',
	unknownTarget: 'unknown-target',
	badRange: 'bad-range',
} as const;

export type PlanError = {
	readonly kind: typeof planErrorKind[keyof typeof planErrorKind];
	/** Path in the document, such as `faults.2.zone`. */
	readonly place: string;
	readonly message: string;
};

/** Parses a load plan from JSON text and validates it with `checkLoadPlan`. */
export function parseLoadPlan(text: string): Result<LoadPlan, readonly PlanError[]> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return Err([{kind: planErrorKind.notJson, place: '', message: `The plan is not JSON: ${(error as Error).message}`}]);
	}

	return checkLoadPlan(value);
}

/** Validates a parsed plan against the schema and reports all violations; if there are none, reports all inconsistencies between its parts. */
export function checkLoadPlan(value: unknown): Result<LoadPlan, readonly PlanError[]> {
	const parsed = loadPlanSchema.safeParse(value);
	if (!parsed.success) {
		return Err(parsed.error.issues.map(({path, message}) => ({kind: planErrorKind.schema, place: path.join('.'), message})));
	}

	const plan = parsed.data;
	const errors = [
		...findTrafficErrors(plan),
		...plan.faults.flatMap((fault, index) => findPlannedFaultErrors(plan, fault, `faults.${index}`)),
	];
	return errors.length > 0 ? Err(errors) : Ok(plan);
}

function findTrafficErrors({traffic, durationMs}: LoadPlan): PlanError[] {
	const errors: PlanError[] = [];
	if (traffic.fewestTokens > traffic.mostTokens) {
		errors.push({kind: planErrorKind.badRange, place: 'traffic.fewestTokens', message: 'fewestTokens must not be larger than mostTokens.'});
	}

	if (traffic.bookingFraction + traffic.readFraction > 1) {
		errors.push({kind: planErrorKind.badRange, place: 'traffic.bookingFraction', message: 'The sum of bookingFraction and readFraction must not exceed 1.'});
	}

	for (const [index, {atMs}] of traffic.surges.entries()) {
		if (atMs >= durationMs) {
			errors.push(createOutsideRunError(`traffic.surges.${index}.atMs`, atMs, durationMs));
		}
	}

	return errors;
}

function findPlannedFaultErrors({durationMs, deployment}: LoadPlan, fault: PlannedFault, place: string): PlanError[] {
	const errors: PlanError[] = [];
	if (fault.atMs >= durationMs) {
		errors.push(createOutsideRunError(`${place}.atMs`, fault.atMs, durationMs));
	}

	if ('zone' in fault && !deployment.zones.includes(fault.zone)) {
		errors.push({kind: planErrorKind.unknownZone, place: `${place}.zone`, message: `The deployment has no zone "${fault.zone}"; it has ${deployment.zones.join(', ')}.`});
	}

	if ('router' in fault && fault.router >= deployment.routerCount) {
		errors.push({kind: planErrorKind.unknownRouter, place: `${place}.router`, message: `The deployment has no such router; routers are numbered from 0 to ${deployment.routerCount - 1}.`});
	}

	if ('target' in fault && !listTargetIds(deployment).includes(fault.target)) {
		errors.push({kind: planErrorKind.unknownTarget, place: `${place}.target`, message: `The deployment has no target "${fault.target}"; a target's name consists of pool and number, such as "${deployment.modelPool}-1".`});
	}

	return errors;
}

function listTargetIds({modelPool, engineCount, plainPool, plainCount}: LoadPlan['deployment']): string[] {
	return [
		...Array.from({length: engineCount}, (_, index) => `${modelPool}-${index + 1}`),
		...Array.from({length: plainCount}, (_, index) => `${plainPool}-${index + 1}`),
	];
}

function createOutsideRunError(place: string, atMs: number, durationMs: number): PlanError {
	return {kind: planErrorKind.outsideRun, place, message: `${atMs} ms is not within the ${durationMs} ms of traffic.`};
}
