/**
 * Sends requests to targets, one exchange per send. The reported outcome claims no
 * more than the exchange proves, and only the target's response to this request
 * is forwarded to the caller.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {
	eventKind, sendOutcome, type Event, type RelayOrigin, type SendEffect, type SendOutcome, type TargetReport,
} from '@sequoiatally/dispatch';
import {
	BodyCollector, describeError, isFinalStatus, maxBytesPerExchange, type BufferAccount, type BufferBudget,
} from '@sequoiatally/runtime';
import {computeLength, type CallerExchange} from './caller-exchange.js';
import type {ConnectionPool, LeasedConnection} from './connection-pool.js';
import type {DisconnectMonitor} from './disconnect-monitor.js';
import {EventSplitter} from './event-splitter.js';
import {
	responseKind, type CallerProtocol, type RawHeaders, type ResponseHead, type TargetProtocol,
} from './protocol.js';
import type {ReadPacing} from './read-pacing.js';
import {
	createOriginHeaders, parseOutcome, selectUnrelatedHeaders, type ResponseSource,
} from './relay-headers.js';
import {
	findDeclaredLength, findForm, hasBody, isSelfDelimited, ResponseBody, type BodyListener,
} from './response-body.js';
import {checkResponseHeads} from './response-head-check.js';
import {startStrictRequest} from './strict-request.js';
import {TargetActivity} from './target-activity.js';

/** Time limit for opening a connection, in milliseconds: many round trips of the longest path, but less than the retransmission timeout of a lost SYN. */
const connectTimeoutMs = 300;
/** Time by which a timer may fire too early, in milliseconds. */
const timerMarginMs = 1;
/** Largest event of a stream, with the comments before it, in bytes. */
const maxEventBytes = 1024 * 1024;
/** Largest number of parts of a buffered response, and of an event with the comments before it: each part costs time, however small it is. */
const maxBodyParts = 65_536;
const maxEventParts = 8192;
/** Largest number of interim responses (status 1xx) before a response. */
const maxInterimResponses = 8;

/** Statuses that tell a caller that its request has not run; without the target's proof, the response is not forwarded but counts as lost. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Collaborators of a target client. */
export type TargetClientOptions = {
	readonly pool: ConnectionPool;
	readonly protocol: TargetProtocol;
	readonly callerProtocol: CallerProtocol;
	/** Identity of this instance, for peers that relay its requests. */
	readonly origin: Pick<RelayOrigin, 'id' | 'incarnation'>;
	/** Memory for the bytes that all exchanges hold. */
	readonly bufferBudget: BufferBudget;
	/** Knows whether callers that have disconnected may not have been noticed yet. */
	readonly disconnects: DisconnectMonitor;
	readonly emit: (event: Event) => void;
	readonly readClock: () => number;
	/** Divides the time for reading among all responses. */
	readonly pacing: ReadPacing;
};

export class TargetClient {
	readonly #options: TargetClientOptions;
	readonly #activity = new TargetActivity();
	readonly #activeExchanges = new Map<number, TargetExchange>();

	constructor(options: TargetClientOptions) {
		this.#options = options;
	}

	/** Starts a send; its end is emitted as an event. */
	startSend(send: SendEffect, caller: CallerExchange): void {
		const exchange = new TargetExchange(send, caller, {
			...this.#options,
			activity: this.#activity,
			onEnd: () => {
				this.#activeExchanges.delete(send.sendId);
			},
		});
		this.#activeExchanges.set(send.sendId, exchange);
		try {
			exchange.start();
		} catch (error) {
			// For example a header that Node.js refuses to write: nothing has left this process.
			exchange.fail(describeError(error));
		}
	}

	/** Cancels a send and closes its connection; no event follows. */
	cancel(sendId: number): void {
		this.#activeExchanges.get(sendId)?.cancel();
		this.#activeExchanges.delete(sendId);
	}

	/** Reports again that a send is silent, if it still is. */
	reportSilence(sendId: number): void {
		this.#activeExchanges.get(sendId)?.reportSilence();
	}
}

