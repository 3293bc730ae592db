/**
 * Tests which prompt parts are quarantined because of crashes, and for how long.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {effectKind, eventKind, sendOutcome} from '../index.js';
import type {FleetView} from '../lib/targets/target-limits.js';
import {CrashQuarantine, createRequestSuspectId} from '../lib/quarantine/crash-quarantine.js';
import {
	createRoute, createTargetChange, createTargetRecord, GatewayFixture, onceRoute, repeatableRoute,
} from './gateway-fixture.js';

const start = 1_000_000;
const alone: FleetView = {selfHash: 1, memberHashes: [1], size: 1};

/** A quarantine of an instance that has served other prompts. */
function createQuarantine(): CrashQuarantine {
	const quarantine = new CrashQuarantine();
	for (let index = 0; index < 40; index++) {
		quarantine.recordBegun([`other-${index}`], start - 1000);
	}

	return quarantine;
}

/** Crashes one target a second under requests with these parts; returns the time of the last crash. */
function recordCrashes(quarantine: CrashQuarantine, partIds: readonly string[], count: number, from = start): number {
	let at = from;
	for (let index = 0; index < count; index++) {
		at = from + (index * 1000);
		quarantine.recordCrash({partIds, at}, {id: `engine-${at}`, bornAt: 1}, at);
		quarantine.update(at);
	}

	return at;
}

test('a part is quarantined after two crashes without a response, one that had been served before after three', () => {
	for (const [servedBefore, limit] of [[false, 2], [true, 3]] as const) {
		const quarantine = createQuarantine();
		if (servedBefore) {
			quarantine.recordBegun(['bad'], start - 5000);
		}

		recordCrashes(quarantine, ['bad'], limit - 1);
		assert.equal(quarantine.findQuarantine(['bad']), undefined);
		recordCrashes(quarantine, ['bad'], 1, start + 4000);
		assert.deepEqual(quarantine.findQuarantine(['x', 'bad'])?.partIds, ['bad']);
		assert.equal(quarantine.findQuarantine(['x']), undefined);
	}
});

test('a part that was present at all crashes stays in use if responses to other requests with it begin', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 6; index++) {
		const at = start + (index * 1000);
		quarantine.recordCrash({partIds: ['shared', 'bad'], at}, {id: `engine-${index}`, bornAt: 1}, at);
		quarantine.recordBegun(['shared', 'chat'], at + 100);
		quarantine.update(at + 100);
	}

	assert.deepEqual(quarantine.findQuarantine(['shared', 'bad'])?.partIds, ['bad']);
	assert.equal(quarantine.findQuarantine(['shared', 'chat']), undefined);
});

test('of two parts that were present at the same crashes, the one is spared that responses had begun for before', () => {
	const quarantine = createQuarantine();
	quarantine.recordBegun(['shared'], start - 5000);
	recordCrashes(quarantine, ['shared', 'bad'], 3);
	assert.deepEqual(quarantine.findQuarantine(['shared', 'bad'])?.partIds, ['bad']);
	assert.equal(quarantine.findQuarantine(['shared', 'chat']), undefined);
});

test('parts that cannot be told apart are withheld only together, until one of them is cleared or crashes alone', () => {
	for (const settle of ['cleared', 'crashes'] as const) {
		const quarantine = createQuarantine();
		const at = recordCrashes(quarantine, ['new', 'bad'], 3);
		assert.notEqual(quarantine.findQuarantine(['new', 'bad']), undefined);
		assert.equal(quarantine.findQuarantine(['new']), undefined);
		assert.equal(quarantine.findQuarantine(['bad']), undefined);
		if (settle === 'cleared') {
			quarantine.recordBegun(['new'], at + 1000);
			quarantine.update(at + 1000);
		} else {
			recordCrashes(quarantine, ['bad'], 1, at + 1000);
		}

		assert.deepEqual(quarantine.findQuarantine(['bad'])?.partIds, ['bad'], settle);
		assert.equal(quarantine.findQuarantine(['new']), undefined, settle);
	}
});

test('half of a pool that crashes at once quarantines no part (rack, kill of all targets)', () => {
	const quarantine = createQuarantine();
	for (let index = 0; index < 20; index++) {
		const at = start + (index * 10);
		quarantine.recordCrash({partIds: ['hot', `chat-${index}`], at}, {id: `engine-${index}`, bornAt: 1}, at);
		quarantine.update(at);
	}

	assert.equal(quarantine.size, 0);
});

