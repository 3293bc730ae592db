/**
 * The state of one router. The reducer owns the state and changes it in place,
 * because a copy per event would cost more than the decision itself. Other code
 * must not keep a reference to any part of the state beyond a call.
 */
import {createAllowanceState, type AllowanceState} from './allowance/allowance-state.js';
import type {Account, Configuration} from './configuration/configuration.js';
import {createMembershipState, type MembershipState} from './membership/membership-state.js';
import {createWatchState, type WatchState} from './watch.js';
import {createRequestState, type RequestState} from './requests/request-state.js';
import {createTargetState, type TargetState} from './targets/target-state.js';
import type {TargetChoice} from './targets/target-choice.js';
import {type Effect, effectKind} from './effect.js';
import type {TimelineEntry} from './timeline-entry.js';

/** Identity of this process, constant during its lifetime. */
export type InstanceIdentity = {
	readonly instanceId: string;
	/** Differs after each start. */
	readonly incarnation: string;
	readonly zone: string;
	/** Monotonic time of the start, in milliseconds. */
	readonly startedAt: number;
};

/** Interchangeable strategies, selected at the start. */
export type Policies = {readonly targetChoice: TargetChoice};

/** The configuration tables in force and how current they are. */
export type TablesState = {
	configuration?: Configuration;
	/** Text of the document, relayed to peers unchanged. */
	text: string;
	/** Name of the client account by key digest. */
	accountByDigest: Map<string, string>;
	accountByName: Map<string, Account>;
	/** Latest time at which the tables are known to have been current. */
	currentAt?: number;
	/** Start of the latest read of the tables, whether or not the configuration service was current at that time. */
	readAt?: number;
	/** Highest version known from the configuration service or a peer, in force here or not. */
	highestVersion: number;
};

export type State = {
	readonly self: InstanceIdentity;
	readonly policies: Policies;
	tables: TablesState;
	watches: WatchState;
	membership: MembershipState;
	allowances: AllowanceState;
	targets: TargetState;
	requests: RequestState;
};

/** One step of the reducer: the state, the present time and the effects so far. */
export type Step = {readonly state: State; readonly now: number; readonly effects: Effect[]};

export function createState(self: InstanceIdentity, policies: Policies): State {
	return {
		self,
		policies,
		tables: {
			text: '', accountByDigest: new Map(), accountByName: new Map(), highestVersion: 0,
		},
		watches: createWatchState(),
		membership: createMembershipState(),
		allowances: createAllowanceState(),
		targets: createTargetState(),
		requests: createRequestState(),
	};
}

/** Adds a timeline entry to the step's effects. */
export function recordEntry(step: Step, entry: TimelineEntry): void {
	step.effects.push({kind: effectKind.record, entry});
}
