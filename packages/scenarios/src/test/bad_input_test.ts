/**
 * Fuzzed and hostile input on the callers' and the peers' port of real
 * processes.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {connect as connectPeer, constants} from 'node:http2';
import {connect} from 'node:net';
import {after} from 'node:test';
import {Caller, fleetSecret} from '@sequoiatally/load';
import fc from 'fast-check';
import {request} from 'undici';
import {describeExampleKey} from '../lib/example-configuration.js';
import {
	noticesPath, ProcessWorld, recordsPath, stopSharedDeployment,
} from '../lib/process-world.js';
import {runFeature} from '../lib/run-feature.js';

const seed = 5003;
const {key} = describeExampleKey('crew');
const otherKey = describeExampleKey('guest').key;
const peerMethods = ['Exchange', 'FetchDocument', 'Borrow', 'GiveBack', 'RunTicketed'];

/** Ways to write the `Authorization` header, and whether each one is right. */
const authorizations = [
	{text: `Bearer ${key}`, isRight: true},
	{text: `bearer  ${key}`, isRight: true},
	{text: undefined, isRight: false},
	{text: `Basic ${key}`, isRight: false},
	{text: `Bearer ${key} ${otherKey}`, isRight: false},
	{text: `Bearer ${key}x`, isRight: false},
	{text: `Bearer, ${key}`, isRight: false},
	{text: key, isRight: false},
];
const places = ['none', 'query', 'encoded-query', 'query-name', 'path', 'body', 'cookie', 'api-key', 'chat', 'content-type', 'language', 'bearer-in-query'] as const;
type Place = typeof places[number];

type Fuzzed = {readonly authorization: typeof authorizations[number]; readonly place: Place; readonly isOtherKey: boolean; readonly noise: string};

const fuzzedArbitrary: fc.Arbitrary<Fuzzed> = fc.record({
	authorization: fc.constantFrom(...authorizations),
	place: fc.constantFrom(...places),
	isOtherKey: fc.boolean(),
	noise: fc.stringMatching(/^[a-z\d]{0,8}$/),
});

function encodeAll(text: string): string {
	return [...text].map(character => `%${character.codePointAt(0)!.toString(16)}`).join('');
}

function createTarget({place, noise}: Fuzzed, shown: string): string {
	const query: Partial<Record<Place, string>> = {
		query: `?a=${noise}&api_key=${shown}`, 'encoded-query': `?q=${encodeAll(shown)}`, 'query-name': `?${shown}=1`, 'bearer-in-query': `?authorization=Bearer%20${shown}`,
	};
	return place === 'path' ? `${recordsPath}/${shown}` : recordsPath + (query[place] ?? '');
}

function createHeaders({authorization, place, noise}: Fuzzed, shown: string): Record<string, string> {
	const inPlace: Partial<Record<Place, Record<string, string>>> = {
		cookie: {cookie: `session=${shown}`}, 'api-key': {'x-api-key': shown}, chat: {'x-chat-id': shown}, 'content-type': {'content-type': shown}, language: {'accept-language': shown},
	};
	return {'x-noise': noise, ...(authorization.text === undefined ? {} : {authorization: authorization.text}), ...inPlace[place]};
}

