/**
 * Serves a hono application on one address and closes it with the process.
 */
import {createServer, type Server} from 'node:http';
import {getRequestListener} from '@hono/node-server';
import type {Hono} from 'hono';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';

/** Starts to listen; the server closes with the lifecycle, open connections included. */
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
