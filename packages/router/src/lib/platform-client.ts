/**
 * Reads and watches documents of the platform's configuration service. Nothing
 * is written to the service.
 */
import {
	documentKind, eventKind, parseConfiguration, parseInstanceList, type DocumentKind, type DocumentSource, type Event, type ReadDocumentEffect,
} from '@sequoiatally/core';
import {
	describeError, type LifecycleManager, type Logger, type SocketAddress,
} from '@sequoiatally/runtime';
import {Agent, buildConnector, request} from 'undici';
import {TrafficMeter} from './traffic-meter.js';

/** Time beyond the requested wait after which a read times out, in milliseconds. */
const readTimeoutMarginMs = 1000;
const connectTimeoutMs = 1000;
/** Largest document; the service stores values of up to one megabyte. A response, which holds the document as a JSON string, may be twice as long. */
const maxDocumentBytes = 1024 * 1024;

/** The service answered with a status other than 200, or with a response that is too large. */
class ServiceAnswerError extends Error {
	override readonly name = 'ServiceAnswerError';
}

type ServiceAnswer = {readonly revision: number; readonly asOf: number; readonly text?: string};

/**
 * Creates the event that passes a document to the reducer, or reports that its
 * text is invalid. An `asOf` above 0 replaces the one in the text of a list.
 */
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

/** Wraps the library's connector, with `connectTimeoutMs`, to add each socket to the traffic meter. */
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

/** Reads documents of the configuration service for the reducer. */
export class PlatformClient {
	/** Number of calls to the service since the start. */
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

	/** Reads one document and emits the outcome as an event. */
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
			throw new ServiceAnswerError(`configuration service answered with status ${response.statusCode}, or with a response that is too large`);
		}

		return JSON.parse(text) as ServiceAnswer;
	}
}
