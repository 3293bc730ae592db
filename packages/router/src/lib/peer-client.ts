/**
 * Calls other routers. Each call has a timeout. If a call fails or times out,
 * its connection is replaced and the failure is reported to the reducer, except
 * for the return of a loan.
 */
import {createClient, type Client, type Interceptor} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {
	documentKind, eventKind, type BorrowEffect, type Event, type ExchangeEffect, type FetchDocumentEffect, type ForwardEffect, type GiveBackEffect,
} from '@sequoiatally/core';
import {DocumentKind, PeerService} from '@sequoiatally/peer';
import {describeError, type LifecycleManager, type Logger} from '@sequoiatally/runtime';
import {
	fromWireAmount, fromWireSummary, toWireBorrowRequest, toWireSummary,
} from './peer-mapping.js';
import type {OpenRequest} from './open-request.js';
import {PeerSession} from './peer-session.js';
import {TrafficMeter} from './traffic-meter.js';
import {createDocumentEvent} from './platform-client.js';
import {fromWireResult, toWireTicketedRequest} from './ticket-mapping.js';

/** Header that carries the shared secret of the fleet. */
export const fleetSecretHeader = 'x-fleet-secret';
const exchangeTimeoutMs = 1000;
const borrowTimeoutMs = 300;
const fetchTimeoutMs = 2000;
/** Largest message that is accepted in a peer's answer; must exceed the largest plain answer of a target. */
const maxAnswerBytes = 9 * 1024 * 1024;

type Connection = {readonly client: Client<typeof PeerService>; readonly session: PeerSession};

type Peer = {readonly peerId: string; readonly address: string};

/** Calls peers for the reducer. */
export class PeerClient {
	/** Bytes of control calls; forwarded requests use separate connections and are not counted. */
	readonly traffic = new TrafficMeter();
	readonly #connections = new Map<string, Connection>();
	/** Loan requests by peer, collected until a queued microtask sends them in one call. */
	readonly #borrowBatches = new Map<string, BorrowEffect[]>();
	readonly #secret: string;
	readonly #emit: (event: Event) => void;
	readonly #readClock: () => number;
	readonly #logger: Logger;

	constructor(secret: string, emit: (event: Event) => void, readClock: () => number, logger: Logger, lifecycle: LifecycleManager) {
		this.#secret = secret;
		this.#emit = emit;
		this.#readClock = readClock;
		this.#logger = logger;
		lifecycle.own('peer connections', () => {
			for (const {session} of this.#connections.values()) {
				session.close();
			}
		});
	}

