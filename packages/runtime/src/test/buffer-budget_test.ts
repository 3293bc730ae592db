/**
 * Tests the memory for responses: what is collected, what it takes, and who has to give way.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {BodyCollector} from '../lib/body-collector.js';
import {BufferBudget, maxBytesPerExchange, type BufferAccount} from '../lib/buffer-budget.js';

const mebibyte = 1024 * 1024;

test('a collected body has all bytes in order, and takes little more than its size', () => {
	fc.assert(fc.property(fc.array(fc.oneof(fc.integer({min: 0, max: 40}), fc.integer({min: 10_000, max: 70_000})), {maxLength: 60}), sizes => {
		const collector = new BodyCollector();
		const parts = sizes.map((size, index) => Buffer.alloc(size, String.fromCodePoint(97 + (index % 26))));
		for (const part of parts) {
			collector.add(part);
		}

		const expected = Buffer.concat(parts);
		assert.ok(Buffer.concat(collector.takeBlocks()).equals(expected));
		// A large part closes the block of small parts before it, which may be almost empty: 64 KB are taken beside a part of 16 KB.
		assert.ok(collector.capacity >= expected.length);
		assert.ok(collector.capacity <= (5 * expected.length) + (64 * 1024));
	}), {seed: 41});
});

// Guards against sound responses that are lost because faulty targets fill the memory of all.
test('the largest response gives way when memory is used up (endless bodies beside sound responses)', () => {
	const budget = new BufferBudget(400 * mebibyte);
	const evicted: number[] = [];
	const accounts: BufferAccount[] = [10, 14, 12, 15].map((size, index) => {
		const account: BufferAccount = budget.openAccount(() => {
			evicted.push(index);
			account.release();
		});
		assert.equal(account.trySet(size * mebibyte), true);
		return account;
	});
	const sound = budget.openAccount(() => {
		assert.fail('a small response gives way');
	});
	assert.equal(sound.trySet(9 * mebibyte), true);
	assert.deepEqual(evicted, []);
	assert.equal(sound.trySet(10 * mebibyte), true);
	assert.deepEqual(evicted, [3]);
	assert.equal(accounts[0]!.trySet(16 * mebibyte), true);
	assert.equal(accounts[1]!.trySet(16 * mebibyte), true);
	assert.deepEqual(evicted, [3], 'the others fit');
	assert.equal(accounts[2]!.trySet(maxBytesPerExchange), true);
	assert.equal(accounts[0]!.trySet(maxBytesPerExchange + 1), false, 'no response may be larger than the limit of one');
});

test('a response that would be the largest is refused memory, and released memory can be used again', () => {
	const budget = new BufferBudget(100 * mebibyte);
	const first = budget.openAccount(() => {
		assert.fail('a smaller response gives way');
	});
	const second = budget.openAccount(() => {
		assert.fail('a smaller response gives way');
	});
	assert.equal(first.trySet(8 * mebibyte), true);
	assert.equal(second.trySet(9 * mebibyte), false);
	first.release();
	assert.equal(second.trySet(9 * mebibyte), true);
});
