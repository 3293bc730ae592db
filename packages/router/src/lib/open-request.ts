/**
 * A caller's request while it is open: its content and the delivery of its
 * answer. Writes wait for a slow caller, so that a stream uses a bounded amount
 * of memory.
 */
import {createHash} from 'node:crypto';
import type {Refusal} from '@sequoiatally/core';

/** Bytes buffered per stream for a slow caller. Multiplied by the number of open streams, this bounds their memory. */
const streamBufferBytes = 16 * 1024;

export type RequestContent = {
	readonly requestId: string;
	readonly method: string;
	/** Path with the query string, as it is forwarded. */
	readonly requestTarget: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly chatKey: string;
};

/** A complete answer that is not a stream. */
export type PlainAnswer = {
	/** Identifier of the request whose run produced the answer. */
	readonly requestId: string;
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** Whether the answer was produced by an earlier call with the same ticket. */
	readonly isReplayed?: boolean;
};

/** Result of a request whose answer is not a stream. */
export type PlainResult = {readonly answer: PlainAnswer} | {readonly refusal: Refusal};

/** Header that carries the request's identifier in all answers, and in requests to targets. */
export const requestIdHeader = 'x-request-id';
/** Header that states whether a refused request may have run. */
export const outcomeHeader = 'x-outcome';
/** Header that marks an answer as replayed from an earlier call with the same ticket. */
export const replayedHeader = 'x-replayed';

/** Computes the digest of a request's method, request target and body. A ticket is valid for one digest. */
export function computeContentDigest(method: string, requestTarget: string, body: Uint8Array): string {
	return createHash('sha256').update(`${method} ${requestTarget}\n`).update(body).digest('hex');
}

/** Creates the JSON body of a refusal, used in responses and in the error event that ends a stream. */
export function createRefusalBody(requestId: string, refusal: Refusal): string {
	const {
		reason, outcome, callOutcome, message, retryAfterMs,
	} = refusal;
	return JSON.stringify({
		error: {
			type: reason, outcome, callOutcome, message, requestId, retryAfterMs,
		},
	});
}

/** Creates the HTTP response for a refused request. */
export function createRefusalResponse(requestId: string, refusal: Refusal): Response {
	const headers: Record<string, string> = {
		'content-type': 'application/json', [requestIdHeader]: requestId, [outcomeHeader]: refusal.outcome,
	};
	if (refusal.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1000));
	}

	return new Response(createRefusalBody(requestId, refusal), {status: refusal.status, headers});
}

/** Statuses whose responses have no body. */
const statusesWithoutBody = new Set([204, 205, 304]);

function createPlainResponse({
	requestId, status, contentType, body, isReplayed,
}: PlainAnswer): Response {
	return new Response(statusesWithoutBody.has(status) ? null : body, {
		status,
		headers: {'content-type': contentType, [requestIdHeader]: requestId, ...(isReplayed ? {[replayedHeader]: 'true'} : {})},
	});
}

/** An open request of one caller. */
export class OpenRequest {
	/** Resolves with the response as soon as its head is known. */
	readonly response: Promise<Response>;
	/** Resolves with the result of a request whose answer is not a stream. */
	readonly plainResult: Promise<PlainResult>;
	/** The target's answer, kept even if the caller has disconnected. */
	answer?: PlainAnswer;
	/** Number of stream events written for the caller, over all attempts. */
	deliveredCount = 0;
	readonly #encoder = new TextEncoder();
	readonly #onCallerLeft: () => void;
	#resolveResponse!: (response: Response) => void;
	#resolvePlainResult!: (result: PlainResult) => void;
	#streamController?: ReadableStreamDefaultController<Uint8Array>;
	#resumeWriter?: () => void;
	#isFinished = false;

	constructor(readonly content: RequestContent, onCallerLeft: () => void) {
		this.#onCallerLeft = onCallerLeft;
		this.response = new Promise(resolve => {
			this.#resolveResponse = resolve;
		});
		this.plainResult = new Promise(resolve => {
			this.#resolvePlainResult = resolve;
		});
	}

	/** Whether the answer is complete, the request was refused, or the caller has disconnected. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Whether a streamed answer has been started. */
	get hasStarted(): boolean {
		return this.#streamController !== undefined;
	}

	/** Starts a streamed answer unless one has been started already. */
	startStream(headers: Readonly<Record<string, string>>): void {
		if (this.#streamController !== undefined) {
			return;
		}

		const stream = new ReadableStream<Uint8Array>({
			start: controller => {
				this.#streamController = controller;
			},
			pull: () => {
				this.releaseWriter();
			},
			cancel: () => {
				this.handleDisconnect();
			},
		}, new ByteLengthQueuingStrategy({highWaterMark: streamBufferBytes}));
		this.#resolveResponse(new Response(stream, {
			headers: {
				'content-type': 'text/event-stream', 'cache-control': 'no-store', [requestIdHeader]: this.content.requestId, ...headers,
			},
		}));
	}

	/** Writes one event of the stream. If the buffer is then full, waits until the caller has read some of it or the attempt ends. */
	async writeEvent(data: string): Promise<void> {
		if (this.#isFinished) {
			return;
		}

		this.#streamController!.enqueue(this.#encoder.encode(`data: ${data}\n\n`));
		this.deliveredCount++;
		if ((this.#streamController!.desiredSize ?? 1) <= 0) {
			await new Promise<void>(resolve => {
				this.#resumeWriter = resolve;
			});
		}
	}

	/** Resumes a waiting `writeEvent`, because the buffer has space or the attempt has ended. */
	releaseWriter(): void {
		this.#resumeWriter?.();
		this.#resumeWriter = undefined;
	}

	/** Ends a stream after its last event was delivered. */
	finishStream(): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#streamController!.enqueue(this.#encoder.encode('data: [DONE]\n\n'));
		this.#streamController!.close();
	}

	/** Delivers a complete plain answer. */
	finishPlain(answer: PlainAnswer): void {
		this.answer = answer;
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#resolveResponse(createPlainResponse(answer));
			this.#resolvePlainResult({answer});
		}
	}

	/** Refuses the request, or ends its stream with a typed error event. */
	refuse(refusal: Refusal): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#resolvePlainResult({refusal});
		if (this.#streamController === undefined) {
			this.#resolveResponse(createRefusalResponse(this.content.requestId, refusal));
			return;
		}

		this.#streamController.enqueue(this.#encoder.encode(`event: error\ndata: ${createRefusalBody(this.content.requestId, refusal)}\n\n`));
		this.#streamController.close();
		this.releaseWriter();
	}

	/** Ends the request because the caller has disconnected. */
	handleDisconnect(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.releaseWriter();
			this.#onCallerLeft();
		}
	}
}
