/**
 * Describes the instances for operators: this one in full, its peers as they
 * were last heard.
 */
import type {State} from '../state.js';

/** What this instance says of itself. */
export type InstanceStatus = {
	readonly instanceId: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly uptimeMs: number;
	/** True: callers may be sent here. */
	readonly isReady: boolean;
	readonly isDraining: boolean;
	/** Version in force; 0: none. */
	readonly configurationVersion: number;
	/** Highest version heard of, in force here or not. */
	readonly highestVersion: number;
	/** Age of the knowledge that the configuration is current, in milliseconds; undefined: never read. */
	readonly configurationAgeMs?: number;
	/** Platform time at which the list was true. */
	readonly listAsOf: number;
	readonly listAgeMs?: number;
	readonly listedInstances: number;
	readonly listedTargets: number;
	readonly openRequests: number;
	readonly waitingRequests: number;
};

/** An instance of the list, with what was last heard from it. */
export type PeerDescription = {
	readonly instanceId: string;
	readonly zone: string;
	readonly peerAddress: string;
	/** State on the list, or `not-listed`. */
	readonly listed: string;
	readonly isSelf: boolean;
	/** Time since its last summary in milliseconds; undefined: never heard. */
	readonly heardAgoMs?: number;
	readonly configurationVersion?: number;
	readonly isDraining?: boolean;
};

/** Says whether callers may be sent here. */
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
		waitingRequests: requests.waiting.size,
	};
}

/** Describes every instance that the list names or that was heard. */
export function describeInstances(state: State, now: number): PeerDescription[] {
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
			...describeHeard(state, instance.id, now),
		})),
		...unlisted.map(id => ({
			zone: '', peerAddress: '', listed: 'not-listed', isSelf: false, ...describeHeard(state, id, now),
		})),
	];
}

type HeardDescription = Pick<PeerDescription, 'instanceId' | 'heardAgoMs' | 'configurationVersion' | 'isDraining'>;

function describeHeard({membership}: State, instanceId: string, now: number): HeardDescription {
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
