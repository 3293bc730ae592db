#!/usr/bin/env node
/**
 * Starts the stand-in for the configuration service and the instance list.
 */
import {Command} from 'commander';
import {
	createLogger, defineAddress, defineInteger, LifecycleManager, parseSettingsOrExit, readWallMs,
} from '@sequoiatally/runtime';
import {ConfigurationService, createConfigurationService} from '../lib/configuration-service.js';
import {serveApp} from '../lib/serve.js';

const settings = parseSettingsOrExit(new Command('sequoiatally-stand-in-configuration').description('Stand-in for the platform\'s configuration service and instance list.'), {
	address: defineAddress({flag: 'address', description: 'Address to listen on', defaultText: '127.0.0.1:7000'}),
	listLagMs: defineInteger(0, 60_000, {flag: 'list-lag-ms', description: 'Lag of the instance list in milliseconds', defaultText: '300'}),
});

const logger = createLogger('stand-in-configuration', 'info');
const lifecycle = new LifecycleManager(logger);
await serveApp(createConfigurationService(new ConfigurationService(settings.listLagMs, readWallMs)), settings.address, lifecycle);
lifecycle.handleSignals(async () => lifecycle.closeAll());
logger.info({event: 'listening', ...settings.address});
