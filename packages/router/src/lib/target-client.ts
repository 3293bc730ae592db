/**
 * Carries out attempts at targets: sends the request, matches the answer by
 * the identifier that the target echoes, and delivers it to the caller.
 */
import {Buffer} from 'node:buffer';
import {
	attemptOutcome, eventKind, type AttemptOutcome, type DispatchEffect, type Event, type ProbeEffect,
} from '@sequoiatally/core';
import {describeError, type LifecycleManager} from '@sequoiatally/runtime';
import {Agent, request, type Dispatcher} from 'undici';
import {AttemptError, type AttemptResult} from './attempt-result.js';
import {deliverStream, isEventStream} from './deliver-stream.js';
import {requestIdHeader, type OpenRequest} from './open-request.js';

const connectTimeoutMs = 1000;
/** Longest time that a probe may take, in milliseconds. */
const probeTimeoutMs = 1000;
/** Path at which a model target reports its boot and load. */
const loadReportPath = '/load';
/** Largest plain answer that is forwarded. */
const maxPlainAnswerBytes = 8 * 1024 * 1024;

/** Errors that are raised before a connection stands. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Sends requests to targets and reports how each attempt ended. */
export class TargetClient {
	readonly #agent: Agent;
	readonly #emit: (event: Event) => void;
	readonly #readClock: () => number;
	readonly #idleTimeoutMs: number;
	readonly #abortControllers = new Map<number, AbortController>();
	readonly #deadlineTimers = new Map<number, NodeJS.Timeout>();

