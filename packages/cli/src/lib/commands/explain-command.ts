/**
 * Explains to which target a chat's next request would be sent, or how a past
 * request ended.
 */
import type {AdminOutput} from '@sequoiatally/router/admin';
import {
	defineInteger, defineText, makeOptional, type SettingsOf,
} from '@sequoiatally/runtime';
import {callAll, adminFaultKind, type InstanceAnswer} from '../admin-client.js';
import {adminSettings} from '../admin-settings.js';
import {exitCode, type ExitCode} from '../exit-code.js';
import {formatTable} from '../format-table.js';
import {
	noOperands, OperatorCommand, type CommandInput, type CommandReport,
} from '../operator-command.js';

const schema = {
	...adminSettings,
	request: makeOptional(defineText({flag: 'request', description: 'Identifier of a past request; without it the command makes a dry run'})),
	chat: defineText({flag: 'chat', description: 'Chat of the dry run', defaultText: 'explain'}),
	account: makeOptional(defineText({flag: 'account', description: 'Client account of the dry run; without it the request carries no key'})),
	model: makeOptional(defineText({flag: 'model', description: 'Model of the dry run'})),
	path: defineText({flag: 'path', description: 'Path of the dry run', defaultText: '/v1/chat/completions'}),
	method: defineText({flag: 'method', description: 'Method of the dry run', defaultText: 'POST'}),
	priority: defineInteger(0, 9, {flag: 'priority', description: 'Priority of the dry run', defaultText: '0'}),
};
type ExplainSettings = SettingsOf<typeof schema>;
type DryRun = AdminOutput<'explain'>;
type RequestOutcome = AdminOutput<'request'>;

export class ExplainCommand extends OperatorCommand<typeof schema> {
	override readonly name = 'explain';
	override readonly description = 'Makes a dry run: explains to which target a request would be sent. With --request, explains to which targets a past request was sent and how it ended, such as why it was refused.';
	override readonly schema = schema;
	override readonly operands = noOperands;

	override async run({settings}: CommandInput<typeof schema>): Promise<CommandReport> {
		return settings.request === undefined ? explainDryRun(settings) : explainRequest(settings, settings.request);
	}
}

async function explainDryRun(settings: ExplainSettings): Promise<CommandReport> {
	const {
		chat, account, model, path, method, priority,
	} = settings;
	const body = {
		chatId: chat, account, model, path, method, priority,
	};
	const answers = await callAll(settings, async client => client.call('explain', {body}));
	const isTargetChosenEverywhere = answers.every(({result}) => result.isErr() || result.value.chosenTargetId !== undefined);
	return {
		exitCode: answers.some(({result}) => result.isErr()) ? exitCode.unreachable : chooseExitCode(isTargetChosenEverywhere),
		json: {instances: answers.map(answer => describeAnswer(answer))},
		lines: answers.flatMap(({address, result}) => [`${address}:`, ...result.isOk() ? formatDryRun(result.value) : [`  ${result.error.message}`]]),
	};
}

function formatDryRun(dryRun: DryRun): string[] {
	const {
		refusal, route, pool, account, chosenTargetId, targets,
	} = dryRun;
	if (refusal !== undefined) {
		return [`  refused: ${refusal.reason} (${refusal.outcome}), status ${refusal.status}: ${refusal.message}`];
	}

	const share = account === undefined
		? ''
		: `; ${account.name} holds ${account.share.tokens.toFixed(1)} tokens and ${account.share.heldRate.toFixed(1)} of ${account.rate} requests/s here`;
	const rows = targets.map(({
		targetId, zone, rank, standing, inFlight, usableSlots, isCold,
	}) => [rank === undefined ? '-' : String(rank), targetId, zone, standing, `${inFlight} of ${usableSlots}${isCold ? ', cold' : ''}`]);
	return [
		`  route ${route} to pool ${pool}${share}`,
		chosenTargetId === undefined ? '  no target has capacity now: the request would be queued; a cold target is probed first' : `  would be sent to ${chosenTargetId}`,
		...formatTable(['rank', 'target', 'zone', 'standing', 'in flight here'], rows).map(line => `  ${line}`),
	];
}

async function explainRequest(settings: ExplainSettings, requestId: string): Promise<CommandReport> {
	const answers = await callAll(settings, async client => client.call('request', {parameters: {requestId}}));
	const knownOutcomes = answers.flatMap(({address, result}) => result.isOk() ? [{address, outcome: result.value}] : []);
	const isUnreachable = answers.some(({result}) => result.isErr() && (result.error.kind !== adminFaultKind.refused || result.error.type === 'unauthorized'));
	const lines = knownOutcomes.length === 0
		? answers.map(({address, result}) => `${address}: ${result.isErr() ? result.error.message : ''}`)
		: knownOutcomes.flatMap(({address, outcome}) => formatOutcome(address, outcome));
	return {
		exitCode: knownOutcomes.length === 0 && isUnreachable ? exitCode.unreachable : chooseExitCode(knownOutcomes.length > 0),
		json: {instances: answers.map(answer => describeAnswer(answer))},
		lines,
	};
}

function formatOutcome(address: string, outcome: RequestOutcome): string[] {
	const {
		requestId, end, route, account, targetIds, reason, entries,
	} = outcome;
	const startedAt = entries[0]?.wallMs ?? 0;
	return [
		`${address}: request ${requestId}: ${end}${reason === undefined ? '' : `: ${reason}`}`,
		`  route ${route ?? '?'}, client account ${account ?? '?'}, targets tried: ${targetIds.length === 0 ? 'none' : targetIds.join(', ')}`,
		...entries.map(({
			wallMs, kind, targetId, detail,
		}) => `  +${wallMs - startedAt} ms  ${[kind, targetId, detail].filter(part => typeof part === 'string').join('  ')}`),
	];
}

function describeAnswer<T extends Readonly<Record<string, unknown>>>({address, result}: InstanceAnswer<T>): Record<string, unknown> {
	return result.isOk() ? {address, ...result.value} : {address, error: result.error};
}

function chooseExitCode(isOk: boolean): ExitCode {
	return isOk ? exitCode.ok : exitCode.bad;
}
