/**
 * Carries out attempts at targets: sends the request, matches the answer by
 * the identifier that the target echoes, and delivers it to the caller.
 */
import {Buffer} from 'node:buffer';
import {
	attemptOutcome, eventKind, type AttemptOutcome, type Dispatch, type Event, type Probe,
} from '@sequoiatally/core';
import {describeError, type LifecycleManager} from '@sequoiatally/runtime';
import {createParser} from 'eventsource-parser';
import {
	Agent, request, type Dispatcher,
} from 'undici';
import {requestIdHeader, type OpenRequest} from './open-request.js';

/** Time without a byte after which an answer's connection counts as lost, in milliseconds. */
const silenceMs = 5000;
const connectTimeoutMs = 1000;
/** Longest time that a probe may take, in milliseconds. */
const probeTimeoutMs = 1000;
/** Path at which a model target reports its boot and load. */
const loadReportPath = '/load';
/** Largest plain answer that is forwarded. */
const largestPlainAnswerBytes = 8 * 1024 * 1024;
const endMark = '[DONE]';

/** Errors that are raised before a connection stands. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** How an attempt ended. */
type AttemptResult = {readonly outcome: AttemptOutcome; readonly detail?: string; readonly retryAfterMs?: number};

/** Ends an attempt with a typed result. */
class AttemptError extends Error {
	readonly result: AttemptResult;

	constructor(result: AttemptResult) {
		super(result.detail);
		this.name = 'AttemptError';
		this.result = result;
	}
}

/** Sends requests to targets and reports how each attempt ended. */
export class TargetClient {
	readonly #agent: Agent;
	readonly #emit: (event: Event) => void;
	readonly #readClock: () => number;
	readonly #abortByAttempt = new Map<number, AbortController>();

	constructor(emit: (event: Event) => void, readClock: () => number, lifecycle: LifecycleManager) {
		this.#emit = emit;
		this.#readClock = readClock;
		this.#agent = createAgent();
		lifecycle.own('target connections', async () => this.#agent.destroy());
	}

	/** Runs one attempt; its end comes back as an event. */
	async run(effect: Dispatch, open: OpenRequest): Promise<void> {
		const abort = new AbortController();
		this.#abortByAttempt.set(effect.attemptId, abort);
		const agent = effect.useFreshConnection ? createAgent() : this.#agent;
		let result: AttemptResult;
		try {
			result = this.#readClock() > effect.notAfter
				? {outcome: attemptOutcome.expired, detail: 'the process paused before the request was sent'}
				: await this.#attempt(effect, open, agent, abort.signal);
		} catch (error) {
			result = error instanceof AttemptError ? error.result : classifyError(error, open.deliveredCount > effect.resumeFrom);
		}

		this.#abortByAttempt.delete(effect.attemptId);
		if (agent !== this.#agent) {
			void agent.destroy();
		}

		this.#emit({
			kind: eventKind.attemptEnded, requestId: effect.requestId, attemptId: effect.attemptId, deliveredCount: open.deliveredCount, ...result,
		});
	}

	/** Asks a target for its load report; a target that does not answer sends none. */
	async probe({targetId, address}: Probe): Promise<void> {
		const askedAt = this.#readClock();
		try {
			const response = await request(`http://${address}${loadReportPath}`, {dispatcher: this.#agent, signal: AbortSignal.timeout(probeTimeoutMs)});
			this.#reportLoad(targetId, response, askedAt);
			await response.body.dump();
		} catch {
			// Without a report the target's evidence ages, and it counts as cold.
		}
	}

	/** Stops an attempt and closes its connection. */
	cancel(attemptId: number): void {
		this.#abortByAttempt.get(attemptId)?.abort();
	}

	async #attempt(effect: Dispatch, open: OpenRequest, agent: Agent, signal: AbortSignal): Promise<AttemptResult> {
		const {content} = open;
		const askedAt = this.#readClock();
		const remainingMs = Math.max(1, effect.deadlineAt - askedAt);
		const response = await request(`http://${effect.address}${content.target}`, {
			method: content.method,
			headers: {
				...content.headers,
				[requestIdHeader]: content.requestId,
				'x-chat-id': content.chatKey,
				'x-priority': String(effect.priority),
				...(effect.resumeFrom > 0 ? {'x-resume-from': String(effect.resumeFrom)} : {}),
			},
			body: content.body.length > 0 ? content.body : null,
			dispatcher: agent,
			signal: AbortSignal.any([signal, AbortSignal.timeout(Math.ceil(remainingMs))]),
		});
		this.#reportLoad(effect.targetId, response, askedAt);
		await checkMatch(response, content.requestId);
		if (response.statusCode === 503 && response.headers['x-not-started'] === 'true') {
			await response.body.dump();
			return {outcome: attemptOutcome.notRun, detail: 'the target said that it did not start'};
		}

		return effect.isStream && response.statusCode === 200
			? deliverStream(response, open, effect)
			: deliverPlain(response, open);
	}

	#reportLoad(targetId: string, {headers}: Dispatcher.ResponseData, askedAt: number): void {
		const bootId = headers['x-engine-boot'];
		if (typeof bootId === 'string') {
			this.#emit({
				kind: eventKind.loadReported,
				targetId,
				bootId,
				uptimeMs: Number(headers['x-engine-uptime-ms'] ?? 0),
				inFlight: Number(headers['x-engine-load'] ?? 0),
				askedAt,
			});
		}
	}
}

