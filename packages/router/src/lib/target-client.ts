/**
 * Executes attempts at targets: sends the request, matches the answer to it by
 * the request identifier that the target echoes, and delivers the answer to the
 * caller.
 */
import {Buffer} from 'node:buffer';
import {
	attemptOutcome, eventKind, type AttemptOutcome, type DispatchEffect, type Event, type ProbeEffect,
} from '@sequoiatally/core';
import {
	BodyCollector, BufferBudget, describeError, isFinalStatus, isInChunks, type BufferAccount, type LifecycleManager,
} from '@sequoiatally/runtime';
import {Agent, request, type Dispatcher} from 'undici';
import {AttemptError, type AttemptResult} from './attempt-result.js';
import {deliverStream, isEventStream} from './deliver-stream.js';
import {requestIdHeader, type OpenRequest} from './open-request.js';

const connectTimeoutMs = 1000;
/** Timeout of a probe, in milliseconds. */
const probeTimeoutMs = 1000;
/** Path at which a model target serves its boot identifier and load. */
const loadReportPath = '/load';
/** Largest plain answer that is accepted from a target. */
const maxPlainAnswerBytes = 8 * 1024 * 1024;

/** Codes of errors that occur before a connection is established. */
const connectErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

export type TargetClientOptions = {
	readonly emit: (event: Event) => void;
	readonly readClock: () => number;
	/** Time without a byte after which the connection of an answer is considered lost, in milliseconds. */
	readonly idleTimeoutMs: number;
	/** Memory that the process may use. */
	readonly memoryBytes: number;
};

/** Sends requests to targets and reports how each attempt ended. */
export class TargetClient {
	readonly #agent: Agent;
	readonly #emit: (event: Event) => void;
	readonly #readClock: () => number;
	readonly #idleTimeoutMs: number;
	/** Memory for plain answers that have not arrived as a whole. */
	readonly #bufferBudget: BufferBudget;
	readonly #abortControllers = new Map<number, AbortController>();
	readonly #deadlineTimers = new Map<number, NodeJS.Timeout>();

