/**
 * Generates the OpenAPI document of the administration API from its routes.
 */
// Property names are defined by OpenAPI.
/* eslint-disable @typescript-eslint/naming-convention */
import {z} from 'zod';
import {adminErrorKind, statusByAdminError} from './admin-error.js';
import {adminRoutes, type AdminRoute} from './admin-routes.js';

type JsonObject = Record<string, unknown>;

const errorSchema = z.object({
	error: z.object({type: z.enum(Object.values(adminErrorKind)), message: z.string()}),
});

/** Paths that require no token, for the platform's load balancer and the metrics collector. */
const openPaths = {
	'/healthz': 'The process is running',
	'/readyz': 'Ready to serve callers (200) or not (503)',
	'/metrics': 'Metrics in the Prometheus text format',
} as const;

/** Creates the OpenAPI document. */
export function createOpenApi(): JsonObject {
	const paths: Record<string, JsonObject> = {};
	for (const [path, summary] of Object.entries(openPaths)) {
		paths[path] = {get: {summary, security: [], responses: {200: {description: summary, content: {'text/plain': {schema: {type: 'string'}}}}}}};
	}

	for (const [name, route] of Object.entries(adminRoutes)) {
		paths[route.path] = {[route.method]: describeOperation(name, route)};
	}

	return {
		openapi: '3.1.0',
		info: {
			title: 'sequoiatally administration API', version: '1', description: 'Served by each router on its administration address. The API writes no shared state.',
		},
		components: {
			securitySchemes: {token: {type: 'http', scheme: 'bearer'}},
			schemas: {Error: toJsonSchema(errorSchema, 'output')},
		},
		security: [{token: []}],
		paths,
	};
}

function describeOperation(operationId: string, route: AdminRoute): JsonObject {
	const responses: JsonObject = {200: {description: route.summary, content: {'application/json': {schema: toJsonSchema(route.response, 'output')}}}};
	for (const status of new Set(Object.values(statusByAdminError))) {
		responses[status] = {description: 'Typed error', content: {'application/json': {schema: {$ref: '#/components/schemas/Error'}}}};
	}

	return {
		operationId,
		summary: route.summary,
		parameters: [...describeParameters(route.parameters, 'path'), ...describeParameters(route.query, 'query')],
		...(route.body === undefined ? {} : {requestBody: {required: true, content: {'application/json': {schema: toJsonSchema(route.body, 'input')}}}}),
		responses,
	};
}

function describeParameters(schema: z.ZodObject | undefined, location: 'path' | 'query'): JsonObject[] {
	const properties = schema === undefined ? {} : z.toJSONSchema(schema, {io: 'output'}).properties ?? {};
	return Object.entries(properties).map(([name, property]) => ({
		name, in: location, required: location === 'path', schema: property,
	}));
}

function toJsonSchema(schema: z.ZodType, io: 'input' | 'output'): JsonObject {
	const {$schema, ...rest} = z.toJSONSchema(schema, {io}) as JsonObject;
	return rest;
}
