#!/usr/bin/env node
/**
 * A pass-through proxy for one target that makes no decisions: hono as the
 * server, undici as the client. It is the baseline for measurements of the
 * product's overhead: a router built on these libraries cannot cost less.
 */
import {Readable} from 'node:stream';
import {createServer} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import {
	createLogger, defineAddress, LifecycleManager, parseSettingsOrExit,
} from '@sequoiatally/runtime';
import {Command} from 'commander';
import {Hono} from 'hono';
import {Agent, request} from 'undici';

const settings = parseSettingsOrExit(new Command('sequoiatally-pass-through').description('Forwards each request to one target without making decisions.'), {
	address: defineAddress({flag: 'address', description: 'Address to listen on', defaultText: '127.0.0.1:7400'}),
	targetAddress: defineAddress({flag: 'target-address', description: 'Address of the target'}),
});

const {host, port} = settings.targetAddress;
const agent = new Agent({pipelining: 1});
const app = new Hono();
app.get('/healthz', c => c.text('ok'));
app.all('*', async c => {
	const url = new URL(c.req.url);
	const requestId = crypto.randomUUID();
	const {statusCode, headers, body} = await request(`http://${host}:${port}${url.pathname}`, {
		method: c.req.method as 'POST',
		dispatcher: agent,
		headers: {
			'content-type': c.req.header('content-type') ?? 'application/json', 'x-chat-id': c.req.header('x-chat-id') ?? '', 'x-request-id': requestId,
		},
		body: c.req.method === 'GET' ? undefined : new Uint8Array(await c.req.arrayBuffer()),
	});
	const responseHeaders: Record<string, string> = {'x-request-id': requestId};
	for (const name of ['content-type', 'x-cache']) {
		const value = headers[name];
		if (typeof value === 'string') {
			responseHeaders[name] = value;
		}
	}

	return new Response(Readable.toWeb(body) as ReadableStream<Uint8Array>, {status: statusCode, headers: responseHeaders});
});
const server = createServer(getRequestListener(app.fetch, {overrideGlobalObjects: false}));
const lifecycle = new LifecycleManager(createLogger('pass-through', 'info'));
lifecycle.own('target connections', async () => agent.destroy());
lifecycle.own('server', () => {
	server.close();
	server.closeAllConnections();
});
lifecycle.handleSignals(async () => lifecycle.closeAll());
server.listen(settings.address.port, settings.address.host);
