/**
 * Server for operators on a separate address: health, metrics and, for requests
 * with an operator's token, the administration API. It writes no shared state.
 */
import {createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {isReady} from '@sequoiatally/core';
import type {LifecycleManager, NamedToken, SocketAddress} from '@sequoiatally/runtime';
import {Hono, type Context, type Next} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ok, type Result} from 'neverthrow';
import type {z} from 'zod';
import {createAdminActions, type AdminActionDependencies} from './admin/admin-actions.js';
import {
	adminErrorKind, createAdminError, statusByAdminError, type AdminError,
} from './admin/admin-error.js';
import {adminRoutes, type AdminRoute} from './admin/admin-routes.js';
import {OperatorTokens} from './admin/operator-tokens.js';
import type {Metrics} from './metrics.js';

/** Largest request body that is accepted from an operator. */
const maxBodyBytes = 64 * 1024;

/** Dependencies of the administration server. */
export type AdminDependencies = AdminActionDependencies & {readonly metrics: Metrics; readonly tokens: readonly NamedToken[]};

type AdminContext = Context<{Variables: {operator: string}}>;
/** The action of any route. Its input has been validated against the schemas of that route. */
type AnyAction = (input: unknown) => Result<unknown, AdminError>;

/** Creates the application that serves health, metrics and the administration API. */
export function createAdminApp(dependencies: AdminDependencies): Hono<{Variables: {operator: string}}> {
	const {runner, metrics} = dependencies;
	const app = new Hono<{Variables: {operator: string}}>();
	app.get('/healthz', c => c.text('ok'));
	app.get('/readyz', c => isReady(runner.state) ? c.text('ready') : c.text('not ready', 503));
	app.get('/metrics', async c => c.text(await metrics.registry.metrics()));
	app.use('/v1/*', createAuthMiddleware(dependencies), bodyLimit({
		maxSize: maxBodyBytes,
		onError: c => createErrorResponse(c as AdminContext, createAdminError(adminErrorKind.badInput, `The body is larger than ${maxBodyBytes} bytes.`)),
	}));
	const actions = createAdminActions(dependencies);
	for (const [name, route] of Object.entries(adminRoutes)) {
		const action = actions[name as keyof typeof actions] as AnyAction;
		app.on(route.method, route.path.replaceAll(/{(\w+)}/g, ':$1'), async c => handleRoute(c, route, action));
	}

	app.notFound(c => createErrorResponse(c, createAdminError(adminErrorKind.notFound, 'There is no such path; see docs/openapi.json.')));
	return app;
}

/** Rejects requests without a known operator's token. */
function createAuthMiddleware({tokens, logger}: AdminDependencies): (c: AdminContext, next: Next) => Promise<Response | undefined> {
	const operatorTokens = new OperatorTokens(tokens);
	return async (c, next) => {
		const operator = operatorTokens.findOperator(c.req.header('authorization') ?? '');
		if (operator === undefined) {
			logger.warn({event: 'operator-rejected', method: c.req.method});
			return createErrorResponse(c, createAdminError(adminErrorKind.unauthorized, 'Send an operator\'s token as "Authorization: Bearer <token>".'));
		}

		logger.debug({event: 'operator-asked', operator, method: c.req.method});
		c.set('operator', operator);
		await next();
		return undefined;
	};
}

async function handleRoute(c: AdminContext, route: AdminRoute, action: AnyAction): Promise<Response> {
	const input = await readInput(c, route);
	const output = input.andThen(action);
	return output.isOk() ? c.json(output.value as Record<string, unknown>) : createErrorResponse(c, output.error);
}

async function readInput(c: AdminContext, route: AdminRoute): Promise<Result<unknown, AdminError>> {
	const body = await readBody(c, route);
	return validatePart('path', route.parameters, c.req.param())
		.andThen(parameters => validatePart('query', route.query, c.req.query())
			.andThen(query => body.map(value => ({
				operator: c.get('operator'), parameters, query, body: value,
			}))));
}

async function readBody(c: AdminContext, {body}: AdminRoute): Promise<Result<unknown, AdminError>> {
	if (body === undefined) {
		return ok(undefined);
	}

	try {
		return validatePart('body', body, await c.req.json());
	} catch {
		return err(createAdminError(adminErrorKind.badInput, 'The body is not JSON.'));
	}
}

function validatePart(location: string, schema: z.ZodObject | undefined, value: unknown): Result<unknown, AdminError> {
	if (schema === undefined) {
		return ok(undefined);
	}

	const parsed = schema.safeParse(value);
	return parsed.success
		? ok(parsed.data)
		: err(createAdminError(adminErrorKind.badInput, parsed.error.issues.map(issue => `${[location, ...issue.path].join('.')}: ${issue.message}`).join('; ')));
}

function createErrorResponse(c: AdminContext, error: AdminError): Response {
	return c.json({error}, statusByAdminError[error.type]);
}

/** Starts listening. */
export async function listenAdmin(dependencies: AdminDependencies, {host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
	const server = createServer(getRequestListener(createAdminApp(dependencies).fetch, {overrideGlobalObjects: false}));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifecycle.own('administration server', () => {
		server.close();
		server.closeAllConnections();
	});
}
