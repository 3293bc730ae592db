/**
 * A caller: sends requests on behalf of a client account and checks each answer
 * against the expected content.
 */
import {computeToken} from '@sequoiatally/stand-ins';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';

/** Path at which routers issue tickets. */
const ticketPath = '/.sequoiatally/tickets';
/** Field of chat requests that limits the number of tokens in the answer. */
const tokenLimitField = 'max_tokens';

/** Error codes of broken, closed and refused connections. */
const connectionErrorCodes = new Set(['UND_ERR_SOCKET', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED', 'UND_ERR_ABORTED', 'ECONNRESET', 'ECONNREFUSED', 'EPIPE']);

/** How a request ended from the caller's point of view. */
export const answerKind = {
	whole: 'whole',
	/** A typed refusal, or a typed error at the end of a stream. */
	refused: 'refused',
	/** Neither whole nor refused, or with unexpected content. */
	wrong: 'wrong',
} as const;

export type Answer = {
	readonly kind: typeof answerKind[keyof typeof answerKind];
	readonly requestId?: string;
	/** Type of a refusal. */
	readonly reason?: string;
	/** Outcome of a refusal: whether the request may have run. */
	readonly outcome?: string;
	/** Whether the engine had the prefix of the chat in its cache. */
	readonly isCacheHit?: boolean;
	readonly targetId?: string;
	readonly firstTokenMs?: number;
	readonly totalMs: number;
	readonly detail?: string;
	/** Whether the connection broke before the answer was complete, so that it is unknown whether the request ran. */
	readonly isConnectionLost?: boolean;
};

/** Intended send time on the clock of `performance.now()`, from which latencies are measured; `undefined` if it is the actual send time. */
type IntendedTime = {readonly intendedAt?: number};

export type ChatCall = IntendedTime & {
	readonly key?: string;
	readonly model: string;
	readonly chatId: string;
	readonly maxTokens: number;
	readonly priority?: number;
};
export type PlainCall = {readonly key?: string; readonly method: string; readonly path: string; readonly idempotencyKey?: string} & IntendedTime;

type ErrorBody = {error?: {type?: string; outcome?: string; requestId?: string}};

/** Sends requests to routers over its own connection pool. */
export class Caller {
	readonly #agent = new Agent({pipelining: 1});

	async close(): Promise<void> {
		await this.#agent.close();
	}

	/** Closes all connections immediately; open requests end as on a broken connection. */
	async destroy(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Sends a chat request, reads its stream to the end and checks each token. */
	async callChat(address: string, call: ChatCall): Promise<Answer> {
		const startedAt = call.intendedAt ?? performance.now();
		try {
			const response = await request(`http://${address}/v1/chat/completions`, {
				method: 'POST',
				dispatcher: this.#agent,
				headers: {
					...createAuthorizationHeader(call.key), 'content-type': 'application/json', 'x-chat-id': call.chatId, 'x-priority': String(call.priority ?? 0),
				},
				body: createChatBody(call),
			});
			if (response.statusCode !== 200) {
				return describeRefusal(await response.body.text(), startedAt);
			}

			return await readStream(response, call, startedAt);
		} catch (error) {
			return describeError(error, startedAt);
		}
	}

	/** Fetches a ticket for a request that is not idempotent; `undefined` if no ticket was issued. */
	async fetchTicket(address: string, key: string): Promise<string | undefined> {
		try {
			const {statusCode, body} = await request(`http://${address}${ticketPath}`, {
				method: 'POST', dispatcher: this.#agent, headers: createAuthorizationHeader(key),
			});
			const {ticket} = await body.json() as {ticket?: string};
			return statusCode < 300 ? ticket : undefined;
		} catch {
			return undefined;
		}
	}

	/** Sends a plain request, reads its answer and checks its request identifier. */
	async callPlain(address: string, call: PlainCall): Promise<Answer> {
		const startedAt = call.intendedAt ?? performance.now();
		try {
			const response = await request(`http://${address}${call.path}`, {
				method: call.method as 'GET',
				dispatcher: this.#agent,
				headers: {...createAuthorizationHeader(call.key), ...(call.idempotencyKey === undefined ? {} : {'idempotency-key': call.idempotencyKey})},
			});
			const text = await response.body.text();
			if (response.statusCode !== 200) {
				return describeRefusal(text, startedAt);
			}

			const {requestId} = JSON.parse(text) as {requestId?: string};
			const isCorrect = requestId === response.headers['x-request-id'];
			return {kind: isCorrect ? answerKind.whole : answerKind.wrong, requestId, totalMs: performance.now() - startedAt};
		} catch (error) {
			return describeError(error, startedAt);
		}
	}
}

function createChatBody({model, chatId, maxTokens}: ChatCall): string {
	return JSON.stringify({
		model, [tokenLimitField]: maxTokens, stream: true, messages: [{role: 'user', content: chatId}],
	});
}

function createAuthorizationHeader(key: string | undefined): Record<string, string> {
	return key === undefined ? {} : {authorization: `Bearer ${key}`};
}

function describeError(error: unknown, startedAt: number): Answer {
	const {code, message} = error as Error & {code?: string};
	return {
		kind: answerKind.wrong, totalMs: performance.now() - startedAt, detail: message, isConnectionLost: code !== undefined && connectionErrorCodes.has(code),
	};
}

function describeRefusal(text: string, startedAt: number): Answer {
	const totalMs = performance.now() - startedAt;
	try {
		const {error} = JSON.parse(text) as ErrorBody;
		return error?.type === undefined || error.outcome === undefined
			? {kind: answerKind.wrong, totalMs, detail: 'a refusal without its type'}
			: {
				kind: answerKind.refused, reason: error.type, outcome: error.outcome, requestId: error.requestId, totalMs,
			};
	} catch {
		return {kind: answerKind.wrong, totalMs, detail: 'a refusal that is not JSON'};
	}
}

async function readStream(response: Awaited<ReturnType<typeof request>>, call: ChatCall, startedAt: number): Promise<Answer> {
	const requestId = String(response.headers['x-request-id']);
	let nextIndex = 0;
	let firstTokenMs: number | undefined;
	let isDone = false;
	let mismatch: string | undefined;
	let refusalText: string | undefined;
	const parser = createParser({
		onEvent({event, data}) {
			if (event === 'error') {
				refusalText = data;
			} else if (data === '[DONE]') {
				isDone = true;
			} else {
				firstTokenMs ??= performance.now() - startedAt;
				const {id, index, choices} = JSON.parse(data) as {id: string; index: number; choices: Array<{delta: {content: string}}>};
				const isCorrect = id === requestId && index === nextIndex && choices[0]?.delta.content === computeToken(call.chatId, index);
				mismatch ??= isCorrect ? undefined : `token ${index} at place ${nextIndex} is not the right one`;
				nextIndex++;
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(chunk, {stream: true}));
	}

	if (refusalText !== undefined && mismatch === undefined) {
		return describeRefusal(refusalText, startedAt);
	}

	const isWhole = isDone && nextIndex === call.maxTokens && mismatch === undefined;
	return {
		kind: isWhole ? answerKind.whole : answerKind.wrong,
		requestId,
		isCacheHit: response.headers['x-cache'] === 'hit',
		targetId: String(response.headers['x-target']),
		firstTokenMs,
		totalMs: performance.now() - startedAt,
		detail: isWhole ? undefined : mismatch ?? `the stream ended after ${nextIndex} of ${call.maxTokens} tokens, done: ${isDone}`,
	};
}
