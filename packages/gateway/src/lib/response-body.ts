/**
 * Reads the body of one response. A reader ends once: it reports that the response is
 * complete or that it failed, or its owner closes it. Nothing is reported after that.
 *
 * A response is complete as soon as all bytes of its declared length, or its last chunk,
 * have arrived. Bytes that follow on the same connection belong to no request: they, and
 * the errors that they cause, do not change a complete response.
 *
 * A body that only the end of its connection ends is not complete if the connection was
 * reset. Node.js reports a reset as an end if it is read together with the last data; then
 * the system knows no other side of the connection any more. Nor is it complete if the
 * connection ended before the request was written to it: the sender cannot have read the
 * request, and nothing shows that it sent all of its response.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {responseForm, type ResponseForm} from '@sequoiatally/dispatch';
import {isInChunks} from '@sequoiatally/runtime';
import {PacedReader, type ReadPacing} from './read-pacing.js';

/** Receives the parts of a body and its end, exactly one of `onComplete` and `onFailure`. */
export type BodyListener = {
	readonly onData: (part: Uint8Array) => void;
	readonly onComplete: () => void;
	/** `detail` tells why the response cannot be used. */
	readonly onFailure: (detail: string) => void;
};

/** What divides the time for reading among bodies. */
export type BodyPacing = {readonly pacing: ReadPacing; readonly readClock: () => number};

export class ResponseBody extends PacedReader {
	readonly #response: IncomingMessage;
	readonly #listener: BodyListener;
	readonly #pacing?: ReadPacing;
	#receivedBytes = 0;
	#isClosed = false;
	/** True while the owner wants nothing to be read. */
	#isPaused = false;
	/** True while the body waits for a later iteration of the event loop. */
	#isStopped = false;
	/** True if the connection whose end is that of the body was reset. */
	#wasReset = false;
	/** True if that connection ended before the request was written to it. */
	#endedInRequest = false;

	/** Without `bodyPacing`, the body is read as it arrives. */
	constructor(response: IncomingMessage, listener: BodyListener, bodyPacing?: BodyPacing) {
		super();
		this.#response = response;
		this.#listener = listener;
		this.#pacing = bodyPacing?.pacing;
		response.on('data', (part: Uint8Array) => {
			if (this.#isClosed) {
				return;
			}

			this.#receivedBytes += part.length;
			listener.onData(part);
			// The listener may have ended the reader.
			if (!this.#isClosed) {
				bodyPacing?.pacing.recordRead(this, bodyPacing.readClock());
			}
		});
		if (!isSelfDelimited(response)) {
			const {socket} = response;
			// The reader may be paused when the connection ends, and the socket be gone when it goes on.
			socket.prependOnceListener('end', () => {
				this.#wasReset = socket.remoteAddress === undefined;
				this.#endedInRequest = findRequest(response)?.writableFinished === false;
			});
		}

		response.on('end', () => {
			this.#handleEnd();
		});
		response.on('error', (error: Error) => {
			if (!response.complete) {
				this.#fail(error.message);
			}
		});
		response.on('close', () => {
			this.#fail('connection closed in the middle of the response');
		});
	}

	/** Stops reading until `resume`; the target cannot send more than the connection buffers. */
	pause(): void {
		this.#isPaused = true;
		this.#response.pause();
	}

	resume(): void {
		this.#isPaused = false;
		this.#tryResume();
	}

	stopRead(): void {
		this.#isStopped = true;
		this.#response.pause();
	}

	releaseRead(): void {
		this.#isStopped = false;
		this.#tryResume();
	}

	/** Ends the reader without a report. */
	close(): void {
		this.#isClosed = true;
		this.#pacing?.removeReader(this);
	}

	#tryResume(): void {
		if (!this.#isClosed && !this.#isPaused && !this.#isStopped) {
			this.#response.resume();
		}
	}

	#handleEnd(): void {
		const declaredBytes = findDeclaredLength(this.#response);
		if (!this.#response.complete) {
			this.#fail('connection closed in the middle of the response');
		} else if (this.#wasReset) {
			this.#fail('connection reset at the end of the response');
		} else if (this.#endedInRequest) {
			this.#fail('connection ended while the request was being written');
		} else if (declaredBytes !== undefined && declaredBytes !== this.#receivedBytes && hasBody(this.#response)) {
			this.#fail(`${this.#receivedBytes} of ${declaredBytes} declared bytes were read`);
		} else if (!this.#isClosed) {
			this.close();
			this.#listener.onComplete();
		}
	}

	#fail(detail: string): void {
		if (!this.#isClosed) {
			this.close();
			this.#listener.onFailure(detail);
		}
	}
}

/** Finds the length that the sender declares for the body, in bytes; `undefined` if there is none. */
export function findDeclaredLength({headers}: IncomingMessage): number | undefined {
	return headers['content-length'] === undefined ? undefined : Number(headers['content-length']);
}

/** Finds what states the end of the response's body. */
export function findForm(response: IncomingMessage): ResponseForm {
	if (isInChunks(response.headers['transfer-encoding'])) {
		return responseForm.chunks;
	}

	return isSelfDelimited(response) ? responseForm.length : responseForm.connectionEnd;
}

/** Returns false if the end of the response is marked only by the closed connection, which also happens if the target crashes. */
export function isSelfDelimited(response: IncomingMessage): boolean {
	return findDeclaredLength(response) !== undefined || isInChunks(response.headers['transfer-encoding']) || !hasBody(response);
}

/** Returns false for responses whose declared length is that of another response's body. */
export function hasBody(response: IncomingMessage): boolean {
	return findRequest(response)?.method !== 'HEAD' && isBodyAllowed(response);
}

/** Finds the request that was answered; Node.js sets it, but its types do not name it. */
function findRequest(response: IncomingMessage): ClientRequest | undefined {
	return (response as IncomingMessage & {readonly req?: ClientRequest}).req;
}

function isBodyAllowed({statusCode}: IncomingMessage): boolean {
	return statusCode !== 204 && statusCode !== 304;
}