/** Requests that two readers could take for different ones, or that are none. */
const brokenRequests = [
	`POST ${noticesPath} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
	`POST ${noticesPath} HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcd`,
	`POST ${noticesPath} HTTP/1.1\r\nhost: a\r\ncontent-length: +4\r\n\r\nabcd`,
	`POST ${noticesPath} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n`,
	`POST ${noticesPath} HTTP/1.1\r\nhost: a\r\ntransfer-encoding : chunked\r\n\r\n0\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost: a\r\nx-a: b\r\n c: d\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost: a\r\nx-a: \0\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost: a b/c\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost:\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost: a\r\nx-big: ${'x'.repeat(40_000)}\r\n\r\n`,
	`GET ${noticesPath}/${'y'.repeat(40_000)} HTTP/1.1\r\nhost: a\r\n\r\n`,
	`GET ${noticesPath}/..%2f..%2fv1%2fbookings HTTP/1.1\r\nhost: a\r\n\r\n`,
	`GET ${noticesPath}/%2e%2e/x HTTP/1.1\r\nhost: a\r\n\r\n`,
	`GET ${noticesPath} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${key}\r\nauthorization: Bearer ${otherKey}\r\n\r\n`,
	`POST ${noticesPath} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n`,
	'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
	'\u0016\u0003\u0001\u0002\0',
	`GET ${noticesPath}\r\n\r\n`,
];

class World extends ProcessWorld {
	/** Calls that were answered though they should not have been, or the other way round. */
	faults: string[] = [];
	refusedCount = 0;

	async sendFuzzed(fuzzed: Fuzzed): Promise<void> {
		const shown = fuzzed.isOtherKey ? otherKey : key;
		const {statusCode, body, headers} = await request(`http://${this.findRouter(1).callerAddress}${createTarget(fuzzed, shown)}`, {
			method: 'POST', headers: createHeaders(fuzzed, shown), body: fuzzed.place === 'body' ? `{"note": "${shown}"}` : undefined,
		});
		await body.dump();
		const isStripped = ['none', 'cookie', 'api-key'].includes(fuzzed.place);
		const mayRun = fuzzed.authorization.isRight && isStripped;
		// Another account's key in a body is the caller's own text: only digests of whole values can be known.
		const isOpaque = fuzzed.place === 'body' || fuzzed.place === 'path';
		if ((statusCode === 200) !== mayRun && !(isOpaque && fuzzed.isOtherKey)) {
			this.faults.push(`${statusCode}: ${JSON.stringify(fuzzed)}`);
		}

		if (statusCode !== 200 && headers['x-outcome'] !== 'not-run') {
			this.faults.push(`no outcome: ${JSON.stringify(fuzzed)}`);
		}
	}

	/** Sends bytes and keeps a fault unless the answer is a typed refusal. */
	async sendBytes(bytes: string): Promise<void> {
		const [host, port] = this.findRouter(1).callerAddress.split(':');
		const answer = await new Promise<string>(resolve => {
			const chunks: string[] = [];
			const socket = connect(Number(port), host);
			socket.setEncoding('utf8');
			socket.on('data', (chunk: string) => {
				chunks.push(chunk);
			});
			socket.on('error', () => {
				// A reset is one way to refuse; the answer says what came before it.
			});
			socket.on('close', () => {
				resolve(chunks.join(''));
			});
			socket.write(bytes, 'latin1');
			socket.end();
		});
		this.refusedCount++;
		const isTyped = /^HTTP\/1\.1 4\d\d /.test(answer) && answer.includes('"outcome":"not-run"');
		if (!isTyped) {
			this.faults.push(`${JSON.stringify(bytes.slice(0, 80))} got ${JSON.stringify(answer.slice(0, 80))}`);
		}
	}

	/** Calls a peer method; keeps a fault unless it is refused with `code`. */
	async callPeer(method: string, secret: string, body: Uint8Array, codes: readonly string[]): Promise<void> {
		const session = connectPeer(`http://${this.findRouter(1).peerAddress}`);
		session.on('error', () => {
			// The stream's own error is what counts.
		});
		const stream = session.request({
			[constants.HTTP2_HEADER_METHOD]: 'POST',
			[constants.HTTP2_HEADER_PATH]: `/sequoiatally.peer.v1.PeerService/${method}`, 'content-type': 'application/proto', 'connect-protocol-version': '1', 'x-fleet-secret': secret,
		});
		stream.setEncoding('utf8');
		const chunks: string[] = [];
		stream.on('data', (chunk: string) => {
			chunks.push(chunk);
		});
		const closed = new Promise(resolve => {
			stream.on('close', resolve);
			stream.on('error', resolve);
		});
		stream.end(body);
		await closed;
		session.destroy();
		const {code} = JSON.parse(chunks.join('') || '{}') as {code?: string};
		this.refusedCount++;
		if (!codes.includes(code ?? '')) {
			this.faults.push(`${method} got ${code}`);
		}
	}
}

after(stopSharedDeployment);

await runFeature(new URL('../../features/bad-input.feature', import.meta.url), () => new World(), [
	[/^a deployment of (\d+) routers and (\d+) plain services$/, async (world, routers, plains) => {
		await world.joinDeployment({routers: Number(routers), engines: 0, plainServices: Number(plains)}, {plainFlags: ['--run-ms', '0']});
	}],
	[/^(\d+) fuzzed requests carry keys in all kinds of places$/, async (world, count) => {
		await fc.assert(fc.asyncProperty(fuzzedArbitrary, async fuzzed => world.sendFuzzed(fuzzed)), {seed, numRuns: Number(count)});
	}],
	[/^each ambiguous or broken request is sent$/, async world => {
		for (const bytes of brokenRequests) {
			await world.sendBytes(bytes);
		}
	}],
	[/^(\d+) fuzzed heads are sent$/, async (world, count) => {
		const head = fc.string({minLength: 1, maxLength: 200, unit: 'binary-ascii'}).filter(text => !/^[\r\n]*$/.test(text));
		await fc.assert(fc.asyncProperty(head, async text => world.sendBytes(`${text}\r\n\r\n`)), {seed, numRuns: Number(count)});
	}],
	[/^strangers call every peer method$/, async world => {
		for (const method of peerMethods) {
			await world.callPeer(method, 'not-the-fleet-secret', new Uint8Array(), ['unauthenticated']);
		}
	}],
	[/^a peer with the secret sends nonsense to every method$/, async world => {
		for (const method of peerMethods) {
			await world.callPeer(method, fleetSecret, new Uint8Array(64).fill(255), ['invalid_argument', 'internal']);
		}
	}],
	[/^a request was answered only if its key came in the right place$/, world => {
		assert.deepEqual(world.faults, []);
	}],
	[/^no service, time line or metric holds a key$/, async world => {
		const texts = await Promise.all(world.fleet.targets.map(async ({address}) => {
			const {body} = await request(`http://${address}/control/heard`);
			return body.text();
		}));
		for (const {adminAddress, timelinePath} of world.fleet.routers) {
			const {body} = await request(`http://${adminAddress}/metrics`);
			texts.push(await body.text(), await readFile(timelinePath, 'utf8'));
		}

		assert.ok(texts.every(text => text.length > 0));
		assert.deepEqual(texts.filter(text => text.includes(key) || text.includes(encodeAll(key))), []);
	}],
	[/^each was refused with a typed error, and nothing ran$/, async world => {
		assert.ok(world.refusedCount > 0);
		assert.deepEqual(world.faults, []);
		assert.equal(await world.countRuns(), 0);
	}],
	[/^the routers still serve$/, async world => {
		const caller = new Caller();
		const answers = await Promise.all(world.fleet.routers.map(async ({callerAddress}) => caller.callPlain(callerAddress, {method: 'GET', path: noticesPath})));
		await caller.close();
		assert.deepEqual(answers.map(({kind}) => kind), answers.map(() => 'whole'));
	}],
]);
