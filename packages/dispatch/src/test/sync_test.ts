/**
 * Checks in virtual time that every instance that can reach the platform knows each
 * change within the time that the deployment requires, whatever fails beside it.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {effectKind, eventKind, type CallPeerEffect} from '../index.js';
import {createFleet} from './fleet-fixture.js';
import {
	createRandom, createTargetChange, createTargetRecord, type GatewayFixture,
} from './gateway-fixture.js';

const stepMs = 25;
/** Time limit of a call to a peer, and the largest pause between two failed reads of the platform, in milliseconds. */
const callTimeoutMs = 800;
const readBackoffMs = 300;
/** Duration of one read of the platform, in milliseconds. */
const readMs = 25;

type Scenario = {
	readonly size: number;
	readonly changeLimitMs: number;
	/** Fraction of the calls between instances that are lost. */
	readonly lossRatio: number;
	/** Fraction of the watchers that are killed shortly before the change. */
	readonly killedWatchers: number;
	/** Fraction of the instances that stand still for a time before the change. */
	readonly pausedRatio: number;
	/** Time of the change after the kill, in milliseconds. */
	readonly changeAfterMs: number;
	readonly seed: number;
};

/** A fleet before a platform that answers every read. */
class SimulatedFleet {
	readonly gateways: Map<string, GatewayFixture>;
	now = 0;
	revision = 1;
	readonly #random: () => number;
	readonly #lossRatio: number;
	readonly #nextReadAt = new Map<GatewayFixture, number>();
	readonly #pausedUntil = new Map<GatewayFixture, number>();
	#pendingFailures: Array<{readonly at: number; readonly caller: GatewayFixture; readonly address: string}> = [];

	constructor({size, changeLimitMs, lossRatio, seed}: Scenario) {
		this.gateways = createFleet(size, changeLimitMs);
		this.#random = createRandom(seed + 1);
		this.#lossRatio = lossRatio;
		for (const gateway of this.gateways.values()) {
			gateway.loadDirectory(['desk-1', 'desk-2']);
		}
	}

	advance(durationMs: number, onStep?: () => void): void {
		for (const end = this.now + durationMs; this.now < end;) {
			this.now += stepMs;
			for (const gateway of this.gateways.values()) {
				gateway.now += stepMs;
				if (this.now < (this.#pausedUntil.get(gateway) ?? 0)) {
					continue;
				}

				this.#read(gateway);
				gateway.handle({kind: eventKind.tick});
			}

			this.#exchange();
			onStep?.();
		}
	}

	pause(gateway: GatewayFixture, durationMs: number): void {
		this.#pausedUntil.set(gateway, this.now + durationMs);
	}

	#read(gateway: GatewayFixture): void {
		const {isWatching, timing, directory} = gateway.state;
		if (!isWatching) {
			this.#nextReadAt.delete(gateway);
			return;
		}

		const nextReadAt = this.#nextReadAt.get(gateway) ?? this.now + readMs;
		this.#nextReadAt.set(gateway, nextReadAt);
		if (this.now < nextReadAt) {
			return;
		}

		const isLost = this.#random() < this.#lossRatio / 2;
		this.#nextReadAt.set(gateway, this.now + (isLost ? readBackoffMs : timing.watchPauseMs) + readMs);
		if (isLost) {
			gateway.handle({kind: eventKind.directoryLost, detail: 'no response'});
		} else {
			const changes = this.revision > directory.revision && this.revision > 1 ? [createTargetChange(this.revision, createTargetRecord('desk-1', {isLeaving: true}))] : [];
			gateway.handle({
				kind: eventKind.directoryRead, update: {revision: this.revision, since: directory.revision, changes}, confirmedAt: gateway.now - readMs,
			});
		}
	}

	#exchange(): void {
		for (const caller of this.gateways.values()) {
			const calls = caller.effects.filter((effect): effect is CallPeerEffect => effect.kind === effectKind.callPeer);
			caller.effects = [];
			for (const {address, message} of calls) {
				const callee = this.gateways.get(address);
				const isLost = callee === undefined || this.now < (this.#pausedUntil.get(callee) ?? 0) || this.#random() < this.#lossRatio;
				if (isLost) {
					this.#pendingFailures.push({at: this.now + callTimeoutMs, caller, address});
					continue;
				}

				const answer = callee.handle({kind: eventKind.peerCalled, callId: 1, message}).find(effect => effect.kind === effectKind.answerPeer);
				callee.effects = callee.effects.filter(effect => effect.kind === effectKind.callPeer);
				caller.handle({
					kind: eventKind.peerAnswered, address, message: answer!.message, requestedAt: caller.now,
				});
			}
		}

		for (const {caller, address} of this.#pendingFailures.filter(({at}) => at <= this.now)) {
			caller.handle({kind: eventKind.peerFailed, address, detail: 'no response'});
		}

		this.#pendingFailures = this.#pendingFailures.filter(({at}) => at > this.now);
	}
}

const scenario: fc.Arbitrary<Scenario> = fc.record({
	size: fc.integer({min: 2, max: 30}),
	changeLimitMs: fc.constantFrom(2000, 3000, 4000),
	lossRatio: fc.constantFrom(0, 0.05, 0.2),
	killedWatchers: fc.constantFrom(0, 0.5, 1),
	pausedRatio: fc.constantFrom(0, 0.3),
	changeAfterMs: fc.integer({min: 0, max: 3000}),
	seed: fc.integer({min: 0, max: 10_000}),
});

test('every instance stops to use a leaving target in time, when watchers are killed, instances stand still and messages are lost', () => {
	fc.assert(fc.property(scenario, parameters => {
		const {changeLimitMs, killedWatchers, pausedRatio, changeAfterMs} = parameters;
		const fleet = new SimulatedFleet(parameters);
		fleet.advance(6000);
		const killed = [...fleet.gateways].filter(([, {state}], index) => state.isWatching && (index % 2) / 2 < killedWatchers);
		for (const [address] of killed.slice(0, fleet.gateways.size - 1)) {
			fleet.gateways.delete(address);
		}

		for (const [index, gateway] of [...fleet.gateways.values()].entries()) {
			if (index % 10 < pausedRatio * 10) {
				fleet.pause(gateway, 1500);
			}
		}

		fleet.advance(changeAfterMs);
		fleet.revision = 2;
		const changedAt = fleet.now;
		fleet.advance(changeLimitMs);
		for (const {state} of fleet.gateways.values()) {
			assert.equal(state.targets.byId.get('desk-1')?.isGone, true, `${state.self.id} used the target ${fleet.now - changedAt} ms after the change, directory of ${Math.round(fleet.now)}`);
		}
	}), {seed: 11, numRuns: 60});
});
