/**
 * Properties of the mapping between the reducer's messages and the wire types.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import {BorrowRequestSchema} from '@sequoiatally/peer';
import fc from 'fast-check';
import {fromWireBorrowRequest, toWireBorrowRequest} from '../lib/peer-mapping.js';

const amountArbitrary = fc.record({
	limitId: fc.string(), rate: fc.double({noNaN: true, min: 0}), room: fc.double({noNaN: true, min: 0}), tokens: fc.double({noNaN: true, min: 0}),
}, {noNullPrototype: true});

await test('a batch of loan requests is unchanged after encoding and decoding, whether a loan identifier begins with the sender\'s incarnation or another', () => {
	const loanArbitrary = fc.record({
		isOwn: fc.boolean(), number: fc.nat(), termMs: fc.nat(100_000), amounts: fc.array(amountArbitrary, {maxLength: 3}),
	});
	fc.assert(fc.property(fc.uuid(), fc.uuid(), fc.array(loanArbitrary, {minLength: 1, maxLength: 20}), (incarnation, otherIncarnation, loans) => {
		const requests = loans.map(({isOwn, number, termMs, amounts}) => ({
			loanId: `${isOwn ? incarnation : otherIncarnation}/${number}`, instanceId: 'router-1', incarnation, termMs, amounts,
		}));
		const bytes = toBinary(BorrowRequestSchema, toWireBorrowRequest(requests));
		assert.deepEqual(fromWireBorrowRequest(fromBinary(BorrowRequestSchema, bytes)), requests);
	}), {seed: 71, numRuns: 200});
});
