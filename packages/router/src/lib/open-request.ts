/**
 * A caller's request while it is open: its content, and the answer as it is
 * delivered. Writing waits while the caller reads slowly, so that a stream
 * holds a bounded amount of memory.
 */
import type {Refusal} from '@sequoiatally/core';

/** Bytes that a stream may hold for a slow caller. */
const streamBufferBytes = 64 * 1024;

export type RequestContent = {
	readonly requestId: string;
	readonly method: string;
	/** Path with query, as it is forwarded. */
	readonly target: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly chatKey: string;
};

/** Header that names the request in answers of every kind. */
export const requestIdHeader = 'x-request-id';
/** Header that says whether a refused request may have run. */
export const outcomeHeader = 'x-outcome';

/** Creates the body of a refusal, the same in answers and at the end of streams. */
export function createRefusalBody(requestId: string, refusal: Refusal): string {
	const {
		reason, outcome, message, retryAfterMs,
	} = refusal;
	return JSON.stringify({
		error: {
			type: reason, outcome, message, requestId, retryAfterMs,
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

/** One caller's request. */
export class OpenRequest {
	/** Resolves with the answer as soon as its head is known. */
	readonly response: Promise<Response>;
	deliveredCount = 0;
	readonly #encoder = new TextEncoder();
	readonly #onCallerLeft: () => void;
	#resolve!: (response: Response) => void;
	#controller?: ReadableStreamDefaultController<Uint8Array>;
	#wakeWriter?: () => void;
	#isFinished = false;

	constructor(readonly content: RequestContent, onCallerLeft: () => void) {
		this.#onCallerLeft = onCallerLeft;
		this.response = new Promise(resolve => {
			this.#resolve = resolve;
		});
	}

	/** True once the answer is whole, refused, or no longer wanted. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Starts a streamed answer unless it has started already. */
	startStream(headers: Readonly<Record<string, string>>): void {
		if (this.#controller !== undefined) {
			return;
		}

		const stream = new ReadableStream<Uint8Array>({
			start: controller => {
				this.#controller = controller;
			},
			pull: () => {
				this.#wakeWriter?.();
			},
			cancel: () => {
				this.leave();
			},
		}, new ByteLengthQueuingStrategy({highWaterMark: streamBufferBytes}));
		this.#resolve(new Response(stream, {
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

		this.#controller!.enqueue(this.#encoder.encode(`data: ${data}\n\n`));
		this.deliveredCount++;
		if ((this.#controller!.desiredSize ?? 1) <= 0) {
			await new Promise<void>(resolve => {
				this.#wakeWriter = resolve;
			});
		}
	}

	/** Ends a stream whose last event was delivered. */
	finishStream(): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#controller!.enqueue(this.#encoder.encode('data: [DONE]\n\n'));
		this.#controller!.close();
	}

	/** Delivers a whole plain answer. */
	finishPlain(response: Response): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#resolve(response);
		}
	}

	/** Refuses the request, or ends its stream with a typed error. */
	refuse(refusal: Refusal): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		if (this.#controller === undefined) {
			this.#resolve(createRefusalResponse(this.content.requestId, refusal));
			return;
		}

		this.#controller.enqueue(this.#encoder.encode(`event: error\ndata: ${createRefusalBody(this.content.requestId, refusal)}\n\n`));
		this.#controller.close();
		this.#wakeWriter?.();
	}

	/** Notes that the caller is gone. */
	leave(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#wakeWriter?.();
			this.#onCallerLeft();
		}
	}
}
