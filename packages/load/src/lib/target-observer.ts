/**
 * Observes the targets of a fleet during a run: samples the requests in flight
 * at each target, and keeps the last statistics that each target process
 * reported, including those of killed processes.
 */
import {request} from 'undici';
import type {TargetReport} from './answer-record.js';
import type {Fleet, FleetTarget} from './fleet.js';

export const sampleIntervalMs = 500;
const sampleTimeoutMs = 400;

type TargetStats = Partial<Omit<TargetReport, 'id' | 'pool'>> & {readonly inFlight?: number};

/** Samples the targets until it is stopped. */
export class TargetObserver {
	/** Requests in flight at each sample, by target. */
	readonly loads: Record<string, number[]> = {};
	readonly #fleet: Fleet;
	/** Reports by target and process, because the counts of a target restart at 0 with its process. */
	readonly #reports = new Map<string, TargetReport>();
	#timer?: NodeJS.Timeout;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	start(): void {
		this.#timer = setInterval(() => {
			void this.sample();
		}, sampleIntervalMs);
	}

	/** Stops sampling after a final sample and returns the last report of each target process. */
	async stop(): Promise<TargetReport[]> {
		clearInterval(this.#timer);
		await this.sample();
		return [...this.#reports.values()];
	}

	async sample(): Promise<void> {
		await Promise.all(this.#fleet.targets.map(async target => this.#sampleTarget(target)));
	}

	async #sampleTarget(target: FleetTarget): Promise<void> {
		const {id, pool, process} = target;
		this.loads[id] ??= [];
		const series = this.loads[id];
		const index = series.push(0) - 1;
		const stats = await readStats(target);
		if (stats === undefined) {
			return;
		}

		const {
			inFlight = 0, keySightings = 0, highestInFlight = 0, overrunCount = 0, runs = {},
		} = stats;
		series[index] = inFlight;
		this.#reports.set(`${id}/${process.child.pid}`, {
			id, pool, keySightings, highestInFlight, overrunCount, runs,
		});
	}
}

async function readStats({address}: FleetTarget): Promise<TargetStats | undefined> {
	try {
		const {body} = await request(`http://${address}/control/stats`, {signal: AbortSignal.timeout(sampleTimeoutMs)});
		return await body.json() as TargetStats;
	} catch {
		// A killed or suspended target does not respond; its load counts as 0 in this sample.
		return undefined;
	}
}
