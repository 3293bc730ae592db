/**
 * Listening sockets, owned by the life cycle.
 */
import type {Server} from 'node:http';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';

/** Connections that may wait to be accepted. */
const backlog = 1024;

/** Listens; resolves when connections are accepted, rejects with the error of the socket. */
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
