/**
 * Delivers an engine's stream to the caller: each event once, in order, and
 * the end only when the engine has marked it.
 */
import {attemptOutcome} from '@sequoiatally/core';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {AttemptError, type AttemptResult} from './attempt-result.js';
import type {OpenRequest} from './open-request.js';

const endMarker = '[DONE]';
/** Largest event; an engine that never ends one is cut off. */
const maxEventCharacters = 256 * 1024;
/** Largest stream of one attempt. */
const maxStreamBytes = 64 * 1024 * 1024;

type StreamEvent = {readonly id?: unknown; readonly index?: unknown};

/** Says whether an answer is a stream of events. */
export function isEventStream({statusCode, headers}: Dispatcher.ResponseData): boolean {
	return statusCode === 200 && String(headers['content-type']).startsWith('text/event-stream');
}

/** Delivers a stream in order; a doubled event is dropped, a gap or a foreign event ends the attempt. */
export async function deliverStream(response: Dispatcher.ResponseData, open: OpenRequest, targetId: string): Promise<AttemptResult> {
	const cacheHeader = response.headers['x-cache'];
	open.startStream(typeof cacheHeader === 'string' ? {'x-cache': cacheHeader, 'x-target': targetId} : {'x-target': targetId});
	const pendingEvents: string[] = [];
	const parser = createParser({
		maxBufferSize: maxEventCharacters,
		onEvent({data}) {
			pendingEvents.push(data);
		},
		onError({type}) {
			if (type === 'max-buffer-size-exceeded') {
				throw createInterruptedError('an event of the stream is too large');
			}
		},
	});
	const decoder = new TextDecoder();
	let size = 0;
	for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > maxStreamBytes) {
			throw createInterruptedError('the stream is too large');
		}

		parser.feed(decoder.decode(chunk, {stream: true}));
		for (const data of pendingEvents.splice(0)) {
			if (data === endMarker) {
				open.finishStream();
				return {outcome: attemptOutcome.complete};
			}

			if (isNextEvent(data, open)) {
				await open.writeEvent(data);
			}
		}
	}

	throw createInterruptedError('the stream stopped without its end mark');
}

function createInterruptedError(detail: string): AttemptError {
	return new AttemptError({outcome: attemptOutcome.interrupted, detail});
}

function isNextEvent(data: string, open: OpenRequest): boolean {
	const {id, index} = parseStreamEvent(data);
	if (id !== open.content.requestId) {
		throw createInterruptedError('an event belongs to another request');
	}

	if (typeof index !== 'number' || index > open.deliveredCount) {
		throw createInterruptedError('an event of the stream is missing');
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
