/**
 * Actions of the administration API, one per route. Responses are derived from
 * the state and the entries in memory; only `drain` and `undrain` change the
 * state.
 */
import {
	describeAccounts, describeInstances, describeStatus, describeTargets, eventKind, explainChoice, timelineKind,
} from '@sequoiatally/core';
import {
	isSelected, type Logger, type TimelineWriter,
} from '@sequoiatally/runtime';
import {err, ok, type Result} from 'neverthrow';
import type {AlarmMonitor} from '../alarm-monitor.js';
import {countRefusals, type RecentRefusals} from '../recent-refusals.js';
import type {Runner} from '../runner.js';
import {adminErrorKind, createAdminError, type AdminError} from './admin-error.js';
import type {AdminInput, AdminOutput, AdminRouteName} from './admin-routes.js';
import {explainRequest} from './explain-request.js';

/** Dependencies of the actions. */
export type AdminActionDependencies = {
	readonly runner: Runner;
	readonly timeline: TimelineWriter;
	readonly refusals: RecentRefusals;
	readonly alarms: AlarmMonitor;
	readonly logger: Logger;
};

type Action<N extends AdminRouteName> = (input: AdminInput<N>) => Result<AdminOutput<N>, AdminError>;
export type AdminActions = {readonly [N in AdminRouteName]: Action<N>};

/** Creates the actions of one router. */
export function createAdminActions(dependencies: AdminActionDependencies): AdminActions {
	const {
		runner, timeline, refusals, alarms,
	} = dependencies;
	const {state} = runner;
	return {
		status: () => ok({...describeStatus(state, runner.readClock()), alarms: [...alarms.raised]}),
		instances: () => ok({instances: describeInstances(state, runner.readClock())}),
		tables: () => describeTables(runner),
		targets: ({query}) => ok({
			targets: describeTargets(state, runner.readClock()).filter(({pool}) => pool === (query.pool ?? pool)),
		}),
		accounts: ({query}) => ok({
			accounts: describeAccounts(state, runner.readClock()).filter(({name}) => name === (query.name ?? name)),
		}),
		refusals({query}) {
			const recent = refusals.listSince(query.sinceMs);
			return ok({counts: countRefusals(recent), newest: recent.slice(0, query.limit)});
		},
		timeline: ({query}) => ok({
			lines: timeline.listRecent().filter(line => isSelected(line, query)).slice(-query.limit),
		}),
		request({parameters: {requestId}}) {
			const explanation = explainRequest(timeline.listRecent(), requestId);
			return explanation === undefined
				? err(createAdminError(adminErrorKind.notFound, 'No entry of this request is kept here; ask the other instances, or the time line\'s files.'))
				: ok(explanation);
		},
		explain: ({body}) => ok(toMutable(explainChoice(state, body, runner.readClock()))),
		drain: ({operator}) => drain(dependencies, operator),
		undrain: ({operator}) => undrain(dependencies, operator),
	};
}

function describeTables({state}: Runner): Result<AdminOutput<'tables'>, AdminError> {
	const {configuration} = state.tables;
	if (configuration === undefined) {
		return err(createAdminError(adminErrorKind.notReady, 'No configuration has been read yet; see the alarms of /v1/status.'));
	}

	const accounts = configuration.accounts.map(account => ({...account, keyDigests: []}));
	return ok({...configuration, accounts});
}

function drain(dependencies: AdminActionDependencies, operator: string): Result<AdminOutput<'drain'>, AdminError> {
	const {state} = dependencies.runner;
	recordAction(dependencies, operator, 'drain');
	if (!state.membership.isDraining) {
		dependencies.runner.handle({kind: eventKind.drainRequested, by: operator, keepsRunning: true});
	}

	return ok({isDraining: state.membership.isDraining, openRequests: state.requests.pending.size});
}

function undrain(dependencies: AdminActionDependencies, operator: string): Result<AdminOutput<'undrain'>, AdminError> {
	const {state} = dependencies.runner;
	recordAction(dependencies, operator, 'undrain');
	dependencies.runner.handle({kind: eventKind.undrainRequested, by: operator});
	return state.membership.isDraining
		? err(createAdminError(adminErrorKind.shuttingDown, 'This process was told to end; start another in its place.'))
		: ok({isDraining: false, openRequests: state.requests.pending.size});
}

function recordAction({timeline, logger}: AdminActionDependencies, operator: string, action: string): void {
	timeline.write({kind: timelineKind.administratorActed, cause: action, detail: `${operator}: ${action}`});
	logger.info({event: timelineKind.administratorActed, operator, action});
}

type ChoiceExplanation = ReturnType<typeof explainChoice>;

/** Copies the read-only explanation to the API's output type, which is mutable. */
function toMutable(explanation: ChoiceExplanation): AdminOutput<'explain'> {
	return {...explanation, targets: [...explanation.targets]};
}
