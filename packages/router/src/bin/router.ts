#!/usr/bin/env node
/**
 * Starts one router.
 */
import {eventKind} from '@sequoiatally/core';
import {
	createLogger, defineAddress, defineChoice, defineNamedTokens, defineText, LifecycleManager, logLevels, makeOptional, parseSettingsOrExit,
} from '@sequoiatally/runtime';
import {Command} from 'commander';
import {startRouter} from '../lib/router.js';

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
	logLevel: defineChoice(logLevels, {flag: 'log-level', description: 'Least severe level that is logged', defaultText: 'info'}),
});

const logger = createLogger('router', settings.logLevel, {instanceId: settings.instanceId});
const lifecycle = new LifecycleManager(logger);
const runner = await startRouter(settings, logger, lifecycle);
lifecycle.handleSignals(() => {
	runner.handle({kind: eventKind.drainRequested, by: 'signal'});
});
logger.info({event: 'started', callerPort: settings.callerAddress.port});
