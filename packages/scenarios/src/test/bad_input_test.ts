/**
 * Scenarios of fuzzed, ambiguous and malformed input at the caller and peer
 * ports of real processes.
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

/** Forms of the `Authorization` header, and whether the router accepts each. */
const authorizations = [
	{text: `Bearer ${key}`, isValid: true},
	{text: `bearer  ${key}`, isValid: true},
	{text: undefined, isValid: false},
	{text: `Basic ${key}`, isValid: false},
	{text: `Bearer ${key} ${otherKey}`, isValid: false},
	{text: `Bearer ${key}x`, isValid: false},
	{text: `Bearer, ${key}`, isValid: false},
	{text: key, isValid: false},
];
const keyPlaces = ['none', 'query', 'encoded-query', 'query-name', 'path', 'body', 'cookie', 'api-key', 'chat', 'content-type', 'language', 'bearer-in-query'] as const;
type KeyPlace = typeof keyPlaces[number];

type FuzzedRequest = {readonly authorization: typeof authorizations[number]; readonly place: KeyPlace; readonly isOtherKey: boolean; readonly noise: string};

const fuzzedRequestArbitrary: fc.Arbitrary<FuzzedRequest> = fc.record({
	authorization: fc.constantFrom(...authorizations),
	place: fc.constantFrom(...keyPlaces),
	isOtherKey: fc.boolean(),
	noise: fc.stringMatching(/^[a-z\d]{0,8}$/),
});

function percentEncode(text: string): string {
	return [...text].map(character => `%${character.codePointAt(0)!.toString(16)}`).join('');
}

function createRequestTarget({place, noise}: FuzzedRequest, placedKey: string): string {
	const queryByPlace: Partial<Record<KeyPlace, string>> = {
		query: `?a=${noise}&api_key=${placedKey}`, 'encoded-query': `?q=${percentEncode(placedKey)}`, 'query-name': `?${placedKey}=1`, 'bearer-in-query': `?authorization=Bearer%20${placedKey}`,
	};
	return place === 'path' ? `${recordsPath}/${placedKey}` : recordsPath + (queryByPlace[place] ?? '');
}

function createHeaders({authorization, place, noise}: FuzzedRequest, placedKey: string): Record<string, string> {
	const headersByPlace: Partial<Record<KeyPlace, Record<string, string>>> = {
		cookie: {cookie: `session=${placedKey}`}, 'api-key': {'x-api-key': placedKey}, chat: {'x-chat-id': placedKey}, 'content-type': {'content-type': placedKey}, language: {'accept-language': placedKey},
	};
	return {'x-noise': noise, ...(authorization.text === undefined ? {} : {authorization: authorization.text}), ...headersByPlace[place]};
}

