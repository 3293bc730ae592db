/**
 * Describes the instances for the administration API: this instance in full, and
 * its peers by their latest summaries.
 */
import type {State} from '../state.js';

/** Status of this instance. */
export type InstanceStatus = {
	readonly instanceId: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly uptimeMs: number;
	/** Whether a load balancer may send callers to this instance. */
	readonly isReady: boolean;
	readonly isDraining: boolean;
	/** Version of the configuration in force; 0 if there is none. */
	readonly configurationVersion: number;
	/** Highest known version, in force here or not. */
	readonly highestVersion: number;
	/** Time since the configuration was last confirmed as current, in milliseconds; `undefined` if it was never confirmed. */
	readonly configurationAgeMs?: number;
	/** Platform time at which the list was valid; 0 if there is no list. */
	readonly listAsOf: number;
	/** Time since the list was last confirmed as current, in milliseconds; `undefined` if it was never confirmed. */
	readonly listAgeMs?: number;
	readonly listedInstances: number;
	readonly listedTargets: number;
	readonly openRequests: number;
	readonly waitingRequests: number;
};

/** An instance that is listed or has sent a summary, with the state from its latest summary. */
export type InstanceDescription = {
	readonly instanceId: string;
	readonly zone: string;
	readonly peerAddress: string;
	/** State of the instance in the list, or `not-listed`. */
	readonly listed: string;
	readonly isSelf: boolean;
	/** Time since the instance's latest summary, in milliseconds; `undefined` if none was received. */
	readonly heardAgoMs?: number;
	readonly configurationVersion?: number;
	readonly isDraining?: boolean;
};

/** True when a load balancer may send callers to this instance. */
export function isReady({tables, membership}: State): boolean {
	return tables.configuration !== undefined && membership.mayServe && membership.history.hasJoined && !membership.isDraining;
}

/** Describes this instance. */
export function describeStatus(state: State, now: number): InstanceStatus {
	const {
		self, tables, membership, requests,
	} = state;
	return {
		instanceId: self.instanceId,
		incarnation: self.incarnation,
		zone: self.zone,
		uptimeMs: Math.round(now - self.startedAt),
		isReady: isReady(state),
		isDraining: membership.isDraining,
		configurationVersion: tables.configuration?.version ?? 0,
		highestVersion: tables.highestVersion,
		configurationAgeMs: computeAge(tables.currentAt, now),
		listAsOf: membership.list?.asOf ?? 0,
		listAgeMs: computeAge(membership.listCurrentAt, now),
		listedInstances: membership.list?.instances.length ?? 0,
		listedTargets: membership.list?.targets.length ?? 0,
		openRequests: requests.pending.size,
		waitingRequests: requests.queuedIds.size,
	};
}

/** Describes all instances that are listed or have sent a summary. */
export function describeInstances(state: State, now: number): InstanceDescription[] {
	const {membership, self} = state;
	const listed = membership.list?.instances ?? [];
	const listedIds = new Set(listed.map(({id}) => id));
	const unlisted = [...membership.peers.keys()].filter(id => !listedIds.has(id));
	return [
		...listed.map(instance => ({
			zone: instance.zone,
			peerAddress: instance.peerAddress,
			listed: instance.state,
			isSelf: instance.id === self.instanceId,
			...describeLastSummary(state, instance.id, now),
		})),
		...unlisted.map(id => ({
			zone: '', peerAddress: '', listed: 'not-listed', isSelf: false, ...describeLastSummary(state, id, now),
		})),
	];
}

type LastSummaryDescription = Pick<InstanceDescription, 'instanceId' | 'heardAgoMs' | 'configurationVersion' | 'isDraining'>;

function describeLastSummary({membership}: State, instanceId: string, now: number): LastSummaryDescription {
	const peer = membership.peers.get(instanceId);
	return {
		instanceId,
		heardAgoMs: computeAge(peer?.receivedAt, now),
		configurationVersion: peer?.summary.tablesVersion,
		isDraining: peer?.summary.draining,
	};
}

function computeAge(since: number | undefined, now: number): number | undefined {
	return since === undefined ? undefined : Math.round(now - since);
}
