/**
 * Serves a Hono application on an address until the process stops.
 */
import {createServer, type Server} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import type {Hono} from 'hono';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';

/** Starts a server; the lifecycle manager closes it together with its open connections. */
export async function serveApp(app: Hono<any>, {host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<Server> {
	const server = createServer(getRequestListener(app.fetch, {overrideGlobalObjects: false}));
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	lifecycle.own('server', async () => {
		server.closeAllConnections();
		await new Promise(resolve => {
			server.close(resolve);
		});
	});
	return server;
}
