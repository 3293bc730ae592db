/**
 * Drains instances and cancels drains. Each instance is called separately, and
 * its log names the operator whose token was used.
 */
import {setTimeout as delay} from 'node:timers/promises';
import type {AdminOutput} from '@sequoiatally/router/admin';
import {defineInteger, readMonotonicMs} from '@sequoiatally/runtime';
import {err, ok, type Result} from 'neverthrow';
import {
	callAll, type AdminClient, type AdminFault, type InstanceAnswer,
} from '../admin-client.js';
import {adminSettings} from '../admin-settings.js';
import {exitCode} from '../exit-code.js';
import {
	noOperands, OperatorCommand, type CommandInput, type CommandReport,
} from '../operator-command.js';

/** Time between two status calls to a draining instance. */
const pollIntervalMs = 200;

const drainSchema = {
	...adminSettings,
	waitMs: defineInteger(0, 3_600_000, {flag: 'wait-ms', description: 'Longest time to wait until no requests are open, in milliseconds', defaultText: '0'}),
};

type DrainState = AdminOutput<'drain'>;

export class DrainCommand extends OperatorCommand<typeof drainSchema> {
	override readonly name = 'drain';
	override readonly description = 'Drains instances: they accept no new requests, open requests continue, and the processes keep running.';
	override readonly schema = drainSchema;
	override readonly operands = noOperands;

	override async run({settings}: CommandInput<typeof drainSchema>): Promise<CommandReport> {
		const answers = await callAll(settings, async client => {
			const drained = await client.call('drain');
			return drained.isOk() ? waitUntilIdle(client, drained.value, settings.waitMs) : err(drained.error);
		});
		return createReport(answers, settings.waitMs > 0);
	}
}

async function waitUntilIdle(client: AdminClient, initialState: DrainState, waitMs: number): Promise<Result<DrainState, AdminFault>> {
	const startedAt = readMonotonicMs();
	let state = initialState;
	while (state.openRequests > 0 && readMonotonicMs() - startedAt < waitMs) {
		await delay(pollIntervalMs);
		const status = await client.call('status');
		if (status.isErr()) {
			return err(status.error);
		}

		state = status.value;
	}

	return ok({isDraining: state.isDraining, openRequests: state.openRequests});
}

export class UndrainCommand extends OperatorCommand<typeof adminSettings> {
	override readonly name = 'undrain';
	override readonly description = 'Cancels the drain of instances, which then accept new requests again.';
	override readonly schema = adminSettings;
	override readonly operands = noOperands;

	override async run({settings}: CommandInput<typeof adminSettings>): Promise<CommandReport> {
		return createReport(await callAll(settings, async client => client.call('undrain')), false);
	}
}

function createReport(answers: ReadonlyArray<InstanceAnswer<DrainState>>, hasWaited: boolean): CommandReport {
	const hasFailedCall = answers.some(({result}) => result.isErr());
	const hasOpenRequests = answers.some(({result}) => result.isOk() && result.value.openRequests > 0);
	return {
		exitCode: hasFailedCall ? exitCode.unreachable : (hasWaited && hasOpenRequests ? exitCode.bad : exitCode.ok),
		json: {instances: answers.map(({address, result}) => result.isOk() ? {address, ...result.value} : {address, error: result.error})},
		lines: answers.map(({address, result}) => `${address}: ${result.isOk() ? formatState(result.value) : result.error.message}`),
	};
}

function formatState({isDraining, openRequests}: DrainState): string {
	return `${isDraining ? 'accepts no new requests' : 'accepts new requests'}; ${openRequests} requests open`;
}