function createAgent(): Agent {
	return new Agent({
		connect: {timeout: connectTimeoutMs}, pipelining: 1, headersTimeout: silenceMs, bodyTimeout: silenceMs, keepAliveTimeout: 4000,
	});
}

/** Drops an answer that does not echo the request's identifier, and closes its connection. */
async function checkMatch(response: Dispatcher.ResponseData, requestId: string): Promise<void> {
	if (response.headers[requestIdHeader] === requestId) {
		return;
	}

	response.body.on('error', () => {
		// The connection is closed on purpose.
	});
	response.body.destroy();
	throw new AttemptError({outcome: attemptOutcome.unknown, detail: 'the answer belongs to another request'});
}

async function deliverPlain(response: Dispatcher.ResponseData, open: OpenRequest): Promise<AttemptResult> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > largestPlainAnswerBytes) {
			throw new AttemptError({outcome: attemptOutcome.unknown, detail: 'the answer is too large'});
		}

		chunks.push(chunk);
	}

	const contentType = response.headers['content-type'];
	open.finishPlain(new Response(Buffer.concat(chunks), {
		status: response.statusCode,
		headers: {'content-type': typeof contentType === 'string' ? contentType : 'application/octet-stream', [requestIdHeader]: open.content.requestId},
	}));
	return {outcome: attemptOutcome.complete};
}

type StreamEvent = {readonly id?: unknown; readonly index?: unknown};

/** Delivers a stream in order; a doubled event is dropped, a gap or a foreign event ends the attempt. */
async function deliverStream(response: Dispatcher.ResponseData, open: OpenRequest, effect: Dispatch): Promise<AttemptResult> {
	const cache = response.headers['x-cache'];
	open.startStream(typeof cache === 'string' ? {'x-cache': cache, 'x-target': effect.targetId} : {'x-target': effect.targetId});
	const received: string[] = [];
	const parser = createParser({
		onEvent({data}) {
			received.push(data);
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(chunk, {stream: true}));
		for (const data of received.splice(0)) {
			if (data === endMark) {
				open.finishStream();
				return {outcome: attemptOutcome.complete};
			}

			if (isNextEvent(data, open)) {
				await open.writeEvent(data);
			}
		}
	}

	throw new AttemptError({outcome: attemptOutcome.interrupted, detail: 'the stream stopped without its end mark'});
}

function isNextEvent(data: string, open: OpenRequest): boolean {
	const {id, index} = parseStreamEvent(data);
	if (id !== open.content.requestId) {
		throw new AttemptError({outcome: attemptOutcome.interrupted, detail: 'an event belongs to another request'});
	}

	if (typeof index !== 'number' || index > open.deliveredCount) {
		throw new AttemptError({outcome: attemptOutcome.interrupted, detail: 'an event of the stream is missing'});
	}

	return index === open.deliveredCount;
}

function parseStreamEvent(data: string): StreamEvent {
	try {
		const value: unknown = JSON.parse(data);
		return typeof value === 'object' && value !== null ? value : {};
	} catch {
		return {};
	}
}

/** Says what an error proves about the request. */
function classifyError(error: unknown, hasDelivered: boolean): AttemptResult {
	const detail = describeError(error);
	const {code, syscall} = error as {code?: string; syscall?: string};
	if (syscall === 'connect' || connectErrorCodes.has(code ?? '')) {
		return {outcome: attemptOutcome.notRun, detail};
	}

	return {outcome: hasDelivered ? attemptOutcome.interrupted : attemptOutcome.unknown, detail};
}
