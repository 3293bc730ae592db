/**
 * Counters and latency histograms of a gateway. They are kept as plain numbers;
 * the metrics library is loaded on the first request for the metrics page.
 */

/** Upper bounds of the latency histograms, in milliseconds. */
const bucketBoundsMs = [10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000, 15_000];

type Histogram = {readonly counts: number[]; sum: number; count: number};

export class GatewayMetrics {
	readonly #counts = new Map<string, number>();
	readonly #histograms = new Map<string, Histogram>();
	readonly #gauges: ReadonlyMap<string, () => number>;

	/** `gauges` are pairs of a name and a function that reads the value when the page is rendered. */
	constructor(gauges: ReadonlyArray<readonly [string, () => number]>) {
		this.#gauges = new Map(gauges);
	}

	/** Counts a log event. */
	count(event: string): void {
		this.#counts.set(event, (this.#counts.get(event) ?? 0) + 1);
	}

	/** Records the duration of a send or a request, in milliseconds, under its `outcome` label. */
	recordLatency(outcome: string, tookMs: number): void {
		let histogram = this.#histograms.get(outcome);
		if (histogram === undefined) {
			histogram = {counts: Array.from({length: bucketBoundsMs.length + 1}, () => 0), sum: 0, count: 0};
			this.#histograms.set(outcome, histogram);
		}

		const bucketIndex = bucketBoundsMs.findIndex(bound => tookMs <= bound);
		histogram.counts[bucketIndex === -1 ? bucketBoundsMs.length : bucketIndex]!++;
		histogram.sum += tookMs;
		histogram.count++;
	}

	/** Renders the metrics page in the Prometheus text format. */
	async render(): Promise<string> {
		const {default: library} = await import('prom-client');
		const registry = new library.Registry();
		const events = new library.Counter({
			name: 'sequoiatally_events_total', help: 'Decisions by kind.', labelNames: ['event'], registers: [registry],
		});
		for (const [event, count] of this.#counts) {
			events.inc({event}, count);
		}

		for (const [name, read] of this.#gauges) {
			new library.Gauge({name: `sequoiatally_${name}`, help: name.replaceAll('_', ' '), registers: [registry]}).set(read());
		}

		return `${await registry.metrics()}${this.#renderHistograms()}`;
	}

	/** Renders the histograms directly, since those of the library accept only single observations. */
	#renderHistograms(): string {
		const lines = ['# HELP sequoiatally_latency_ms Time from arrival to end, in milliseconds.', '# TYPE sequoiatally_latency_ms histogram'];
		for (const [outcome, {counts, sum, count}] of this.#histograms) {
			let cumulativeCount = 0;
			for (const [index, bound] of bucketBoundsMs.entries()) {
				cumulativeCount += counts[index]!;
				lines.push(`sequoiatally_latency_ms_bucket{outcome="${outcome}",le="${bound}"} ${cumulativeCount}`);
			}

			lines.push(
				`sequoiatally_latency_ms_bucket{outcome="${outcome}",le="+Inf"} ${count}`,
				`sequoiatally_latency_ms_sum{outcome="${outcome}"} ${sum}`,
				`sequoiatally_latency_ms_count{outcome="${outcome}"} ${count}`,
			);
		}

		return `${lines.join('\n')}\n`;
	}
}
