/**
 * Serves other routers. A call without the fleet's shared secret is rejected
 * before its message is read.
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

/** Largest message that is accepted from a peer; must exceed a forwarded request with the largest body. */
const maxMessageBytes = 1280 * 1024;

/** Longest time to wait until peers' connections are closed, in milliseconds. It can be short: when the wait starts, all requests have finished, and most answers to peers are small. */
const closeTimeoutMs = 1000;

/** Server for peers; answers their calls from the reducer. */
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

	/** Starts listening. */
	async listen({host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		const routes = (router: ConnectRouter) => {
			router.service(PeerService, this.#createService());
		};

		const handleCall = connectNodeAdapter({routes, readMaxBytes: maxMessageBytes});
		const server = createServer((incoming: Http2ServerRequest, outgoing: Http2ServerResponse) => {
			if (!this.#isSecretValid(String(incoming.headers[fleetSecretHeader] ?? ''))) {
				// The message is not read.
				outgoing.writeHead(401, {'content-type': 'application/json'});
				outgoing.end(JSON.stringify({code: 'unauthenticated', message: 'The fleet secret is missing or wrong.'}));
				return;
			}

			handleCall(incoming, outgoing);
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

	/** Closes peers' connections once their open calls have been answered; waits for at most `closeTimeoutMs`. */
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

	/** Passes the reducer's answer to the call that is waiting for it. */
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

	/** Runs a request that a peer forwarded, as if its caller were connected to this instance. */
	async #runTicketed(request: RunTicketedRequest): Promise<RunTicketedResponse> {
		const {requestId} = request;
		const openRequest = new OpenRequest(fromWireRequestContent(request), () => {
			// A request with a ticket continues after its caller has disconnected.
		});
		const url = new URL(request.target, 'http://target.invalid');
		this.#openRequests.set(requestId, openRequest);
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
		return toWireResult(await openRequest.plainResult);
	}

	/**
	 * Requests a loan from the reducer, which subtracts the amounts from this
	 * instance's share before it answers. Once the answer's `notAfter` has passed,
	 * nothing is lent.
	 */
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
