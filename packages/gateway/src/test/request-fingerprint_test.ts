/**
 * Tests what makes two requests the same.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {computeFingerprint} from '../lib/request-fingerprint.js';

const identity = {
	method: 'POST', host: 'a.example', url: '/order/x?q=1', keyDigest: 'digest-a', body: [new TextEncoder().encode('order')],
};

test('equal requests have equal fingerprints', () => {
	assert.equal(computeFingerprint({...identity}), computeFingerprint({...identity, body: [new TextEncoder().encode('or'), new TextEncoder().encode('der')]}), 'whatever the parts in which the body arrives');
	assert.match(computeFingerprint(identity), /^[\w-]{20}$/);
});

test('requests that differ in method, host, path, query, client account or body have different fingerprints', () => {
	const others = [
		{method: 'GET'},
		{host: 'b.example'},
		{url: '/order/x'},
		{url: '/order/x?q=2'},
		{keyDigest: 'digest-b'},
		{keyDigest: undefined},
		{body: []},
		{url: '/order/x?q=1order', body: []},
	].map(fields => computeFingerprint({...identity, ...fields}));
	assert.equal(new Set([computeFingerprint(identity), ...others]).size, others.length + 1);
});
