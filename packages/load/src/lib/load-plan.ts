/**
 * The plan of a run: which deployment is started, what its callers send and
 * which faults come when. It is one JSON document, checked whole before
 * anything is started, and bounded in count and time.
 */
import {engineFault, serviceMode} from '@sequoiatally/stand-ins';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

/** Longest run, in milliseconds. */
const maxRunDurationMs = 3_600_000;
/** Most requests of one run; each is kept in memory until the report. */
const maxRequestCount = 500_000;
/** Most processes of one kind; a run shares one machine. */
const maxProcessCount = 64;

const timeSchema = z.number().int().min(0).max(maxRunDurationMs);
const durationSchema = z.number().int().min(1).max(maxRunDurationMs);
const fractionSchema = z.number().min(0).max(1);
const countSchema = z.number().int().min(0).max(maxProcessCount);
const indexSchema = z.number().int().min(0).max(maxProcessCount);
const textSchema = z.string().min(1).max(256);

/** What can go wrong, or be done by operators, during a run. */
export const faultKind = {
	/** Ends a router at once; its place stays empty. */
	killRouter: 'kill-router',
	/** Ends a router at once and starts another in its place. */
	replaceRouter: 'replace-router',
	/** Starts a new router, then drains an old one, for each router in turn. */
	replaceAllRouters: 'replace-all-routers',
	/** Stops a router's process for a while. */
	freezeRouter: 'freeze-router',
	/** Breaks a router's link to the configuration service, and the peers' links to it. */
	cutRouter: 'cut-router',
	/** Ends a target at once and starts it again after a while. */
	restartTarget: 'restart-target',
	/** Makes a target lose its cache and its warmth without notice. */
	turnTargetCold: 'turn-target-cold',
	/** Makes an engine fail in one of the stand-in's ways for a while. */
	breakTarget: 'break-target',
	/** Takes an availability zone out by a new configuration, and back by another. */
	drainZone: 'drain-zone',
	/** Changes how the configuration service behaves for a while. */
	changePlatform: 'change-platform',
	/** Withdraws all keys of a client account by a new configuration. */
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
	/** Path of the configuration, relative to the plan. */
	configuration: textSchema,
	routerCount: countSchema.min(1),
	zones: z.array(textSchema).min(1).max(16),
	modelPool: textSchema,
	/** Value of the `model` field of chat requests. */
	model: textSchema,
	engineCount: countSchema.min(1),
	plainPool: textSchema,
	plainCount: countSchema,
	/** Further flags of every engine stand-in. */
	engineFlags: z.array(textSchema).max(32).default([]),
	/** Keys of client accounts are this text and the account's name. */
	keyPrefix: textSchema.default('example-key-'),
}).strict();

const chatsSchema = z.object({
	/** Turns of a chat, on average. */
	meanTurns: z.number().min(1).max(1000).default(8),
	/** Mean of the usual pause before a chat returns, in milliseconds. */
	pauseMs: durationSchema.default(4000),
	/** Part of the pauses that come from the long tail. */
	longFraction: fractionSchema.default(0.1),
	/** Shortest pause of the long tail, in milliseconds. */
	longPauseMs: durationSchema.default(15_000),
}).strict();

const surgeSchema = z.object({
	account: textSchema, atMs: timeSchema, durationMs: durationSchema, multiple: z.number().positive().max(100),
}).strict();
export type Surge = z.infer<typeof surgeSchema>;

const trafficSchema = z.object({
	/** Mean demand of each client account as a multiple of its rate. */
	rateMultiple: z.number().positive().max(100).default(0.5),
	/** Part of an account's requests that go to its usual router. */
	stickyFraction: fractionSchema.default(0.5),
	/** Part of the requests that are not repeatable. */
	bookingFraction: fractionSchema.default(0.1),
	bookingPath: z.string().startsWith('/').default('/v1/bookings'),
	/** Part of the requests that are plain and repeatable. */
	readFraction: fractionSchema.default(0),
	readPath: z.string().startsWith('/').default('/v1/records'),
	/** Requests per second without a key, to a route that is open to all. */
	openRate: z.number().min(0).max(100_000).default(0),
	openPath: z.string().startsWith('/').default('/public/notices'),
	/** Part of the requests that have a priority above 0. */
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
	/** Time without traffic after the start, in milliseconds: targets warm up and shares fill. */
	settleMs: timeSchema.default(6000),
	/** Time during which requests are sent, in milliseconds. */
	durationMs: durationSchema,
	/** Most requests that are sent. */
	requestLimit: z.number().int().min(1).max(maxRequestCount).default(100_000),
	/** Most requests that are open at once; those beyond are counted and not sent. */
	openLimit: z.number().int().min(1).max(20_000).default(4000),
	deployment: deploymentSchema,
	traffic: trafficSchema.prefault({}),
	faults: z.array(faultSchema).max(200).default([]),
}).strict();
export type LoadPlan = z.infer<typeof loadPlanSchema>;

/** What was wrong in a plan, and where. */
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
	/** Place in the document, such as `faults.2.zone`. */
	readonly place: string;
	readonly message: string;
};

/** Parses JSON text and checks the plan in it; every fault is reported. */
export function parseLoadPlan(text: string): Result<LoadPlan, readonly PlanError[]> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return Err([{kind: planErrorKind.notJson, place: '', message: `The plan is not JSON: ${(error as Error).message}`}]);
	}

	return checkLoadPlan(value);
}

/** Checks a parsed plan: its shape, then what its parts say of each other. */
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
		errors.push({kind: planErrorKind.badRange, place: 'traffic.fewestTokens', message: 'fewestTokens is larger than mostTokens; exchange them.'});
	}

	if (traffic.bookingFraction + traffic.readFraction > 1) {
		errors.push({kind: planErrorKind.badRange, place: 'traffic.bookingFraction', message: 'bookingFraction and readFraction are more than 1 together.'});
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
		errors.push({kind: planErrorKind.unknownRouter, place: `${place}.router`, message: `Routers are numbered from 0 to ${deployment.routerCount - 1}.`});
	}

	if ('target' in fault && !listTargetIds(deployment).includes(fault.target)) {
		errors.push({kind: planErrorKind.unknownTarget, place: `${place}.target`, message: `No target is named "${fault.target}"; names are pool and number, such as "${deployment.modelPool}-1".`});
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
	return {kind: planErrorKind.outsideRun, place, message: `${atMs} ms is not within the run of ${durationMs} ms.`};
}
