/**
 * Starts HTTP servers and registers them with the lifecycle manager, which closes them.
 */
import type {Server} from 'node:http';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';

/** Largest number of connections waiting to be accepted. */
const backlog = 1024;

/** Resolves once the server accepts connections; rejects with the socket error. */
export async function listenOn(server: Server, {host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port, backlog}, () => {
			server.removeListener('error', reject);
			resolve();
		});
	});
	lifecycle.own(`server on port ${port}`, () => {
		server.close();
		server.closeAllConnections();
	});
}
