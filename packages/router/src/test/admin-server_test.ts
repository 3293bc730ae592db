/**
 * Administration API: authentication, the responses of each route, and typed
 * errors for invalid input.
 */
import assert from 'node:assert/strict';
import {readFile} from 'node:fs/promises';
import {beforeEach, test} from 'node:test';
import {
	createNotRunRefusal, createState, eventKind, parseConfiguration, refusalReason, RendezvousChoice, type Effect, type Event,
} from '@sequoiatally/core';
import {
	TimelineWriter, type LogFields, type Logger,
} from '@sequoiatally/runtime';
import fc from 'fast-check';
import {adminRoutes} from '../lib/admin/admin-routes.js';
import {createOpenApi} from '../lib/admin/create-openapi.js';
import {AlarmMonitor} from '../lib/alarm-monitor.js';
import {createAdminApp, type AdminDependencies} from '../lib/admin-server.js';
import {Metrics} from '../lib/metrics.js';
import {RecentRefusals} from '../lib/recent-refusals.js';
import {Runner, type EffectHandler} from '../lib/runner.js';

const keyDigest = 'ab'.repeat(32);
const token = 'amina-token-0123456789';
/** Present time for all decisions; advances only when a test sets it. */
let clockMs = 60_000;
const readClock = () => clockMs;
const tokens = [{name: 'amina', token}, {name: 'ci', token: 'ci-token-0123456789abc'}];

/** Creates a handler that records effects of all kinds and executes none. */
function createRecordingHandler(recorded: Effect[]): EffectHandler {
	const ignore = () => {/* No effect is executed. */};
	const observe = (effect: Effect) => {
		recorded.push(effect);
	};

	return new Proxy({}, {get: (_, name) => name === 'observe' ? observe : ignore}) as EffectHandler;
}

/** The fields of all routes' responses that the tests check. */
type AnswerBody = {
	readonly error: {readonly type: string};
	readonly refusal: {readonly reason: string};
	readonly account: {readonly name: string};
	readonly chosenTargetId?: string;
	readonly targets: ReadonlyArray<{readonly targetId: string; readonly standing: string}>;
};
type Answer = {readonly status: number; readonly body: AnswerBody};

let dependencies: AdminDependencies;
let effects: Effect[];
let loggedFields: LogFields[];

beforeEach(async () => {
	loggedFields = [];
	effects = [];
	const log = (fields: LogFields) => {
		loggedFields.push(fields);
	};

	const logger: Logger = {
		trace: log, debug: log, info: log, warn: log, error: log,
	};
	const timeline = new TimelineWriter({process: 'router', instanceId: 'router-1', incarnation: 'i1'});
	const self = {
		instanceId: 'router-1', incarnation: 'i1', zone: 'zone-a', startedAt: 0,
	};
	const runner = new Runner(createState(self, {targetChoice: new RendezvousChoice()}), readClock);
	runner.setEffectHandler(createRecordingHandler(effects));
	const alarms = new AlarmMonitor(logger, () => {/* The tests do not check timeline entries of alarms. */});
	dependencies = {
		runner, timeline, alarms, logger, tokens, refusals: new RecentRefusals(), metrics: new Metrics(runner, alarms),
	};
	await applyDocuments();
	// Skips the start-up phase, in which an instance waits seconds for its peers.
	runner.state.membership.mayServe = true;
	runner.state.membership.history.hasJoined = true;
	handle({kind: eventKind.tick});
});

async function applyDocuments(): Promise<void> {
	const text = JSON.stringify({
		version: 3,
		fleet: {ceiling: 2},
		routes: [{
			name: 'chat', kind: 'model', path: '/chat', model: 'm', pool: 'engines', repeatable: true,
		}],
		pools: [{name: 'engines'}],
		accounts: [{
			name: 'ladders', rate: 100, burst: 100, keyDigests: [keyDigest],
		}],
		drainedZones: ['zone-b'],
	});
	const currentAt = readClock();
	const source = {revision: 1};
	handle({
		kind: eventKind.configurationRead, configuration: parseConfiguration(text).unwrap(), text, currentAt, source,
	});
	const target = (id: string, zone: string) => ({
		id, pool: 'engines', address: `127.0.0.1:1${id.length}`, zone, state: 'live' as const, since: 0,
	});
	handle({
		kind: eventKind.listRead, currentAt, source, list: {
			asOf: 1,
			instances: [{
				id: 'router-1', peerAddress: '127.0.0.1:1', zone: 'zone-a', state: 'live', since: 0,
			}],
			targets: [target('engine-1', 'zone-a'), target('engine-2', 'zone-b'), target('engine-33', 'zone-a')],
		},
	});
}

function handle(event: Event): void {
	dependencies.runner.handle(event);
}

async function call(method: string, path: string, {body, authorization = `Bearer ${token}`}: {body?: string; authorization?: string} = {}): Promise<Answer> {
	const response = await createAdminApp(dependencies).request(path, {method, headers: {authorization}, body});
	const text = await response.text();
	return {status: response.status, body: JSON.parse(text) as AnswerBody};
}

