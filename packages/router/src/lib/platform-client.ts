/**
 * Reads and watches the platform's configuration service. It never writes.
 */
import {
	documentKind, eventKind, parseConfiguration, parseInstanceList, type DocumentKind, type DocumentSource, type Event, type ReadDocumentEffect,
} from '@sequoiatally/core';
import {
	describeError, type LifecycleManager, type Logger, type SocketAddress,
} from '@sequoiatally/runtime';
import {Agent, buildConnector, request} from 'undici';
import {TrafficMeter} from './traffic-meter.js';

/** Time beyond the agreed wait after which a read counts as failed, in milliseconds. */
const readTimeoutMarginMs = 1000;
const connectTimeoutMs = 1000;
/** Largest document that is read; the service holds values up to a megabyte. */
const maxDocumentBytes = 1024 * 1024;

/** The service answered, and not with a document. */
class ServiceAnswerError extends Error {
	override readonly name = 'ServiceAnswerError';
}

type ServiceAnswer = {readonly revision: number; readonly asOf: number; readonly text?: string};

/** Turns a document's text into the event that hands it to the reducer. */
export function createDocumentEvent(document: DocumentKind, text: string, currentAt: number, source: DocumentSource, asOf = 0): Event {
	if (document === documentKind.tables) {
		const parsed = parseConfiguration(text);
		return parsed.isOk()
			? {
				kind: eventKind.configurationRead, configuration: parsed.value, text, currentAt, source,
			}
			: {
				kind: eventKind.configurationRejected, faultCount: parsed.error.length, currentAt, source,
			};
	}

	const list = parseInstanceList(asOf > 0 ? JSON.stringify({...JSON.parse(text) as Record<string, unknown>, asOf}) : text);
	return list.isOk()
		? {
			kind: eventKind.listRead, list: list.value, currentAt, source,
		}
		: {kind: eventKind.readFailed, document, source};
}

/** Connects as the library does, and counts the bytes. */
function createMeteredConnector(trafficMeter: TrafficMeter): buildConnector.connector {
	const connect = buildConnector({timeout: connectTimeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			if (result[1] !== null) {
				trafficMeter.addSocket(result[1]);
			}

			callback(...result);
		});
	};
}

/** Reads documents for the reducer. */
export class PlatformClient {
	/** Counts calls to the service, for the metrics. */
	callCount = 0;
	readonly traffic = new TrafficMeter();
	readonly #agent = new Agent({connect: createMeteredConnector(this.traffic)});
	readonly #baseUrl: string;
	readonly #emit: (event: Event) => void;
	readonly #readClock: () => number;
	readonly #logger: Logger;

	constructor({host, port}: SocketAddress, emit: (event: Event) => void, readClock: () => number, logger: Logger, lifecycle: LifecycleManager) {
		this.#baseUrl = `http://${host}:${port}`;
		this.#emit = emit;
		this.#readClock = readClock;
		this.#logger = logger;
		lifecycle.own('platform connections', async () => this.#agent.destroy());
	}

	/** Reads one document; the outcome comes back as an event. */
	async read({document, after, waitMs}: ReadDocumentEffect): Promise<void> {
		const startedAt = this.#readClock();
		this.callCount++;
		try {
			const answer = await this.#call(document, after, waitMs);
			if (answer.text === undefined || answer.text === '') {
				this.#emit({
					kind: eventKind.documentUnchanged, document, revision: answer.revision, asOf: answer.asOf, currentAt: startedAt,
				});
				return;
			}

			this.#emit(createDocumentEvent(document, answer.text, startedAt, {revision: answer.revision}, answer.asOf));
		} catch (error) {
			this.#logger.debug({event: 'read-failed', document, error: describeError(error)});
			this.#emit({kind: eventKind.readFailed, document, source: {}});
		}
	}

	async #call(document: DocumentKind, after: number, waitMs: number): Promise<ServiceAnswer> {
		const response = await request(`${this.#baseUrl}/v1/${document}?after=${after}&wait=${waitMs}`, {
			dispatcher: this.#agent, signal: AbortSignal.timeout(waitMs + readTimeoutMarginMs),
		});
		const text = await response.body.text();
		if (response.statusCode !== 200 || text.length > maxDocumentBytes * 2) {
			throw new ServiceAnswerError(`the service answered with status ${response.statusCode}`);
		}

		return JSON.parse(text) as ServiceAnswer;
	}
}
