/**
 * Shows the configuration version in force, the readiness and the freshness of
 * each instance, and its alarms.
 */
import type {AdminOutput} from '@sequoiatally/router/admin';
import {adminSettings} from '../admin-settings.js';
import {callAll, type InstanceAnswer} from '../admin-client.js';
import {exitCode, type ExitCode} from '../exit-code.js';
import {formatAge, formatTable} from '../format-table.js';
import {
	noOperands, OperatorCommand, type CommandInput, type CommandReport,
} from '../operator-command.js';

type Status = AdminOutput<'status'>;
type Answers = ReadonlyArray<InstanceAnswer<Status>>;

export class StatusCommand extends OperatorCommand<typeof adminSettings> {
	override readonly name = 'status';
	override readonly description = 'Shows the configuration version in force, readiness, freshness and alarms of instances.';
	override readonly schema = adminSettings;
	override readonly operands = noOperands;

	override async run({settings}: CommandInput<typeof adminSettings>): Promise<CommandReport> {
		const answers = await callAll(settings, async client => client.call('status'));
		const statuses = answers.flatMap(({result}) => result.isOk() ? [result.value] : []);
		const versions = [...new Set(statuses.map(({configurationVersion}) => configurationVersion))];
		return {
			exitCode: chooseExitCode(answers, statuses, versions),
			json: {instances: answers.map(({address, result}) => result.isOk() ? {address, ...result.value} : {address, error: result.error}), versions},
			lines: [
				...formatTable(['address', 'instance', 'zone', 'state', 'version', 'confirmed', 'list', 'open', 'waiting'], answers.map(answer => formatRow(answer))),
				...versions.length > 1 ? [`Configuration versions differ: ${versions.join(', ')}.`] : [],
				...statuses.flatMap(({instanceId, alarms}) => alarms.map(({kind, subject, message}) => `${instanceId}: ${kind} ${subject}: ${message}`.replace(' :', ':'))),
				...answers.flatMap(({address, result}) => result.isErr() ? [`${address}: ${result.error.message}`] : []),
			],
		};
	}
}

function chooseExitCode(answers: Answers, statuses: readonly Status[], versions: readonly number[]): ExitCode {
	if (statuses.length < answers.length) {
		return exitCode.unreachable;
	}

	const isOk = versions.length === 1 && statuses.every(({isReady, alarms}) => isReady && alarms.length === 0);
	return isOk ? exitCode.ok : exitCode.bad;
}

function formatRow({address, result}: InstanceAnswer<Status>): string[] {
	if (result.isErr()) {
		return [address, '?', '?', result.error.kind];
	}

	const status = result.value;
	const configurationAge = status.configurationAgeMs === undefined ? 'never' : `${formatAge(status.configurationAgeMs)} ago`;
	return [
		address,
		status.instanceId,
		status.zone,
		describeState(status),
		String(status.configurationVersion),
		configurationAge,
		`${status.listedInstances}+${status.listedTargets}, ${formatAge(status.listAgeMs)}`,
		String(status.openRequests),
		String(status.waitingRequests),
	];
}

function describeState({isReady, isDraining}: Status): string {
	if (isDraining) {
		return 'draining';
	}

	return isReady ? 'ready' : 'not ready';
}
