/**
 * Serves other routers. A call without the fleet's secret is refused before
 * its message is looked at.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer, type ServerHttp2Session} from 'node:http2';
import {
	Code, ConnectError, type ConnectRouter, type HandlerContext, type ServiceImpl,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
	describeSummary, eventKind, type AnswerBorrow, type LoanAmount,
} from '@sequoiatally/core';
import {DocumentKind, PeerService} from '@sequoiatally/peer';
import type {LifecycleManager, SocketAddress} from '@sequoiatally/runtime';
import {secretHeader} from './peer-client.js';
import {
	fromWireBorrowRequest, fromWireSummary, toWireAmount, toWireSummary,
} from './peer-mapping.js';
import type {Runner} from './runner.js';

/** Largest message that a peer may send. */
const largestMessageBytes = 256 * 1024;

/** Answers peers' calls from the reducer. */
export class PeerServer {
	readonly #runner: Runner;
	readonly #secretDigest: Uint8Array;
	readonly #readClock: () => number;
	readonly #answers = new Map<number, (effect: AnswerBorrow) => void>();
	#nextCallId = 1;

	constructor(runner: Runner, secret: string, readClock: () => number) {
		this.#runner = runner;
		this.#secretDigest = computeDigest(secret);
		this.#readClock = readClock;
	}

	/** Starts to listen. */
	async listen({host, port}: SocketAddress, lifecycle: LifecycleManager): Promise<void> {
		const routes = (router: ConnectRouter) => {
			router.service(PeerService, this.#createService());
		};

		const server = createServer(connectNodeAdapter({routes, readMaxBytes: largestMessageBytes}));
		const sessions = new Set<ServerHttp2Session>();
		server.on('session', session => {
			sessions.add(session);
			session.on('close', () => sessions.delete(session));
		});
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(port, host, resolve);
		});
		lifecycle.own('peer server', () => {
			for (const session of sessions) {
				session.destroy();
			}

			server.close();
		});
	}

	/** Hands the reducer's answer to the call that waits for it. */
	answerBorrow(effect: AnswerBorrow): void {
		this.#answers.get(effect.callId)?.(effect);
		this.#answers.delete(effect.callId);
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
				const amounts = this.#lend(request);
				return {loanId: request.loanId, amounts: amounts.map(amount => toWireAmount(amount))};
			},
			giveBack: (request, context) => {
				this.#checkSecret(context);
				this.#runner.handle({kind: eventKind.loanGivenBack, loanId: request.loanId});
				return {};
			},
		};
	}

	/** Asks the reducer, which subtracts before it answers; a late answer lends nothing. */
	#lend(request: Parameters<typeof fromWireBorrowRequest>[0]): readonly LoanAmount[] {
		const callId = this.#nextCallId++;
		let amounts: readonly LoanAmount[] = [];
		this.#answers.set(callId, effect => {
			amounts = this.#readClock() <= effect.notAfter ? effect.amounts : [];
		});
		this.#runner.handle({kind: eventKind.borrowRequested, callId, request: fromWireBorrowRequest(request)});
		this.#answers.delete(callId);
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

	#checkSecret(context: HandlerContext): void {
		const shown = computeDigest(context.requestHeader.get(secretHeader) ?? '');
		if (!timingSafeEqual(shown, this.#secretDigest)) {
			throw new ConnectError('The fleet secret is missing or wrong.', Code.Unauthenticated);
		}
	}
}

function computeDigest(secret: string): Uint8Array {
	return createHash('sha256').update(secret).digest();
}
