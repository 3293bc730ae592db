/**
 * Serves operators on an address of its own: health, metrics and, with the
 * operators' token, the state and draining. It changes nothing shared.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {eventKind, timelineKind, type State} from '@sequoiatally/core';
import type {LifecycleManager, SocketAddress, TimelineWriter} from '@sequoiatally/runtime';
import {Hono, type Context, type Next} from 'hono';
import type {Metrics} from './metrics.js';
import type {Runner} from './runner.js';

/** Says whether callers may be sent here. */
export function isReady({tables, membership}: State): boolean {
	return tables.configuration !== undefined && membership.mayServe && membership.history.hasJoined && !membership.isDraining;
}

/** What the administration server needs. */
export type AdminParts = {readonly runner: Runner; readonly metrics: Metrics; readonly timeline: TimelineWriter; readonly token: string};

/** Creates the administration application. */
export function createAdminApp({runner, metrics, timeline, token}: AdminParts): Hono {
	const app = new Hono();
	const digest = (text: string) => createHash('sha256').update(text).digest();
	app.get('/healthz', c => c.text('ok'));
	app.get('/readyz', c => isReady(runner.state) ? c.text('ready') : c.text('not ready', 503));
	app.get('/metrics', async c => c.text(await metrics.registry.metrics()));
	app.use('/v1/*', async (c: Context, next: Next) => {
		const shown = c.req.header('authorization') ?? '';
		if (!timingSafeEqual(digest(shown), digest(`Bearer ${token}`))) {
			return c.json({error: {type: 'unauthorized', message: 'Send the operators\' token as "Authorization: Bearer <token>".'}}, 401);
		}

		await next();
	});
	app.get('/v1/status', c => {
		const {state} = runner;
		return c.json({
			...state.self,
			configurationVersion: state.tables.configuration?.version ?? 0,
			isDraining: state.membership.isDraining,
			instances: state.membership.list?.instances ?? [],
			openRequests: state.requests.pending.size,
			buckets: Object.fromEntries(state.allowances.buckets),
		});
	});
	app.get('/v1/timeline', c => c.json(timeline.listKept()));
	app.post('/v1/drain', c => {
		timeline.write({kind: timelineKind.administratorActed, cause: 'drain'});
		runner.handle({kind: eventKind.drainRequested, by: 'administrator'});
		return c.json({draining: true});
	});
	return app;
}

/** Starts to listen. */
export async function listenAdmin(parts: AdminParts, {host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
	const server = createServer(getRequestListener(createAdminApp(parts).fetch, {overrideGlobalObjects: false}));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifecycle.own('administration server', () => {
		server.close();
		server.closeAllConnections();
	});
}