function fillPath(path: string): string {
	return path.replaceAll(/{\w+}/g, 'r1');
}

test('every route requires a token, and every configured token is accepted', async () => {
	for (const {method, path} of Object.values(adminRoutes)) {
		for (const authorization of ['', token, 'Basic x', 'Bearer wrong', `bearer ${token}`, `Bearer ${token}x`]) {
			const {status, body} = await call(method.toUpperCase(), fillPath(path), {authorization});
			assert.deepEqual([status, body.error.type], [401, 'unauthorized'], `${path} with "${authorization}"`);
		}
	}

	for (const known of tokens) {
		const answer = await call('GET', '/v1/status', {authorization: `Bearer ${known.token}`});
		assert.equal(answer.status, 200);
	}
});

test('each response matches its published schema', async () => {
	dependencies.timeline.write({kind: 'request-received', cause: 'r1', requestId: 'r1'});
	dependencies.refusals.record('r2', createNotRunRefusal(refusalReason.rateExceeded, 'Too many.', 1000), 1);
	for (const {method, path, response, ...route} of Object.values(adminRoutes)) {
		const body = 'body' in route
			? JSON.stringify({
				path: '/chat', chatId: 'c1', model: 'm', account: 'ladders',
			})
			: undefined;
		const answer = await call(method.toUpperCase(), fillPath(path), {body});
		assert.equal(answer.status, 200, path);
		const parsed = response.safeParse(answer.body);
		assert.ok(parsed.success, `${path}: ${parsed.error?.message}`);
	}
});

test('the committed OpenAPI document is current, and exactly its paths are served', async () => {
	const committed = JSON.parse(await readFile(new URL('../../../../docs/openapi.json', import.meta.url), 'utf8')) as {paths: Record<string, Record<string, unknown>>};
	assert.deepEqual(committed, createOpenApi(), 'run "npm run generate:docs"');
	const served = createAdminApp(dependencies).routes
		.filter(({path}) => !path.endsWith('*'))
		.map(({method, path}) => `${method} ${path.replaceAll(/:(\w+)/g, '{$1}')}`);
	const published = Object.entries(committed.paths).flatMap(([path, methods]) => Object.keys(methods).map(method => `${method.toUpperCase()} ${path}`));
	assert.deepEqual(served.toSorted(), published.toSorted());
});

test('explain names the chosen target and why each other target is not chosen', async () => {
	const body = JSON.stringify({
		path: '/chat', model: 'm', chatId: 'c1', account: 'ladders',
	});
	const {body: choice} = await call('POST', '/v1/explain', {body});
	assert.equal(choice.account.name, 'ladders');
	const standings = Object.fromEntries(choice.targets.map(({targetId, standing}) => [targetId, standing]));
	assert.equal(standings['engine-2'], 'zone-drained');
	assert.deepEqual(Object.values(standings).toSorted(), ['chosen', 'later', 'zone-drained']);
	assert.equal(dependencies.runner.state.requests.pending.size, 0, 'the dry run leaves no request open');
	const refused = await call('POST', '/v1/explain', {body: JSON.stringify({path: '/chat', model: 'm', chatId: 'c1'})});
	assert.equal(refused.body.refusal.reason, 'key-missing');
});

/** Describes all state that a choice of target can change. */
function describeChoiceState(): string {
	const {targets: {targets, movedChats, placements}, allowances} = dependencies.runner.state;
	return JSON.stringify([[...targets], [...movedChats], [...placements], listEntries(allowances)]);
}

function listEntries(maps: Readonly<Record<string, unknown>>): Record<string, unknown> {
	return Object.fromEntries(Object.entries(maps).map(([name, value]) => [name, value instanceof Map ? [...value] : value]));
}

test('explain chooses the target that an actual request is sent to, and changes no state', async () => {
	const {state} = dependencies.runner;
	const chatKeys = fc.array(fc.constantFrom('c1', 'c2', 'c3', 'c4', 'c5', 'c6'), {minLength: 1, maxLength: 6});
	let overflowCount = 0;
	await fc.assert(fc.asyncProperty(chatKeys, async chatIds => {
		for (const [index, chatId] of chatIds.entries()) {
			// Enough for an unanswered probe of a target to time out.
			clockMs += 200;
			const before = describeChoiceState();
			const body = JSON.stringify({
				path: '/chat', model: 'm', chatId, account: 'ladders',
			});
			const {body: choice} = await call('POST', '/v1/explain', {body});
			assert.equal(describeChoiceState(), before);
			// Refills the bucket, because rate limits are not under test.
			state.allowances.buckets.get('ladders')!.tokens = 10;
			effects.length = 0;
			handle({
				kind: eventKind.requestArrived, requestId: `r${index}`, method: 'POST', path: '/chat', model: 'm', keyDigest, chatKey: chatId, priority: 0,
			});
			const sent = effects.find(effect => effect.kind === 'dispatch');
			assert.equal(choice.chosenTargetId, sent?.targetId);
			overflowCount += Number(sent !== undefined && choice.targets[0]?.targetId !== sent.targetId);
		}

		for (const [index] of chatIds.entries()) {
			handle({kind: eventKind.callerLeft, requestId: `r${index}`});
		}
	}), {seed: 62, numRuns: 100});
	assert.ok(overflowCount > 0, 'some chats overflowed to a target other than their first one');
});