type TargetExchangeOptions = TargetClientOptions & {
	readonly activity: TargetActivity;
	readonly onEnd: () => void;
};

class TargetExchange {
	readonly #send: SendEffect;
	readonly #caller: CallerExchange;
	readonly #options: TargetExchangeOptions;
	readonly #connection: LeasedConnection;
	/** Memory for the parts of the response that cannot be passed on yet. */
	readonly #buffer: BufferAccount;
	#request?: ClientRequest;
	#response?: IncomingMessage;
	#body?: ResponseBody;
	#connectTimer?: NodeJS.Timeout;
	#silenceTimer?: NodeJS.Timeout;
	#hasConnected: boolean;
	/** True once a part of the request may have reached the target. */
	#hasWritten = false;
	#hasEnded = false;
	#hasDeliveredEvents = false;
	/** True if the buffered response is released when the response to the caller has been sent. */
	#isBufferHandedOver = false;
	#interimResponseCount = 0;
	/** Time at which the request was sent or the last event of the response arrived. */
	#progressAt: number;
	#responseHead?: ResponseHead;
	#targetReport?: TargetReport;
	/** The process that responded. */
	#source?: ResponseSource;
	/** Number of targets on which the peer that relays the request may have begun it; `undefined` as long as it may grow. */
	#runCount?: number;

