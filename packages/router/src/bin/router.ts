#!/usr/bin/env node
/**
 * Starts one router.
 */
import {setTimeout as delay} from 'node:timers/promises';
import process from 'node:process';
import {eventKind} from '@sequoiatally/core';
import {
	createLogger, defineAddress, defineChoice, defineInteger, defineNamedTokens, defineText, LifecycleManager, logLevels, makeOptional, parseSettingsOrExit,
} from '@sequoiatally/runtime';
import {Command} from 'commander';
import {startRouter} from '../lib/router.js';

/** Time for the typed errors of cut requests to leave, in milliseconds. */
const errorFlushMs = 200;

const settings = parseSettingsOrExit(new Command('sequoiatally-router').description('Routes callers\' requests to targets.'), {
	instanceId: defineText({
		flag: 'instance-id', description: 'Name of this instance on the platform\'s list', pattern: /^[\w.-]{1,128}$/, allowed: '1 to 128 letters, digits, ".", "_" or "-"',
	}),
	zone: defineText({flag: 'zone', description: 'Availability zone of this instance'}),
	callerAddress: defineAddress({flag: 'caller-address', description: 'Address for callers'}),
	peerAddress: defineAddress({flag: 'peer-address', description: 'Address for other routers'}),
	adminAddress: defineAddress({flag: 'admin-address', description: 'Address for operators'}),
	platformAddress: defineAddress({flag: 'platform-address', description: 'Address of the configuration service'}),
	fleetSecret: defineText({
		flag: 'fleet-secret', description: 'Secret that routers show each other', pattern: /^.{16,}$/, allowed: 'at least 16 characters', isSecret: true,
	}),
	adminTokens: defineNamedTokens({flag: 'admin-tokens', description: 'Tokens that operators show, each with the name of its holder'}),
	timelinePath: makeOptional(defineText({flag: 'timeline-path', description: 'File or pipe to which time line entries are appended'})),
	callerSilenceMs: defineInteger(100, 600_000, {
		flag: 'caller-silence-ms', description: 'Milliseconds in which a caller has to take some of the bytes that wait for it', defaultText: '20000',
	}),
	targetSilenceMs: defineInteger(100, 600_000, {
		flag: 'target-silence-ms', description: 'Milliseconds without a byte after which a target\'s answer counts as lost', defaultText: '5000',
	}),
	drainGraceMs: defineInteger(0, 60_000, {
		flag: 'drain-grace-ms', description: 'Milliseconds in which a stopping instance still takes new work, until the balancer has noticed', defaultText: '500',
	}),
	drainLimitMs: defineInteger(0, 86_400_000, {
		flag: 'drain-limit-ms', description: 'Milliseconds after which a graceful stop cuts what is still open', defaultText: '150000',
	}),
	logLevel: defineChoice(logLevels, {flag: 'log-level', description: 'Least severe level that is logged', defaultText: 'info'}),
});

const logger = createLogger('router', settings.logLevel, {instanceId: settings.instanceId});
const lifecycle = new LifecycleManager(logger);
const {runner, abortOpenRequests} = await startRouter(settings, logger, lifecycle);

/** Ends at once: callers get a typed error, and the log says whose answers were cut. */
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
}, async () => stopImmediately('second signal'));
logger.info({event: 'started', callerPort: settings.callerAddress.port});
