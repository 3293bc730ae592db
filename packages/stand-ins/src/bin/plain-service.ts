#!/usr/bin/env node
/**
 * Starts the stand-in for a plain service.
 */
import {Command} from 'commander';
import {
	createLogger, defineAddress, defineInteger, defineText, LifecycleManager, parseSettingsOrExit,
} from '@sequoiatally/runtime';
import {createPlainServiceApp, PlainService} from '../lib/plain-service.js';
import {serveApp} from '../lib/serve.js';

const settings = parseSettingsOrExit(new Command('sequoiatally-stand-in-plain').description('Stand-in for a plain service.'), {
	address: defineAddress({flag: 'address', description: 'Address to serve on', defaultText: '127.0.0.1:7300'}),
	id: defineText({flag: 'id', description: 'Name of the target', defaultText: 'plain'}),
	runMs: defineInteger(0, 60_000, {flag: 'run-ms', description: 'Milliseconds that a run takes', defaultText: '20'}),
});

const logger = createLogger(`stand-in-plain-${settings.id}`, 'info');
const lifecycle = new LifecycleManager(logger);
await serveApp(createPlainServiceApp(new PlainService(settings.id, settings.runMs)), settings.address, lifecycle);
lifecycle.handleSignals(async () => lifecycle.closeAll());
logger.info({event: 'listening', ...settings.address});
