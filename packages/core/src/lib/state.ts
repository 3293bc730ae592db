/**
 * The state of one router. The reducer owns it and changes it in place: a copy
 * per event would cost more than the decision itself. Nobody else keeps a
 * reference to any part of it beyond a call.
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

/** Who this process is; fixed for its life. */
export type InstanceIdentity = {
	readonly instanceId: string;
	/** Different after each start. */
	readonly incarnation: string;
	readonly zone: string;
	/** Monotonic time of the start. */
	readonly startedAt: number;
};

/** Behaviour that varies, chosen once at the start. */
export type Policies = {readonly targetChoice: TargetChoice};

export type TablesState = {
	configuration?: Configuration;
	/** The document's own text, relayed to peers as it came. */
	text: string;
	/** Client account by key digest. */
	accountByDigest: Map<string, string>;
	accountByName: Map<string, Account>;
	/** Latest time at which the tables were certainly current. */
	currentAt?: number;
	/** Start of the latest read of the tables, whether or not the service was current then. */
	readAt?: number;
	/** Highest version heard of from anybody, in force here or not. */
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

/** Adds a time line entry to the step's effects. */
export function recordEntry(step: Step, entry: TimelineEntry): void {
	step.effects.push({kind: effectKind.record, entry});
}
