#!/usr/bin/env node
/**
 * Starts the stand-in for a plain service.
 */
import {randomUUID} from 'node:crypto';
import {Command} from 'commander';
import {
	createLogger, defineAddress, defineInteger, defineText, LifecycleManager, makeOptional, parseSettingsOrExit, TimelineWriter,
} from '@sequoiatally/runtime';
import {createPlainServiceApp, PlainService} from '../lib/plain-service.js';
import {recordRequests} from '../lib/record-requests.js';
import {serveApp} from '../lib/serve.js';

const settings = parseSettingsOrExit(new Command('sequoiatally-stand-in-plain').description('Stand-in for a plain service.'), {
	address: defineAddress({flag: 'address', description: 'Address to listen on', defaultText: '127.0.0.1:7300'}),
	id: defineText({flag: 'id', description: 'Name of the target', defaultText: 'plain'}),
	runMs: defineInteger(0, 60_000, {flag: 'run-ms', description: 'Milliseconds that each run takes', defaultText: '20'}),
	timelinePath: makeOptional(defineText({flag: 'timeline-path', description: 'File or pipe to which timeline entries are appended'})),
});

const logger = createLogger(`stand-in-plain-${settings.id}`, 'info');
const lifecycle = new LifecycleManager(logger);
const timeline = new TimelineWriter({
	process: 'plain-service', instanceId: settings.id, incarnation: randomUUID(),
}, settings.timelinePath);
lifecycle.own('time line', async () => timeline.close());
await serveApp(recordRequests(createPlainServiceApp(new PlainService(settings.id, settings.runMs)), timeline), settings.address, lifecycle);
lifecycle.handleSignals(async () => lifecycle.closeAll());
logger.info({event: 'listening', ...settings.address});