test('when crashes cost many requests, more of them are needed to quarantine a part, and without any response none is quarantined', () => {
	const busy = createQuarantine();
	for (let index = 0; index < 30; index++) {
		busy.recordCrash({partIds: [`chat-${index}`], at: start}, {id: `engine-${index}`, bornAt: 1}, start);
	}

	busy.recordBegun(['unlucky'], start - 5000);
	recordCrashes(busy, ['unlucky'], 4);
	assert.equal(busy.findQuarantine(['unlucky']), undefined);
	const failing = new CrashQuarantine();
	failing.recordCrash({partIds: ['other'], at: start}, {id: 'engine-other', bornAt: 1}, start);
	recordCrashes(failing, ['hot'], 8);
	assert.equal(failing.size, 0);
});

test('an instance without requests of its own quarantines a part by what its peers report', () => {
	const quarantine = new CrashQuarantine();
	quarantine.applyShared([{partId: 'bad', crashes: [1, 2].map(bornAt => ({targetId: 'engine-1', bornAt, ageMs: bornAt * 1000}))}], start, start);
	quarantine.update(start);
	assert.notEqual(quarantine.findQuarantine(['bad']), undefined);
});

test('crashes beyond the number that is kept are not new when peers report them again', () => {
	const [first, second] = [createQuarantine(), createQuarantine()];
	const now = recordCrashes(first, ['bad'], 20) + 100;
	recordCrashes(second, ['bad'], 20, start + 300);
	for (const [from, to] of [[first, second], [second, first], [first, second]] as const) {
		to.applyShared(from.describe(now), now, now);
	}

	assert.equal(first.applyShared(second.describe(now), now, now), false);
	assert.equal(second.applyShared(first.describe(now), now, now), false);
});

test('a crash that several instances report counts once, and a restart under the same id is another process', () => {
	const quarantine = createQuarantine();
	const report = (bornAt: number, ageMs: number) => [{partId: 'bad', crashes: [{targetId: 'engine-1', bornAt, ageMs}]}];
	for (const ageMs of [0, 500, 1000, 1500]) {
		quarantine.applyShared(report(1, ageMs), start, start);
	}

	quarantine.update(start);
	assert.equal(quarantine.size, 0);
	assert.equal(quarantine.applyShared(report(2, 4000), start, start), true);
	assert.equal(quarantine.applyShared(report(3, 8000), start, start), true);
	assert.equal(quarantine.applyShared(report(3, 8000), start, start), false);
	quarantine.update(start);
	assert.equal(quarantine.size, 1);
});

// Guards against an instance that takes two crashes for one, because it heard of the first one late (BUDGET).
test('a request that crashed a second target after the first is quarantined by instances that hear of the crashes in messages of different delay', () => {
	const request = createRequestSuspectId('deadly');
	const witness = createQuarantine();
	const peer = createQuarantine();
	witness.recordCrash({partIds: [request], at: start, sentAt: start - 50}, {id: 'engine-1', bornAt: 1}, start);
	peer.applyShared(witness.describe(start), start + 60, start + 60);
	peer.update(start + 60);
	// Sent again as soon as the first target was lost.
	witness.recordCrash({partIds: [request], at: start + 70, sentAt: start}, {id: 'engine-2', bornAt: 1}, start + 70);
	peer.applyShared(witness.describe(start + 100), start + 101, start + 101);
	for (const quarantine of [witness, peer]) {
		quarantine.update(start + 1000);
		assert.notEqual(quarantine.findQuarantine([request]), undefined);
	}
});

test('instances that exchange suspects come to the same result in any order, also one that starts later', () => {
	const [first, second, late] = [createQuarantine(), createQuarantine(), createQuarantine()];
	for (const [index, quarantine] of [first, second, first].entries()) {
		const at = start + (index * 1000);
		quarantine.recordCrash({partIds: ['shared', 'bad'], at}, {id: `engine-${index}`, bornAt: 1}, at);
	}

	second.recordBegun(['shared'], start + 2100);
	const now = start + 2200;
	for (const [from, to] of [[first, second], [second, first], [second, late]] as const) {
		to.applyShared(from.describe(now), now, now);
	}

	for (const quarantine of [first, second, late]) {
		quarantine.update(now);
		assert.deepEqual(quarantine.findQuarantine(['shared', 'bad'])?.partIds, ['bad']);
	}
});

