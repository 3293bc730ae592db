/**
 * A caller's request while it is open: its content, and the answer as it is
 * delivered. Writing waits while the caller reads slowly, so that a stream
 * holds a bounded amount of memory.
 */
import {createHash} from 'node:crypto';
import type {Refusal} from '@sequoiatally/core';

/** Bytes that a stream may hold for a slow caller; times the open streams, this is the memory they take. */
const streamBufferBytes = 16 * 1024;

export type RequestContent = {
	readonly requestId: string;
	readonly method: string;
	/** Path with query, as it is forwarded. */
	readonly requestTarget: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly chatKey: string;
};

/** A whole answer that is no stream. */
export type PlainAnswer = {
	/** Identifier of the run that gave it. */
	readonly requestId: string;
	readonly status: number;
	readonly contentType: string;
	readonly body: Uint8Array;
	/** True: an earlier call with the same ticket ran, and this is its answer. */
	readonly isReplayed?: boolean;
};

/** How a request that is no stream ended. */
export type PlainResult = {readonly answer: PlainAnswer} | {readonly refusal: Refusal};

/** Header that names the request in answers of every kind. */
export const requestIdHeader = 'x-request-id';
/** Header that says whether a refused request may have run. */
export const outcomeHeader = 'x-outcome';
/** Header that marks the answer of an earlier call with the same ticket. */
export const replayedHeader = 'x-replayed';

/** Computes the digest of what a request asks for; a ticket counts for one of them. */
export function computeContentDigest(method: string, requestTarget: string, body: Uint8Array): string {
	return createHash('sha256').update(`${method} ${requestTarget}\n`).update(body).digest('hex');
}

/** Creates the body of a refusal, the same in answers and at the end of streams. */
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

/** Creates the answer of a refused request. */
export function createRefusalResponse(requestId: string, refusal: Refusal): Response {
	const headers: Record<string, string> = {
		'content-type': 'application/json', [requestIdHeader]: requestId, [outcomeHeader]: refusal.outcome,
	};
	if (refusal.retryAfterMs !== undefined) {
		headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / 1000));
	}

	return new Response(createRefusalBody(requestId, refusal), {status: refusal.status, headers});
}

/** Statuses whose answers have no body. */
const statusesWithoutBody = new Set([204, 205, 304]);

function createPlainResponse({
	requestId, status, contentType, body, isReplayed,
}: PlainAnswer): Response {
	return new Response(statusesWithoutBody.has(status) ? null : body, {
		status,
		headers: {'content-type': contentType, [requestIdHeader]: requestId, ...(isReplayed ? {[replayedHeader]: 'true'} : {})},
	});
}

/** One caller's request. */
export class OpenRequest {
	/** Resolves with the answer as soon as its head is known. */
	readonly response: Promise<Response>;
	/** Resolves with the end of a request that is no stream. */
	readonly plainResult: Promise<PlainResult>;
	/** Answer that the target gave, kept even if the caller has left. */
	answer?: PlainAnswer;
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

	/** True once the answer is whole, refused, or no longer wanted. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** True once the head of a streamed answer has been sent. */
	get hasStarted(): boolean {
		return this.#streamController !== undefined;
	}

	/** Starts a streamed answer unless it has started already. */
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

	/** Delivers one event of the stream; waits while the caller's buffer is full. */
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

	/** Lets a waiting `writeEvent` go on, because there is room or the attempt is over. */
	releaseWriter(): void {
		this.#resumeWriter?.();
		this.#resumeWriter = undefined;
	}

	/** Ends a stream whose last event was delivered. */
	finishStream(): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#streamController!.enqueue(this.#encoder.encode('data: [DONE]\n\n'));
		this.#streamController!.close();
	}

	/** Delivers a whole plain answer. */
	finishPlain(answer: PlainAnswer): void {
		this.answer = answer;
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#resolveResponse(createPlainResponse(answer));
			this.#resolvePlainResult({answer});
		}
	}

	/** Refuses the request, or ends its stream with a typed error. */
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

	/** Notes that the caller is gone. */
	handleDisconnect(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.releaseWriter();
			this.#onCallerLeft();
		}
	}
}
