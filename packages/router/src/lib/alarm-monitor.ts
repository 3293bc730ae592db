/**
 * Reports raised and cleared alarms in the log and in the timeline, and keeps
 * the raised alarms for the metrics and the administration API. The alarms are
 * derived from the state.
 */
import {
	listAlarms, timelineKind, type Alarm, type State, type TimelineEntry,
} from '@sequoiatally/core';
import type {Logger} from '@sequoiatally/runtime';

/** Time after the start during which alarms are expected and not reported, in milliseconds. */
const startupGraceMs = 5000;

/** Tracks the alarms of one router. */
export class AlarmMonitor {
	readonly #logger: Logger;
	readonly #record: (entry: TimelineEntry) => void;
	#raisedAlarms = new Map<string, Alarm>();

	constructor(logger: Logger, record: (entry: TimelineEntry) => void) {
		this.#logger = logger;
		this.#record = record;
	}

	/** Alarms that were raised as of the last update. */
	get raised(): readonly Alarm[] {
		return [...this.#raisedAlarms.values()];
	}

	/** Compares the alarms at `now` with those of the previous update, and reports the differences. */
	update(state: State, now: number): void {
		if (now - state.self.startedAt < startupGraceMs) {
			return;
		}

		const previous = this.#raisedAlarms;
		this.#raisedAlarms = new Map(listAlarms(state, now).map(alarm => [createAlarmId(alarm), alarm]));
		for (const [id, alarm] of this.#raisedAlarms) {
			if (!previous.has(id)) {
				this.#report(alarm, timelineKind.alarmRaised);
			}
		}

		for (const [id, alarm] of previous) {
			if (!this.#raisedAlarms.has(id)) {
				this.#report(alarm, timelineKind.alarmCleared);
			}
		}
	}

	#report(alarm: Alarm, kind: typeof timelineKind.alarmRaised | typeof timelineKind.alarmCleared): void {
		const log = kind === timelineKind.alarmRaised ? this.#logger.warn : this.#logger.info;
		log({
			event: kind, alarm: alarm.kind, subject: alarm.subject, message: alarm.message,
		});
		this.#record({kind, cause: `alarm-${createAlarmId(alarm)}`, detail: alarm.message});
	}
}

function createAlarmId({kind, subject}: Alarm): string {
	return subject === '' ? kind : `${kind}-${subject}`;
}
