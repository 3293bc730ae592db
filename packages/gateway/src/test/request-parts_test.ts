/**
 * Tests how the bytes of a connection are divided into parts for the HTTP parser.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {findPartEnd} from '../lib/request-parts.js';

const maxLinesPerPart = 256;
const blockBytes = 64 * 1024;
const head = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

function listParts(bytes: Uint8Array): string[] {
	const parts: string[] = [];
	for (let offset = 0; offset < bytes.length;) {
		const end = findPartEnd(bytes, offset, undefined);
		parts.push(Buffer.from(bytes.subarray(offset, end)).toString());
		offset = end;
	}

	return parts;
}

// Guards against parts whose work no limit bounds, and against bytes that are searched again for each part.
for (const [kind, repeated] of [['empty lines', '\r\n'], ['line feeds', '\n'], ['small chunks', '1\r\nx\r\n'], ['fields', 'X:\r\n']] as const) {
	test(`${kind} are divided into parts with a limited number of lines`, () => {
		const bytes = Buffer.alloc(blockBytes - (blockBytes % repeated.length), repeated);
		const parts = listParts(bytes);
		assert.equal(parts.join(''), bytes.toString());
		assert.ok(parts.every(part => part.split('\n').length <= maxLinesPerPart + 1));
	});
}

test('bytes without lines are one part', () => {
	assert.equal(findPartEnd(Buffer.alloc(blockBytes, 'x'), 0, undefined), blockBytes);
});

test('a body with a length is one part', () => {
	const bytes = Buffer.alloc(blockBytes, '\r\n');
	assert.equal(findPartEnd(bytes, 10, blockBytes), blockBytes);
	assert.equal(findPartEnd(bytes, 10, 5000), 5010);
});

// Guards against a request that is parsed together with the one before it.
test('a part ends behind each head, however many lines it has', () => {
	for (let lineCount = maxLinesPerPart - 5; lineCount <= maxLinesPerPart + 5; lineCount++) {
		const long = `GET / HTTP/1.1\r\n${'X: 1\r\n'.repeat(lineCount)}\r\n`;
		const parts = listParts(Buffer.from(`${long}${head}${head}`));
		assert.equal(parts.slice(-2).join('|'), `${head}|${head}`);
		assert.equal(parts.slice(0, -2).join(''), long);
	}
});

// Guards against an empty line that is not found because it is divided between two blocks.
test('a part ends behind a head of which a block contains only the rest', () => {
	for (let position = 1; position < head.length; position++) {
		const parts = listParts(Buffer.from(head.slice(position) + head));
		assert.equal(parts.at(-1), head, `from ${position} on`);
	}
});