	async exchange(effect: ExchangeEffect): Promise<void> {
		const startedAt = this.#readClock();
		await this.#call(effect, async client => {
			const {summary} = await client.exchange({summary: toWireSummary(effect.summary)}, {timeoutMs: exchangeTimeoutMs});
			if (summary !== undefined) {
				this.#emit({
					kind: eventKind.summaryReceived, summary: fromWireSummary(summary), startedAt, isAnswer: true,
				});
			}
		}, () => {
			this.#emit({kind: eventKind.peerFailed, peerId: effect.peerId});
		});
	}

	async fetchDocument(effect: FetchDocumentEffect): Promise<void> {
		const startedAt = this.#readClock();
		const source = {peerId: effect.peerId};
		const kind = effect.document === documentKind.tables ? DocumentKind.TABLES : DocumentKind.LIST;
		await this.#call(effect, async client => {
			const {json, ageMs} = await client.fetchDocument({kind}, {timeoutMs: fetchTimeoutMs});
			const currentAt = startedAt - Math.max(0, Number(ageMs));
			this.#emit(createDocumentEvent(effect.document, new TextDecoder().decode(json), currentAt, source));
		}, () => {
			this.#emit({kind: eventKind.readFailed, document: effect.document, source});
		});
	}

	/** Requests a loan. All requests made to one peer before the queued microtask runs are sent in one call. */
	borrow(effect: BorrowEffect): void {
		const batch = this.#borrowBatches.get(effect.peerId);
		if (batch !== undefined) {
			batch.push(effect);
			return;
		}

		const effects = [effect];
		this.#borrowBatches.set(effect.peerId, effects);
		const askedAt = this.#readClock();
		queueMicrotask(() => {
			this.#borrowBatches.delete(effect.peerId);
			void this.#sendBorrows(effects, askedAt);
		});
	}

	async giveBack(effect: GiveBackEffect, instanceId: string, incarnation: string): Promise<void> {
		await this.#call(effect, async client => {
			await client.giveBack({loanId: effect.loanId, instanceId, incarnation}, {timeoutMs: borrowTimeoutMs});
		}, () => {
			// If the call fails, the lender reclaims the share after the loan's term.
		});
	}

	/**
	 * Forwards a request to the peer named in its ticket and delivers the answer.
	 * Each forwarded request has its own connection, so that failures of other
	 * calls do not abort it.
	 */
	async forward(effect: ForwardEffect, openRequest: OpenRequest): Promise<void> {
		const {requestId, attemptId, peerId, address} = effect;
		const connection = this.#openConnection(address, true);
		try {
			const now = this.#readClock();
			const result = now > effect.notAfter
				? undefined
				: fromWireResult(await connection.client.runTicketed(
					toWireTicketedRequest(effect, openRequest.content, effect.deadlineAt - now),
					{timeoutMs: Math.max(1, Math.floor(effect.deadlineAt - now))},
				));
			if (result !== undefined && 'answer' in result) {
				openRequest.finishPlain(result.answer);
			}

			this.#emit({
				kind: eventKind.forwardEnded, requestId, attemptId, isAnswered: result !== undefined, refusal: result !== undefined && 'refusal' in result ? result.refusal : undefined,
			});
		} catch (error) {
			this.#logger.debug({event: 'forward-failed', peerId, error: describeError(error)});
			this.#emit({
				kind: eventKind.forwardEnded, requestId, attemptId, isAnswered: false,
			});
		} finally {
			connection.session.close();
		}
	}

	/** Sends a batch of loan requests. The terms count from `askedAt`, the time at which the first request of the batch was made. */
	async #sendBorrows(effects: readonly BorrowEffect[], askedAt: number): Promise<void> {
		await this.#call(effects[0]!, async client => {
			const {answers} = await client.borrow(toWireBorrowRequest(effects.map(({request}) => request)), {timeoutMs: borrowTimeoutMs});
			for (const [index, {peerId, request}] of effects.entries()) {
				const amounts = answers[index]?.amounts ?? [];
				this.#emit({
					kind: eventKind.loanGranted,
					loanId: request.loanId,
					peerId,
					askedAt,
					termMs: request.termMs,
					amounts: amounts.map(amount => fromWireAmount(amount)),
				});
			}
		}, () => {
			for (const {peerId, request} of effects) {
				this.#emit({kind: eventKind.loanFailed, loanId: request.loanId, peerId});
			}
		});
	}

	async #call(peer: Peer, send: (client: Client<typeof PeerService>) => Promise<void>, onFailure: () => void): Promise<void> {
		const {peerId, address} = peer;
		try {
			await send(this.#connect(address).client);
		} catch (error) {
			this.#logger.debug({event: 'peer-call-failed', peerId, error: describeError(error)});
			this.#disconnect(address);
			onFailure();
		}
	}

	#connect(address: string): Connection {
		const existing = this.#connections.get(address);
		if (existing !== undefined) {
			return existing;
		}

		const connection = this.#openConnection(address, false);
		this.#connections.set(address, connection);
		return connection;
	}

	#openConnection(address: string, hasKeepalive: boolean): Connection {
		const addSecret: Interceptor = next => async call => {
			call.header.set(fleetSecretHeader, this.#secret);
			return next(call);
		};

		const baseUrl = `http://${address}`;
		const session = new PeerSession(baseUrl, hasKeepalive, hasKeepalive ? undefined : this.traffic);
		const transport = createConnectTransport({
			baseUrl, httpVersion: '2', sessionManager: session, interceptors: [addSecret], readMaxBytes: maxAnswerBytes,
		});
		return {client: createClient(PeerService, transport), session};
	}

	#disconnect(address: string): void {
		this.#connections.get(address)?.session.close();
		this.#connections.delete(address);
	}
}
