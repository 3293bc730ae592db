/**
 * A caller protocol for tests of the caller server, whose requests are identified by their path.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {createServer, type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Failure, RequestHead} from '@sequoiatally/dispatch';
import {ok, type Result} from 'neverthrow';
import type {ServerLimits} from '../lib/limited-server.js';
import {CallerProtocol, type HeadFault} from '../lib/protocol.js';

const waitMs = 3000;

/** Limits of a server in tests that do not reach them. */
export const testLimits: ServerLimits = {connections: 1000, bytesPerConnection: 64 * 1024, bytes: 8 * 1024 * 1024};

export class PlainProtocol extends CallerProtocol {
	override readHead({url = ''}: IncomingMessage): Result<RequestHead, HeadFault> {
		return ok({
			requestId: url, host: 'a.example', path: url, keyDigest: undefined, timeoutMs: undefined, promptParts: [],
		});
	}

	override createRelayHeaders(): string[] {
		return [];
	}

	override createFailureHeaders({retryAfterMs}: Failure): Record<string, string> {
		return retryAfterMs === undefined ? {} : {'Retry-After': String(retryAfterMs / 1000)};
	}
}

export async function findFreePort(): Promise<number> {
	const listener = createServer().listen(0, '127.0.0.1');
	await once(listener, 'listening');
	const {port: freePort} = listener.address() as AddressInfo;
	listener.close();
	await once(listener, 'close');
	return freePort;
}

export async function waitUntil(description: string, isTrue: () => boolean): Promise<void> {
	const giveUpAt = Date.now() + waitMs;
	while (!isTrue()) {
		assert.ok(Date.now() < giveUpAt, description);
		await delay(5);
	}
}
