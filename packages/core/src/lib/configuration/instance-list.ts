/**
 * The platform's list of live and leaving router instances and targets.
 *
 * The list is eventually consistent: a started instance appears with a delay,
 * and readers may see different lists for seconds. No invariant depends on two
 * readers seeing the same list.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';

export const listedState = {
	live: 'live',
	leaving: 'leaving',
} as const;

export const listedInstanceSchema = z.object({
	id: z.string().min(1).max(128),
	/** Address for other routers, such as `127.0.0.1:7101`. */
	peerAddress: z.string().max(64),
	zone: z.string().max(64),
	state: z.enum(Object.values(listedState)),
	/** Platform time at which the instance started, in milliseconds. */
	since: z.number().nonnegative(),
});
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

export const listedTargetSchema = z.object({
	id: z.string().min(1).max(128),
	pool: z.string().max(64),
	/** Address for requests, such as `127.0.0.1:7201`. */
	address: z.string().max(64),
	zone: z.string().max(64),
	state: z.enum(Object.values(listedState)),
	since: z.number().nonnegative(),
});
export type ListedTarget = z.infer<typeof listedTargetSchema>;

export const instanceListSchema = z.object({
	/** Platform time at which the list was current, in milliseconds; it never decreases. */
	asOf: z.number().nonnegative(),
	instances: z.array(listedInstanceSchema).max(10_000),
	targets: z.array(listedTargetSchema).max(20_000),
});
export type InstanceList = z.infer<typeof instanceListSchema>;

/** A list that does not match the schema. */
export type ListFault = {readonly kind: 'list-fault'; readonly message: string};

/** Parses JSON text into a list; the fault carries the message of the parser or of the schema. */
export function parseInstanceList(text: string): Result<InstanceList, ListFault> {
	try {
		const parsed = instanceListSchema.safeParse(JSON.parse(text));
		return parsed.success ? ok(parsed.data) : err({kind: 'list-fault', message: parsed.error.message});
	} catch (error) {
		return err({kind: 'list-fault', message: (error as Error).message});
	}
}
