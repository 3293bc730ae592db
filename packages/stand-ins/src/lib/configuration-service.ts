/**
 * Stand-in for the platform's configuration service and instance list. Routers
 * can read and watch both documents, but not write them. The control routes take
 * the place of operators and the platform, and inject faults.
 *
 * - `GET /v1/tables?after=R&wait=MS` and `GET /v1/list?after=R&wait=MS` answer
 *   as soon as there is a revision after R, at the latest after the wait, which
 *   is bounded by `maxWaitMs`.
 * - `POST /control/...` changes the documents and the mode.
 */
import {Hono, type Context} from 'hono';

/** How the service answers reads. */
export const serviceMode = {
	up: 'up',
	/** Every read fails with status 503. */
	down: 'down',
	/** Reads are never answered. */
	silent: 'silent',
	/** Reads return the documents as they were when this mode was set. */
	stale: 'stale',
} as const;
export type ServiceMode = typeof serviceMode[keyof typeof serviceMode];

const maxWaitMs = 30_000;

type Revision = {readonly revision: number; readonly text: string; readonly changedAt: number};

/** A document with its current revision and the watches that wait for the next one. */
class WatchedDocument {
	#current: Revision = {revision: 0, text: '', changedAt: 0};
	readonly #wakeFunctions = new Set<() => void>();

	get current(): Revision {
		return this.#current;
	}

	/** Publishes a new revision and wakes all watches. */
	publish(text: string, now: number): void {
		this.#current = {revision: this.#current.revision + 1, text, changedAt: now};
		for (const wake of this.#wakeFunctions) {
			wake();
		}
	}

	/** Waits for a revision after `after`, for at most `waitMs`. */
	async waitForRevisionAfter(after: number, waitMs: number): Promise<void> {
		if (this.#current.revision > after || waitMs <= 0) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#wakeFunctions.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			this.#wakeFunctions.add(finish);
		});
	}
}

type ListContent = {instances: unknown[]; targets: unknown[]};

/** State of the service; `createConfigurationService` serves it over HTTP. */
export class ConfigurationService {
	/** Number of reads so far; a watch counts as one. */
	callCount = 0;
	readonly #tables = new WatchedDocument();
	readonly #list = new WatchedDocument();
	readonly #listLagMs: number;
	readonly #readClock: () => number;
	#mode: ServiceMode = serviceMode.up;
	#staleSince = 0;
	#staleTables?: Revision;
	#staleList?: Revision;

	constructor(listLagMs: number, readClock: () => number) {
		this.#listLagMs = listLagMs;
		this.#readClock = readClock;
	}

	publishTables(text: string): void {
		this.#tables.publish(text, this.#readClock());
	}

	/** Publishes an instance list after `listLagMs`. */
	publishList(content: ListContent): void {
		setTimeout(() => {
			this.#list.publish(JSON.stringify(content), this.#readClock());
		}, this.#listLagMs);
	}

	setMode(mode: ServiceMode): void {
		this.#mode = mode;
		this.#staleSince = this.#readClock();
		this.#staleTables = this.#tables.current;
		this.#staleList = this.#list.current;
	}

	/** Reads a document after a wait for a newer revision; returns `undefined` if the service is down, and never resolves if it is silent. */
	async read(document: 'tables' | 'list', after: number, waitMs: number): Promise<Record<string, unknown> | undefined> {
		this.callCount++;
		if (this.#mode === serviceMode.silent) {
			await new Promise(() => {
				// A silent service never answers.
			});
		}

		const watched = document === 'tables' ? this.#tables : this.#list;
		await watched.waitForRevisionAfter(after, Math.min(waitMs, maxWaitMs));
		if (this.#mode === serviceMode.down) {
			return undefined;
		}

		const isStale = this.#mode === serviceMode.stale;
		const staleRevision = document === 'tables' ? this.#staleTables : this.#staleList;
		const {revision, text} = isStale ? staleRevision! : watched.current;
		const asOf = (isStale ? this.#staleSince : this.#readClock()) - this.#listLagMs;
		return {revision, asOf, text: revision === after ? undefined : text};
	}
}

/** Creates the HTTP application of the stand-in. */
export function createConfigurationService(service: ConfigurationService): Hono {
	const app = new Hono();
	const createReadHandler = (document: 'tables' | 'list') => async (c: Context) => {
		const result = await service.read(document, Number(c.req.query('after') ?? 0), Number(c.req.query('wait') ?? 0));
		return result === undefined ? c.json({error: 'unavailable'}, 503) : c.json(result);
	};

	app.get('/v1/tables', createReadHandler('tables'));
	app.get('/v1/list', createReadHandler('list'));
	app.get('/control/calls', c => c.json({callCount: service.callCount}));
	app.post('/control/tables', async c => {
		service.publishTables(await c.req.text());
		return c.json({});
	});
	app.post('/control/list', async c => {
		service.publishList(await c.req.json<ListContent>());
		return c.json({});
	});
	app.post('/control/mode', async c => {
		const {mode} = await c.req.json<{mode: string}>();
		const known = Object.values(serviceMode).find(value => value === mode);
		if (known === undefined) {
			return c.json({error: 'unknown-mode'}, 400);
		}

		service.setMode(known);
		return c.json({});
	});
	return app;
}
