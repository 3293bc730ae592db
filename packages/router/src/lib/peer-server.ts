/**
 * Serves other routers. A call without the fleet's secret is refused before
 * its message is looked at.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createServer, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Session,
} from 'node:http2';
import {
	Code, ConnectError, type ConnectRouter, type HandlerContext, type ServiceImpl,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	describeSummary, eventKind, type AnswerBorrowEffect, type BorrowRequest, type LoanAmount,
} from '@sequoiatally/core';
import {
	DocumentKind, PeerService, type RunTicketedRequest, type RunTicketedResponse,
} from '@sequoiatally/peer';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';
import type {OpenRequests} from './caller-server.js';
import {fleetSecretHeader} from './peer-client.js';
import {
	fromWireBorrowRequest, fromWireSummary, toWireAmount, toWireSummary,
} from './peer-mapping.js';
import {computeContentDigest, OpenRequest} from './open-request.js';
import type {Runner} from './runner.js';
import {fromWireRequestContent, toWireResult} from './ticket-mapping.js';

/** Largest message that a peer may send; a forwarded request with the largest body fits. */
const maxMessageBytes = 1280 * 1024;

/** Longest time to wait for the end of peers' connections, in milliseconds; their answers are short. */
const closeTimeoutMs = 1000;

/** Answers peers' calls from the reducer. */
export class PeerServer {
	readonly #runner: Runner;
	readonly #secretDigest: Uint8Array;
	readonly #readClock: () => number;
	readonly #borrowCallbacks = new Map<number, (effect: AnswerBorrowEffect) => void>();
	readonly #openRequests: OpenRequests;
	readonly #sessions = new Set<ServerHttp2Session>();
	#onAllClosed?: () => void;
	#nextCallId = 1;

	constructor(runner: Runner, openRequests: OpenRequests, secret: string, readClock: () => number) {
		this.#runner = runner;
		this.#openRequests = openRequests;
		this.#secretDigest = computeDigest(secret);
		this.#readClock = readClock;
	}

	/** Starts to listen. */
	async listen({host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		const routes = (router: ConnectRouter) => {
			router.service(PeerService, this.#createService());
		};

		const answer = connectNodeAdapter({routes, readMaxBytes: maxMessageBytes});
		const server = createServer((incoming: Http2ServerRequest, outgoing: Http2ServerResponse) => {
			if (!this.#isSecretValid(String(incoming.headers[fleetSecretHeader] ?? ''))) {
				// Nothing of the message is read.
				outgoing.writeHead(401, {'content-type': 'application/json'});
				outgoing.end(JSON.stringify({code: 'unauthenticated', message: 'The fleet secret is missing or wrong.'}));
				return;
			}

			answer(incoming, outgoing);
		});
		server.on('session', session => {
			this.#sessions.add(session);
			session.on('close', () => {
				this.#sessions.delete(session);
				if (this.#sessions.size === 0) {
					this.#onAllClosed?.();
				}
			});
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		lifecycle.own('peer server', () => {
			for (const session of this.#sessions) {
				session.destroy();
			}

			server.close();
		});
	}

	/** Waits until the answers to peers have left, and closes their connections. */
	async closeGracefully(): Promise<void> {
		for (const session of this.#sessions) {
			session.close();
		}

		if (this.#sessions.size > 0) {
			await new Promise<void>(resolve => {
				this.#onAllClosed = resolve;
				setTimeout(resolve, closeTimeoutMs);
			});
		}
	}

	/** Hands the reducer's answer to the call that waits for it. */
	answerBorrow(effect: AnswerBorrowEffect): void {
		this.#borrowCallbacks.get(effect.callId)?.(effect);
		this.#borrowCallbacks.delete(effect.callId);
	}

	#createService(): ServiceImpl<typeof PeerService> {
		return {
			exchange: (request, context) => {
				this.#checkSecret(context);
				const now = this.#readClock();
				if (request.summary !== undefined) {
					this.#runner.handle({kind: eventKind.summaryReceived, summary: fromWireSummary(request.summary), startedAt: now});
				}

				return {summary: toWireSummary(describeSummary(this.#runner.state, now))};
			},
			fetchDocument: (request, context) => {
				this.#checkSecret(context);
				return this.#describeDocument(request.kind);
			},
			borrow: (request, context) => {
				this.#checkSecret(context);
				return {answers: fromWireBorrowRequest(request).map(loan => ({amounts: this.#requestLoan(loan).map(amount => toWireAmount(amount))}))};
			},
			giveBack: (request, context) => {
				this.#checkSecret(context);
				this.#runner.handle({kind: eventKind.loanGivenBack, loanId: request.loanId});
				return {};
			},
			runTicketed: async (request, context) => {
				this.#checkSecret(context);
				return this.#runTicketed(request);
			},
		};
	}

	/** Runs a request that a peer passed on, as if its caller were connected here. */
	async #runTicketed(request: RunTicketedRequest): Promise<RunTicketedResponse> {
		const {requestId} = request;
		const open = new OpenRequest(fromWireRequestContent(request), () => {
			// Under a ticket the run goes on without its caller.
		});
		const url = new URL(request.target, 'http://target.invalid');
		this.#openRequests.set(requestId, open);
		this.#runner.handle({
			kind: eventKind.requestArrived,
			requestId,
			method: request.method,
			path: url.pathname,
			keyDigest: request.keyDigest === '' ? undefined : request.keyDigest,
			chatKey: request.chatKey,
			priority: request.priority,
			idempotencyKey: request.ticket,
			contentDigest: computeContentDigest(request.method, request.target, request.body),
			deadlineMs: request.deadlineMs,
			isForwarded: true,
		});
		return toWireResult(await open.plainResult);
	}

	/** Asks the reducer, which subtracts before it answers; a late answer lends nothing. */
	#requestLoan(request: BorrowRequest): readonly LoanAmount[] {
		const callId = this.#nextCallId++;
		let amounts: readonly LoanAmount[] = [];
		this.#borrowCallbacks.set(callId, effect => {
			amounts = this.#readClock() <= effect.notAfter ? effect.amounts : [];
		});
		this.#runner.handle({kind: eventKind.borrowRequested, callId, request});
		this.#borrowCallbacks.delete(callId);
		return amounts;
	}

	#describeDocument(kind: DocumentKind): {kind: DocumentKind; version: bigint; ageMs: bigint; json: Uint8Array} {
		const {tables, membership} = this.#runner.state;
		const isTables = kind === DocumentKind.TABLES;
		const currentAt = isTables ? tables.currentAt : membership.listCurrentAt;
		const version = isTables ? tables.configuration?.version : membership.list?.asOf;
		if (currentAt === undefined || version === undefined) {
			throw new ConnectError('This instance does not have the document.', Code.NotFound);
		}

		const text = isTables ? tables.text : JSON.stringify(membership.list);
		return {
			kind, version: BigInt(Math.round(version)), ageMs: BigInt(Math.ceil(this.#readClock() - currentAt)), json: new TextEncoder().encode(text),
		};
	}

	#isSecretValid(presented: string): boolean {
		return timingSafeEqual(computeDigest(presented), this.#secretDigest);
	}

	#checkSecret(context: HandlerContext): void {
		if (!this.#isSecretValid(context.requestHeader.get(fleetSecretHeader) ?? '')) {
			throw new ConnectError('The fleet secret is missing or wrong.', Code.Unauthenticated);
		}
	}
}

function computeDigest(secret: string): Uint8Array {
	return createHash('sha256').update(secret).digest();
}