test('one request tries a quarantined part after a while; a response releases the part everywhere, a crash doubles the time', () => {
	const quarantine = createQuarantine();
	const peer = createQuarantine();
	const crashedAt = recordCrashes(quarantine, ['bad'], 2);
	peer.applyShared(quarantine.describe(crashedAt), crashedAt, crashedAt);
	peer.update(crashedAt);
	const quarantined = quarantine.findQuarantine(['bad'])!;
	const dueAt = crashedAt + 30_000;
	assert.equal(quarantined.until, dueAt);
	assert.equal(quarantine.claimTrial(quarantined, alone, dueAt - 1), false);
	assert.equal(quarantine.claimTrial(quarantined, alone, dueAt), true);
	assert.equal(quarantine.claimTrial(quarantined, alone, dueAt + 1), false);

	quarantine.recordBegun(['other'], dueAt);
	quarantine.recordCrash({partIds: ['bad'], at: dueAt + 100}, {id: 'engine-again', bornAt: 1}, dueAt + 100);
	quarantine.update(dueAt + 100);
	const again = quarantine.findQuarantine(['bad'])!;
	assert.equal(again.until, dueAt + 100 + 60_000);
	assert.equal(quarantine.claimTrial(again, alone, again.until), true);
	quarantine.recordBegun(['bad'], again.until + 100);
	assert.equal(quarantine.update(again.until + 100).released.length, 1);
	peer.applyShared(quarantine.describe(again.until + 200), again.until + 200, again.until + 200);
	peer.update(again.until + 500);
	assert.equal(peer.size, 0);
});

test('few instances of a large fleet may try a part at once, and all of them after some time', () => {
	const memberHashes = Array.from({length: 195}, (_, index) => Math.imul(index + 1, 0x9E_37_79_B1) >>> 0); // eslint-disable-line no-bitwise
	const countTrials = (overdueMs: number) => memberHashes.filter(selfHash => {
		const quarantine = createQuarantine();
		recordCrashes(quarantine, ['bad'], 3);
		const quarantined = quarantine.findQuarantine(['bad'])!;
		return quarantine.claimTrial(quarantined, {selfHash, memberHashes, size: 195}, quarantined.until + overdueMs);
	}).length;
	assert.equal(countTrials(0), 1);
	assert.equal(countTrials(2000), 2);
	assert.equal(countTrials(16_000), 195);
});

test('suspects are bounded under many forged parts, and a quarantined part outlasts them', () => {
	const quarantine = createQuarantine();
	const at = recordCrashes(quarantine, ['bad'], 3);
	for (let index = 0; index < 2000; index++) {
		quarantine.recordCrash({partIds: [`forged-${index}`], at}, {id: 'engine-x', bornAt: 1}, at);
	}

	quarantine.update(at + 300);
	assert.notEqual(quarantine.findQuarantine(['bad']), undefined);
	assert.ok(quarantine.describe(at).length <= 16);
	assert.ok(quarantine.describe(at).some(({partId}) => partId === 'bad'));
});

const prompt = ['shared', 'bad', 'turn'];

/** Sends requests whose responses are lost, each at another target; a check then finds a process there or not. */
function loseResponses(gateway: GatewayFixture, count: number, isListening: boolean | undefined): void {
	for (let index = 0; index < count; index++) {
		gateway.receiveRequest(createRoute(), {prompt: ['shared', `chat-${index}`, 'turn']});
		const sound = gateway.takeLastSend();
		gateway.handle({kind: eventKind.answerStarted, openId: sound.openId, sendId: sound.sendId});
		gateway.receiveRequest(createRoute(), {prompt});
		const {openId, sendId} = gateway.takeLastSend();
		gateway.handle({
			kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.lost, detail: 'test',
		});
		const check = gateway.effects.find(effect => effect.kind === effectKind.checkTarget);
		assert.ok(check, 'the target is checked');
		gateway.handle({
			...check, kind: eventKind.targetChecked, startedAt: gateway.now, isListening,
		});
		// The target starts again under its id.
		const revision = gateway.state.directory.revision + 1;
		gateway.applyChanges(revision, [createTargetChange(revision, createTargetRecord(check.targetId, {bornAt: revision}))]);
		gateway.effects = [];
		gateway.advance(200);
		// A crash counts once another target is reached.
		for (const {targetId} of gateway.effects.filter(effect => effect.kind === effectKind.checkTarget)) {
			gateway.handle({
				kind: eventKind.targetChecked, startedAt: gateway.now, targetId, isListening: true,
			});
		}

		gateway.advance(800);
	}
}

const engines = Array.from({length: 12}, (_, index) => `engine-${index}`);

test('a request with a quarantined part is refused at once with a true and long retry delay, and sound ones are served', () => {
	const gateway = new GatewayFixture().loadDirectory(engines);
	loseResponses(gateway, 2, false);
	gateway.receiveRequest(createRoute(), {prompt});
	assert.deepEqual(gateway.listSends(), []);
	const refusal = gateway.effects.find(effect => effect.kind === effectKind.refuse);
	assert.equal(refusal?.failure.status, 503);
	assert.equal(refusal.failure.reason, 'prompt-quarantined');
	assert.ok(refusal.failure.retryAfterMs! > 25_000);
	gateway.receiveRequest(createRoute(), {prompt: ['shared', 'chat', 'turn']});
	assert.equal(gateway.listSends().length, 1);
});

