/**
 * Alarms: conditions that require an operator's attention, derived from the
 * state. An alarm is raised for as long as its condition holds.
 */
import type {State} from '../state.js';
import {listedState} from '../configuration/instance-list.js';

export const alarmKind = {
	/** No configuration has been read since the start. */
	noConfiguration: 'no-configuration',
	/** The configuration has not been confirmed as current for a while. */
	configurationStale: 'configuration-stale',
	/** The configuration has gone unconfirmed for so long that all new requests are refused. */
	configurationExpired: 'configuration-expired',
	/** A version newer than the one in force is known. */
	configurationBehind: 'configuration-behind',
	/** The list has not been confirmed as current for a while. */
	listStale: 'list-stale',
	/** More instances are listed than the configuration's ceiling allows. */
	overCeiling: 'over-ceiling',
	/** A pool has no target that may receive new requests. */
	poolEmpty: 'pool-empty',
} as const;
export type AlarmKind = typeof alarmKind[keyof typeof alarmKind];

export type Alarm = {
	readonly kind: AlarmKind;
	/** What the alarm concerns, such as a pool's name; empty if the kind alone identifies it. */
	readonly subject: string;
	/** The current effect and the recommended action. */
	readonly message: string;
};

/** Age of unconfirmed tables or lists above which an alarm is raised, in milliseconds. It allows for several lost watches. */
const staleAlarmAgeMs = 10_000;

/** Lists the alarms raised at `now`. */
export function listAlarms(state: State, now: number): Alarm[] {
	return [
		...listConfigurationAlarms(state, now),
		...listMembershipAlarms(state, now),
		...listPoolAlarms(state),
	];
}

function listConfigurationAlarms({tables}: State, now: number): Alarm[] {
	const {configuration, currentAt, highestVersion} = tables;
	if (configuration === undefined || currentAt === undefined) {
		return [createAlarm(alarmKind.noConfiguration, 'No configuration yet: every request is refused. Check the configuration service and the platform address.')];
	}

	const alarms: Alarm[] = [];
	const ageMs = now - currentAt;
	const seconds = Math.round(ageMs / 1000);
	if (ageMs > configuration.fleet.staleLimitMs) {
		alarms.push(createAlarm(alarmKind.configurationExpired, `Not confirmed for ${seconds} s: every request is refused. Restore the configuration service.`));
	} else if (ageMs > staleAlarmAgeMs) {
		const limitSeconds = Math.round(configuration.fleet.staleLimitMs / 1000);
		alarms.push(createAlarm(alarmKind.configurationStale, `Not confirmed for ${seconds} s; requests are refused after ${limitSeconds} s. Restore the configuration service.`));
	}

	if (highestVersion > configuration.version) {
		alarms.push(createAlarm(alarmKind.configurationBehind, `Version ${configuration.version} is in force and version ${highestVersion} exists. Check that it is valid.`));
	}

	return alarms;
}

function listMembershipAlarms({membership, tables}: State, now: number): Alarm[] {
	const alarms: Alarm[] = [];
	const {list, listCurrentAt} = membership;
	if (list === undefined || listCurrentAt === undefined || now - listCurrentAt > staleAlarmAgeMs) {
		alarms.push(createAlarm(alarmKind.listStale, 'The list of instances and targets is not confirmed. Check the configuration service.'));
	}

	const ceiling = tables.configuration?.fleet.ceiling ?? Number.POSITIVE_INFINITY;
	const count = list?.instances.length ?? 0;
	if (count > ceiling) {
		alarms.push(createAlarm(alarmKind.overCeiling, `${count} instances exist and the ceiling is ${ceiling}: limits may be exceeded. Raise fleet.ceiling or end instances.`));
	}

	return alarms;
}

function listPoolAlarms({tables, targets}: State): Alarm[] {
	const {pools = [], drainedZones = []} = tables.configuration ?? {};
	const servedPools = new Set<string>();
	for (const {listed} of targets.targets.values()) {
		if (listed.state === listedState.live && !drainedZones.includes(listed.zone)) {
			servedPools.add(listed.pool);
		}
	}

	return pools
		.filter(({name}) => !servedPools.has(name))
		.map(({name}) => createAlarm(alarmKind.poolEmpty, 'No target may take new work. Check the list and the drained zones.', name));
}

function createAlarm(kind: AlarmKind, message: string, subject = ''): Alarm {
	return {kind, subject, message};
}
