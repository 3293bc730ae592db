/**
 * Delivers a target's event stream to the caller: each event once and in order.
 * The stream ends successfully only if the target sent the end marker.
 */
import {attemptOutcome} from '@sequoiatally/core';
import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {AttemptError, type AttemptResult} from './attempt-result.js';
import type {OpenRequest} from './open-request.js';

const endMarker = '[DONE]';
/** Largest event. A target that exceeds it, for example by never ending an event, interrupts the attempt. */
const maxEventCharacters = 256 * 1024;
/** Largest stream that is accepted in one attempt. */
const maxStreamBytes = 64 * 1024 * 1024;

type StreamEvent = {readonly id?: unknown; readonly index?: unknown};

/** Whether a response is an event stream. */
export function isEventStream({statusCode, headers}: Dispatcher.ResponseData): boolean {
	return statusCode === 200 && String(headers['content-type']).startsWith('text/event-stream');
}

/**
 * Delivers a stream in order. A duplicate event is dropped; a gap, or an event
 * of another request, ends the attempt as interrupted.
 */
export async function deliverStream(response: Dispatcher.ResponseData, openRequest: OpenRequest, targetId: string): Promise<AttemptResult> {
	const cacheHeader = response.headers['x-cache'];
	openRequest.startStream(typeof cacheHeader === 'string' ? {'x-cache': cacheHeader, 'x-target': targetId} : {'x-target': targetId});
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
				openRequest.finishStream();
				return {outcome: attemptOutcome.complete};
			}

			if (isNextEvent(data, openRequest)) {
				await openRequest.writeEvent(data);
			}
		}
	}

	throw createInterruptedError('the stream stopped without its end mark');
}

function createInterruptedError(detail: string): AttemptError {
	return new AttemptError({outcome: attemptOutcome.interrupted, detail});
}

function isNextEvent(data: string, openRequest: OpenRequest): boolean {
	const {id, index} = parseStreamEvent(data);
	if (id !== openRequest.content.requestId) {
		throw createInterruptedError('an event belongs to another request');
	}

	if (typeof index !== 'number' || index > openRequest.deliveredCount) {
		throw createInterruptedError('an event of the stream is missing');
	}

	return index === openRequest.deliveredCount;
}

function parseStreamEvent(data: string): StreamEvent {
	try {
		const value: unknown = JSON.parse(data);
		return typeof value === 'object' && value !== null ? value : {};
	} catch {
		return {};
	}
}
