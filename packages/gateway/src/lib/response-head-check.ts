/**
 * Checks the heads of responses as they arrive, before Node.js parses them. What its parser accepts depends on its
 * release and its options: it may append a line that begins with a blank to the value before it, end a head at a bare
 * CR, or accept blanks in names. A head that is not valid HTTP (RFC 9112, sections 4 and 5) proves nothing, not even
 * where its body begins, so no part of its response is used.
 *
 * Interim responses (status 1xx) may precede the final one; the heads of all of them are checked, bodies are not.
 */
import type {ClientRequest} from 'node:http';

const tab = 9;
const lf = 10;
const cr = 13;
const space = 32;
const colon = 58;
const del = 127;
const minInterimStatus = 100;
const maxInterimStatus = 199;
/** The protocol changes behind the head of this status, so no other response follows. */
const switchingProtocolsStatus = 101;
/** Longest part of a line that a fault quotes, in characters. */
const maxQuotedLength = 40;

const statusLinePattern = /^HTTP\/1\.\d (\d{3})(?: .*)?$/;

const nameBytes = createByteSet(byte => /[\w!#$%&'*+.^`|~-]/.test(String.fromCodePoint(byte)));
/** Bytes of values and of status lines. */
const textBytes = createByteSet(byte => byte === tab || (byte >= space && byte !== del));

/** What the next byte belongs to. */
const headPart = {
	statusLine: 'status line',
	name: 'field name',
	value: 'field value',
	/** The LF that has to follow a CR. */
	lineEnd: 'line end',
	/** The LF of the empty line behind the fields. */
	headEnd: 'end of the head',
	/** The head of the final response is complete. */
	body: 'body',
} as const;

export class ResponseHeadCheck {
	/** Reason why a head is invalid; nothing is checked after that. */
	fault?: string;
	#part: typeof headPart[keyof typeof headPart] = headPart.statusLine;
	/** The bytes of the line so far, as characters. */
	#line = '';
	#isInterim = false;

	/** True if no further bytes have to be checked. */
	get isFinished(): boolean {
		return this.fault !== undefined || this.#part === headPart.body;
	}

	/** Checks the next bytes of the connection. */
	push(bytes: Uint8Array): void {
		for (let index = 0; index < bytes.length && !this.isFinished; index++) {
			this.#pushByte(bytes[index]!);
		}
	}

	#pushByte(byte: number): void {
		switch (this.#part) {
			case headPart.statusLine: {
				this.#pushToStatusLine(byte);
				break;
			}

			case headPart.name: {
				if (byte === cr && this.#line === '') {
					this.#part = headPart.headEnd;
				} else if (byte === colon && this.#line !== '') {
					this.#part = headPart.value;
				} else {
					this.#addToLine(byte, nameBytes);
				}

				break;
			}

			case headPart.value: {
				if (byte === cr) {
					this.#part = headPart.lineEnd;
				} else {
					this.#addToLine(byte, textBytes);
				}

				break;
			}

			case headPart.lineEnd:
			case headPart.headEnd: {
				this.#endLine(byte);
				break;
			}

			case headPart.body: {
				break;
			}
		}
	}

	#pushToStatusLine(byte: number): void {
		const isEmpty = this.#line === '';
		if (isEmpty && (byte === cr || byte === lf)) {
			// Empty lines before a response change nothing about it.
			return;
		}

		if (byte !== cr) {
			this.#addToLine(byte, textBytes);
			return;
		}

		const [, status] = statusLinePattern.exec(this.#line) ?? [];
		if (status === undefined) {
			this.#fail(byte);
		} else {
			this.#isInterim = isInterimStatus(Number(status));
			this.#part = headPart.lineEnd;
		}
	}

	#addToLine(byte: number, allowed: Uint8Array): void {
		if (allowed[byte] === 1) {
			this.#line += String.fromCodePoint(byte);
		} else {
			this.#fail(byte);
		}
	}

	#endLine(byte: number): void {
		if (byte !== lf) {
			this.#fail(byte);
			return;
		}

		this.#line = '';
		if (this.#part === headPart.lineEnd) {
			this.#part = headPart.name;
		} else {
			this.#part = this.#isInterim ? headPart.statusLine : headPart.body;
		}
	}

	#fail(byte: number): void {
		const text = this.#line.slice(-maxQuotedLength) + String.fromCodePoint(byte);
		this.fault = `the head of the response is invalid: ${this.#part} in ${JSON.stringify(text)}`;
	}
}

function isInterimStatus(status: number): boolean {
	return status >= minInterimStatus && status <= maxInterimStatus && status !== switchingProtocolsStatus;
}

function createByteSet(isMember: (byte: number) => boolean): Uint8Array {
	return Uint8Array.from({length: 256}, (_, byte) => isMember(byte) ? 1 : 0);
}

/**
 * Checks the heads that `request` receives; calls `onFault` once if one is invalid. Its owner has to end the
 * request then and ignore its events, since Node.js still parses the bytes that it has read.
 */
export function checkResponseHeads(request: ClientRequest, onFault: (detail: string) => void): void {
	request.once('socket', socket => {
		const check = new ResponseHeadCheck();
		const handleData = (bytes: Uint8Array) => {
			check.push(bytes);
			if (check.isFinished) {
				socket.off('data', handleData);
			}

			if (check.fault !== undefined) {
				onFault(check.fault);
			}
		};

		// The listener of the parser is there already.
		socket.prependListener('data', handleData);
	});
}
