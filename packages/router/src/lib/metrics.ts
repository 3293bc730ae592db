/**
 * Metrics, by the `prom-client` library.
 */
import {timelineKind, type TimelineEntry} from '@sequoiatally/core';
import {
	collectDefaultMetrics, Counter, Gauge, Registry,
} from 'prom-client';
import type {Runner} from './runner.js';

/** Metrics of one router. */
export class Metrics {
	readonly registry = new Registry();
	readonly #events: Counter<'kind'>;

	constructor(runner: Runner) {
		collectDefaultMetrics({register: this.registry});
		this.#events = new Counter({
			name: 'sequoiatally_events_total', help: 'Time line entries by kind.', labelNames: ['kind'], registers: [this.registry],
		});
		const {registry} = this;
		const gauge = (name: string, help: string, read: () => number) => new Gauge({
			name, help, registers: [registry], collect() {
				this.set(read());
			},
		});
		gauge('sequoiatally_requests_open', 'Requests that are open.', () => runner.state.requests.pending.size);
		gauge('sequoiatally_configuration_version', 'Version in force.', () => runner.state.tables.configuration?.version ?? 0);
		gauge('sequoiatally_instances_listed', 'Instances on the list.', () => runner.state.membership.list?.instances.length ?? 0);
		for (const kind of Object.values(timelineKind)) {
			this.#events.inc({kind}, 0);
		}
	}

	/** Counts a time line entry. */
	count({kind}: TimelineEntry): void {
		this.#events.inc({kind});
	}
}