	constructor({
		emit, readClock, idleTimeoutMs, memoryBytes,
	}: TargetClientOptions, lifecycle: LifecycleManager) {
		this.#emit = emit;
		this.#readClock = readClock;
		this.#idleTimeoutMs = idleTimeoutMs;
		this.#bufferBudget = new BufferBudget(memoryBytes);
		this.#agent = createAgent(idleTimeoutMs);
		lifecycle.own('target connections', async () => this.#agent.destroy());
	}

	/** Runs one attempt and emits its result as an event. */
	async runAttempt(effect: DispatchEffect, openRequest: OpenRequest): Promise<void> {
		const abortController = this.#createAbortController(effect, openRequest);
		const agent = effect.useFreshConnection ? createAgent(this.#idleTimeoutMs) : this.#agent;
		let mayHaveConnected = !effect.useFreshConnection;
		if (effect.useFreshConnection) {
			agent.once('connect', () => {
				mayHaveConnected = true;
			});
		}

		let result: AttemptResult;
		try {
			result = this.#readClock() > effect.notAfter
				? {outcome: attemptOutcome.expired, detail: 'the process paused before the request was sent'}
				: await this.#attempt(effect, openRequest, agent, abortController.signal);
		} catch (error) {
			result = error instanceof AttemptError
				? error.result
				: classifyError(error, {mayHaveConnected, hasDelivered: openRequest.deliveredCount > effect.resumeFrom});
		}

		clearTimeout(this.#deadlineTimers.get(effect.attemptId));
		this.#deadlineTimers.delete(effect.attemptId);
		this.#abortControllers.delete(effect.attemptId);
		if (agent !== this.#agent) {
			void agent.destroy();
		}

		this.#emit({
			kind: eventKind.attemptEnded, requestId: effect.requestId, attemptId: effect.attemptId, deliveredCount: openRequest.deliveredCount, ...result,
		});
	}

	/** Requests a load report from a target. If the probe fails, no event is emitted. */
	async probe({targetId, address}: ProbeEffect): Promise<void> {
		const askedAt = this.#readClock();
		try {
			const response = await request(`http://${address}${loadReportPath}`, {dispatcher: this.#agent, signal: AbortSignal.timeout(probeTimeoutMs)});
			checkStatus(response);
			this.#reportLoad(targetId, response, askedAt);
			await response.body.dump();
		} catch {
			// Without a report, the target's evidence ages until the target is considered cold.
		}
	}

	/** Aborts an attempt and closes its connection. */
	cancel(attemptId: number): void {
		this.#abortControllers.get(attemptId)?.abort();
	}

	/** Creates the abort controller of an attempt and aborts the attempt at its deadline. An abort also resumes a writer that waits for a slow caller. */
	#createAbortController({attemptId, deadlineAt}: DispatchEffect, openRequest: OpenRequest): AbortController {
		const abortController = new AbortController();
		abortController.signal.addEventListener('abort', () => {
			openRequest.releaseWriter();
		});
		this.#abortControllers.set(attemptId, abortController);
		this.#deadlineTimers.set(attemptId, setTimeout(() => {
			abortController.abort();
		}, Math.max(1, Math.ceil(deadlineAt - this.#readClock()))));
		return abortController;
	}

	async #attempt(effect: DispatchEffect, openRequest: OpenRequest, agent: Agent, signal: AbortSignal): Promise<AttemptResult> {
		const {content} = openRequest;
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
		checkStatus(response);
		this.#reportLoad(effect.targetId, response, askedAt);
		checkRequestId(response, content.requestId);
		if (response.statusCode === 503 && response.headers['x-not-started'] === 'true') {
			destroyBody(response);
			return {outcome: attemptOutcome.notRun, detail: 'the target said that it did not start', retryAfterMs: readRetryAfterMs(response)};
		}

		if (effect.isStream && isEventStream(response)) {
			return deliverStream(response, openRequest, effect.targetId);
		}

		const buffer = this.#bufferBudget.openAccount(() => {
			response.body.destroy(new AttemptError({outcome: attemptOutcome.unknown, detail: 'the answers of all attempts exceed the memory, and this is the largest'}));
			buffer.release();
		});
		try {
			return await deliverPlain(response, openRequest, buffer);
		} finally {
			buffer.release();
		}
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

/** Closes the connection of an answer whose body is not read to the end. */
function destroyBody({body}: Dispatcher.ResponseData): void {
	body.on('error', () => {
		// The connection is closed deliberately.
	});
	body.destroy();
}

/** Discards an answer whose status is not one of HTTP: nothing that it states can be relied on, and no caller can get it. */
function checkStatus(response: Dispatcher.ResponseData): void {
	const {statusCode} = response;
	if (!isFinalStatus(statusCode)) {
		destroyBody(response);
		throw new AttemptError({outcome: attemptOutcome.unknown, detail: `the answer has the invalid status ${statusCode}`});
	}
}

/** Discards an answer that does not echo the request's identifier, and closes its connection. */
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

/** Whether the end of an answer can be distinguished from a broken connection. */
function isFramed({statusCode, headers}: Dispatcher.ResponseData): boolean {
	return statusCode === 204 || statusCode === 304 || headers['content-length'] !== undefined || isInChunks(headers['transfer-encoding']);
}

async function deliverPlain(response: Dispatcher.ResponseData, openRequest: OpenRequest, buffer: BufferAccount): Promise<AttemptResult> {
	if (openRequest.hasStarted || !isFramed(response)) {
		destroyBody(response);
		throw new AttemptError({outcome: attemptOutcome.unknown, detail: `the answer with status ${response.statusCode} does not continue the stream, or has no end`});
	}

	const collector = new BodyCollector();
	let size = 0;
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		collector.add(chunk);
		if (size > maxPlainAnswerBytes || !buffer.trySet(collector.capacity)) {
			throw new AttemptError({outcome: attemptOutcome.unknown, detail: 'the answer is too large'});
		}
	}

	const contentType = response.headers['content-type'];
	openRequest.finishPlain({
		requestId: openRequest.content.requestId,
		status: response.statusCode,
		contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
		body: Buffer.concat(collector.takeBlocks()),
	});
	return {outcome: attemptOutcome.complete};
}

/** Progress of an attempt up to its failure. For a pooled connection, `mayHaveConnected` is always true. */
type AttemptProgress = {readonly mayHaveConnected: boolean; readonly hasDelivered: boolean};

/** Derives the result of a failed attempt: whether the request may have run, and whether part of its answer was delivered. */
function classifyError(error: unknown, {mayHaveConnected, hasDelivered}: AttemptProgress): AttemptResult {
	const detail = describeError(error);
	const {code, syscall} = error as {code?: string; syscall?: string};
	if (!mayHaveConnected || syscall === 'connect' || connectErrorCodes.has(code ?? '')) {
		return {outcome: attemptOutcome.notRun, detail};
	}

	return {outcome: hasDelivered ? attemptOutcome.interrupted : attemptOutcome.unknown, detail};
}