test('responses that are lost while their targets still listen, or do not respond to a check, quarantine no part (broken streams, resets, frozen targets)', () => {
	for (const isListening of [true, undefined]) {
		const gateway = new GatewayFixture().loadDirectory(engines);
		loseResponses(gateway, 6, isListening);
		gateway.receiveRequest(createRoute(), {prompt});
		assert.equal(gateway.listSends().length, 1);
	}
});

test('a crash in the middle of a response quarantines no part', () => {
	const gateway = new GatewayFixture().loadDirectory(engines);
	const openId = gateway.receiveRequest(createRoute(), {prompt});
	const {sendId} = gateway.takeLastSend();
	gateway.handle({kind: eventKind.answerStarted, openId, sendId});
	gateway.handle({
		kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.interrupted, detail: 'test',
	});
	assert.ok(!gateway.effects.some(effect => effect.kind === effectKind.checkTarget));
});

// Guards against a request that ends a whole small pool at once and is not counted, because no target is left to prove the path (BUDGET).
test('crashes count although they leave no target of the pool, if no peer reaches it either', () => {
	for (const isReachedByPeer of [false, true]) {
		const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3']);
		gateway.advance(100);
		gateway.receiveRequest(repeatableRoute, {fingerprint: 'deadly'});
		for (const run of [1, 2]) {
			const {openId, sendId, targetId} = gateway.takeLastSend();
			gateway.advance(100);
			gateway.handle({
				kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.lost, detail: `run ${run}`,
			});
			gateway.handle({
				kind: eventKind.targetChecked, startedAt: gateway.now, targetId, isListening: false,
			});
		}

		const peer = new GatewayFixture('gateway-2');
		for (let round = 0; round < 16; round++) {
			gateway.effects = [];
			gateway.advance(125);
			for (const effect of gateway.effects) {
				if (effect.kind === effectKind.checkTarget) {
					gateway.handle({
						kind: eventKind.targetChecked, startedAt: gateway.now, targetId: effect.targetId, isListening: false,
					});
				}
			}

			gateway.handle({kind: eventKind.peerCalled, callId: round, message: {...peer.createPeerAnswer(), services: isReachedByPeer ? [{pool: 'desk', ageMs: 0}] : []}});
		}

		assert.equal(gateway.state.quarantine.size, isReachedByPeer ? 0 : 1);
	}
});

// Guards against a crash that is not counted because the instance was paused while it looked for the proof (BUDGET).
test('crashes count although the instance is paused before the result of the check, or before the proof that it reaches other targets (freeze)', () => {
	for (const isPausedAfterRefusal of [true, false]) {
		const gateway = new GatewayFixture().loadDirectory(['desk-1', 'desk-2', 'desk-3', 'desk-4']);
		const crashedIds = new Set<string>();
		const advanceAndAnswerChecks = (rounds: number) => {
			for (let round = 0; round < rounds; round++) {
				gateway.advance(100);
				const checks = gateway.effects.filter(effect => effect.kind === effectKind.checkTarget);
				gateway.effects = [];
				for (const {targetId} of checks) {
					gateway.handle({
						kind: eventKind.targetChecked, startedAt: gateway.now, targetId, isListening: !crashedIds.has(targetId),
					});
				}
			}
		};

		for (let run = 0; run < 2; run++) {
			advanceAndAnswerChecks(1);
			gateway.receiveRequest(onceRoute, {fingerprint: 'deadly'});
			const {openId, sendId, targetId} = gateway.takeLastSend();
			crashedIds.add(targetId);
			gateway.handle({
				kind: eventKind.sendEnded, openId, sendId, outcome: sendOutcome.lost, detail: 'test',
			});
			gateway.effects = [];
			if (isPausedAfterRefusal) {
				gateway.handle({
					kind: eventKind.targetChecked, startedAt: gateway.now, targetId, isListening: false,
				});
				gateway.now += 900;
			} else {
				gateway.now += 900;
				gateway.handle({
					kind: eventKind.targetChecked, startedAt: gateway.now, targetId, isListening: undefined,
				});
			}

			advanceAndAnswerChecks(8);
		}

		assert.equal(gateway.state.quarantine.size, 1, isPausedAfterRefusal ? 'paused after the refusal' : 'paused before the result');
	}
});