/** Requests that two parsers could read differently (request smuggling), and input that is not a request. */
const malformedRequests = [
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
	/** Calls with an unexpected result, as failure details. */
	violations: string[] = [];
	/** Number of calls whose refusal was checked. */
	checkedCount = 0;

	async sendFuzzed(fuzzed: FuzzedRequest): Promise<void> {
		const placedKey = fuzzed.isOtherKey ? otherKey : key;
		const {statusCode, body, headers} = await request(`http://${this.findRouter(1).callerAddress}${createRequestTarget(fuzzed, placedKey)}`, {
			method: 'POST', headers: createHeaders(fuzzed, placedKey), body: fuzzed.place === 'body' ? `{"note": "${placedKey}"}` : undefined,
		});
		await body.dump();
		const isStripped = ['none', 'cookie', 'api-key'].includes(fuzzed.place);
		const mayRun = fuzzed.authorization.isValid && isStripped;
		// Another account's key inside a body or path counts as the caller's text, because the router knows only digests of whole keys; so either result is accepted.
		const isOpaque = fuzzed.place === 'body' || fuzzed.place === 'path';
		if ((statusCode === 200) !== mayRun && !(isOpaque && fuzzed.isOtherKey)) {
			this.violations.push(`${statusCode}: ${JSON.stringify(fuzzed)}`);
		}

		if (statusCode !== 200 && headers['x-outcome'] !== 'not-run') {
			this.violations.push(`no outcome: ${JSON.stringify(fuzzed)}`);
		}
	}

	/** Sends raw bytes and records a violation unless the answer is a typed refusal. */
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
				// The router may reset the connection after its refusal; what was received before is checked.
			});
			socket.on('close', () => {
				resolve(chunks.join(''));
			});
			socket.write(bytes, 'latin1');
			socket.end();
		});
		this.checkedCount++;
		const isTypedRefusal = /^HTTP\/1\.1 4\d\d /.test(answer) && answer.includes('"outcome":"not-run"');
		if (!isTypedRefusal) {
			this.violations.push(`${JSON.stringify(bytes.slice(0, 80))} got ${JSON.stringify(answer.slice(0, 80))}`);
		}
	}

	/** Calls a peer method; records a violation unless the call is refused with one of `codes`. */
	async callPeer(method: string, secret: string, body: Uint8Array, codes: readonly string[]): Promise<void> {
		const session = connectPeer(`http://${this.findRouter(1).peerAddress}`);
		session.on('error', () => {
			// The result of the stream is checked instead.
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
		this.checkedCount++;
		if (!codes.includes(code ?? '')) {
			this.violations.push(`${method} got ${code}`);
		}
	}
}

after(stopSharedDeployment);

await runFeature(new URL('../../features/bad-input.feature', import.meta.url), () => new World(), [
	[/^a deployment of (\d+) routers and (\d+) plain services$/, async (world, routers, plains) => {
		await world.joinDeployment({routers: Number(routers), engines: 0, plainServices: Number(plains)}, {plainFlags: ['--run-ms', '0']});
	}],
	[/^(\d+) fuzzed requests are sent with a key in different places$/, async (world, count) => {
		await fc.assert(fc.asyncProperty(fuzzedRequestArbitrary, async fuzzed => world.sendFuzzed(fuzzed)), {seed, numRuns: Number(count)});
	}],
	[/^each ambiguous or malformed request is sent$/, async world => {
		for (const bytes of malformedRequests) {
			await world.sendBytes(bytes);
		}
	}],
	[/^(\d+) fuzzed request heads are sent$/, async (world, count) => {
		const head = fc.string({minLength: 1, maxLength: 200, unit: 'binary-ascii'}).filter(text => !/^[\r\n]*$/.test(text));
		await fc.assert(fc.asyncProperty(head, async text => world.sendBytes(`${text}\r\n\r\n`)), {seed, numRuns: Number(count)});
	}],
	[/^every peer method is called without the fleet secret$/, async world => {
		for (const method of peerMethods) {
			await world.callPeer(method, 'not-the-fleet-secret', new Uint8Array(), ['unauthenticated']);
		}
	}],
	[/^every peer method is called with the fleet secret and a malformed message$/, async world => {
		for (const method of peerMethods) {
			await world.callPeer(method, fleetSecret, new Uint8Array(64).fill(255), ['invalid_argument', 'internal']);
		}
	}],
	[/^exactly the requests with a valid authorization and no known key in a forwarded place were answered, and all others refused as not run$/, world => {
		assert.deepEqual(world.violations, []);
	}],
	[/^no service, timeline or metric contains the key of "crew"$/, async world => {
		const texts = await Promise.all(world.fleet.targets.map(async ({address}) => {
			const {body} = await request(`http://${address}/control/heard`);
			return body.text();
		}));
		for (const {adminAddress, timelinePath} of world.fleet.routers) {
			const {body} = await request(`http://${adminAddress}/metrics`);
			texts.push(await body.text(), await readFile(timelinePath, 'utf8'));
		}

		assert.ok(texts.every(text => text.length > 0));
		assert.deepEqual(texts.filter(text => text.includes(key) || text.includes(percentEncode(key))), []);
	}],
	[/^each was refused with a typed error, and no service ran a request$/, async world => {
		assert.ok(world.checkedCount > 0);
		assert.deepEqual(world.violations, []);
		assert.equal(await world.countRuns(), 0);
	}],
	[/^every router still serves requests$/, async world => {
		const caller = new Caller();
		const answers = await Promise.all(world.fleet.routers.map(async ({callerAddress}) => caller.callPlain(callerAddress, {method: 'GET', path: noticesPath})));
		await caller.close();
		assert.deepEqual(answers.map(({kind}) => kind), answers.map(() => 'whole'));
	}],
]);