test('drain and undrain are logged with the operator\'s name and change readiness', async () => {
	const app = createAdminApp(dependencies);
	const readStatus = async () => {
		const {status} = await app.request('/readyz');
		return status;
	};

	assert.equal(await readStatus(), 200);
	const drained = await call('POST', '/v1/drain');
	assert.deepEqual([drained.body, await readStatus()], [{isDraining: true, openRequests: 0}, 503]);
	assert.ok(!effects.some(({kind}) => kind === 'finish-drain'), 'the process keeps running');
	const undrained = await call('POST', '/v1/undrain');
	assert.deepEqual([undrained.body, await readStatus()], [{isDraining: false, openRequests: 0}, 200]);
	assert.deepEqual(loggedFields.filter(({action}) => action !== undefined).map(({operator, action}) => [operator, action]), [['amina', 'drain'], ['amina', 'undrain']]);
	assert.ok(dependencies.timeline.listRecent().some(({kind, detail}) => kind === 'administrator-acted' && detail === 'amina: drain'));
});

test('a process that is shutting down cannot be undrained', async () => {
	handle({kind: eventKind.drainRequested, by: 'signal'});
	const {status, body} = await call('POST', '/v1/undrain');
	assert.deepEqual([status, body.error.type], [409, 'shutting-down']);
});

test('a signal shuts down a process that an operator has drained', async () => {
	await call('POST', '/v1/drain');
	handle({kind: eventKind.drainRequested, by: 'signal'});
	assert.ok(effects.some(({kind}) => kind === 'finish-drain'));
});

test('no response contains a key digest', async () => {
	for (const {method, path} of Object.values(adminRoutes)) {
		const {body} = await call(method.toUpperCase(), fillPath(path), method === 'post' ? {body: '{"path":"/chat","chatId":"c"}'} : {});
		assert.ok(!JSON.stringify(body).includes(keyDigest), path);
	}
});

test('an alarm is logged once when it is raised and once when it is cleared', () => {
	const {runner, alarms} = dependencies;
	const now = readClock();
	alarms.update(runner.state, now);
	alarms.update(runner.state, now + 20_000);
	alarms.update(runner.state, now + 21_000);
	runner.state.tables.currentAt = now + 21_000;
	alarms.update(runner.state, now + 22_000);
	const reportedEvents = loggedFields.filter(({alarm}) => alarm === 'configuration-stale').map(({event}) => event);
	assert.deepEqual(reportedEvents, ['alarm-raised', 'alarm-cleared']);
});

test('a body that is too large is rejected with a typed error', async () => {
	const {status, body} = await call('POST', '/v1/explain', {body: JSON.stringify({path: '/chat', chatId: 'c', filler: 'x'.repeat(70_000)})});
	assert.deepEqual([status, body.error.type], [400, 'bad-input']);
});

test('any input gets a response or a typed error and leaves the state unchanged', async () => {
	const {state} = dependencies.runner;
	const arbitraryBody = fc.record({path: fc.jsonValue(), chatId: fc.jsonValue(), priority: fc.jsonValue()}).map(value => JSON.stringify(value));
	const input = fc.record({
		path: fc.constantFrom(...Object.values(adminRoutes).filter(({path}) => !path.includes('drain')).map(({path}) => path), '/v1/', '/v1/none', '/'),
		method: fc.constantFrom('GET', 'POST', 'PUT', 'DELETE'),
		parameter: fc.string({minLength: 1}),
		query: fc.dictionary(fc.constantFrom('limit', 'sinceMs', 'pool', 'account', 'x', '__proto__'), fc.string()),
		body: fc.oneof(fc.string(), fc.json(), arbitraryBody),
	});
	await fc.assert(fc.asyncProperty(input, async ({
		path, method, parameter, query, body,
	}) => {
		const target = `${path.replaceAll(/{\w+}/g, encodeURIComponent(parameter))}?${new URLSearchParams(query).toString()}`;
		const answer = await call(method, target, method === 'GET' ? {} : {body});
		assert.ok(answer.status === 200 || typeof answer.body.error.type === 'string', `${method} ${target}: ${answer.status}`);
		assert.ok(answer.status < 500, `${method} ${target}: ${answer.status}`);
		assert.deepEqual([state.requests.pending.size, state.membership.isDraining], [0, false]);
	}), {seed: 63, numRuns: 500});
});