	constructor(send: SendEffect, caller: CallerExchange, options: TargetExchangeOptions) {
		this.#send = send;
		this.#caller = caller;
		this.#options = options;
		this.#buffer = options.bufferBudget.openAccount(() => {
			if (this.#hasEnded && caller.hasStarted) {
				// The caller does not read the response that was delivered to it.
				caller.abort();
				this.#buffer.release();
			} else if (this.#hasEnded) {
				caller.heldResponse = undefined;
				this.#buffer.release();
			} else {
				this.#abort(this.#failureOutcome, 'the responses of all exchanges exceed the memory, and this is the largest');
			}
		});
		this.#connection = options.pool.lease(send.address, send.needsFreshConnection);
		this.#hasConnected = !this.#connection.isNew;
		this.#progressAt = options.readClock();
	}

	start(): void {
		const {socket} = this.#connection;
		const {request, body} = this.#caller;
		if (this.#connection.isNew) {
			this.#connectTimer = setTimeout(() => {
				// After a pause of this process, timers expire before connections are seen that opened meanwhile.
				setImmediate(() => {
					if (!this.#hasConnected) {
						this.#abort(sendOutcome.notSent, 'connection attempt timed out');
					}
				});
			}, connectTimeoutMs);
			socket.once('connect', () => {
				this.#hasConnected = true;
				clearTimeout(this.#connectTimer);
				this.#writeForCaller();
			});
		}

		this.#request = startStrictRequest({
			createConnection: () => socket,
			method: request.method,
			path: request.url,
			headers: this.#createHeaders(body),
			setHost: false,
		});
		// Without an agent, Node.js assumes that the connection closes after the response.
		this.#request.shouldKeepAlive = true;
		checkResponseHeads(this.#request, detail => {
			this.#abort(this.#failureOutcome, detail);
		});
		this.#request.on('information', () => {
			if (++this.#interimResponseCount > maxInterimResponses) {
				this.#abort(this.#failureOutcome, 'too many interim responses');
			}
		});
		this.#request.on('response', response => {
			this.#handleResponse(response);
		});
		this.#request.on('error', (error: Error & {code?: string}) => {
			if (this.#response?.complete) {
				// Only bytes behind the response can have caused the error; the reader of the body ends the exchange.
				return;
			}

			const unsentOutcome = error.code === 'ECONNREFUSED' ? sendOutcome.connectionRefused : sendOutcome.notSent;
			this.#abort(this.#hasConnected ? this.#failureOutcome : unsentOutcome, describeError(error));
		});
		this.#request.on('close', () => {
			if (this.#response === undefined) {
				this.#abort(this.#failureOutcome, 'connection closed without a response');
			}
		});
		this.#startSilenceTimer();
		if (this.#hasConnected) {
			this.#writeRequest();
		}
	}

	/** Ends an exchange that could not be started. */
	fail(detail: string): void {
		this.#abort(sendOutcome.notSent, detail);
	}

	cancel(): void {
		this.#markEnded();
		this.#request?.destroy();
		this.#connection.socket.destroy();
	}

	/** Reports that there has been no progress within the timeout, unless there was some meanwhile. */
	reportSilence(): void {
		const timeoutMs = this.#silenceTimeoutMs;
		if (!this.#hasEnded && timeoutMs > 0 && this.#silenceTimer !== undefined && this.#options.readClock() - this.#progressAt >= timeoutMs - timerMarginMs) {
			this.#emitSilence();
		}
	}

	get #silenceTimeoutMs(): number {
		const {responseStartTimeoutMs, eventGapTimeoutMs} = this.#send;
		return this.#hasDeliveredEvents ? eventGapTimeoutMs : responseStartTimeoutMs;
	}

	get #failureOutcome(): SendOutcome {
		if (!this.#hasWritten) {
			return sendOutcome.notSent;
		}

		return this.#caller.hasStarted ? sendOutcome.interrupted : sendOutcome.lost;
	}

	/** Writes the request on a connection that has just opened, if the caller is still connected, once that is known. */
	#writeForCaller(): void {
		const {disconnects, readClock} = this.#options;
		if (!disconnects.isBehind(readClock())) {
			this.#tryWriteRequest();
			return;
		}

		disconnects.waitForPolls(() => {
			this.#progressAt = readClock();
			this.#silenceTimer?.refresh();
			this.#tryWriteRequest();
		});
	}

	#tryWriteRequest(): void {
		if (this.#hasEnded) {
			return;
		}

		if (this.#caller.isDisconnected) {
			this.#caller.closeConnection();
		} else {
			this.#writeRequest();
		}
	}

	#writeRequest(): void {
		const {body} = this.#caller;
		this.#hasWritten = true;
		for (const part of body.slice(0, -1)) {
			this.#request!.write(part);
		}

		this.#request!.end(body.at(-1));
		this.#reportOpened(this.#connection.isNew);
	}

	#reportOpened(isNewConnection: boolean): void {
		if (!this.#hasEnded) {
			const {openId, sendId} = this.#send;
			this.#options.emit({
				kind: eventKind.sendOpened, openId, sendId, isNewConnection,
			});
		}
	}

	/** Records that the target started a response or sent an event; returns the time. */
	#recordActivity(): number {
		const {activity, readClock} = this.#options;
		const now = readClock();
		activity.record(this.#send.address, now);
		return now;
	}

	#createHeaders(body: readonly Uint8Array[]): string[] {
		const {protocol, callerProtocol, origin, readClock} = this.#options;
		const callerHeaders = selectUnrelatedHeaders(this.#caller.request.rawHeaders);
		const {isRelayed, runLimit, softwareVersion} = this.#send;
		const headers = isRelayed
			? [...callerProtocol.createRelayHeaders(callerHeaders, this.#send, readClock()), ...createOriginHeaders({...origin, runLimit, softwareVersion})]
			: protocol.createSendHeaders(callerHeaders, this.#send, readClock());
		if (body.length > 0 || this.#caller.request.headers['content-length'] !== undefined || this.#caller.request.headers['transfer-encoding'] !== undefined) {
			headers.push('Content-Length', String(computeLength(body)));
		}

		headers.push('Connection', 'keep-alive');
		return headers;
	}

	#startSilenceTimer(): void {
		const timeoutMs = this.#silenceTimeoutMs;
		clearInterval(this.#silenceTimer);
		if (timeoutMs > 0) {
			this.#silenceTimer = setInterval(() => {
				this.#emitSilence();
			}, timeoutMs);
		}
	}

	#emitSilence(): void {
		const {openId, sendId, address} = this.#send;
		this.#options.emit({
			kind: eventKind.answerSilent,
			openId,
			sendId,
			lastEventId: this.#caller.lastEventId,
			silentSince: this.#progressAt,
			targetHeardAt: this.#options.activity.findTime(address),
		});
	}

	#handleResponse(response: IncomingMessage): void {
		if (this.#hasEnded) {
			return;
		}

		const {statusCode = 0, headers} = response;
		this.#response = response;
		const responseHead = this.#options.protocol.readResponseHead(statusCode, headers, this.#caller.head.requestId);
		this.#responseHead = responseHead;
		const at = this.#recordActivity();
		this.#targetReport = responseHead.statement === undefined ? undefined : {...responseHead.statement, at};
		this.#source = {id: this.#send.targetId, bornAt: this.#send.bornAt, softwareVersion: this.#send.softwareVersion};
		response.on('error', () => {
			// Reported by the reader of the body, if there is one.
		});
		if (this.#send.isRelayed && !this.#applyRelayOutcome(response)) {
			return;
		}

		if (!isFinalStatus(statusCode)) {
			// Nothing that such a response states can be relied on, not even that the request has not run.
			this.#targetReport = undefined;
			this.#abort(this.#failureOutcome, `response with the invalid status ${statusCode}`);
			return;
		}

		if (responseHead.kind === responseKind.stray) {
			this.#abort(this.#failureOutcome, `response with status ${statusCode} does not match the request`);
			return;
		}

		if (this.#send.isStream && responseHead.kind === responseKind.own && statusCode === 200) {
			this.#relayStream(response);
			return;
		}

		this.#bufferBody(response, body => {
			this.#handleBufferedResponse(response, responseHead, body);
		});
	}

	/** Applies what a peer states about the relayed request; returns false if the response is not that of a target. */
	#applyRelayOutcome(response: IncomingMessage): boolean {
		const outcome = parseOutcome(response.headers);
		if (outcome === undefined) {
			this.#abort(this.#failureOutcome, 'response of a peer without the outcome of the relayed request');
			return false;
		}

		// After the head of a stream, a peer may still resume it at another target.
		this.#runCount = this.#send.isStream && response.statusCode === 200 ? undefined : outcome.runCount;
		if ('failure' in outcome) {
			this.#bufferBody(response, () => {
				this.#finishAndRelease(response, outcome.hasNotRun ? sendOutcome.rejected : this.#failureOutcome, `peer: ${outcome.failure}`);
			});
			return false;
		}

		this.#source = outcome.source;
		if (this.#targetReport !== undefined) {
			this.#targetReport = {...this.#targetReport, process: {id: outcome.source.id, bornAt: outcome.source.bornAt}};
		}

		return true;
	}

	#selectResponseHeaders(headers: RawHeaders): string[] {
		return selectUnrelatedHeaders(this.#options.protocol.selectResponseHeaders(headers));
	}

	/** Reads the body; a body that fails ends the exchange. */
	#readBody(response: IncomingMessage, listener: Omit<BodyListener, 'onFailure'>): ResponseBody {
		this.#body = new ResponseBody(response, {
			...listener,
			onFailure: detail => {
				this.#abort(this.#failureOutcome, detail);
			},
		}, this.#options);
		return this.#body;
	}

	#bufferBody(response: IncomingMessage, onComplete: (body: readonly Uint8Array[]) => void): void {
		if (!isSelfDelimited(response)) {
			this.#abort(this.#failureOutcome, 'response has neither a length nor chunked encoding');
			return;
		}

		if ((findDeclaredLength(response) ?? 0) > maxBytesPerExchange && hasBody(response)) {
			this.#abort(this.#failureOutcome, 'response declares a length over the size limit');
			return;
		}

		const collector = new BodyCollector();
		let partCount = 0;
		this.#readBody(response, {
			onData: part => {
				collector.add(part);
				if (++partCount > maxBodyParts || !this.#buffer.trySet(collector.capacity)) {
					this.#abort(this.#failureOutcome, 'response exceeds the size limit');
				}
			},
			onComplete() {
				onComplete(collector.takeBlocks());
			},
		});
	}

	#handleBufferedResponse(response: IncomingMessage, {kind}: ResponseHead, body: readonly Uint8Array[]): void {
		const {statusCode = 0, rawHeaders} = response;
		const detail = `status ${statusCode}`;
		if (kind === responseKind.otherTarget) {
			this.#finishAndRelease(response, sendOutcome.misdirected, 'another process listens on the address of the target');
		} else if (kind === responseKind.notRun) {
			this.#finishAndRelease(response, sendOutcome.rejected, detail);
		} else if (notRunStatuses.has(statusCode) || (this.#caller.hasStarted)) {
			this.#abort(this.#failureOutcome, `${detail} without proof that the request did not run, or in place of the rest of a stream`);
		} else {
			const buffered = {
				status: statusCode, headers: this.#selectResponseHeaders(rawHeaders), body, declaredBytes: findDeclaredLength(response), source: this.#source!,
			};
			this.#isBufferHandedOver = true;
			this.#caller.keepBuffer(this.#buffer);
			if (statusCode >= 500) {
				this.#caller.heldResponse = buffered;
				this.#finishAndRelease(response, sendOutcome.failed, detail);
			} else {
				this.#caller.deliverResponse(buffered);
				this.#finishAndRelease(response, sendOutcome.complete, detail);
			}
		}
	}

	#relayStream(response: IncomingMessage): void {
		const splitter = new EventSplitter();
		let bytesWithoutEvent = 0;
		let partsWithoutEvent = 0;
		let hasContinued = false;
		const {openId, sendId, resumeAfterEventId} = this.#send;
		const body = this.#readBody(response, {
			onData: part => {
				if (resumeAfterEventId !== undefined && !hasContinued) {
					hasContinued = true;
					this.#options.emit({kind: eventKind.answerContinued, openId, sendId});
					if (this.#hasEnded) {
						return;
					}
				}

				const {lastEventId} = splitter;
				const events = splitter.push(part);
				if (splitter.fault !== undefined) {
					if (events.length > 0) {
						this.#relayEvents(response, body, {splitter, events});
					}

					this.#abort(this.#failureOutcome, splitter.fault);
					return;
				}

				const hasNewEvent = splitter.lastEventId !== lastEventId;
				bytesWithoutEvent = hasNewEvent ? splitter.partialLength : bytesWithoutEvent + part.length;
				partsWithoutEvent = hasNewEvent ? 0 : partsWithoutEvent + 1;
				if (bytesWithoutEvent > maxEventBytes || partsWithoutEvent > maxEventParts || !this.#buffer.trySet(splitter.partialLength)) {
					this.#abort(this.#failureOutcome, 'event exceeds the size limit');
					return;
				}

				// Bytes without a new event, such as comments, are no progress.
				if (hasNewEvent) {
					this.#progressAt = this.#recordActivity();
					this.#silenceTimer?.refresh();
				}

				if (events.length > 0) {
					this.#relayEvents(response, body, {splitter, events});
				}
			},
			onComplete: () => {
				const fault = this.#findStreamFault(splitter);
				if (fault !== undefined) {
					this.#abort(this.#failureOutcome, fault);
					return;
				}

				if (!isSelfDelimited(response) && this.#send.isRelayed) {
					// A peer states the end of each stream in chunks.
					this.#abort(this.#failureOutcome, 'the stream of a peer ended with its connection');
					return;
				}

				if (!isSelfDelimited(response)) {
					this.#finishAndRelease(response, sendOutcome.endUnproved, 'stream ended with its connection, without length or chunked encoding');
					return;
				}

				this.#caller.finishStream();
				this.#finishAndRelease(response, sendOutcome.complete, 'stream');
			},
		});
	}

	/** Finds the reason why a stream whose bytes have all arrived is not complete. */
	#findStreamFault({partialLength}: EventSplitter): string | undefined {
		if (partialLength > 0) {
			return 'stream ended in the middle of an event';
		}

		// A resumed stream may have no events left.
		if (!this.#hasDeliveredEvents && this.#send.resumeAfterEventId === undefined) {
			return 'stream ended without events';
		}

		return undefined;
	}

	#relayEvents(response: IncomingMessage, body: ResponseBody, {splitter, events}: {readonly splitter: EventSplitter; readonly events: Uint8Array}): void {
		const {openId, sendId, resumeAfterEventId, takesUpAfterEventId} = this.#send;
		if (!this.#hasDeliveredEvents) {
			const previousId = resumeAfterEventId ?? takesUpAfterEventId;
			if (previousId !== undefined && !isNextEventId(previousId, splitter.firstEventId)) {
				this.#abort(this.#failureOutcome, `stream resumed at event ${splitter.firstEventId} instead of the one after ${previousId}`);
				return;
			}

			this.#hasDeliveredEvents = true;
			this.#startSilenceTimer();
			if (!this.#caller.hasStarted) {
				const headers = this.#selectResponseHeaders(response.rawHeaders);
				this.#caller.startStream({status: response.statusCode!, headers, source: this.#source!});
			}

			this.#options.emit({
				kind: eventKind.answerStarted,
				openId,
				sendId,
				targetReport: this.#targetReport,
				softwareVersion: this.#source!.softwareVersion,
			});
		}

		this.#caller.lastEventId = splitter.lastEventId ?? this.#caller.lastEventId;
		if (!this.#caller.writeEvents(events)) {
			// While the caller reads too slowly, the target cannot send, so it does not count as silent.
			body.pause();
			clearInterval(this.#silenceTimer);
			this.#silenceTimer = undefined;
			this.#caller.waitForDrain(() => {
				if (!this.#hasEnded) {
					body.resume();
					this.#progressAt = this.#options.readClock();
					this.#startSilenceTimer();
				}
			});
		}
	}

	/** Ends an exchange without protocol errors; the connection is reused if the target keeps it open. */
	#finishAndRelease(response: IncomingMessage, outcome: SendOutcome, detail: string): void {
		const {socket} = this.#connection;
		const {address} = this.#send;
		const targetIdleTimeoutMs = readKeepAliveTimeout(response);
		// Another copy of a response without an identifier could be taken for the next response.
		if (!this.#responseHead?.isIdentified) {
			socket.destroy();
		} else if (this.#request?.shouldKeepAlive && !socket.destroyed) {
			socket.once('free', () => {
				this.#options.pool.release(address, socket, targetIdleTimeoutMs);
			});
		}

		this.#reportEnd(outcome, detail);
	}

	/** Ends an exchange and closes its connection, which cannot be reused. */
	#abort(outcome: SendOutcome, detail: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#reportEnd(outcome, detail);
		this.#request?.destroy();
		this.#connection.socket.destroy();
	}

	#reportEnd(outcome: SendOutcome, detail: string): void {
		if (this.#hasEnded) {
			return;
		}

		this.#markEnded();
		this.#options.onEnd();
		this.#options.emit({
			kind: eventKind.sendEnded, openId: this.#send.openId, sendId: this.#send.sendId, outcome, detail,
			lastEventId: this.#caller.lastEventId,
			form: this.#response === undefined ? undefined : findForm(this.#response),
			targetReport: this.#hasDeliveredEvents ? undefined : this.#targetReport,
			runCount: this.#runCount,
		});
	}

	#markEnded(): void {
		this.#hasEnded = true;
		this.#body?.close();
		clearTimeout(this.#connectTimer);
		clearInterval(this.#silenceTimer);
		if (!this.#isBufferHandedOver) {
			this.#buffer.release();
		}
	}
}

/** Reads the idle timeout that the target announces, in milliseconds; `undefined` if there is none. */
function readKeepAliveTimeout({headers}: IncomingMessage): number | undefined {
	const seconds = /timeout=(\d+)/.exec(String(headers['keep-alive'] ?? ''))?.[1];
	return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** Returns true if a resumed stream continues with the event after the last one delivered. */
function isNextEventId(lastEventId: string, firstEventId: string | undefined): boolean {
	return firstEventId !== undefined && Number(firstEventId) === Number(lastEventId) + 1;
}
