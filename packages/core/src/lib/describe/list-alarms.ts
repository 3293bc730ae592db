/**
 * Alarms: states that an operator has to know of, as a function of the state.
 * They stand as long as the state does.
 */
import type {State} from '../state.js';
import {listedState} from '../configuration/instance-list.js';

export const alarmKind = {
	/** No configuration has been read since the start. */
	noConfiguration: 'no-configuration',
	/** Whether the configuration is current has not been confirmed for a while. */
	configurationStale: 'configuration-stale',
	/** The configuration is so old that all new work is refused. */
	configurationExpired: 'configuration-expired',
	/** A peer has had a newer version for a while. */
	configurationBehind: 'configuration-behind',
	/** The list has not been confirmed for a while. */
	listStale: 'list-stale',
	/** More instances exist than the published ceiling allows. */
	overCeiling: 'over-ceiling',
	/** A pool has no target that may take new work. */
	poolEmpty: 'pool-empty',
} as const;
export type AlarmKind = typeof alarmKind[keyof typeof alarmKind];

export type Alarm = {
	readonly kind: AlarmKind;
	/** What it is about, such as the pool; empty when there is only one. */
	readonly subject: string;
	/** What happens now, and what to do. */
	readonly message: string;
};

/** Age of unconfirmed tables or lists at which operators are told, in milliseconds: several lost watches. */
const staleAlarmAgeMs = 10_000;

/** Lists the alarms that stand at `now`. */
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
