/**
 * Tells operators when an alarm is raised and when it is cleared: in the log,
 * in the time line and as a metric. The alarms themselves follow from the
 * state.
 */
import {
	listAlarms, timelineKind, type Alarm, type State, type TimelineEntry,
} from '@sequoiatally/core';
import type {Logger} from '@sequoiatally/runtime';

/** Time after the start in which alarms are normal, in milliseconds. */
const startGraceMs = 5000;

/** Watches the alarms of one router. */
export class AlarmWatch {
	readonly #logger: Logger;
	readonly #record: (entry: TimelineEntry) => void;
	#standing = new Map<string, Alarm>();

	constructor(logger: Logger, record: (entry: TimelineEntry) => void) {
		this.#logger = logger;
		this.#record = record;
	}

	/** Alarms that stand, as of the last update. */
	get standing(): readonly Alarm[] {
		return [...this.#standing.values()];
	}

	/** Compares the alarms at `now` with those before, and tells the difference. */
	update(state: State, now: number): void {
		if (now - state.self.startedAt < startGraceMs) {
			return;
		}

		const before = this.#standing;
		this.#standing = new Map(listAlarms(state, now).map(alarm => [describeSubject(alarm), alarm]));
		for (const [subject, alarm] of this.#standing) {
			if (!before.has(subject)) {
				this.#tell(alarm, timelineKind.alarmRaised);
			}
		}

		for (const [subject, alarm] of before) {
			if (!this.#standing.has(subject)) {
				this.#tell(alarm, timelineKind.alarmCleared);
			}
		}
	}

	#tell(alarm: Alarm, kind: typeof timelineKind.alarmRaised | typeof timelineKind.alarmCleared): void {
		const write = kind === timelineKind.alarmRaised ? this.#logger.warn : this.#logger.info;
		write({
			event: kind, alarm: alarm.kind, subject: alarm.subject, message: alarm.message,
		});
		this.#record({kind, cause: `alarm-${describeSubject(alarm)}`, detail: alarm.message});
	}
}

function describeSubject({kind, subject}: Alarm): string {
	return subject === '' ? kind : `${kind}-${subject}`;
}
