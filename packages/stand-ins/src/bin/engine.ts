#!/usr/bin/env node
/**
 * Starts the stand-in for a model engine.
 */
import {randomUUID} from 'node:crypto';
import {Command} from 'commander';
import {
	createLogger, defineAddress, defineInteger, defineText, LifecycleManager, makeOptional, parseSettingsOrExit, readMonotonicMs, TimelineWriter,
} from '@sequoiatally/runtime';
import {createEngineApp, Engine} from '../lib/engine.js';
import {recordRequests} from '../lib/record-requests.js';
import {serveApp} from '../lib/serve.js';

const settings = parseSettingsOrExit(new Command('sequoiatally-stand-in-engine').description('Stand-in for a model engine.'), {
	address: defineAddress({flag: 'address', description: 'Address to listen on', defaultText: '127.0.0.1:7200'}),
	id: defineText({flag: 'id', description: 'Name of the target', defaultText: 'engine'}),
	cachedChats: defineInteger(1, 1_000_000, {flag: 'cached-chats', description: 'Number of chats whose prefix is cached', defaultText: '200'}),
	tokenMs: defineInteger(0, 10_000, {flag: 'token-ms', description: 'Milliseconds between two tokens of a stream', defaultText: '5'}),
	warmPrefillMs: defineInteger(0, 60_000, {flag: 'warm-prefill-ms', description: 'Milliseconds to the first token with a cached prefix', defaultText: '10'}),
	coldPrefillMs: defineInteger(0, 60_000, {flag: 'cold-prefill-ms', description: 'Milliseconds to the first token without a cached prefix', defaultText: '60'}),
	warmAfterMs: defineInteger(0, 600_000, {flag: 'warm-after-ms', description: 'Milliseconds after a start until the engine is warm', defaultText: '2000'}),
	coldSlots: defineInteger(1, 10_000, {flag: 'cold-slots', description: 'Concurrency limit while cold', defaultText: '2'}),
	slots: defineInteger(1, 10_000, {flag: 'slots', description: 'Concurrency limit when warm', defaultText: '32'}),
	timelinePath: makeOptional(defineText({flag: 'timeline-path', description: 'File or pipe to which timeline entries are appended'})),
});

const logger = createLogger(`stand-in-engine-${settings.id}`, 'info');
const lifecycle = new LifecycleManager(logger);
const engine = new Engine({...settings, bootId: randomUUID()}, readMonotonicMs());
const timeline = new TimelineWriter({
	process: 'engine', instanceId: settings.id, incarnation: randomUUID(),
}, settings.timelinePath);
lifecycle.own('time line', async () => timeline.close());
await serveApp(recordRequests(createEngineApp(engine, readMonotonicMs), timeline), settings.address, lifecycle);
lifecycle.handleSignals(async () => lifecycle.closeAll());
logger.info({event: 'listening', ...settings.address});
