/**
 * Maps forwarded requests with tickets, and their results, to and from the
 * generated wire types.
 */
import {create} from '@bufbuild/protobuf';
import {
	refusalReason, runOutcome, type ForwardEffect, type Refusal,
} from '@sequoiatally/core';
import {
	RunTicketedRequestSchema, RunTicketedResponseSchema, type RunTicketedRequest, type RunTicketedResponse,
} from '@sequoiatally/peer';
import type {PlainResult, RequestContent} from './open-request.js';

export function toWireTicketedRequest(effect: ForwardEffect, content: RequestContent, deadlineMs: number): RunTicketedRequest {
	return create(RunTicketedRequestSchema, {
		ticket: effect.ticket,
		// Each forwarded call needs a unique identifier at the process that runs it.
		requestId: `${content.requestId}.${effect.attemptId}`,
		method: content.method,
		target: content.requestTarget,
		headers: {...content.headers},
		body: content.body,
		keyDigest: effect.keyDigest ?? '',
		chatKey: content.chatKey,
		priority: effect.priority,
		deadlineMs: Math.max(1, Math.floor(deadlineMs)),
	});
}

export function fromWireRequestContent(wire: RunTicketedRequest): RequestContent {
	const {
		requestId, method, target, headers, body, chatKey,
	} = wire;
	return {
		requestId, method, requestTarget: target, headers, body, chatKey,
	};
}

export function toWireResult(result: PlainResult): RunTicketedResponse {
	return create(RunTicketedResponseSchema, {
		result: 'answer' in result
			? {case: 'answer', value: {...result.answer, replayed: result.answer.isReplayed ?? false}}
			: {case: 'refusal', value: result.refusal},
	});
}

/** Returns `undefined` if the peer sent neither an answer nor a refusal of a known reason and outcome. */
export function fromWireResult({result}: RunTicketedResponse): PlainResult | undefined {
	if (result.case === 'answer') {
		const {
			requestId, status, contentType, body, replayed,
		} = result.value;
		return {
			answer: {
				requestId, status, contentType, body, isReplayed: replayed,
			},
		};
	}

	const refusal = result.case === 'refusal' ? fromWireRefusal(result.value) : undefined;
	return refusal === undefined ? undefined : {refusal};
}

type WireRefusal = Extract<RunTicketedResponse['result'], {case: 'refusal'}>['value'];

function fromWireRefusal(wire: WireRefusal): Refusal | undefined {
	const reason = Object.values(refusalReason).find(value => value === wire.reason);
	const outcome = Object.values(runOutcome).find(value => value === wire.outcome);
	const callOutcome = Object.values(runOutcome).find(value => value === wire.callOutcome);
	const {status, message, retryAfterMs} = wire;
	return reason === undefined || outcome === undefined
		? undefined
		: {
			reason, outcome, callOutcome, status, message, retryAfterMs,
		};
}
