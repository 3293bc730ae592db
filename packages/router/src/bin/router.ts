#!/usr/bin/env node
/**
 * Command that starts one router.
 */
import {setTimeout as delay} from 'node:timers/promises';
import process from 'node:process';
import {eventKind} from '@sequoiatally/core';
import {
	createLogger, defineAddress, defineChoice, defineInteger, defineNamedTokens, defineText, LifecycleManager, logLevels, makeOptional, parseSettingsOrExit,
} from '@sequoiatally/runtime';
import {Command} from 'commander';
import {startRouter} from '../lib/router.js';

/** Time to send the typed errors of aborted requests before the process exits, in milliseconds. */
const errorFlushMs = 200;

const settings = parseSettingsOrExit(new Command('sequoiatally-router').description('Routes callers\' requests to targets.'), {
	instanceId: defineText({
		flag: 'instance-id', description: 'Identifier of this instance in the platform\'s instance list', pattern: /^[\w.-]{1,128}$/, allowed: '1 to 128 letters, digits, ".", "_" or "-"',
	}),
	zone: defineText({flag: 'zone', description: 'Availability zone of this instance'}),
	callerAddress: defineAddress({flag: 'caller-address', description: 'Address on which callers are served'}),
	peerAddress: defineAddress({flag: 'peer-address', description: 'Address on which other routers are served'}),
	adminAddress: defineAddress({flag: 'admin-address', description: 'Address on which operators are served'}),
	platformAddress: defineAddress({flag: 'platform-address', description: 'Address of the configuration service'}),
	fleetSecret: defineText({
		flag: 'fleet-secret', description: 'Secret with which routers authenticate to each other', pattern: /^.{16,}$/, allowed: 'at least 16 characters', isSecret: true,
	}),
	adminTokens: defineNamedTokens({flag: 'admin-tokens', description: 'Bearer tokens of operators, each with the operator\'s name'}),
	timelinePath: makeOptional(defineText({flag: 'timeline-path', description: 'File or named pipe to which timeline entries are appended'})),
	callerSilenceMs: defineInteger(100, 600_000, {
		flag: 'caller-silence-ms', description: 'Milliseconds after which a caller\'s connection is closed if none of the pending bytes could be sent', defaultText: '20000',
	}),
	targetSilenceMs: defineInteger(100, 600_000, {
		flag: 'target-silence-ms', description: 'Milliseconds without a byte after which a target\'s answer is treated as lost', defaultText: '5000',
	}),
	drainGraceMs: defineInteger(0, 60_000, {
		flag: 'drain-grace-ms', description: 'Milliseconds during which a stopping instance still accepts new requests, until the load balancer notices the drain', defaultText: '500',
	}),
	drainLimitMs: defineInteger(0, 86_400_000, {
		flag: 'drain-limit-ms', description: 'Milliseconds after which a graceful stop aborts the requests that are still open', defaultText: '150000',
	}),
	logLevel: defineChoice(logLevels, {flag: 'log-level', description: 'Lowest severity that is logged', defaultText: 'info'}),
});

const logger = createLogger('router', settings.logLevel, {instanceId: settings.instanceId});
const lifecycle = new LifecycleManager(logger);
const {runner, abortOpenRequests} = await startRouter(settings, logger, lifecycle);

/** Exits without waiting for open requests. Their callers receive a typed error; the log lists the identifiers of the aborted requests. */
const stopImmediately = async (reason: string) => {
	const requestIds = abortOpenRequests();
	logger.warn({
		event: 'requests-cut', reason, count: requestIds.length, requestIds,
	});
	await delay(errorFlushMs);

	process.exit(requestIds.length > 0 ? 1 : 0);
};

lifecycle.handleSignals(() => {
	runner.handle({kind: eventKind.drainRequested, by: 'signal', graceMs: settings.drainGraceMs});
	setTimeout(async () => stopImmediately('drain limit'), settings.drainLimitMs).unref();
}, {
	stopAtOnce() {
		void stopImmediately('second signal');
	},
});
logger.info({event: 'started', callerPort: settings.callerAddress.port});