	/** `silenceMs` is the time without a byte after which an answer's connection counts as lost. */
	constructor(emit: (event: Event) => void, readClock: () => number, idleTimeoutMs: number, lifecycle: LifecycleManager) {
		this.#emit = emit;
		this.#readClock = readClock;
		this.#idleTimeoutMs = idleTimeoutMs;
		this.#agent = createAgent(idleTimeoutMs);
		lifecycle.own('target connections', async () => this.#agent.destroy());
	}

	/** Runs one attempt; its end comes back as an event. */
	async run(effect: DispatchEffect, open: OpenRequest): Promise<void> {
		const abortController = this.#startAttempt(effect, open);
		const agent = effect.useFreshConnection ? createAgent(this.#idleTimeoutMs) : this.#agent;
		let hasConnected = !effect.useFreshConnection;
		if (effect.useFreshConnection) {
			agent.once('connect', () => {
				hasConnected = true;
			});
		}

		let result: AttemptResult;
		try {
			result = this.#readClock() > effect.notAfter
				? {outcome: attemptOutcome.expired, detail: 'the process paused before the request was sent'}
				: await this.#attempt(effect, open, agent, abortController.signal);
		} catch (error) {
			result = error instanceof AttemptError
				? error.result
				: classifyError(error, {hasConnected, hasDelivered: open.deliveredCount > effect.resumeFrom});
		}

		clearTimeout(this.#deadlineTimers.get(effect.attemptId));
		this.#deadlineTimers.delete(effect.attemptId);
		this.#abortControllers.delete(effect.attemptId);
		if (agent !== this.#agent) {
			void agent.destroy();
		}

		this.#emit({
			kind: eventKind.attemptEnded, requestId: effect.requestId, attemptId: effect.attemptId, deliveredCount: open.deliveredCount, ...result,
		});
	}

	/** Asks a target for its load report; a target that does not answer sends none. */
	async probe({targetId, address}: ProbeEffect): Promise<void> {
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
		this.#abortControllers.get(attemptId)?.abort();
	}

	/** Bounds an attempt by its deadline; a writer that waits for a slow caller is released with it. */
	#startAttempt({attemptId, deadlineAt}: DispatchEffect, open: OpenRequest): AbortController {
		const abortController = new AbortController();
		abortController.signal.addEventListener('abort', () => {
			open.releaseWriter();
		});
		this.#abortControllers.set(attemptId, abortController);
		this.#deadlineTimers.set(attemptId, setTimeout(() => {
			abortController.abort();
		}, Math.max(1, Math.ceil(deadlineAt - this.#readClock()))));
		return abortController;
	}

	async #attempt(effect: DispatchEffect, open: OpenRequest, agent: Agent, signal: AbortSignal): Promise<AttemptResult> {
		const {content} = open;
		const askedAt = this.#readClock();
		const response = await request(`http://${effect.address}${content.requestTarget}`, {
			method: content.method,
			headers: {
				...content.headers,
				[requestIdHeader]: content.requestId,
				'x-chat-id': content.chatKey,
				'x-priority': String(effect.priority),
				...(effect.resumeFrom > 0 ? {'x-resume-from': String(effect.resumeFrom)} : {}),
			},
			body: content.body.length > 0 ? content.body : null,
			reset: effect.useFreshConnection,
			dispatcher: agent,
			signal,
		});
		this.#reportLoad(effect.targetId, response, askedAt);
		checkRequestId(response, content.requestId);
		if (response.statusCode === 503 && response.headers['x-not-started'] === 'true') {
			destroyBody(response);
			return {outcome: attemptOutcome.notRun, detail: 'the target said that it did not start', retryAfterMs: readRetryAfterMs(response)};
		}

		if (effect.isStream && isEventStream(response)) {
			return deliverStream(response, open, effect.targetId);
		}

		return deliverPlain(response, open);
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

function createAgent(idleTimeoutMs: number): Agent {
	return new Agent({
		connect: {timeout: connectTimeoutMs}, pipelining: 1, headersTimeout: idleTimeoutMs, bodyTimeout: idleTimeoutMs, keepAliveTimeout: 4000,
	});
}

/** Closes the connection of an answer that is not read to its end. */
function destroyBody({body}: Dispatcher.ResponseData): void {
	body.on('error', () => {
		// The connection is closed on purpose.
	});
	body.destroy();
}

/** Drops an answer that does not echo the request's identifier, and closes its connection. */
function checkRequestId(response: Dispatcher.ResponseData, requestId: string): void {
	if (response.headers[requestIdHeader] !== requestId) {
		destroyBody(response);
		throw new AttemptError({outcome: attemptOutcome.unknown, detail: 'the answer belongs to another request'});
	}
}

function readRetryAfterMs({headers}: Dispatcher.ResponseData): number | undefined {
	const seconds = Number(headers['retry-after'] ?? Number.NaN);
	return Number.isFinite(seconds) && seconds >= 0 ? seconds * 1000 : undefined;
}

/** Says whether the end of an answer can be told from a broken connection. */
function isFramed({statusCode, headers}: Dispatcher.ResponseData): boolean {
	return statusCode === 204 || statusCode === 304 || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

async function deliverPlain(response: Dispatcher.ResponseData, open: OpenRequest): Promise<AttemptResult> {
	if (open.hasStarted || !isFramed(response)) {
		destroyBody(response);
		throw new AttemptError({outcome: attemptOutcome.unknown, detail: `the answer with status ${response.statusCode} does not continue the stream, or has no end`});
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxPlainAnswerBytes) {
			throw new AttemptError({outcome: attemptOutcome.unknown, detail: 'the answer is too large'});
		}

		chunks.push(chunk);
	}

	const contentType = response.headers['content-type'];
	open.finishPlain({
		requestId: open.content.requestId,
		status: response.statusCode,
		contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
		body: Buffer.concat(chunks),
	});
	return {outcome: attemptOutcome.complete};
}

/** What is known of an attempt when it fails. */
type AttemptProgress = {readonly hasConnected: boolean; readonly hasDelivered: boolean};

/** Says what an error proves about the request. */
function classifyError(error: unknown, {hasConnected, hasDelivered}: AttemptProgress): AttemptResult {
	const detail = describeError(error);
	const {code, syscall} = error as {code?: string; syscall?: string};
	if (!hasConnected || syscall === 'connect' || connectErrorCodes.has(code ?? '')) {
		return {outcome: attemptOutcome.notRun, detail};
	}

	return {outcome: hasDelivered ? attemptOutcome.interrupted : attemptOutcome.unknown, detail};
}
