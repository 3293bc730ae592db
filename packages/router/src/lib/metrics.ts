/**
 * Metrics in the `prom-client` registry. No metric has a label for the client
 * account, the chat or the key, so that the number of time series is bounded.
 */
import {
	effectKind, eventKind, timelineKind, type Effect, type Event, type Refusal, type State, type TimelineEntry,
} from '@sequoiatally/core';
import {
	collectDefaultMetrics, Counter, Gauge, Registry,
} from 'prom-client';
import type {AlarmMonitor} from './alarm-monitor.js';
import type {Runner} from './runner.js';
import type {TrafficMeter} from './traffic-meter.js';

/** Prefix of the router's own metrics; metrics of the process keep the names given by the library. */
const metricPrefix = 'sequoiatally_';
/** Label value for requests that were refused before a route was found. */
const noRouteLabel = 'none';

/** Outcome of a request by the kind of the entry that ends it. */
const outcomeByKind: Readonly<Record<string, string>> = {
	[timelineKind.requestCompleted]: 'completed',
	[timelineKind.requestRefused]: 'refused',
	[timelineKind.callerLeft]: 'caller-left',
};

/** Effects that send a message to a peer, a target or the configuration service. Requests dispatched to targets are not included. */
const controlEffectKinds: ReadonlyArray<Effect['kind']> = [
	effectKind.readDocument,
	effectKind.fetchDocument,
	effectKind.exchange,
	effectKind.borrow,
	effectKind.answerBorrow,
	effectKind.giveBack,
	effectKind.forward,
	effectKind.probe,
];

/** Metrics of one router. */
export class Metrics {
	readonly registry = new Registry();
	readonly #timelineEntries: Counter<'kind'>;
	readonly #requests: Counter<'route' | 'outcome'>;
	readonly #refusals: Counter<'reason' | 'outcome'>;
	readonly #attempts: Counter<'outcome'>;
	readonly #effects: Counter<'kind'>;
	readonly #controlCalls: Counter<'kind'>;
	readonly #trafficMeters = new Map<string, TrafficMeter>();

	constructor(runner: Runner, alarms: Pick<AlarmMonitor, 'raised'>) {
		collectDefaultMetrics({register: this.registry});
		this.#timelineEntries = this.#createCounter('events_total', 'Time line entries by kind.', ['kind']);
		this.#requests = this.#createCounter('requests_total', 'Finished requests by route and outcome.', ['route', 'outcome']);
		this.#refusals = this.#createCounter('refusals_total', 'Refusals by reason, and whether the request may have run.', ['reason', 'outcome']);
		this.#attempts = this.#createCounter('attempts_total', 'Attempts at targets by outcome.', ['outcome']);
		this.#effects = this.#createCounter('effects_total', 'Effects of the reducer by kind.', ['kind']);
		this.#controlCalls = this.#createCounter('control_calls_total', 'Calls to peers and to the configuration service by kind.', ['kind']);
		this.#createTrafficCounter();
		for (const kind of controlEffectKinds) {
			this.#controlCalls.inc({kind}, 0);
		}

		this.#createRequestGauges(runner.state);
		this.#createFleetGauges(runner.state);
		this.#createAlarmGauge(alarms);
	}

	/** Counts a timeline entry, and the request if the entry ends one. */
	countEntry({kind, route = noRouteLabel}: TimelineEntry): void {
		this.#timelineEntries.inc({kind});
		const outcome = outcomeByKind[kind];
		if (outcome !== undefined) {
			this.#requests.inc({route, outcome});
		}
	}

	countRefusal({reason, outcome}: Refusal): void {
		this.#refusals.inc({reason, outcome});
	}

	/** Counts the end of an attempt; ignores other events. */
	countEvent(event: Event): void {
		if (event.kind === eventKind.attemptEnded) {
			this.#attempts.inc({outcome: event.outcome});
		}
	}

	countEffect({kind}: Effect): void {
		this.#effects.inc({kind});
		if (controlEffectKinds.includes(kind)) {
			this.#controlCalls.inc({kind});
		}
	}

	/** Adds the bytes counted by `meter` to the traffic metric under the label `link`. */
	addTrafficMeter(link: string, meter: TrafficMeter): void {
		this.#trafficMeters.set(link, meter);
	}

	#createTrafficCounter(): void {
		const trafficMeters = this.#trafficMeters;
		new Counter({
			name: `${metricPrefix}control_bytes_total`,
			help: 'Bytes on connections that this instance opened for control, by link and direction.',
			labelNames: ['link', 'direction'],
			registers: [this.registry],
			collect() {
				this.reset();
				for (const [link, meter] of trafficMeters) {
					const {read, written} = meter.read();
					this.inc({link, direction: 'read'}, read);
					this.inc({link, direction: 'written'}, written);
				}
			},
		}).reset();
	}

	#createCounter<L extends string>(name: string, help: string, labelNames: L[]): Counter<L> {
		return new Counter({
			name: metricPrefix + name, help, labelNames, registers: [this.registry],
		});
	}

	#createGauge(name: string, help: string, read: () => number): void {
		new Gauge({
			name: metricPrefix + name, help, registers: [this.registry], collect() {
				this.set(read());
			},
		}).set(0);
	}

	#createRequestGauges(state: State): void {
		this.#createGauge('requests_open', 'Requests that are open.', () => state.requests.pending.size);
		this.#createGauge('requests_waiting', 'Requests that wait for a token or a target.', () => state.requests.queuedIds.size);
		new Gauge({
			name: `${metricPrefix}targets_in_flight`, help: 'Requests in flight at targets by pool.', labelNames: ['pool'], registers: [this.registry], collect() {
				this.reset();
				for (const {listed, inFlight} of state.targets.targets.values()) {
					this.inc({pool: listed.pool}, inFlight);
				}
			},
		}).reset();
	}

	#createFleetGauges(state: State): void {
		this.#createGauge('configuration_version', 'Version in force.', () => state.tables.configuration?.version ?? 0);
		this.#createGauge('instances_listed', 'Instances on the list.', () => state.membership.list?.instances.length ?? 0);
		this.#createGauge('peers_heard', 'Peers that were heard at least once.', () => state.membership.peers.size);
		this.#createGauge('draining', '1 while this instance takes no new work.', () => Number(state.membership.isDraining));
		this.#createGauge('share_rate', 'Requests per second that this instance may admit, over all client accounts.', () => sumBuckets(state, 'rate'));
		this.#createGauge('share_tokens', 'Tokens that this instance holds, over all client accounts.', () => sumBuckets(state, 'tokens'));
	}

	#createAlarmGauge(alarms: Pick<AlarmMonitor, 'raised'>): void {
		new Gauge({
			name: `${metricPrefix}alarm`, help: '1 for each alarm that stands.', labelNames: ['alarm', 'subject'], registers: [this.registry], collect() {
				this.reset();
				for (const {kind, subject} of alarms.raised) {
					this.set({alarm: kind, subject}, 1);
				}
			},
		}).reset();
	}
}

function sumBuckets({allowances}: State, field: 'rate' | 'tokens'): number {
	let sum = 0;
	for (const bucket of allowances.buckets.values()) {
		sum += bucket[field];
	}

	return sum;
}
