/**
 * Tests which heads of responses are valid, wherever they are cut into segments.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {validateHeaderName, validateHeaderValue} from 'node:http';
import {test} from 'node:test';
import {ResponseHeadCheck} from '../lib/response-head-check.js';

/** Passes the bytes of `text` to a check, one by one and as a whole; returns both. */
function checkText(text: string): ResponseHeadCheck[] {
	const bytes = Buffer.from(text, 'latin1');
	const whole = new ResponseHeadCheck();
	whole.push(bytes);
	const single = new ResponseHeadCheck();
	for (const byte of bytes) {
		single.push(Uint8Array.of(byte));
	}

	return [whole, single];
}

test('heads of valid responses are accepted, and what follows them is not checked', () => {
	for (const text of [
		'HTTP/1.1 200 OK\r\n\r\n',
		'HTTP/1.0 200\r\n\r\n',
		'HTTP/1.1 200 \r\nempty:\r\nblank: \t \r\n\r\n',
		'\r\n\nHTTP/1.1 404 not\tfound \u00E9\r\n!#$%&\'*+-.^_`|~09azAZ:\ta: "\u0080\u00FF"\r\n\r\n',
		'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nlink: l\r\n\r\nHTTP/1.1 200 OK\r\n\r\n',
		'HTTP/1.1 101 Other\r\nupgrade: other\r\n\r\n',
	]) {
		for (const check of checkText(`${text} \0 no head\n\n`)) {
			assert.equal(check.fault, undefined, text);
			assert.ok(check.isFinished, text);
		}
	}
});

test('a head that is not complete is not finished, and no part of it is a fault', () => {
	const head = 'HTTP/1.1 103 Early\r\nlink: l\r\n\r\nHTTP/1.1 200 OK\r\na: b\r\n\r\n';
	for (let length = 0; length < head.length; length++) {
		for (const check of checkText(head.slice(0, length))) {
			assert.equal(check.fault, undefined);
			assert.equal(check.isFinished, false);
		}
	}
});

test('lines that are no status line, and line ends other than CR LF, are faults', () => {
	for (const text of [
		'no head\r\n',
		'HTTP/1.1\r\n',
		'HTTP/1.1 20\r\n',
		'HTTP/1.1 2000\r\n',
		'HTTP/1.1 2x0 OK\r\n',
		'HTTP/1.1  200 OK\r\n',
		'HTTP/1.1 200\tOK\r\n',
		'HTTP/1.1 200 O\u0001K',
		'HTTP/0.9 200 OK\r\n',
		'HTTP/2.0 200 OK\r\n',
		'HTTP/1.1 200 OK\n',
		'HTTP/1.1 200 OK\r\r',
		'HTTP/1.1 200 OK\r\na: b\n',
		'HTTP/1.1 200 OK\r\na: b\rc',
		'HTTP/1.1 200 OK\r\na: b\r\n\rc',
		'HTTP/1.1 200 OK\r\na: b\r\n\n',
		'HTTP/1.1 200 OK\r\n: b',
		'HTTP/1.1 200 OK\r\na\r',
		'HTTP/1.1 100 Continue\r\n\r\na: b\r\n',
	]) {
		for (const check of checkText(text)) {
			assert.match(check.fault ?? '', /^the head of the response is invalid/, text);
		}
	}
});

test('a byte that may not be in a field is a fault as soon as it arrives', () => {
	const isNameByte = (byte: number) => /[\w!#$%&'*+.^`|~:-]/.test(String.fromCodePoint(byte));
	const isValueByte = (byte: number) => (byte >= 32 && byte !== 127) || byte === 9 || byte === 13;
	for (const [start, isAllowed] of [['HTTP/1.1 200 OK\r\na', isNameByte], ['HTTP/1.1 200 OK\r\na: b', isValueByte]] as const) {
		for (let byte = 0; byte < 256; byte++) {
			for (const check of checkText(start + String.fromCodePoint(byte))) {
				assert.equal(check.fault === undefined, isAllowed(byte), `${byte} after ${start}`);
			}
		}
	}
});

// Guards against responses that fail while they are written to their callers.
test('Node.js writes each byte that a field may hold', () => {
	for (let byte = 0; byte < 256; byte++) {
		const character = String.fromCodePoint(byte);
		const field = `a${character}: b${character}`;
		for (const check of checkText(`HTTP/1.1 200 OK\r\n${field}\r\n\r\n`)) {
			if (check.fault === undefined && character !== ':') {
				validateHeaderName(`a${character}`);
				validateHeaderValue('a', `b${character}`);
			}
		}
	}
});
