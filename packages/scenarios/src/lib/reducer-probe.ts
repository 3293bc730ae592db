/**
 * One reducer in a simulated environment of any size, for measuring the cost of
 * each part of its state. The platform always responds, and each peer sends a
 * copy of the reducer's own summary.
 */
import {
	createState, describeSummary, documentKind, effectKind, eventKind, listedState, reduce, RendezvousChoice,
	type Configuration, type DispatchEffect, type Effect, type Event, type InstanceList, type ReadDocumentEffect, type State,
} from '@sequoiatally/core';

const tickMs = 50;
const zone = 'zone-a';
const ownInstanceId = 'router-0';

/** Size of the simulated environment. */
export type ProbeSize = {readonly instanceCount: number; readonly targetCount: number};

/** A waiting read, and the virtual time at which it receives its response. */
type PendingRead = {readonly at: number; readonly respond: () => void};

/** Drives one reducer under virtual time. */
export class ReducerProbe {
	now = 0;
	readonly state: State;
	/** Dispatched attempts, oldest first. Attempts that end stay until the code that ends them removes them. */
	readonly dispatches: DispatchEffect[] = [];
	/** Exchanges that the reducer has started. */
	exchangeCount = 0;
	/** Reads that the reducer has started. */
	readCount = 0;
	readonly #configuration: Configuration;
	readonly #list: InstanceList;
	#pendingReads: PendingRead[] = [];

	constructor(configuration: Configuration, {instanceCount, targetCount}: ProbeSize) {
		this.#configuration = configuration;
		const zones = [zone, 'zone-b', 'zone-c'];
		this.#list = {
			asOf: 0,
			instances: Array.from({length: instanceCount}, (_, index) => ({
				id: `router-${index}`, peerAddress: createAddress(0, index, 7100), zone: zones[index % zones.length]!, state: listedState.live, since: 0,
			})),
			targets: Array.from({length: targetCount}, (_, index) => ({
				id: `fitbrain-${index}`, pool: 'fitbrain', address: createAddress(1, index, 8000), zone: zones[index % zones.length]!, state: listedState.live, since: 0,
			})),
		};
		this.state = createState({
			instanceId: ownInstanceId, incarnation: 'probe', zone, startedAt: 0,
		}, {targetChoice: new RendezvousChoice()});
	}

	/** Applies an event to the reducer and executes the resulting effects. */
	handle(event: Event): void {
		for (const effect of reduce(this.state, event, this.now)) {
			this.#executeEffect(effect);
		}
	}

	/** Advances virtual time, with a tick every 50 ms. */
	runFor(durationMs: number): void {
		for (const endAt = this.now + durationMs; this.now < endAt; this.now += tickMs) {
			this.#completeDueReads();
			this.handle({kind: eventKind.tick});
		}
	}

	/** Runs one tick; returns the time that the reducer took, without the execution of its effects, in microseconds. */
	measureTick(): number {
		this.now += tickMs;
		this.#completeDueReads();
		const startedAt = performance.now();
		const effects = reduce(this.state, {kind: eventKind.tick}, this.now);
		const elapsedMs = performance.now() - startedAt;
		for (const effect of effects) {
			this.#executeEffect(effect);
		}

		return elapsedMs * 1000;
	}

	#executeEffect(effect: Effect): void {
		if (effect.kind === effectKind.dispatch) {
			this.dispatches.push(effect);
			return;
		}

		if (effect.kind === effectKind.exchange) {
			this.#respondToExchange(effect.peerId);
			return;
		}

		if (effect.kind === effectKind.readDocument) {
			this.#respondToRead(effect);
		}
	}

	#respondToExchange(peerId: string): void {
		this.exchangeCount++;
		const summary = {...describeSummary(this.state, this.now), instanceId: peerId, incarnation: peerId};
		this.handle({
			kind: eventKind.summaryReceived, summary, startedAt: this.now, isAnswer: true,
		});
	}

	/** Responds to an initial read at once. Later reads wait for their full `waitMs`, since the documents never change. */
	#respondToRead({document, after, waitMs}: ReadDocumentEffect): void {
		this.readCount++;
		if (after > 0) {
			const startedAt = this.now;
			this.#pendingReads.push({
				at: startedAt + waitMs, respond: () => {
					this.handle({
						kind: eventKind.documentUnchanged, document, revision: 1, asOf: this.now + 1, currentAt: startedAt,
					});
				},
			});
			return;
		}

		const source = {revision: 1};
		this.handle(document === documentKind.tables
			? {
				kind: eventKind.configurationRead, configuration: this.#configuration, text: '', currentAt: this.now, source,
			}
			: {
				kind: eventKind.listRead, list: {...this.#list, asOf: this.now + 1}, currentAt: this.now, source,
			});
	}

	#completeDueReads(): void {
		const due = this.#pendingReads.filter(({at}) => at <= this.now);
		this.#pendingReads = this.#pendingReads.filter(({at}) => at > this.now);
		for (const {respond} of due) {
			respond();
		}
	}
}

function createAddress(network: number, index: number, port: number): string {
	return `10.${network}.${Math.floor(index / 256)}.${index % 256}:${port}`;
}
