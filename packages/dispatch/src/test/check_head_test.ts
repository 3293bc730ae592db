/**
 * Tests that the head of a request is refused for the same reasons as the whole request.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkHead, effectKind, eventKind} from '../index.js';
import {GatewayFixture, onceRoute, resumableRoute} from './gateway-fixture.js';

type Head = Parameters<typeof checkHead>[1];

const known: Head = {host: onceRoute.host, path: `${onceRoute.prefix}x`, keyDigest: 'digest-a'};
const heads: Readonly<Record<string, Head>> = {
	known,
	'of another route': {...known, host: resumableRoute.host, path: `${resumableRoute.prefix}x`},
	'without a key': {...known, keyDigest: undefined},
	'with an unknown key': {...known, keyDigest: 'digest-x'},
	'of another host': {...known, host: 'x.example'},
	'without a route': {...known, path: '/nowhere/x'},
	'relayed by a stranger': {...known, relayedFrom: {id: 'stranger', incarnation: 'i', runLimit: 1}},
};
const situations: Readonly<Record<string, () => GatewayFixture>> = {
	'before the tables are known': () => new GatewayFixture(),
	'with tables': () => new GatewayFixture().loadDirectory(['desk-1']),
	'with old tables'() {
		const gateway = new GatewayFixture().loadDirectory(['desk-1']);
		gateway.now += 60_000;
		return gateway;
	},
	'at the end of a drain'() {
		const gateway = new GatewayFixture().loadDirectory(['desk-1']);
		gateway.handle({kind: eventKind.drainRequested, by: 'test'});
		gateway.advance(7400);
		return gateway;
	},
};

// Guards against a head that is refused although its request would be served, and against bodies that are collected for nothing.
for (const [situation, createGateway] of Object.entries(situations)) {
	for (const [name, head] of Object.entries(heads)) {
		test(`a head ${name} is refused ${situation} exactly if the whole request is`, () => {
			const gateway = createGateway();
			const expected = createGateway();
			expected.effects = [];
			expected.handle({
				...head, kind: eventKind.requestArrived, openId: 1, requestId: 'r-1', timeoutMs: undefined, fingerprint: 'f-1', promptParts: [],
			});
			const checked = checkHead(gateway.state, head, gateway.now);
			const refusals = expected.effects.filter(effect => effect.kind === effectKind.refuse).map(({failure}) => failure.reason);
			assert.deepEqual(checked.isErr() ? [checked.error.reason] : [], refusals);
			assert.equal(gateway.state.openRequests.size, 0);
			if (checked.isOk()) {
				assert.ok(checked.value > 0);
			}
		});
	}
}
