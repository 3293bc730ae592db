/**
 * Tests the memory for bodies and responses: what is collected, what it takes, and who has to give way.
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
		assert.ok(collector.capacity >= expected.length);
		assert.ok(collector.capacity < expected.length + (64 * 1024));
		const blocks = collector.takeBlocks();
		assert.ok(Buffer.concat(blocks).equals(expected));
		assert.equal(collector.capacity, expected.length);
	}), {seed: 41});
});

// Guards against bodies whose bytes are counted several times over, and so fill the memory of all.
test('small parts between large ones take no block each', () => {
	const collector = new BodyCollector();
	for (let index = 0; index < 100; index++) {
		collector.add(Buffer.alloc(16 * 1024));
		collector.add(Buffer.alloc(1));
	}

	const bytes = 100 * ((16 * 1024) + 1);
	assert.ok(collector.capacity < bytes + (64 * 1024), `${collector.capacity} for ${bytes}`);
	const buffers = new Set(collector.takeBlocks().slice(1).filter(({length}) => length === 1).map(block => block.buffer));
	assert.equal(buffers.size, 100);
	for (const {byteLength} of buffers) {
		assert.equal(byteLength, 1);
	}
});

// Guards against bodies that are rejected after their declared length was reserved.
test('a body takes no more than its declared length at any time, in whatever parts it arrives', () => {
	fc.assert(fc.property(fc.array(fc.oneof(fc.integer({min: 0, max: 40}), fc.integer({min: 10_000, max: 70_000})), {maxLength: 60}), sizes => {
		const parts = sizes.map((size, index) => Buffer.alloc(size, String.fromCodePoint(97 + (index % 26))));
		const expected = Buffer.concat(parts);
		const collector = new BodyCollector(expected.length);
		for (const part of parts) {
			collector.add(part);
			assert.ok(collector.capacity <= expected.length, `${collector.capacity} of ${expected.length}`);
		}

		assert.ok(Buffer.concat(collector.takeBlocks()).equals(expected));
	}), {seed: 41});
});

test('a body that is longer than declared is collected too', () => {
	const collector = new BodyCollector(5);
	for (const part of ['abc', 'defg', 'hij']) {
		collector.add(Buffer.from(part));
	}

	assert.equal(Buffer.concat(collector.takeBlocks()).toString(), 'abcdefghij');
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

// Guards against LOST: bodies that come together exceed the memory of the process.
test('bodies that do not fit together are rejected, and fit again when others are released', () => {
	const changes: boolean[] = [];
	const budget = new BufferBudget(350 * mebibyte, isFull => {
		changes.push(isFull);
	});
	const accounts = Array.from({length: 100}, () => budget.openBodyAccount());
	const held = accounts.filter(account => account.tryExtend(4 * mebibyte));
	assert.equal(budget.bodyBytes, held.length * 4 * mebibyte);
	assert.ok(budget.bodyBytes <= budget.bodyBytesLimit && held.length >= 20, `${held.length} bodies of 4 MB`);
	assert.deepEqual(changes, [true], 'told once');
	const [first, ...rest] = held;
	assert.equal(first!.tryExtend(8 * mebibyte), false, 'an extension that does not fit changes nothing');
	first!.release();
	first!.release();
	assert.equal(budget.bodyBytes, rest.length * 4 * mebibyte);
	assert.equal(budget.openBodyAccount().tryExtend(4 * mebibyte), true);
	assert.deepEqual(changes, [true]);
	for (const account of rest) {
		account.release();
	}

	assert.deepEqual(changes, [true, false]);
	assert.equal(budget.bodyBytes, 4 * mebibyte);
});

test('large bodies leave room for small ones, and neither takes the memory of responses', () => {
	for (const memoryMb of [160, 250, 350, 1000]) {
		const budget = new BufferBudget(memoryMb * mebibyte);
		while (budget.openBodyAccount().tryExtend(mebibyte)) {
			// Fills the memory with large bodies.
		}

		const isHeld = Array.from({length: 20}, () => budget.openBodyAccount().tryExtend(64 * 1024));
		assert.deepEqual(new Set(isHeld), new Set([true]), `${memoryMb} MB`);
		while (budget.openBodyAccount().tryExtend(1024)) {
			// Fills the rest with small bodies.
		}

		assert.ok(budget.bodyBytes <= budget.bodyBytesLimit);
		const response = budget.openAccount(() => {
			assert.fail('a response gives way to a body');
		});
		assert.equal(response.trySet(maxBytesPerExchange), true);
		assert.equal(budget.responseBytes, maxBytesPerExchange);
	}
});
